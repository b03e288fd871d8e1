//! The operators' client of a host.

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

const BOUND: Duration = Duration::from_millis(15_000);

/// Where and as whom an operator speaks to a host.
#[derive(Debug, Clone, bpaf::Bpaf)]
pub(crate) struct Target {
    /// Any entry host's address for callers
    #[bpaf(argument("IP:PORT"), fallback(([127, 0, 0, 1], 8080).into()), display_fallback)]
    host: SocketAddr,
    /// File that holds the operators' key
    #[bpaf(argument("FILE"), fallback(PathBuf::from("operator.key")))]
    key_file: PathBuf,
}

impl Target {
    /// Asks the host for something.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Asks the host to change something.
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
        let no_answer = || CommandError::NoAnswer { address };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", key(&self.key_file)?))
            .body(Full::new(body))
            .map_err(|_| no_answer())?;
        let answer = send(address, request, BOUND).await;
        let answer = answer.map_err(|_| no_answer())?;
        let status = answer.status();
        let body = answer.bytes(BOUND).await.map_err(|_| no_answer())?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|_| no_answer());
        }
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let detail = problem["detail"].as_str().unwrap_or("the host refused");
        Err(CommandError::Refused {
            detail: detail.to_owned(),
        })
    }
}

fn key(file: &Path) -> Result<String, CommandError> {
    match std::fs::read_to_string(file) {
        Ok(key) => Ok(key.trim().to_owned()),
        Err(_) => Err(CommandError::KeyFile {
            file: file.to_owned(),
        }),
    }
}
