//! Messages of the engine protocol, which is described in docs/PROTOCOL-engine.md.

use serde::{Deserialize, Serialize};

/// Starts a generation, or continues one that another engine began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The trace that the generation belongs to (W3C Trace Context).
    pub traceparent: Option<String>,
    /// Name of the generation; the engine repeats it with each token.
    pub generation: String,
    /// Number of this dispatch of the generation; the engine repeats it with each token.
    pub attempt: u32,
    /// Name of the model.
    pub model: String,
    /// The caller's prompt.
    pub prompt: String,
    /// Tokens already generated; the engine continues after them.
    pub already_out: Vec<String>,
    /// Limit of output tokens, including those already generated.
    pub output_limit_tokens: u32,
    /// Generations of higher priority run first and are preempted last.
    pub priority: i32,
}

/// Resumes the stream of a generation that still runs on the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Name of the generation.
    pub generation: String,
    /// Number of the new attempt; the engine sends no more tokens to older ones.
    pub attempt: u32,
    /// Index of the first token to send.
    pub next_index: u32,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its output.
    Stop,
    /// The limit of output tokens was reached.
    Length,
}

/// One line of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamItem {
    /// One token.
    Token {
        /// The generation it belongs to.
        generation: String,
        /// The attempt that requested it.
        attempt: u32,
        /// Its index in the output, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The generation is complete.
    Done {
        /// The generation it belongs to.
        generation: String,
        /// The attempt that requested it.
        attempt: u32,
        /// Number of tokens of the complete output.
        total_tokens: u32,
        /// Why it ended.
        finish: Finish,
    },
    /// No new token, but the engine is alive.
    Heartbeat,
}

/// Whether an engine accepts new generations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It accepts new generations.
    #[default]
    Live,
    /// It finishes running generations and accepts no new ones.
    Leaving,
}

/// Load as reported by an engine; it may be stale.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Generations in the current batch.
    pub running: u32,
    /// Generations that wait for memory, including preempted ones.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub used_tokens: u32,
    /// KV cache size, in tokens.
    pub memory_tokens: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether it accepts new generations.
    pub state: EngineState,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, increased by one per event; a gap shows that events were lost.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is cached after the event.
    pub cached: bool,
}

/// Prefix cache events after a sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order of their numbers, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// The kind of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the engine's role.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; increases with each new holder of the order dispatcher's lease.
    pub fencing: u64,
    /// What the engine shall do.
    pub kind: OrderKind,
}
