//! Engines' own calls that carry a generation's memory to another engine.

use std::net::SocketAddr;

use async_trait::async_trait;
use fulmarpath_policy::Millis;

/// Why a copy isn't there.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CopyError {
    /// The engine doesn't run the generation, or no more.
    #[error("could not find the generation on the engine")]
    NotFound,
    /// The engine that runs the generation can't be reached; nothing was asked of it.
    #[error("could not reach the engine that runs the generation")]
    SourceUnreachable,
    /// Another copy of the generation is under way.
    #[error("could not copy while another copy is under way")]
    Busy,
    /// The destination has no room or can't be reached. A generation that was stopped for it keeps
    /// its memory at the source under this name.
    #[error("could not copy to the destination")]
    NoRoom {
        /// Names the memory at the source, where the generation was stopped.
        copy_id: Option<String>,
    },
    /// No answer: the generation may have been stopped.
    #[error("could not learn what became of the copy")]
    Unknown,
}

/// How an engine is by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStatus {
    /// It is there and takes work.
    There,
    /// It leaves, and has said how long it will be there.
    Leaving {
        /// As of the moment that its word is of.
        left_ms: Millis,
    },
    /// No connection to it can be made.
    Gone,
    /// It has a connection, and says nothing in time or nothing that can be read.
    Unknown,
}

/// What an engine says when it is asked how it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// When the start that answers began, in Unix milliseconds by its own clock.
    pub born_ms: Option<Millis>,
    /// How it is.
    pub status: EngineStatus,
}

/// A copy at its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedCopy {
    /// Names the copy.
    pub copy_id: String,
    /// Events that the generation had made.
    pub events: u64,
}

/// Engines' own calls that carry a generation's memory to another engine.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Copies what is new of a generation's memory while it goes on.
    async fn copy(
        &self,
        source: SocketAddr,
        request_id: &str,
        to: SocketAddr,
    ) -> Result<CompletedCopy, CopyError>;
    /// Stops a generation, then copies the rest of its memory.
    async fn stop_and_copy(
        &self,
        source: SocketAddr,
        request_id: &str,
        to: SocketAddr,
    ) -> Result<CompletedCopy, CopyError>;
    /// Gives up a copy that nothing will use, at the engine that holds it; whether that is known to
    /// have succeeded.
    async fn discard_copy(&self, holder: SocketAddr, copy_id: &str) -> bool;
    /// Asks an engine how it is, as of some hundred ms ago.
    async fn probe(&self, engine: SocketAddr) -> ProbeResult;
}
