//! The platform's object API: versioned values with conditional writes and watches.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarpath_http::{Call, HttpError, send};
use http_body_util::Full;
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};

use crate::error::PlatformError;

/// Version of an object; increases with each write of that object.
pub type Version = u64;

/// An object's value and version, as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of the value.
    pub version: Version,
    /// The value, at most 1 MB.
    pub value: Bytes,
}

/// The platform's object API.
#[async_trait]
pub trait ObjectApi: Send + Sync {
    /// Reads an object.
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError>;
    /// Creates an object; fails with [`PlatformError::Conflict`] if it exists.
    async fn create(&self, key: &str, value: Bytes) -> Result<Version, PlatformError>;
    /// Replaces an object; fails with [`PlatformError::Conflict`] if its version isn't `expected`.
    async fn replace(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
    ) -> Result<Version, PlatformError>;
    /// Deletes an object; no error if it doesn't exist.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;
    /// Waits at most `time_limit` for a version of the object above `seen`.
    async fn watch(
        &self,
        key: &str,
        seen: Version,
        time_limit: Duration,
    ) -> Result<Option<Object>, PlatformError>;
}

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// HTTP client of the object API; the protocol is in docs/PROTOCOL-object-api.md.
#[derive(Debug, Clone)]
pub struct HttpObjectApi {
    address: SocketAddr,
}

impl HttpObjectApi {
    /// Creates a client of the object API at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        condition: Option<(hyper::header::HeaderName, String)>,
        value: Bytes,
        time_limit: Duration,
    ) -> Result<Call, PlatformError> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some((name, value)) = condition {
            request = request.header(name, value);
        }
        let address = self.address;
        let request = request
            .body(Full::new(value))
            .map_err(|_| HttpError::Unreachable { address })?;
        Ok(send(address, request, time_limit).await?)
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: (hyper::header::HeaderName, String),
    ) -> Result<Version, PlatformError> {
        let path = format!("/objects/{key}");
        let call = self
            .call(Method::PUT, path, Some(condition), value, CALL_TIMEOUT)
            .await?;
        match call.status() {
            StatusCode::OK => Ok(version(&call)?),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict { key: key.into() }),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::NotExecuted(unexpected_status(&call)))
            }
            _ => Err(PlatformError::OutcomeUnknown(unexpected_status(&call))),
        }
    }
}

#[async_trait]
impl ObjectApi for HttpObjectApi {
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{key}");
        let call = self
            .call(Method::GET, path, None, Bytes::new(), CALL_TIMEOUT)
            .await?;
        object(call).await
    }

    async fn create(&self, key: &str, value: Bytes) -> Result<Version, PlatformError> {
        self.write(key, value, (IF_NONE_MATCH, "*".into())).await
    }

    async fn replace(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
    ) -> Result<Version, PlatformError> {
        let condition = (IF_MATCH, format!("\"{expected}\""));
        self.write(key, value, condition).await
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let path = format!("/objects/{key}");
        let call = self
            .call(Method::DELETE, path, None, Bytes::new(), CALL_TIMEOUT)
            .await?;
        match call.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(PlatformError::OutcomeUnknown(unexpected_status(&call))),
        }
    }

    async fn watch(
        &self,
        key: &str,
        seen: Version,
        time_limit: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let path = format!(
            "/watch/{key}?after={seen}&wait_ms={}",
            time_limit.as_millis()
        );
        let time_limit = time_limit + CALL_TIMEOUT;
        let call = self
            .call(Method::GET, path, None, Bytes::new(), time_limit)
            .await?;
        object(call).await
    }
}

async fn object(call: Call) -> Result<Option<Object>, PlatformError> {
    match call.status() {
        StatusCode::OK => {
            let version = version(&call)?;
            let value = call.bytes(CALL_TIMEOUT).await?;
            Ok(Some(Object { version, value }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        _ => Err(PlatformError::NotExecuted(unexpected_status(&call))),
    }
}

fn version(call: &Call) -> Result<Version, HttpError> {
    let header = call.response.headers().get(ETAG);
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim_matches('"').parse().ok())
        .ok_or(HttpError::Malformed {
            address: call.address,
        })
}

fn unexpected_status(call: &Call) -> HttpError {
    HttpError::Status {
        address: call.address,
        status: call.status().as_u16(),
    }
}
