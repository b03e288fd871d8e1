//! One request on one fresh connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::HttpError;

const CONNECT_BOUND: Duration = Duration::from_millis(1_000);

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Call {
    /// The peer that answers.
    pub address: SocketAddr,
    /// The answer's head and unread body.
    pub response: Response<Incoming>,
    /// Closed with the call, so that a call that is given up ends at the peer too.
    pub(crate) connection: Connection,
}

impl Call {
    /// The answer's status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the whole body within `bound`.
    pub async fn bytes(self, bound: Duration) -> Result<Bytes, HttpError> {
        let address = self.address;
        let collected = timeout(bound, self.response.into_body().collect()).await;
        match collected {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            _ => Err(HttpError::Incomplete { address }),
        }
    }

    /// Reads the whole body within `bound` and decodes it as JSON.
    pub async fn json<T: serde::de::DeserializeOwned>(
        self,
        bound: Duration,
    ) -> Result<T, HttpError> {
        let address = self.address;
        let body = self.bytes(bound).await?;
        serde_json::from_slice(&body).map_err(|_| HttpError::Malformed { address })
    }
}

/// Sends one request and waits at most `bound` for the answer's head.
///
/// Each call opens a connection of its own. A pooled connection can carry the late answer of an
/// exchange that was given up to the next request, or be one that a middle box has forgotten and
/// that stays silent; a fresh connection can be neither.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    bound: Duration,
) -> Result<Call, HttpError> {
    let mut connection = Connection::open(address, CONNECT_BOUND.min(bound)).await?;
    request.headers_mut().insert(
        hyper::header::HOST,
        hyper::header::HeaderValue::from_str(&address.to_string())
            .map_err(|_| HttpError::Unreachable { address })?,
    );
    match timeout(bound, connection.exchange(request)).await {
        Ok(answer) => answer.map(|response| Call {
            address,
            response,
            connection,
        }),
        Err(_) => Err(HttpError::NoResponse { address }),
    }
}

/// Sends a GET without a body.
pub async fn get(address: SocketAddr, path: &str, bound: Duration) -> Result<Call, HttpError> {
    let request = build(address, Method::GET, path, Bytes::new())?;
    send(address, request, bound).await
}

/// Sends a POST with a JSON body.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
    bound: Duration,
) -> Result<Call, HttpError> {
    let body = serde_json::to_vec(message).map_err(|_| HttpError::Unreachable { address })?;
    let request = build(address, Method::POST, path, Bytes::from(body))?;
    send(address, request, bound).await
}

fn build(
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
