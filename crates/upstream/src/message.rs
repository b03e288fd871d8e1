//! The messages of the engine protocol, as docs/PROTOCOL-engine.md states it.

use serde::{Deserialize, Serialize};

/// Starts a generation, or goes on with one that another engine began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The trace that the generation belongs to (W3C Trace Context).
    pub traceparent: Option<String>,
    /// Names the generation; every token carries it back.
    pub generation: String,
    /// Which dispatch of the generation this is; every token carries it back.
    pub attempt: u32,
    /// The model to run.
    pub model: String,
    /// The caller's prompt.
    pub prompt: String,
    /// Tokens that are already out; the engine goes on after them.
    pub already_out: Vec<String>,
    /// The answer's bound, with the tokens that are already out.
    pub output_limit_tokens: u32,
    /// Higher runs first and is paused last.
    pub priority: i32,
}

/// Reads on from a generation that still runs on the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The generation.
    pub generation: String,
    /// The attempt that reads on; tokens of older ones cease.
    pub attempt: u32,
    /// The first token wanted.
    pub next_index: u32,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The bound on output was reached.
    Length,
}

/// One line of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamItem {
    /// One token.
    Token {
        /// The generation it belongs to.
        generation: String,
        /// The attempt that asked for it.
        attempt: u32,
        /// Its place in the answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// The generation it belongs to.
        generation: String,
        /// The attempt that asked for it.
        attempt: u32,
        /// How many tokens the whole answer has.
        total_tokens: u32,
        /// Why it ended.
        finish: Finish,
    },
    /// Nothing new, but the engine is alive.
    Heartbeat,
}

/// Whether an engine takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It takes work.
    #[default]
    Live,
    /// It takes nothing new.
    Leaving,
}

/// An engine's own account of its load; it may be some time old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait for memory, the paused ones with them.
    pub waiting: u32,
    /// Memory in use.
    pub used_tokens: u32,
    /// Memory in all.
    pub memory_tokens: u32,
    /// Generations that were paused since the engine started.
    pub preemptions: u64,
    /// Whether it takes work.
    pub state: EngineState,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap shows that events were lost.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}

/// Events since a number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// In order of their numbers, perhaps with gaps.
    pub events: Vec<CacheEvent>,
}

/// What an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model's version.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// An order under a fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Grows with each holder of the orderer's lease.
    pub fencing: u64,
    /// What is wanted.
    pub kind: OrderKind,
}
