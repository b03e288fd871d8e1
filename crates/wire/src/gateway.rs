//! The calls that gateways make to each other.

use std::net::SocketAddr;

use fulmarpath_policy::{
    Circuit, ContentKey, HostKey, Millis, Placement, PlacementRequest, Revision, RunEnd, RunKey,
    RunStatement, UpstreamKey, Verdict,
};
use serde::{Deserialize, Serialize};

use crate::message::{Ping, Pong, Rumour};

/// What every gateway holds a copy of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Holding {
    /// The operator's configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
    /// Nothing is held of it: the host that announces it can't read the store.
    Blindness,
    /// Members that have come or leave.
    Members,
    /// The circuits of contents that ended upstreams.
    Circuits,
    /// The evacuated data centres.
    Evacuations,
}

/// A hash of the members that a gateway believes present, in no order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MembersDigest(pub u64);

/// Engines of one service that one host places generations on; a hash of the cell's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellKey(pub u64);

/// The generations of one cell that one host relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restatement {
    /// The cell.
    pub cell: CellKey,
    /// The host.
    pub host: HostKey,
    /// All of them.
    pub runs: Vec<RunStatement>,
}

/// News of what every gateway holds, passed on from host to host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// What it is news of.
    pub holding: Holding,
    /// The news, in the form that its holding has.
    pub value: Vec<u8>,
    /// The hosts that the receiver passes it on to.
    pub audience: Vec<SocketAddr>,
}

/// How a host's try to carry a generation to another engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CarryAnswer {
    /// It goes on at the destination.
    Moved,
    /// It still runs where it was.
    Stayed,
    /// It still runs where it was; the destination had no room for it.
    Refused,
    /// The transfer was cut, and a part of the memory stays at the destination for a while.
    LeftBehind,
    /// It is over, or the host doesn't relay it.
    Over,
}

/// A limit that an upstream has named to a host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// Requests a second from all hosts together.
    pub per_s: f32,
    /// How long ago the host was told.
    pub age_ms: Millis,
}

/// Why a host asks before it sends to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StartAsk {
    /// The upstream is cold.
    pub is_cold: bool,
    /// The upstream has named a limit.
    pub limit: Option<NamedLimit>,
}

/// The answer to a request to start something at an upstream that bears a few only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// It may start at once.
    Now,
    /// It may ask again after so long.
    Later {
        /// The wait.
        wait_ms: Millis,
    },
}

/// What one gateway may ask of another.
#[tarpc::service]
pub trait GatewayPeer {
    /// Liveness, rumours of other members and the versions held; `root` is the configuration's.
    async fn ping(ping: Ping, members: MembersDigest) -> (Pong, MembersDigest);
    /// A host that has just started makes itself known; answers with a few members to ask for all
    /// else, drawn anew each time.
    async fn join(newcomer: Rumour) -> Vec<Rumour>;
    /// All that the sender believes of members, for all that the receiver believes.
    async fn exchange_members(beliefs: Vec<Rumour>) -> Vec<Rumour>;
    /// What has changed of the upstreams since a revision, in the form that news of them have.
    async fn upstreams_since(revision: Revision) -> Vec<u8>;
    /// What the receiver holds, in the form that the holding has; empty where it holds none.
    async fn holding(holding: Holding) -> Vec<u8>;
    /// Takes news and passes it on.
    async fn announce(announcement: Announcement);
    /// Asks the home of a cell for an engine; `None` where the receiver isn't the home.
    async fn place(cell: CellKey, request: PlacementRequest) -> Option<Placement>;
    /// A generation is over.
    async fn ended(cell: CellKey, run: RunKey, end: RunEnd);
    /// What the sender relays; what it relayed before and doesn't name is over.
    async fn restate(restatement: Restatement);
    /// Tells the home of a cell that the sender has reason to doubt an engine, and what became of what
    /// it had sent there.
    async fn doubt(cell: CellKey, engine: UpstreamKey, verdict: Verdict);
    /// The home of a cell asks the relaying host to carry a generation to another engine.
    async fn carry(run: RunKey, to: UpstreamKey) -> CarryAnswer;
    /// Asks the home of an upstream that bears a few requests only for a start there.
    async fn ask_start(upstream: UpstreamKey, ask: StartAsk) -> StartAnswer;
    /// Tells a home of a service that a request of this content had just begun on an upstream that
    /// ended.
    async fn report_crash(content: ContentKey, upstream: UpstreamKey);
    /// Asks a home whether a request of this content may be the one that runs.
    async fn may_probe(content: ContentKey) -> bool;
    /// Tells a home that a request of this content was answered whole.
    async fn report_success(content: ContentKey);
    /// All circuits that the sender knows, for all that the receiver knows.
    async fn exchange_circuits(circuits: Vec<Circuit>) -> Vec<Circuit>;
}
