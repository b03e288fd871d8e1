//! What entry hosts ask of a home, and what it answers.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::key::{HostKey, Millis, OrganisationKey, ServiceKey};

new_key_type! {
    /// A permit in its home's arena.
    pub struct PermitKey;
}

/// Names an ask; chosen by the entry host, unique over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitRequestId(pub u64);

/// A request to start a generation on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EnginePermitRequest {
    /// Names this ask.
    pub id: PermitRequestId,
    /// The entry host that asks.
    pub host: HostKey,
    /// For whom.
    pub organisation: OrganisationKey,
    /// For which service.
    pub service: ServiceKey,
    /// The organisation's weight in the preset in force.
    pub weight: f32,
    /// Its guaranteed share of the engine's memory.
    pub share: f32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that are out already, where a generation is resumed.
    pub out_tokens: u32,
    /// The answer's bound.
    pub output_limit_tokens: u32,
    /// How long the ask may wait.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: Millis,
    /// Whether to refuse at once rather than queue.
    pub only_now: bool,
    /// The whole length, where it is known (the bench's oracle).
    pub known_tokens: Option<u32>,
}

impl EnginePermitRequest {
    /// Whether the caller has tokens of this generation already.
    pub fn is_resumption(&self) -> bool {
        self.out_tokens > 0
    }
}

/// Why a home refuses. A refused ask was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queue is at its bound.
    QueueFull,
    /// It could not start within its patience.
    TooLate,
    /// It asked to start at once and can't.
    NoRoomNow,
    /// It can never fit into this engine.
    TooLarge,
    /// The engine takes nothing new.
    Leaving,
}

/// What a home has decided.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The generation may start.
    Granted {
        /// The ask.
        ask: PermitRequestId,
        /// The host that asked.
        host: HostKey,
        /// Names the permit from now on.
        permit: PermitKey,
        /// The engine's priority for it.
        priority: i32,
    },
    /// The generation may not start here.
    Refused {
        /// The ask.
        ask: PermitRequestId,
        /// The host that asked.
        host: HostKey,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// The engine is about to fill: resume this generation elsewhere if another has room now.
    Move {
        /// The permit to move.
        permit: PermitKey,
        /// The host that holds it.
        host: HostKey,
    },
}
