//! Model engines and their HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_http::{Call, HttpError, Lines, get, post_json};
use hyper::StatusCode;

use crate::message::{CacheEvents, GenerateRequest, LoadReport, Order, ResumeRequest, StreamItem};

/// A failed exchange with an engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine never received the request, or refused it: nothing ran.
    #[error("could not start on the engine")]
    NotRun(#[source] HttpError),
    /// The engine doesn't have the generation any more.
    #[error("could not find the generation on the engine")]
    UnknownGeneration,
    /// The exchange failed after the request was sent: it may have run.
    #[error("could not get a usable response from the engine")]
    OutcomeUnknown(#[source] HttpError),
}

/// A stream of generated tokens.
#[async_trait]
pub trait TokenStream: Send {
    /// Waits at most `silence_timeout` for the next item; `None` if the engine ended the stream.
    async fn next(&mut self, silence_timeout: Duration) -> Result<Option<StreamItem>, EngineError>;
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, EngineError>;
    /// Resumes the stream of a generation that the engine runs.
    async fn resume(&self, request: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError>;
    /// Cancels a generation; no error if it has ended.
    async fn cancel(&self, generation: &str) -> Result<(), EngineError>;
    /// Reads the engine's load.
    async fn load(&self) -> Result<LoadReport, EngineError>;
    /// Reads the prefix cache events after event `number`.
    async fn cache_events(&self, number: u64) -> Result<CacheEvents, EngineError>;
    /// Sends an order; `false` if the engine has seen a newer fencing number.
    async fn order(&self, order: &Order) -> Result<bool, EngineError>;
}

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// HTTP client of an engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, EngineError> {
        stream(post_json(self.address, "/generate", request, CALL_TIMEOUT).await)
    }

    async fn resume(&self, request: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        stream(post_json(self.address, "/resume", request, CALL_TIMEOUT).await)
    }

    async fn cancel(&self, generation: &str) -> Result<(), EngineError> {
        let path = format!("/cancel/{generation}");
        let call = post_json(self.address, &path, &(), CALL_TIMEOUT).await;
        call.map(|_| ()).map_err(engine_error)
    }

    async fn load(&self) -> Result<LoadReport, EngineError> {
        let call = get(self.address, "/load", CALL_TIMEOUT)
            .await
            .map_err(engine_error)?;
        call.json(CALL_TIMEOUT).await.map_err(engine_error)
    }

    async fn cache_events(&self, number: u64) -> Result<CacheEvents, EngineError> {
        let path = format!("/cache-events?after={number}");
        let call = get(self.address, &path, CALL_TIMEOUT)
            .await
            .map_err(engine_error)?;
        call.json(CALL_TIMEOUT).await.map_err(engine_error)
    }

    async fn order(&self, order: &Order) -> Result<bool, EngineError> {
        let call = post_json(self.address, "/orders", order, CALL_TIMEOUT)
            .await
            .map_err(engine_error)?;
        match call.status() {
            StatusCode::OK => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            _ => Err(EngineError::OutcomeUnknown(unexpected_status(&call))),
        }
    }
}

struct LineStream {
    lines: Lines,
}

#[async_trait]
impl TokenStream for LineStream {
    async fn next(&mut self, silence_timeout: Duration) -> Result<Option<StreamItem>, EngineError> {
        let Some(line) = self
            .lines
            .next(silence_timeout)
            .await
            .map_err(EngineError::OutcomeUnknown)?
        else {
            return Ok(None);
        };
        let item = serde_json::from_slice(&line);
        item.map(Some).map_err(|_| {
            EngineError::OutcomeUnknown(HttpError::Malformed {
                address: self.lines.address(),
            })
        })
    }
}

fn stream(response: Result<Call, HttpError>) -> Result<Box<dyn TokenStream>, EngineError> {
    let call = response.map_err(engine_error)?;
    match call.status() {
        StatusCode::OK => Ok(Box::new(LineStream {
            lines: Lines::new(call),
        })),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownGeneration),
        StatusCode::SERVICE_UNAVAILABLE => Err(EngineError::NotRun(unexpected_status(&call))),
        _ => Err(EngineError::OutcomeUnknown(unexpected_status(&call))),
    }
}

fn engine_error(error: HttpError) -> EngineError {
    if error.is_unsent() {
        EngineError::NotRun(error)
    } else {
        EngineError::OutcomeUnknown(error)
    }
}

fn unexpected_status(call: &Call) -> HttpError {
    HttpError::Status {
        address: call.address,
        status: call.status().as_u16(),
    }
}
