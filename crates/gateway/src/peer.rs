//! The server side of the protocol between gateways.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::poison;
use fulmarpath_policy::{
    Circuit, ContentKey, CrashedRun, IncomingMigration, MigrationOutcome, Placement,
    PlacementRequest, Revision, RunEnd, RunKey, SoundContent, UpstreamKey, Verdict,
};
use fulmarpath_wire::tunnel::TUNNEL_MARK;
use fulmarpath_wire::{
    Announcement, BrittleLoad, CellKey, Counted, GatewayPeer, GatewayPeerClient, MembersDigest,
    MigrationAnswer, OverflowAnswer, Ping, Pong, RelayedRuns, ReplicatedState, Rumour, StartAnswer,
    StartRequest, Traffic, WatcherAge, framed,
};
use futures::StreamExt;
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncReadExt, join};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::encoding::{EncodingError, encode};
use crate::gateway::Gateway;

/// Maximum number of registrations in one answer: about 50 kB, which pass a slow link within 20 ms.
const MAX_LISTED: usize = 1_024;

/// Pause after a connection could not be accepted, as without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for the first bytes of a connection, which peers open for a call.
const START_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Connections without a call are closed after this time. Peers close theirs much sooner, unless
/// they or their links are gone, and no call takes as long.
const IDLE_TIMEOUT: Duration = Duration::from_millis(30_000);

/// Creates a client for the gateway at the other end of a connection.
pub(crate) fn client(socket: TcpStream, traffic: Arc<Traffic>) -> GatewayPeerClient {
    let socket = Counted::new(socket, traffic);
    let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
    GatewayPeerClient::new(Config::default(), transport).spawn()
}

impl Gateway {
    /// Serves peers until the process ends.
    pub(crate) async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        loop {
            let socket = match listener.accept().await {
                Ok((socket, _)) => socket,
                Err(error) => {
                    spdlog::warn!("fleet: could not accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let _ = socket.set_nodelay(true);
            tokio::spawn(self.clone().serve_peer(socket));
        }
    }

    /// Serves the calls on a connection from a peer, or the tunnel that it begins with.
    async fn serve_peer(self: Arc<Self>, mut socket: TcpStream) {
        let mut start = [0; TUNNEL_MARK.len()];
        let started = timeout(START_TIMEOUT, socket.read_exact(&mut start)).await;
        if !matches!(started, Ok(Ok(_))) {
            return;
        }
        if start == TUNNEL_MARK {
            return self.serve_tunnel(socket).await;
        }
        let (read, write) = socket.into_split();
        let socket = join(Cursor::new(start).chain(read), write);
        let socket = Counted::new(socket, self.fleet.traffic.clone());
        let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
        let server = Server { gateway: self };
        let requests = BaseChannel::with_defaults(transport).execute(server.serve());
        tokio::pin!(requests);
        while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, requests.next()).await {
            tokio::spawn(request);
        }
    }
}

/// The encoded value for a peer; empty if it could not be encoded.
fn bytes_or_empty(kind: ReplicatedState, value: Result<Vec<u8>, EncodingError>) -> Vec<u8> {
    value.unwrap_or_else(|error| {
        spdlog::warn!("fleet: could not encode {kind:?} for a peer: {error}");
        Vec::new()
    })
}

#[derive(Clone)]
struct Server {
    gateway: Arc<Gateway>,
}

impl Server {
    fn count(&self, kind: &'static str) {
        self.gateway.metrics.peer_message(kind);
    }
}

impl GatewayPeer for Server {
    async fn ping(
        self,
        _: Context,
        ping: Ping,
        members: MembersDigest,
        watcher: WatcherAge,
    ) -> (Pong, MembersDigest, WatcherAge) {
        self.count("ping");
        self.gateway.record_watcher_age(watcher, 0);
        let (pong, members) = self.gateway.handle_ping(ping, members);
        (pong, members, self.gateway.watcher_age())
    }

    async fn join(self, _: Context, joining_host: Rumour) -> Vec<Rumour> {
        self.count("join");
        self.gateway.handle_join(joining_host)
    }

    async fn exchange_members(self, _: Context, rumours: Vec<Rumour>) -> Vec<Rumour> {
        self.count("exchange_members");
        self.gateway.handle_member_exchange(&rumours)
    }

    async fn holding(self, _: Context, kind: ReplicatedState) -> Vec<u8> {
        self.count("holding");
        let held = match kind {
            ReplicatedState::Configuration => {
                let held = self.gateway.active_configuration();
                held.map_or(Ok(Vec::new()), |held| encode(kind, &held.configuration))
            }
            ReplicatedState::Evacuations => {
                let now_ms = self.gateway.clock.now_ms();
                encode(kind, &self.gateway.evacuations.lock().state(now_ms))
            }
            ReplicatedState::Upstreams
            | ReplicatedState::StoreUnreadable
            | ReplicatedState::StoreReadable
            | ReplicatedState::Members
            | ReplicatedState::Circuits
            | ReplicatedState::Departures
            | ReplicatedState::UpstreamsPage => Ok(Vec::new()),
        };
        bytes_or_empty(kind, held)
    }

    async fn upstreams_since(self, _: Context, revision: Revision) -> Vec<u8> {
        self.count("upstreams_since");
        let now_ms = self.gateway.clock.now_ms();
        let change = {
            let roster = self.gateway.roster.lock();
            if roster.len() > MAX_LISTED && !roster.lists_changes_since(revision) {
                return Vec::new();
            }
            roster.change_since(now_ms, revision)
        };
        let kind = ReplicatedState::Upstreams;
        bytes_or_empty(kind, encode(kind, &change))
    }

    async fn upstreams_part(self, _: Context, after: Option<String>) -> Vec<u8> {
        self.count("upstreams_part");
        let now_ms = self.gateway.clock.now_ms();
        let part = {
            let roster = self.gateway.roster.lock();
            roster.part_after(now_ms, after.as_deref(), MAX_LISTED)
        };
        let kind = ReplicatedState::Upstreams;
        bytes_or_empty(kind, encode(kind, &part))
    }

    async fn announce(self, _: Context, announcement: Announcement) {
        self.count("announce");
        self.gateway.handle_announcement(announcement);
    }

    async fn place(
        self,
        _: Context,
        cell: CellKey,
        request: PlacementRequest,
    ) -> Option<Placement> {
        self.count("place");
        self.gateway.handle_place(cell, request).await
    }

    async fn place_overflow(
        self,
        _: Context,
        cell: CellKey,
        request: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> OverflowAnswer {
        self.count("place_overflow");
        self.gateway
            .handle_place_overflow(cell, request, max_cost_ms)
    }

    async fn reserve_incoming(
        self,
        _: Context,
        cell: CellKey,
        incoming: IncomingMigration,
    ) -> Option<UpstreamKey> {
        self.count("reserve_incoming");
        self.gateway.handle_reserve_incoming(cell, &incoming)
    }

    async fn finish_incoming(
        self,
        _: Context,
        cell: CellKey,
        run: RunKey,
        outcome: MigrationOutcome,
    ) {
        self.count("finish_incoming");
        let now_ms = self.gateway.clock.now_ms();
        self.gateway
            .cells
            .finish_incoming(now_ms, cell, run, outcome);
    }

    async fn ended(self, _: Context, cell: CellKey, run: RunKey, end: RunEnd) {
        self.count("ended");
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.cells.end(now_ms, cell, run, end);
    }

    async fn restate(self, _: Context, restatement: RelayedRuns) {
        self.count("restate");
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.cells.restate(now_ms, &restatement);
    }

    async fn doubt(self, _: Context, cell: CellKey, engine: UpstreamKey, verdict: Verdict) {
        self.count("doubt");
        if self.gateway.is_home(cell) {
            self.gateway
                .handle_engine_failure(cell, engine, verdict)
                .await;
        }
    }

    async fn carry(self, _: Context, run: RunKey, to: UpstreamKey) -> MigrationAnswer {
        self.count("carry");
        self.gateway.migrate_relayed_run(run, to).await
    }

    async fn ask_start(
        self,
        _: Context,
        upstream: UpstreamKey,
        request: StartRequest,
    ) -> StartAnswer {
        self.count("ask_start");
        self.gateway.grant_start(upstream, request)
    }

    async fn ask_brittle_start(
        self,
        _: Context,
        upstream: UpstreamKey,
        load: BrittleLoad,
    ) -> StartAnswer {
        self.count("ask_brittle_start");
        self.gateway.grant_brittle_start(upstream, load)
    }

    async fn report_rejection(self, _: Context, upstream: UpstreamKey) {
        self.count("report_rejection");
        self.gateway.handle_rejection(upstream);
    }

    async fn report_limit_end(self, _: Context, upstream: UpstreamKey) {
        self.count("report_limit_end");
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.instances.apply_limit_end(upstream, now_ms);
    }

    async fn report_crash(self, _: Context, run: CrashedRun) {
        self.count("report_crash");
        poison::handle_crash_report(&self.gateway.as_circuit_host(), &run);
    }

    async fn may_probe(self, _: Context, contents: Vec<ContentKey>) -> bool {
        self.count("may_probe");
        poison::grant_probe(self.gateway.as_ref(), &contents)
    }

    async fn release_probe(self, _: Context, contents: Vec<ContentKey>) {
        self.count("release_probe");
        poison::handle_probe_release(self.gateway.as_ref(), &contents);
    }

    async fn report_success(self, _: Context, sound: Vec<SoundContent>) {
        self.count("report_success");
        poison::handle_success_report(&self.gateway.as_circuit_host(), sound);
    }

    async fn exchange_circuits(self, _: Context, circuits: Vec<Circuit>) -> Vec<Circuit> {
        self.count("exchange_circuits");
        poison::handle_circuit_exchange(self.gateway.as_ref(), circuits)
    }
}
