//! The calls that gateways make to each other.

use std::net::SocketAddr;

use fulmarpath_policy::{
    Circuit, ContentKey, CrashedRun, HostKey, IncomingMigration, MigrationOutcome, Millis,
    Placement, PlacementRequest, Revision, RunEnd, RunKey, RunStatement, SoundContent, UpstreamKey,
    Verdict,
};
use serde::{Deserialize, Serialize};

use crate::message::{Ping, Pong, Rumour};

/// The kinds of state that are replicated to every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicatedState {
    /// The operator's configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
    /// Announces that the sender can't read the store; no state is held of this kind.
    #[serde(rename = "Blindness")]
    StoreUnreadable,
    /// Members that have joined or are leaving.
    Members,
    /// The circuits of contents that crashed upstreams.
    Circuits,
    /// The evacuated data centres.
    Evacuations,
    /// Engines that are leaving, reported to the homes of their cells ahead of the change of the
    /// upstreams; no state is held of this kind.
    Departures,
    /// A page of the list of upstreams that a watcher is reading; no state is held of this kind.
    UpstreamsPage,
    /// Announces that the sender reads the store in place of hosts that can't; no state is held of
    /// this kind.
    StoreReadable,
}

/// An order-independent hash of the members that a gateway considers eligible as homes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MembersDigest(pub u64);

/// Time since a host that watches the store, and can read it, is known to have worked, in ms; `None`
/// if none is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherAge(pub Option<Millis>);

/// Key of a cell: a hash of its name. A cell is the engines of one service on which one host places
/// generations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellKey(pub u64);

/// The generations of one cell that one host relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRuns {
    /// Cell of the generations.
    pub cell: CellKey,
    /// Relaying host.
    pub host: HostKey,
    /// All generations of the cell that the host relays.
    pub runs: Vec<RunStatement>,
}

/// An update of replicated state, forwarded from host to host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Kind of state that the update is for.
    pub holding: ReplicatedState,
    /// The update, in the encoding of its kind.
    pub value: Vec<u8>,
    /// Hosts that the receiver forwards the update to.
    pub audience: Vec<SocketAddr>,
}

/// How a host's attempt to migrate a generation to another engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MigrationAnswer {
    /// It continues at the destination.
    Moved,
    /// It still runs at the source.
    Stayed,
    /// It still runs at the source; the destination had no room for it.
    Refused,
    /// The transfer was cut, and an orphaned partial copy of the KV cache stays at the destination
    /// for a while.
    LeftBehind,
    /// It has ended, or the host doesn't relay it.
    Over,
}

/// A rate limit that an upstream has advertised to a host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// Requests per second from all hosts together.
    pub per_s: f32,
    /// Time since the upstream advertised it.
    pub age_ms: Millis,
}

/// A request for permission to start a request at a throttled upstream, with the reason why the
/// host throttles it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Whether the upstream is cold.
    pub is_cold: bool,
    /// Limit that the upstream has advertised.
    pub limit: Option<AdvertisedLimit>,
}

/// What a start at a brittle upstream depends on, as the asking host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BrittleLoad {
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Time that a request takes there.
    pub duration_ms: f32,
}

/// The answer to a [`StartRequest`] or a request for a start at a brittle upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The request may start at once.
    Now,
    /// The host may ask again after a wait.
    Later {
        /// Wait before the next attempt.
        wait_ms: Millis,
    },
}

/// The answer of a cell's home to a request of another cell.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum OverflowAnswer {
    /// The request is counted in the cell and may start.
    Placed {
        /// Where it starts.
        placement: Placement,
        /// Its cost there.
        cost_ms: f32,
    },
    /// The cell doesn't take it.
    Declined {
        /// Its cost there, if there is room.
        cost_ms: Option<f32>,
    },
    /// The receiver isn't the home of the cell.
    NotHome,
}

/// The calls that a gateway answers.
#[tarpc::service]
pub trait GatewayPeer {
    /// Probes liveness, and exchanges rumours of other members, the versions held and what is known
    /// of the watchers; `root` is the version of the configuration.
    async fn ping(
        ping: Ping,
        members: MembersDigest,
        watcher: WatcherAge,
    ) -> (Pong, MembersDigest, WatcherAge);
    /// Announces a host that has just started. The answer is a random sample of members from which
    /// the host can fetch all other state.
    async fn join(joining: Rumour) -> Vec<Rumour>;
    /// Exchanges the member table of the sender for that of the receiver.
    async fn exchange_members(members: Vec<Rumour>) -> Vec<Rumour>;
    /// Returns the changes of the upstreams since a revision, encoded as in an announcement; empty
    /// if only a complete list would do and that is too long for one message.
    async fn upstreams_since(revision: Revision) -> Vec<u8>;
    /// Returns the receiver's copy of a kind of state in its encoding; empty where it has none.
    async fn holding(state: ReplicatedState) -> Vec<u8>;
    /// Applies an update and forwards it.
    async fn announce(announcement: Announcement);
    /// Requests an engine from the home of a cell; `None` where the receiver isn't the home.
    async fn place(cell: CellKey, request: PlacementRequest) -> Option<Placement>;
    /// Reports that a generation has ended.
    async fn ended(cell: CellKey, run: RunKey, end: RunEnd);
    /// States all generations of a cell that the sender relays; those in its previous statement
    /// that this one lacks have ended.
    async fn restate(relayed: RelayedRuns);
    /// Reports to the home of a cell that an engine may be failing, with the outcome of what the
    /// sender had sent there.
    async fn doubt(cell: CellKey, engine: UpstreamKey, verdict: Verdict);
    /// Asks the relaying host, as the home of a cell, to migrate a generation to another engine.
    async fn carry(run: RunKey, to: UpstreamKey) -> MigrationAnswer;
    /// Asks the home of a throttled upstream for permission to start a request there.
    async fn ask_start(upstream: UpstreamKey, request: StartRequest) -> StartAnswer;
    /// Reports to a home of crash reports that a request had just begun on an upstream that crashed.
    async fn report_crash(run: CrashedRun);
    /// Asks a home whether a request with these contents may run as the probe of their circuits.
    async fn may_probe(contents: Vec<ContentKey>) -> bool;
    /// Tells a home that a granted probe of these contents did not run.
    async fn release_probe(contents: Vec<ContentKey>);
    /// Reports contents to a home that were answered.
    async fn report_success(sound: Vec<SoundContent>);
    /// Exchanges all circuits that the sender knows for all that the receiver knows.
    async fn exchange_circuits(circuits: Vec<Circuit>) -> Vec<Circuit>;
    /// Returns the part of the complete list of upstreams that follows an instance, encoded as in
    /// an announcement.
    async fn upstreams_part(after: Option<String>) -> Vec<u8>;
    /// Asks the home of a brittle upstream for permission to start a request there.
    async fn ask_brittle_start(upstream: UpstreamKey, load: BrittleLoad) -> StartAnswer;
    /// Reports to the home of a brittle upstream that it has turned a request away.
    async fn report_rejection(upstream: UpstreamKey);
    /// Reports to the home of an upstream's starts that the upstream advertises no limit any more.
    async fn report_limit_end(upstream: UpstreamKey);
    /// Asks the home of another cell to take a request if it costs less than `max_cost_ms` there;
    /// `None` for any cost.
    async fn place_overflow(
        cell: CellKey,
        request: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> OverflowAnswer;
    /// Asks the home of another cell to reserve an engine for a generation of a leaving engine;
    /// `None` if there is no room or the receiver isn't the home.
    async fn reserve_incoming(cell: CellKey, incoming: IncomingMigration) -> Option<UpstreamKey>;
    /// Reports to the home of another cell how a migration ended for which it had reserved an
    /// engine.
    async fn finish_incoming(cell: CellKey, run: RunKey, outcome: MigrationOutcome);
}
