//! Permit requests that entry hosts send to an engine's home, and the home's decisions.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::key::{HostKey, Millis, OrganisationKey, ServiceKey};

new_key_type! {
    /// Key of a permit in its home's arena.
    pub struct PermitKey;
}

/// Identifies a permit request. Chosen by the entry host, unique across all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitRequestId(pub u64);

/// A request to start a generation on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EnginePermitRequest {
    /// Identifies this request.
    pub id: PermitRequestId,
    /// The entry host that sends the request.
    pub host: HostKey,
    /// The organisation that the generation is for.
    pub organisation: OrganisationKey,
    /// The service that is called.
    pub service: ServiceKey,
    /// The organisation's fairness weight in the active preset.
    pub weight: f32,
    /// The organisation's guaranteed share of the engine's memory.
    pub share: f32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens already produced, if a generation is resumed.
    pub out_tokens: u32,
    /// Maximum number of output tokens.
    pub output_limit_tokens: u32,
    /// How long the request may wait in the queue.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: Millis,
    /// Whether to refuse the request instead of queueing it.
    pub only_now: bool,
    /// The final output length, if known (only in the benchmark's oracle policy).
    pub known_tokens: Option<u32>,
}

impl EnginePermitRequest {
    /// Whether the caller has already received tokens of this generation.
    pub fn is_resumption(&self) -> bool {
        self.out_tokens > 0
    }
}

/// Why a home refused a request. A refused request has not been run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The request could not start, or is not expected to, within its maximum wait.
    TooLate,
    /// The request must not be queued and can't start now.
    NoRoomNow,
    /// The request exceeds the engine's memory.
    TooLarge,
    /// The engine is leaving and accepts no new generations.
    Leaving,
}

/// A decision of a home.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The generation may start.
    Granted {
        /// The request.
        ask: PermitRequestId,
        /// The host that sent the request.
        host: HostKey,
        /// The new permit.
        permit: PermitKey,
        /// The scheduling priority to pass to the engine.
        priority: i32,
    },
    /// The generation may not start here.
    Refused {
        /// The request.
        ask: PermitRequestId,
        /// The host that sent the request.
        host: HostKey,
        /// Why the request was refused.
        reason: RefusalReason,
        /// How long to wait before a retry.
        retry_after_ms: Millis,
    },
    /// The engine is about to run out of memory: resume the generation on another engine if one
    /// has room now.
    Move {
        /// The permit to move.
        permit: PermitKey,
        /// The host that holds it.
        host: HostKey,
    },
}
