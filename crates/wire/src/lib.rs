//! The protocol between entry hosts: one tarpc service and its messages.
//!
//! Every call is short: what takes long is asked for again, so that a connection that went silent
//! is noticed by the first call that outlives its bound and is replaced by a new one.

mod message;
mod service;

pub use message::{
    AskAnswer, AskReply, ClaimAnswer, ClaimAsk, Document, FetchAnswer, GenerationEnd, LimitAnswer,
    MemberNote, MemberState, PermitId, Ping, Pong, Progress, ProgressReply, Rumour, RunState,
    SlotAsk, Versions,
};
pub use service::{Peer, PeerClient};
