//! The object API: versioned values with conditional writes and watches.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarpath_http::{Call, HttpError, send};
use http_body_util::Full;
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};

use crate::error::PlatformError;

/// An object's version; it grows with each write of that object.
pub type Version = u64;

/// A value as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version of this value.
    pub version: Version,
    /// The value, at most 1 MB.
    pub value: Bytes,
}

/// The platform's object API.
#[async_trait]
pub trait ObjectApi: Send + Sync {
    /// Reads an object.
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError>;
    /// Creates an object where none stands.
    async fn create(&self, key: &str, value: Bytes) -> Result<Version, PlatformError>;
    /// Replaces an object that still has version `expected`.
    async fn replace(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
    ) -> Result<Version, PlatformError>;
    /// Removes an object; harmless where none stands.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;
    /// Waits at most `bound` until the object has a version above `seen`.
    async fn watch(
        &self,
        key: &str,
        seen: Version,
        bound: Duration,
    ) -> Result<Option<Object>, PlatformError>;
}

const CALL_BOUND: Duration = Duration::from_millis(2_000);

/// The object API over HTTP, as docs/PROTOCOL-object-api.md states it.
#[derive(Debug, Clone)]
pub struct HttpObjectApi {
    address: SocketAddr,
}

impl HttpObjectApi {
    /// A client of the object API at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        condition: Option<(hyper::header::HeaderName, String)>,
        value: Bytes,
        bound: Duration,
    ) -> Result<Call, PlatformError> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some((name, wanted)) = condition {
            request = request.header(name, wanted);
        }
        let address = self.address;
        let request = request
            .body(Full::new(value))
            .map_err(|_| HttpError::Unreachable { address })?;
        Ok(send(address, request, bound).await?)
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: (hyper::header::HeaderName, String),
    ) -> Result<Version, PlatformError> {
        let path = format!("/objects/{key}");
        let call = self
            .call(Method::PUT, path, Some(condition), value, CALL_BOUND)
            .await?;
        match call.status() {
            StatusCode::OK => Ok(version(&call)?),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict { key: key.into() }),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::NotExecuted(unforeseen(&call)))
            }
            _ => Err(PlatformError::OutcomeUnknown(unforeseen(&call))),
        }
    }
}

#[async_trait]
impl ObjectApi for HttpObjectApi {
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{key}");
        let call = self
            .call(Method::GET, path, None, Bytes::new(), CALL_BOUND)
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
            .call(Method::DELETE, path, None, Bytes::new(), CALL_BOUND)
            .await?;
        match call.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(PlatformError::OutcomeUnknown(unforeseen(&call))),
        }
    }

    async fn watch(
        &self,
        key: &str,
        seen: Version,
        bound: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let path = format!("/watch/{key}?after={seen}&wait_ms={}", bound.as_millis());
        let bound = bound + CALL_BOUND;
        let call = self
            .call(Method::GET, path, None, Bytes::new(), bound)
            .await?;
        object(call).await
    }
}

async fn object(call: Call) -> Result<Option<Object>, PlatformError> {
    match call.status() {
        StatusCode::OK => {
            let version = version(&call)?;
            let value = call.bytes(CALL_BOUND).await?;
            Ok(Some(Object { version, value }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        _ => Err(PlatformError::NotExecuted(unforeseen(&call))),
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

fn unforeseen(call: &Call) -> HttpError {
    HttpError::Status {
        address: call.address,
        status: call.status().as_u16(),
    }
}
