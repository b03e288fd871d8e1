//! Calls to engines: probing an engine, and copying a generation's KV cache to another one.

use std::net::SocketAddr;

use async_trait::async_trait;
use fulmarpath_http::Dial;
use fulmarpath_policy::Millis;

/// Why a copy could not be made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CopyError {
    /// The engine does not run the generation, or has ended it.
    #[error("could not find the generation on the engine")]
    NotFound,
    /// The engine that runs the generation is unreachable; no call was sent to it.
    #[error("could not reach the engine that runs the generation")]
    SourceUnreachable,
    /// Another copy of the generation is in progress.
    #[error("could not start a copy while another copy is in progress")]
    Busy,
    /// The destination has no capacity or is unreachable. A generation that was stopped for the
    /// copy keeps its KV cache at the source under this id.
    #[error("could not copy to the destination engine")]
    NoRoom {
        /// Identifies the KV cache at the source, if the generation was stopped.
        copy_id: Option<String>,
    },
    /// No response: the generation may have been stopped.
    #[error("could not determine the outcome of the copy")]
    Unknown,
}

/// The state of an engine as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStatus {
    /// It is reachable and accepts work.
    There,
    /// It is leaving, and has reported its remaining time.
    Leaving {
        /// Remaining time at the moment of the report.
        left_ms: Millis,
    },
    /// No connection to it can be made.
    Gone,
    /// It accepts a connection, but sends no response in time or one that cannot be parsed.
    Unknown,
}

/// The result of probing an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// When the process that responds started, in Unix milliseconds by the engine's clock.
    pub started_at_ms: Option<Millis>,
    /// The state of the engine.
    pub status: EngineStatus,
}

/// A complete copy at its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedCopy {
    /// Identifies the copy.
    pub copy_id: String,
    /// Events that the generation had produced.
    pub events: u64,
}

/// Calls to engines: probing an engine, and copying a generation's KV cache to another one. `dial`
/// opens the connections.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Copies the new part of a generation's KV cache while the generation continues.
    async fn copy(
        &self,
        dial: &dyn Dial,
        source: SocketAddr,
        request_id: &str,
        to: SocketAddr,
    ) -> Result<CompletedCopy, CopyError>;
    /// Stops a generation, then copies the rest of its KV cache.
    async fn stop_and_copy(
        &self,
        dial: &dyn Dial,
        source: SocketAddr,
        request_id: &str,
        to: SocketAddr,
    ) -> Result<CompletedCopy, CopyError>;
    /// Discards an unused copy at the engine that holds it; returns whether that is known to have
    /// succeeded.
    async fn discard_copy(&self, dial: &dyn Dial, holder: SocketAddr, copy_id: &str) -> bool;
    /// Probes an engine; the state may be a few hundred ms old.
    async fn probe(&self, dial: &dyn Dial, engine: SocketAddr) -> ProbeResult;
}
