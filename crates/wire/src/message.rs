//! The messages between entry hosts.

use std::net::SocketAddr;

use fulmarpath_policy::{
    EngineLoad, HostKey, Millis, OrganisationKey, PermitKey, RefusalReason, RequestLimits,
    Revision, UpstreamKey,
};
use serde::{Deserialize, Serialize};

/// The state of a member as far as the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers pings.
    Alive,
    /// It missed a ping, and may still refute the suspicion.
    Suspect,
    /// It completes running requests and is no home for any engine or cell.
    Leaving,
    /// It has left or failed.
    Dead,
}

/// A member, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Unique name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address that peers connect to.
    pub address: SocketAddr,
}

/// The state of a member, gossiped between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The member.
    pub member: MemberInfo,
    /// Reported state.
    pub state: MemberState,
    /// Raised only by the member itself; the higher incarnation takes precedence.
    pub incarnation: u64,
}

/// A document that is replicated to every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Document {
    /// The root of the configuration.
    Root,
    /// The platform's host list.
    HostList,
}

/// The versions of the replicated state that a host holds; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the configuration's root.
    pub root: u64,
    /// Of the host list.
    pub host_list: u64,
    /// Of the circuits of contents that crashed upstreams: an order-independent hash of them.
    pub circuits: u64,
    /// Of the upstreams' registrations.
    pub upstreams: Revision,
    /// Of the evacuated data centres.
    pub evacuations: Revision,
}

/// Identifies a permit across all homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// Hash that identifies the process of the home. Another home's arena may use the same key for
    /// another permit.
    pub epoch: u64,
    /// The key in that home's arena.
    pub key: PermitKey,
}

/// A ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: Rumour,
    /// Recent rumours.
    pub rumours: Vec<Rumour>,
    /// The sender's versions of the replicated state.
    pub versions: Versions,
}

/// The answer to a ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The answering member.
    pub from: Rumour,
    /// Recent rumours.
    pub rumours: Vec<Rumour>,
    /// The answering member's versions of the replicated state.
    pub versions: Versions,
}

/// The answer to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The generation may start.
    Granted {
        /// The permit.
        permit: PermitId,
        /// The priority to give the generation at the engine.
        priority: i32,
    },
    /// Still in the queue: poll again.
    Queued,
    /// The generation may not start on this engine.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// The receiver isn't the engine's home.
    NotHome,
}

/// The answer to a permit request, with the engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The answer.
    pub answer: PermitAnswer,
    /// The engine's load, as its home counts it.
    pub load: EngineLoad,
}

/// The answer to a progress report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReply {
    /// Permits whose generations should move to another engine.
    pub moves: Vec<PermitId>,
    /// Permits that this home doesn't know; the host has to restore them.
    pub unknown: Vec<PermitId>,
}

/// The state of a permitted generation since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It is still generating.
    Running,
    /// It completed.
    #[serde(rename = "Whole")]
    Complete,
    /// It left the engine before completion.
    #[serde(rename = "Left")]
    Incomplete,
}

/// The progress of one permitted generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The engine.
    pub upstream: UpstreamKey,
    /// The permit.
    pub permit: PermitId,
    /// Tokens generated so far.
    pub out_tokens: u32,
    /// State of the generation.
    pub state: RunState,
}

/// A request for a slot under an organisation's limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The requesting host.
    pub host: HostKey,
    /// The organisation's declared limits.
    pub bounds: RequestLimits,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitAnswer {
    /// The slot is taken and the request may proceed.
    Taken,
    /// Too many requests per second.
    OverRate {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// Too many concurrent requests.
    OverConcurrency {
        /// When to retry.
        retry_after_ms: Millis,
    },
}

/// A request to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Hash of the organisation and its idempotency key.
    pub key: u128,
    /// Hash of the request, which detects a key reused for another request.
    pub request_hash: u64,
    /// The generation to run.
    pub generation: String,
    /// An earlier generation that this one replaces; its host declared it as never dispatched.
    pub supersedes: Option<String>,
}

/// The answer to a claim request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is durable: only this generation may be dispatched.
    Claimed,
    /// The key was claimed before.
    Taken {
        /// The generation that holds it.
        generation: String,
        /// Whether it was claimed for the same request.
        same_request: bool,
    },
    /// The outcome is unknown; the key may or may not be claimed for this generation.
    Unsure,
    /// The claim was certainly not made.
    NotClaimed,
}

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GenerationEnd {
    /// The answer is complete.
    #[serde(rename = "Whole")]
    Complete {
        /// Whether the output limit ended it.
        by_length: bool,
    },
    /// It certainly never ran.
    NotRun,
    /// It may have run and can't be completed.
    OutcomeUnknown,
}

/// The answer to a request for the tokens of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchAnswer {
    /// Tokens from the requested index on.
    Tokens {
        /// Texts of the tokens, in order.
        texts: Vec<String>,
        /// How the generation ended after these tokens, if it has.
        end: Option<GenerationEnd>,
    },
    /// The host doesn't hold such a generation of that organisation.
    Unknown,
}
