//! HTTP client that opens a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::dial::{Dial, TcpDial};
use crate::error::HttpError;
use crate::progress::ResponseBody;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest body that a call collects unless it states another limit.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A call whose response head has arrived and whose body has not been read yet.
#[derive(Debug)]
pub struct Call {
    /// The peer's address.
    pub address: SocketAddr,
    /// The response head and the unread body.
    pub response: Response<ResponseBody>,
    /// Closed when the call is dropped, so that an abandoned call ends at the peer too.
    pub(crate) connection: Connection,
}

impl Call {
    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the complete body within `time_limit`.
    pub async fn bytes(self, time_limit: Duration) -> Result<Bytes, HttpError> {
        self.bytes_within(MAX_BODY_BYTES, time_limit).await
    }

    /// Reads the complete body of at most `max_bytes` within `time_limit`.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if it is longer.
    pub async fn bytes_within(
        self,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let address = self.address;
        let body = Limited::new(self.response.into_body(), max_bytes);
        match timeout(time_limit, body.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(HttpError::Malformed { address })
            }
            _ => Err(HttpError::Incomplete { address }),
        }
    }

    /// Reads the complete body within `time_limit` and decodes it as JSON.
    pub async fn json<T: serde::de::DeserializeOwned>(
        self,
        time_limit: Duration,
    ) -> Result<T, HttpError> {
        self.json_within(MAX_BODY_BYTES, time_limit).await
    }

    /// Reads the complete body of at most `max_bytes` within `time_limit` and decodes it as JSON.
    pub async fn json_within<T: serde::de::DeserializeOwned>(
        self,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<T, HttpError> {
        let address = self.address;
        let body = self.bytes_within(max_bytes, time_limit).await?;
        serde_json::from_slice(&body).map_err(|_| HttpError::Malformed { address })
    }
}

/// Sends one request and waits at most `time_limit` for the response head.
///
/// Each call opens its own connection. On a pooled connection, the late response to an abandoned
/// request could be taken for the response to the next one, and a connection whose state a
/// middlebox has dropped would stay silent. A new connection has neither problem.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Call, HttpError> {
    send_over(&TcpDial, address, request, time_limit).await
}

/// Like [`send`], over a byte stream that `dial` opens.
pub async fn send_over(
    dial: &dyn Dial,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Call, HttpError> {
    let stream = dial.dial(address, CONNECT_TIMEOUT.min(time_limit)).await?;
    let mut connection = Connection::over(address, stream).await?;
    request.headers_mut().insert(
        hyper::header::HOST,
        hyper::header::HeaderValue::from_str(&address.to_string())
            .map_err(|_| HttpError::Unreachable { address })?,
    );
    match timeout(time_limit, connection.exchange(request)).await {
        Ok(result) => result.map(|response| Call {
            address,
            response,
            connection,
        }),
        Err(_) => Err(HttpError::NoResponse { address }),
    }
}

/// Sends a GET without a body.
pub async fn get(address: SocketAddr, path: &str, time_limit: Duration) -> Result<Call, HttpError> {
    send(address, get_request(address, path)?, time_limit).await
}

/// Sends a POST with a JSON body.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
    time_limit: Duration,
) -> Result<Call, HttpError> {
    send(address, post_request(address, path, message)?, time_limit).await
}

/// A GET without a body.
///
/// # Errors
/// [`HttpError::Unreachable`] if the path is not valid.
pub fn get_request(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, HttpError> {
    build_request(address, Method::GET, path, Bytes::new())
}

/// A POST with a JSON body.
///
/// # Errors
/// [`HttpError::Unreachable`] if the message or the path is not valid.
pub fn post_request<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let body = serde_json::to_vec(message).map_err(|_| HttpError::Unreachable { address })?;
    build_request(address, Method::POST, path, Bytes::from(body))
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|_| HttpError::Unreachable { address })
}
