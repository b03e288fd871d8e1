//! The messages between entry hosts.

use std::net::SocketAddr;

use fulmarpath_policy::{
    Bounds, EngineLoad, HostKey, Millis, OrganisationKey, PermitKey, RefusalReason, Revision,
    UpstreamKey,
};
use serde::{Deserialize, Serialize};

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It didn't answer; it may refute that.
    Suspect,
    /// It finishes what runs and is home of nothing.
    Leaving,
    /// It is gone.
    Dead,
}

/// One member as it introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNote {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// A belief about a member, passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The member.
    pub member: MemberNote,
    /// Its state.
    pub state: MemberState,
    /// Raised by the member itself alone; a higher one goes before.
    pub incarnation: u64,
}

/// A document that every host holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Document {
    /// The root of the configuration.
    Root,
    /// The platform's host list.
    HostList,
}

/// The versions that a host holds; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the configuration's root.
    pub root: u64,
    /// Of the host list.
    pub host_list: u64,
    /// Of the circuits of contents that ended upstreams: a hash of them in no order.
    pub circuits: u64,
    /// Of the upstreams' registrations.
    pub upstreams: Revision,
    /// Of the evacuated data centres.
    pub evacuations: Revision,
}

/// A permit, wherever it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The home's own incarnation: another home's arena may use the same key for another permit.
    pub epoch: u64,
    /// The key in that home's arena.
    pub key: PermitKey,
}

/// A ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: Rumour,
    /// What the sender heard lately.
    pub rumours: Vec<Rumour>,
    /// The sender's versions of the spread documents.
    pub versions: Versions,
}

/// The answer to a ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The answering member.
    pub from: Rumour,
    /// What it heard lately.
    pub rumours: Vec<Rumour>,
    /// Its versions of the spread documents.
    pub versions: Versions,
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskAnswer {
    /// The generation may start.
    Granted {
        /// The permit.
        permit: PermitId,
        /// The engine's priority for it.
        priority: i32,
    },
    /// Still in the queue: ask again.
    Queued,
    /// It may not start here.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// The receiver isn't the engine's home.
    NotHome,
}

/// The answer to an ask, with what the home knows of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskReply {
    /// The answer.
    pub answer: AskAnswer,
    /// The engine's load as its home counts it.
    pub load: EngineLoad,
}

/// The answer to a report of progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReply {
    /// Permits that had better move to another engine.
    pub moves: Vec<PermitId>,
    /// Permits that this home doesn't know; the host is to restore them.
    pub unknown: Vec<PermitId>,
}

/// What became of a permit since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It goes on.
    Running,
    /// It is whole.
    Whole,
    /// It left the engine before it was whole.
    Left,
}

/// How far a permit is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The engine.
    pub upstream: UpstreamKey,
    /// The permit.
    pub permit: PermitId,
    /// Tokens out.
    pub out_tokens: u32,
    /// What became of it.
    pub state: RunState,
}

/// A request for a slot under an organisation's limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The host that asks.
    pub host: HostKey,
    /// Its declared limits.
    pub bounds: Bounds,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitAnswer {
    /// The request may go on.
    Taken,
    /// Too many requests a second.
    OverRate {
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// Too many requests at once.
    OverConcurrency {
        /// When to come back.
        retry_after_ms: Millis,
    },
}

/// A request to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The organisation and its key, hashed.
    pub key: u128,
    /// Hash of the request, so that the same key with another request is noticed.
    pub request_hash: u64,
    /// The generation that would run.
    pub generation: String,
    /// A generation that its own host has declared as never dispatched, and that this one follows.
    pub supersedes: Option<String>,
}

/// The answer to a request to claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is durable: this generation alone may be dispatched.
    Claimed,
    /// The key was claimed before.
    Taken {
        /// The generation that holds it.
        generation: String,
        /// Whether that was the same request.
        same_request: bool,
    },
    /// Nothing was learnt; the key may or may not be claimed for this generation.
    Unsure,
    /// The claim was certainly not made.
    NotClaimed,
}

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GenerationEnd {
    /// The answer is whole; `true` where the bound on output ended it.
    Whole {
        /// Whether the bound on output ended it.
        by_length: bool,
    },
    /// It certainly never ran.
    NotRun,
    /// It may have run and can't be finished.
    OutcomeUnknown,
}

/// Tokens of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchAnswer {
    /// What came since the index asked for.
    Tokens {
        /// In order.
        texts: Vec<String>,
        /// How it ended, behind these tokens.
        end: Option<GenerationEnd>,
    },
    /// The host doesn't hold such a generation of that organisation.
    Unknown,
}
