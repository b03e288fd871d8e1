//! An engine's load as it reports it, late.

use serde::{Deserialize, Serialize};

/// What an engine last reported of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait inside the engine.
    pub waiting: u32,
    /// Memory in use.
    pub used_tokens: u32,
    /// Memory in all.
    pub memory_tokens: u32,
}
