//! Plain HTTP services and their client.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarpath_http::{HttpError, is_listening, send};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: Method,
    /// Path and query after the service's name.
    pub path: String,
    /// The content type, if the caller sent one.
    pub content_type: Option<String>,
    /// The request body.
    pub body: Bytes,
}

/// A complete response of a plain service.
#[derive(Debug, Clone)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The content type, if the service sent one.
    pub content_type: Option<String>,
    /// The response body.
    pub body: Bytes,
}

/// A failed call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlainError {
    /// The service never received the call.
    #[error("could not reach the service")]
    NotRun(#[source] HttpError),
    /// The call was sent, but no complete response arrived.
    #[error("could not determine the outcome of the call")]
    OutcomeUnknown(#[source] HttpError),
}

/// A plain service.
#[async_trait]
pub trait Plain: Send + Sync {
    /// Sends the call once.
    async fn call(&self, call: PlainCall) -> Result<PlainResponse, PlainError>;
    /// Whether it still accepts connections, after it has closed one unexpectedly.
    async fn is_listening(&self) -> bool;
}

/// HTTP client of a plain service.
#[derive(Debug, Clone)]
pub struct HttpPlain {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlain {
    /// Creates a client of the service at `address`, with a response timeout.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }
}

#[async_trait]
impl Plain for HttpPlain {
    async fn call(&self, call: PlainCall) -> Result<PlainResponse, PlainError> {
        let address = self.address;
        let mut request = Request::builder().method(call.method).uri(call.path);
        if let Some(content_type) = call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|_| PlainError::NotRun(HttpError::Unreachable { address }))?;
        let response = send(address, request, self.timeout)
            .await
            .map_err(plain_error)?;
        let status = response.status();
        let headers = response.response.headers();
        let content_type = headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = response.bytes(self.timeout).await.map_err(plain_error)?;
        Ok(PlainResponse {
            status,
            content_type,
            body,
        })
    }

    async fn is_listening(&self) -> bool {
        is_listening(self.address).await
    }
}

fn plain_error(error: HttpError) -> PlainError {
    if error.is_unsent() {
        PlainError::NotRun(error)
    } else {
        PlainError::OutcomeUnknown(error)
    }
}
