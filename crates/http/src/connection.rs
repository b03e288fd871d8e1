//! One connection to a peer, for one exchange after the other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::error::HttpError;

/// The peer's host is asked for a sign of life after so long without a byte, and so often.
const KEEPALIVE_PERIOD: Duration = Duration::from_millis(1_000);
/// Unanswered signs of life after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Bytes that stay unacknowledged for so long end the connection: as long as the signs of life.
const UNACKNOWLEDGED_BOUND: Duration = Duration::from_millis(3_000);

/// A process that ends closes its sockets one after the other, its listener perhaps last. Asked at
/// once whether it is there it looks alive, so whoever it broke off waits this long before.
pub const LISTENER_CLOSE_WAIT: Duration = Duration::from_millis(40);
/// Time for a connection that tells whether a process is there: some ways there and back between data
/// centres. One that has ended refuses it at once; one whose machine is gone too says nothing.
const CHECK_BOUND: Duration = Duration::from_millis(250);

/// Whether a process that has just broken a connection off takes others still.
pub async fn is_listening(address: SocketAddr) -> bool {
    sleep(LISTENER_CLOSE_WAIT).await;
    Connection::open(address, CHECK_BOUND).await.is_ok()
}

/// An open connection. Dropping it closes it, whatever runs on it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects within `bound`.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    pub async fn open(address: SocketAddr, bound: Duration) -> Result<Self, HttpError> {
        let connected = timeout(bound, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = connected else {
            return Err(HttpError::Unreachable { address });
        };
        watch_peer(&socket);
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(socket)).await else {
            return Err(HttpError::Unreachable { address });
        };
        Ok(Self {
            address,
            sender,
            _driver: AbortOnDropHandle::new(tokio::spawn(driver)),
        })
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`HttpError::NoResponse`]: the request may have reached the peer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let address = self.address;
        let ready = self.sender.ready().await;
        ready.map_err(|_| HttpError::Unreachable { address })?;
        let answer = self.sender.send_request(request).await;
        answer.map_err(|_| HttpError::NoResponse { address })
    }

    /// Whether nothing is known against another exchange: the last one is over and the peer has
    /// neither closed the connection nor sent a byte that nobody asked for.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Lets the kernel notice a peer that fell silent without a reset: one without power, behind a
/// partition, or forgotten by something between the two ends. Without this a stream from it would
/// wait for its next byte until the caller's deadline.
fn watch_peer(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(socket);
    // A system that lacks either option still has each call's own bound.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_BOUND));
}
