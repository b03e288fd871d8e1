//! Opens byte streams to peers. HTTP connections run over them.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::HttpError;

/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_millis(1_000);
/// Unanswered keepalive probes after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// The connection is closed when sent bytes stay unacknowledged this long; the same time as the
/// keepalive probes take to fail, since Linux ends them by whichever is first.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
const _: () = assert!(
    UNACKNOWLEDGED_TIMEOUT.as_millis()
        == KEEPALIVE_PERIOD.as_millis() * (1 + KEEPALIVE_RETRIES as u128)
);

/// An open byte stream in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// Opens byte streams.
#[async_trait]
pub trait Dial: Send + Sync {
    /// Connects to a peer within `time_limit`.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    async fn dial(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError>;
}

/// Opens TCP connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpDial;

#[async_trait]
impl Dial for TcpDial {
    async fn dial(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError> {
        let connected = timeout(time_limit, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = connected else {
            return Err(HttpError::Unreachable { address });
        };
        enable_keepalive(&socket);
        Ok(Box::new(socket))
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
