//! A plain service and its client.

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
    /// The method.
    pub method: Method,
    /// Path and query behind the service's name.
    pub path: String,
    /// The content type, where the caller gave one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A whole answer of a plain service.
#[derive(Debug, Clone)]
pub struct PlainResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its content type.
    pub content_type: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// A failed call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlainError {
    /// The service never saw the call.
    #[error("could not reach the service")]
    NotRun(#[source] HttpError),
    /// The call was sent and no whole answer came.
    #[error("could not learn the outcome of the call")]
    OutcomeUnknown(#[source] HttpError),
}

/// A plain service.
#[async_trait]
pub trait Plain: Send + Sync {
    /// Sends the call once.
    async fn call(&self, call: PlainCall) -> Result<PlainResponse, PlainError>;
    /// Whether it still takes connections, after it has broken one off.
    async fn is_listening(&self) -> bool;
}

/// A plain service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlain {
    address: SocketAddr,
    bound: Duration,
}

impl HttpPlain {
    /// A client of the service at `address`, which may take `bound` to answer.
    pub fn new(address: SocketAddr, bound: Duration) -> Self {
        Self { address, bound }
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
        let answer = send(address, request, self.bound).await.map_err(failed)?;
        let status = answer.status();
        let headers = answer.response.headers();
        let content_type = headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = answer.bytes(self.bound).await.map_err(failed)?;
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

fn failed(error: HttpError) -> PlainError {
    if error.is_unsent() {
        PlainError::NotRun(error)
    } else {
        PlainError::OutcomeUnknown(error)
    }
}
