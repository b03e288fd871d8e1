//! HTTP client for the operator interface of a host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::send;
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

const CALL_TIMEOUT: Duration = Duration::from_millis(15_000);

/// The host that a command calls, and the key that authenticates it.
#[derive(Debug, Clone, bpaf::Bpaf)]
pub(crate) struct Target {
    /// Caller address of any entry host
    #[bpaf(argument("IP:PORT"), fallback(([127, 0, 0, 1], 8080).into()), display_fallback)]
    host: SocketAddr,
    /// File that holds the operator key
    #[bpaf(argument("FILE"), fallback(PathBuf::from("operator.key")))]
    key_file: PathBuf,
}

impl Target {
    /// Sends a GET request and decodes the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request and decodes the response.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let address = self.host;
        let no_response = || CommandError::NoResponse { address };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(
                AUTHORIZATION,
                format!("Bearer {}", read_key(&self.key_file)?),
            )
            .body(Full::new(body))
            .map_err(|_| no_response())?;
        let response = send(address, request, CALL_TIMEOUT).await;
        let response = response.map_err(|_| no_response())?;
        let status = response.status();
        let body = response
            .bytes(CALL_TIMEOUT)
            .await
            .map_err(|_| no_response())?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|_| no_response());
        }
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let detail = problem["detail"].as_str().unwrap_or("no detail given");
        Err(CommandError::Rejected {
            detail: detail.to_owned(),
        })
    }
}

fn read_key(file: &Path) -> Result<String, CommandError> {
    match std::fs::read_to_string(file) {
        Ok(key) => Ok(key.trim().to_owned()),
        Err(_) => Err(CommandError::UnreadableKey {
            file: file.to_owned(),
        }),
    }
}
