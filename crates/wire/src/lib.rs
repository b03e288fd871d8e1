//! The protocols between our own hosts: a tarpc service each for entry hosts and for gateways,
//! and their messages.
//!
//! Every call is short: what takes long is asked for again, so that a connection that went silent
//! is noticed by the first call that outlives its bound and is replaced by a new one.

mod gateway;
mod message;
mod peers;
mod service;

pub use gateway::{
    Announcement, CarryAnswer, CellKey, GatewayPeer, GatewayPeerClient, Holding, MembersDigest,
    NamedLimit, Restatement, StartAnswer, StartAsk,
};
pub use message::{
    AskAnswer, AskReply, ClaimAnswer, ClaimAsk, Document, FetchAnswer, GenerationEnd, LimitAnswer,
    MemberNote, MemberState, PermitId, Ping, Pong, Progress, ProgressReply, Rumour, RunState,
    SlotAsk, Versions,
};
pub use peers::{NoAnswer, Peers, framed};
pub use service::{Peer, PeerClient};
