//! The protocols between the hosts of the system: one tarpc service for entry hosts, one for
//! gateways, and their messages, and tunnels to upstreams.
//!
//! Every call is short, and long operations are polled. A connection that went silent is thereby
//! detected by the first call that exceeds its timeout, and is replaced by a new one.

mod gateway;
mod message;
mod peers;
mod service;
mod traffic;
pub mod tunnel;

pub use gateway::{
    AdvertisedLimit, Announcement, BrittleLoad, CellKey, GatewayPeer, GatewayPeerClient,
    MembersDigest, MigrationAnswer, OverflowAnswer, RelayedRuns, ReplicatedState, StartAnswer,
    StartRequest, WatcherAge,
};
pub use message::{
    ClaimAnswer, ClaimRequest, Document, FetchAnswer, GenerationEnd, LimitAnswer, MemberInfo,
    MemberState, PermitAnswer, PermitId, PermitReply, Ping, Pong, Progress, ProgressReply, Rumour,
    RunState, SlotRequest, Versions,
};
pub use peers::{NoAnswer, Peers, framed};
pub use service::{Peer, PeerClient};
pub use traffic::{Counted, Traffic};
