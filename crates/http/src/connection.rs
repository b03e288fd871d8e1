//! A connection to a peer, which carries one exchange at a time.

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

/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_millis(1_000);
/// Unanswered keepalive probes after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// The connection is closed when sent bytes stay unacknowledged this long; the same time as the
/// keepalive probes take to fail.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Wait before probing whether a peer that closed a connection still runs. An exiting process
/// closes its sockets one after the other, its listener possibly last, so an immediate probe could
/// still succeed.
pub const LISTENER_CLOSE_WAIT: Duration = Duration::from_millis(40);
/// Time limit of that probe: several round trips between data centres. An exited process refuses
/// the connection at once; a machine that is down doesn't answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether a peer that has just closed a connection still accepts new ones.
pub async fn is_listening(address: SocketAddr) -> bool {
    sleep(LISTENER_CLOSE_WAIT).await;
    Connection::open(address, PROBE_TIMEOUT).await.is_ok()
}

/// An open connection. Dropping it closes it, even during an exchange.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects within `time_limit`.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, HttpError> {
        let connected = timeout(time_limit, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = connected else {
            return Err(HttpError::Unreachable { address });
        };
        enable_keepalive(&socket);
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(socket)).await else {
            return Err(HttpError::Unreachable { address });
        };
        Ok(Self {
            address,
            sender,
            _driver: AbortOnDropHandle::new(tokio::spawn(driver)),
        })
    }

    /// Sends one request and waits for the response head.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]: the request was not sent. [`HttpError::NoResponse`]: it may have
    /// reached the peer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let address = self.address;
        let ready = self.sender.ready().await;
        ready.map_err(|_| HttpError::Unreachable { address })?;
        let response = self.sender.send_request(request).await;
        response.map_err(|_| HttpError::NoResponse { address })
    }

    /// Whether the connection can carry another exchange, as far as is known: the last one is
    /// complete, and the peer has neither closed the connection nor sent unsolicited bytes.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Lets the kernel detect a peer that goes silent without a reset: after a power failure, behind a
/// network partition, or when a middlebox has dropped the connection's state. Otherwise a stream
/// from it would wait for the next byte until the caller's deadline.
fn enable_keepalive(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(socket);
    // On systems without one of these options, the timeout of each call still applies.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
