//! Load reports of engines.

use serde::{Deserialize, Serialize};

/// The last load report of an engine, which lags behind its actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait inside the engine.
    pub waiting: u32,
    /// Memory in use.
    pub used_tokens: u32,
    /// Total memory.
    pub memory_tokens: u32,
}
