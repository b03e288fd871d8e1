//! A connection to a peer, which carries one exchange at a time.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use spdlog::info;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::dial::{ByteStream, Dial, TcpDial};
use crate::error::HttpError;
use crate::framing::{check_head, continues_body};
use crate::progress::{BoundedStream, Progress, ResponseBody};

/// Wait before probing whether a peer that closed a connection still runs. An exiting process
/// closes its sockets one after the other, its listener possibly last, so an immediate probe could
/// still succeed.
pub const LISTENER_CLOSE_WAIT: Duration = Duration::from_millis(40);
/// Time limit of that probe: several round trips between data centres. An exited process refuses
/// the connection at once; a machine that is down doesn't answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes that hyper buffers of one connection, and the longest response head.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes after a response that are looked at.
const SURPLUS_BYTES: usize = 16;

/// Whether a peer that has just closed a connection still accepts new ones.
pub async fn is_listening(address: SocketAddr) -> bool {
    is_listening_over(&TcpDial, address).await
}

/// Like [`is_listening`], by a connection that `dial` opens.
pub async fn is_listening_over(dial: &dyn Dial, address: SocketAddr) -> bool {
    sleep(LISTENER_CLOSE_WAIT).await;
    dial.dial(address, PROBE_TIMEOUT).await.is_ok()
}

/// An open connection. Dropping it closes it, even during an exchange.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    progress: Arc<Progress>,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects within `time_limit`.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, HttpError> {
        let stream = TcpDial.dial(address, time_limit).await?;
        Self::over(address, stream).await
    }

    /// Uses an open byte stream to the peer at `address`.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    pub async fn over(address: SocketAddr, stream: Box<dyn ByteStream>) -> Result<Self, HttpError> {
        let progress = Arc::new(Progress::default());
        let stream = BoundedStream::new(stream, progress.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let Ok((sender, driver)) = handshake.await else {
            return Err(HttpError::Unreachable { address });
        };
        let driver = tokio::spawn(drive(address, driver, progress.clone()));
        Ok(Self {
            address,
            sender,
            progress,
            driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends one request and waits for the response head.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]: the request was not sent. [`HttpError::NoResponse`]: it may have
    /// reached the peer. [`HttpError::Malformed`]: what the peer sends is not a response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, HttpError> {
        let address = self.address;
        let ready = self.sender.ready().await;
        ready.map_err(|_| HttpError::Unreachable { address })?;
        self.progress.begin(request.method() != Method::HEAD);
        let response = self.sender.send_request(request).await;
        let response =
            response.map_err(
                |error| match error.is_parse() || self.progress.has_stalled() {
                    true => HttpError::Malformed { address },
                    false => HttpError::NoResponse { address },
                },
            )?;
        self.progress.advance();
        if let Err(error) = check_head(&response) {
            info!("http: could not use the response of {address}: {error}");
            return Err(HttpError::Malformed { address });
        }
        Ok(response.map(|body| ResponseBody::new(body, self.progress.clone())))
    }

    /// Whether the peer has sent more of a body than the framing of its last response states, or
    /// does so within `wait`. Returns early if the peer closes the connection.
    pub async fn has_surplus(&mut self, wait: Duration) -> bool {
        if !self.driver.is_finished() && timeout(wait, &mut self.driver).await.is_err() {
            // On a busy host the driver may not have run since the bytes arrived.
            yield_now().await;
        }
        self.progress.has_surplus()
    }

    /// Whether the connection can carry another exchange, as far as is known: the last one is
    /// complete, and the peer has neither closed the connection nor sent unsolicited bytes.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

type ClientStream = TokioIo<BoundedStream<Box<dyn ByteStream>>>;

/// Carries the exchanges of a connection, and records what follows the last response.
async fn drive(
    address: SocketAddr,
    mut connection: http1::Connection<ClientStream, Full<Bytes>>,
    progress: Arc<Progress>,
) {
    let ended = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let parts = connection.into_parts();
    // hyper reads on only if the connection may carry another exchange.
    let reads_on = ended.is_ok() && parts.read_buf.is_empty();
    let mut rest = [0; SURPLUS_BYTES];
    let read = match reads_on {
        true => parts.io.into_inner().read(&mut rest).await.unwrap_or(0),
        false => 0,
    };
    if !continues_body(&parts.read_buf) && !continues_body(&rest[..read]) {
        return;
    }
    progress.record_surplus();
    if progress.has_surplus() {
        info!("http: {address} sent more than its response has by its framing");
    }
}
