//! A model engine and its client.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_http::{Call, HttpError, Lines, get, post_json};
use hyper::StatusCode;

use crate::message::{CacheEvents, GenerateRequest, LoadReport, Order, ResumeRequest, StreamItem};

/// A failed exchange with an engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine never saw the request, or refused it: nothing ran.
    #[error("could not start on the engine")]
    NotRun(#[source] HttpError),
    /// The engine doesn't know the generation any more.
    #[error("could not find the generation on the engine")]
    UnknownGeneration,
    /// The exchange broke after the request was sent.
    #[error("could not hear from the engine")]
    OutcomeUnknown(#[source] HttpError),
}

/// A running stream of tokens.
#[async_trait]
pub trait TokenStream: Send {
    /// The next item, due within `silence`; `None` where the engine ended the stream.
    async fn next(&mut self, silence: Duration) -> Result<Option<StreamItem>, EngineError>;
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, EngineError>;
    /// Reads on from a generation that runs there.
    async fn resume(&self, request: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError>;
    /// Stops a generation; harmless where it has ended.
    async fn cancel(&self, generation: &str) -> Result<(), EngineError>;
    /// The engine's load.
    async fn load(&self) -> Result<LoadReport, EngineError>;
    /// The cache events after `number`.
    async fn cache_events(&self, number: u64) -> Result<CacheEvents, EngineError>;
    /// Gives an order; `false` where a newer fencing number was seen.
    async fn order(&self, order: &Order) -> Result<bool, EngineError>;
}

const CALL_BOUND: Duration = Duration::from_millis(2_000);

/// An engine over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    address: SocketAddr,
}

impl HttpEngine {
    /// A client of the engine at `address`.
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
        stream(post_json(self.address, "/generate", request, CALL_BOUND).await)
    }

    async fn resume(&self, request: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        stream(post_json(self.address, "/resume", request, CALL_BOUND).await)
    }

    async fn cancel(&self, generation: &str) -> Result<(), EngineError> {
        let path = format!("/cancel/{generation}");
        let call = post_json(self.address, &path, &(), CALL_BOUND).await;
        call.map(|_| ()).map_err(failed)
    }

    async fn load(&self) -> Result<LoadReport, EngineError> {
        let call = get(self.address, "/load", CALL_BOUND)
            .await
            .map_err(failed)?;
        call.json(CALL_BOUND).await.map_err(failed)
    }

    async fn cache_events(&self, number: u64) -> Result<CacheEvents, EngineError> {
        let path = format!("/cache-events?after={number}");
        let call = get(self.address, &path, CALL_BOUND).await.map_err(failed)?;
        call.json(CALL_BOUND).await.map_err(failed)
    }

    async fn order(&self, order: &Order) -> Result<bool, EngineError> {
        let call = post_json(self.address, "/orders", order, CALL_BOUND)
            .await
            .map_err(failed)?;
        match call.status() {
            StatusCode::OK => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            _ => Err(EngineError::OutcomeUnknown(unforeseen(&call))),
        }
    }
}

struct LineStream {
    lines: Lines,
}

#[async_trait]
impl TokenStream for LineStream {
    async fn next(&mut self, silence: Duration) -> Result<Option<StreamItem>, EngineError> {
        let Some(line) = self
            .lines
            .next(silence)
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

fn stream(answer: Result<Call, HttpError>) -> Result<Box<dyn TokenStream>, EngineError> {
    let call = answer.map_err(failed)?;
    match call.status() {
        StatusCode::OK => Ok(Box::new(LineStream {
            lines: Lines::new(call),
        })),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownGeneration),
        StatusCode::SERVICE_UNAVAILABLE => Err(EngineError::NotRun(unforeseen(&call))),
        _ => Err(EngineError::OutcomeUnknown(unforeseen(&call))),
    }
}

fn failed(error: HttpError) -> EngineError {
    if error.is_unsent() {
        EngineError::NotRun(error)
    } else {
        EngineError::OutcomeUnknown(error)
    }
}

fn unforeseen(call: &Call) -> HttpError {
    HttpError::Status {
        address: call.address,
        status: call.status().as_u16(),
    }
}
