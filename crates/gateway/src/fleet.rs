//! Tracks the other hosts, and fetches the state that they hold in a later version.
//!
//! Liveness is determined by pings alone, since host entries in the store do not expire.
//! A ping compares the versions of all replicated state, so a host without store access is updated
//! by its peers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fulmarpath_cluster::Members;
use fulmarpath_cluster::poison::exchange_circuits;
use fulmarpath_policy::{Drift, HostKey, Join, Lag, Millis, Revision};
use fulmarpath_wire::{
    GatewayPeerClient, MemberInfo, MemberState, MembersDigest, Peers, Ping, Pong, ReplicatedState,
    Rumour, Traffic, Versions,
};
use parking_lot::Mutex;
use rand::Rng;
use serde::de::DeserializeOwned;
use spdlog::{info, warn};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::configuration::Configuration;
use crate::encoding::decode;
use crate::gateway::Gateway;
use crate::join::JoiningHosts;
use crate::roster::directory::{Directory, DirectoryChange, DirectoryPart, HostRegistration};
use crate::roster::list_assembly::ListAssembly;
use crate::roster::presence_log::PresenceLog;

/// Between two pings. Each goes to one member, so a host's share does not grow with the size of the
/// fleet.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// A peer has to hold a later revision of the upstreams for this long before it is asked: the
/// store's own answer is usually on its way. The delay is within the time in which a leaving
/// upstream may still get requests.
const FETCH_DELAY_MS: Millis = 300;

/// A host without contact for this long may be partitioned: several pings in each direction are due
/// within it.
const CONTACT_TIMEOUT_MS: Millis = 1_000;

/// This host's view of the other hosts.
pub(crate) struct Fleet {
    pub(crate) members: Mutex<Members>,
    pub(crate) peers: Peers<GatewayPeerClient>,
    /// Bytes exchanged with the other hosts.
    pub(crate) traffic: Arc<Traffic>,
    /// This host's progress in joining the fleet.
    pub(crate) join: Mutex<Join>,
    pub(crate) joining: JoiningHosts,
    /// How far this host's list of upstreams is behind that of its peers.
    lag: Mutex<Lag<Revision>>,
    /// How far this host's configuration is behind that of peers in other data centres.
    remote_lag: Mutex<Lag<u64>>,
    drift: Mutex<Drift>,
    presence: Mutex<PresenceLog>,
    /// The list of upstreams that a watcher passes on page by page.
    pub(crate) listed: Mutex<ListAssembly>,
    /// State that is being fetched from a peer.
    fetching: Mutex<HashSet<ReplicatedState>>,
    /// Whether this incarnation of the host has ever written its entry.
    has_written_entry: AtomicBool,
    has_entry: AtomicBool,
    /// Time of the last ping or answer from another host.
    last_contact_ms: AtomicU64,
}

impl Fleet {
    /// Creates a fleet of this host alone.
    ///
    /// The name is unique to this incarnation. A restarted host is a new member, and the previous
    /// one is declared dead because it does not answer. If both were the same member, only a clock
    /// could tell which incarnation a rumour is about, and clocks jump.
    pub(crate) fn new(now_ms: Millis, host: &HostRegistration, has_seeds: bool) -> Self {
        let start: u64 = rand::random();
        let member = MemberInfo {
            name: format!("{}/{start:016x}", host.name),
            data_centre: host.data_centre.clone(),
            address: host.address,
        };
        let traffic = Arc::new(Traffic::default());
        let counted = traffic.clone();
        let connect = move |socket| crate::peer::client(socket, counted.clone());
        Self {
            members: Mutex::new(Members::new(member, 1)),
            peers: Peers::new(connect),
            traffic,
            join: Mutex::new(Join::new(now_ms, has_seeds, rand::random())),
            joining: JoiningHosts::default(),
            lag: Mutex::default(),
            remote_lag: Mutex::default(),
            drift: Mutex::new(Drift::new(now_ms)),
            presence: Mutex::default(),
            listed: Mutex::default(),
            fetching: Mutex::default(),
            has_written_entry: AtomicBool::new(false),
            has_entry: AtomicBool::new(false),
            last_contact_ms: AtomicU64::new(0),
        }
    }

    /// Whether this incarnation of the host has ever written its entry into the store.
    pub(crate) fn has_written_entry(&self) -> bool {
        self.has_written_entry.load(Ordering::Relaxed)
    }

    /// Whether the store has this host's entry, as far as known.
    pub(crate) fn has_entry(&self) -> bool {
        self.has_entry.load(Ordering::Relaxed)
    }

    pub(crate) fn mark_entry_written(&self) {
        self.has_written_entry.store(true, Ordering::Relaxed);
        self.has_entry.store(true, Ordering::Relaxed);
    }

    /// Records that the store was restored from a backup, which may lack the entry.
    pub(crate) fn mark_entry_lost(&self) {
        self.has_entry.store(false, Ordering::Relaxed);
    }

    /// Whether this host's view of the others is likely to be right: it had contact with one
    /// recently, or has never met any.
    pub(crate) fn has_recent_contact(&self, now_ms: Millis) -> bool {
        let join = *self.join.lock();
        if !join.has_met_peer() {
            return join.may_watch_store(now_ms);
        }
        let last_contact_ms = self.last_contact_ms.load(Ordering::Relaxed);
        join.may_watch_store(now_ms) && now_ms.saturating_sub(last_contact_ms) < CONTACT_TIMEOUT_MS
    }

    /// Number of hosts that are considered present, this one included.
    pub(crate) fn host_count(&self) -> usize {
        self.members.lock().present().count()
    }

    fn ping_message(&self, versions: Versions) -> (Ping, MembersDigest) {
        let mut members = self.members.lock();
        let ping = Ping {
            from: members.own_rumour(),
            rumours: members.rumours(),
            versions,
        };
        (ping, MembersDigest(members.digest()))
    }

    /// Returns the log line on joined and departed hosts when one is due.
    fn presence_line(&self, now_ms: Millis) -> Option<String> {
        let mut presence = self.presence.lock();
        let present = {
            let members = self.members.lock();
            if !presence.is_due(members.homes_version()) {
                return None;
            }
            let own_key = members.own_key();
            let others = members.homes().filter(|(key, _)| *key != own_key);
            others
                .map(|(key, member)| (key, member.name.clone()))
                .collect()
        };
        presence.update(now_ms, present)
    }
}

impl Gateway {
    fn versions(&self) -> Versions {
        Versions {
            root: self.configuration_version(),
            upstreams: self.roster.lock().revision(),
            circuits: self.circuit_breakers.digest(self.clock.now_ms()),
            evacuations: self.evacuations.lock().revision(),
            ..Versions::default()
        }
    }

    /// Pings an address, and fetches state that its host holds in a later version.
    pub(crate) async fn ping_address(self: &Arc<Self>, address: SocketAddr) {
        let (ping, digest) = self.fleet.ping_message(self.versions());
        if let Some((pong, theirs)) = self.send_ping(address, ping, digest).await {
            self.handle_pong(pong, theirs).await;
        }
    }

    pub(crate) async fn ping_members(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PING_PERIOD).await;
            let target = {
                let mut members = self.fleet.members.lock();
                members.expire(self.clock.now_ms());
                members.next_target(rand::rng().random())
            };
            if let Some(target) = target {
                tokio::spawn(self.clone().ping_member(target));
            }
            self.fleet.peers.close_idle();
            if let Some(line) = self.fleet.presence_line(self.clock.now_ms()) {
                info!("fleet: {line}");
            }
        }
    }

    async fn ping_member(self: Arc<Self>, target: MemberInfo) {
        let (ping, digest) = self.fleet.ping_message(self.versions());
        let key = HostKey::of(&target.name);
        match self.send_ping(target.address, ping, digest).await {
            Some((pong, theirs)) => {
                if pong.from.member.name != target.name {
                    // Another incarnation uses the address: the previous one has ended.
                    self.mark_dead(&target);
                }
                self.handle_pong(pong, theirs).await;
            }
            None => {
                warn!("fleet: {} does not answer", target.name);
                let now_ms = self.clock.now_ms();
                self.fleet.members.lock().suspect(now_ms, key);
            }
        }
    }

    fn mark_dead(&self, member: &MemberInfo) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        let Some(known) = members.find(HostKey::of(&member.name)).cloned() else {
            return;
        };
        let rumour = Rumour {
            state: MemberState::Dead,
            ..known
        };
        members.apply(now_ms, rumour);
    }

    async fn send_ping(
        &self,
        address: SocketAddr,
        ping: Ping,
        digest: MembersDigest,
    ) -> Option<(Pong, MembersDigest)> {
        let watcher = self.watcher_age();
        let sent_ms = self.clock.now_ms();
        let call = |client: GatewayPeerClient, context| async move {
            client.ping(context, ping, digest, watcher).await
        };
        let (pong, members, watcher) = self.fleet.peers.call(address, call).await.ok()?;
        self.record_watcher_age(watcher, self.clock.now_ms().saturating_sub(sent_ms));
        Some((pong, members))
    }

    async fn handle_pong(self: &Arc<Self>, pong: Pong, theirs: MembersDigest) {
        self.record_contact(&pong.from, pong.rumours);
        let peer = &pong.from.member;
        self.fetch_newer(peer, pong.versions, theirs).await;
    }

    fn record_contact(&self, from: &Rumour, rumours: Vec<Rumour>) {
        let now_ms = self.clock.now_ms();
        self.fleet.last_contact_ms.store(now_ms, Ordering::Relaxed);
        let mut members = self.fleet.members.lock();
        members.record_contact(now_ms, from);
        for rumour in rumours {
            members.apply(now_ms, rumour);
        }
    }

    /// Merges rumours that reach every member by other means than pings.
    pub(crate) fn merge_rumours(&self, rumours: &[Rumour]) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        for rumour in rumours {
            members.apply_unrelayed(now_ms, rumour.clone());
        }
    }

    /// Applies a ping and answers it.
    pub(crate) fn handle_ping(
        self: &Arc<Self>,
        ping: Ping,
        theirs: MembersDigest,
    ) -> (Pong, MembersDigest) {
        self.record_contact(&ping.from, ping.rumours);
        let (peer, versions) = (ping.from.member, ping.versions);
        let gateway = self.clone();
        tokio::spawn(async move { gateway.fetch_newer(&peer, versions, theirs).await });
        let (own, digest) = self.fleet.ping_message(self.versions());
        let pong = Pong {
            from: own.from,
            rumours: own.rumours,
            versions: own.versions,
        };
        (pong, digest)
    }

    /// Fetches state that a peer holds in a later version.
    async fn fetch_newer(&self, peer: &MemberInfo, theirs: Versions, members: MembersDigest) {
        let address = peer.address;
        // Evacuations come before the configuration, with which a host begins to serve.
        if self.evacuations.lock().is_behind(theirs.evacuations) {
            self.fetch_evacuations(address).await;
        }
        if self.should_fetch_configuration(peer, theirs.root)
            && let Some(configuration) = self.fetch_configuration(address).await
        {
            self.apply_configuration(configuration, "a peer");
        }
        if self.should_fetch_upstreams(peer, theirs.upstreams)
            && let Some(change) = self.fetch_upstreams(address).await
        {
            self.apply_peer_upstreams(change);
        }
        if self.should_exchange_members(peer, members) {
            self.exchange_members(address).await;
        }
        if theirs.circuits != self.versions().circuits {
            exchange_circuits(self, address).await;
        }
    }

    /// Whether a peer is in another data centre although this one has enough hosts to provide the
    /// state of the fleet. Traffic between data centres is paid for.
    fn is_needlessly_remote(&self, peer: &MemberInfo) -> bool {
        let is_remote = peer.data_centre != self.settings.host.data_centre;
        is_remote && self.fleet.members.lock().has_local_peers()
    }

    fn should_fetch_configuration(&self, peer: &MemberInfo, theirs: u64) -> bool {
        let own = self.configuration_version();
        if theirs <= own || !self.is_needlessly_remote(peer) {
            return theirs > own;
        }
        let now_ms = self.clock.now_ms();
        let mut lag = self.fleet.remote_lag.lock();
        lag.should_fetch(now_ms, own, theirs, 0, FETCH_DELAY_MS)
    }

    fn should_exchange_members(&self, peer: &MemberInfo, theirs: MembersDigest) -> bool {
        let own = self.fleet.members.lock().digest();
        let now_ms = self.clock.now_ms();
        let is_starting = self.fleet.drift.lock().is_starting(now_ms);
        if own != theirs.0 && is_starting && self.is_needlessly_remote(peer) {
            return false;
        }
        let mut drift = self.fleet.drift.lock();
        drift.should_exchange(now_ms, own == theirs.0)
    }

    /// Exchanges the complete member lists with a peer; returns whether it answered.
    pub(crate) async fn exchange_members(&self, peer: SocketAddr) -> bool {
        let own = self.fleet.members.lock().snapshot();
        let call = |client: GatewayPeerClient, context| async move {
            client.exchange_members(context, own).await
        };
        match self.fleet.peers.call(peer, call).await {
            Ok(theirs) => {
                self.merge_rumours(&theirs);
                true
            }
            Err(error) => {
                warn!("fleet: could not exchange members: {error}");
                false
            }
        }
    }

    /// Merges a peer's member list and answers with this host's.
    pub(crate) fn handle_member_exchange(&self, theirs: &[Rumour]) -> Vec<Rumour> {
        let own = self.fleet.members.lock().snapshot();
        self.merge_rumours(theirs);
        own
    }

    /// Whether this host lacks changes of the upstreams that a peer has.
    fn should_fetch_upstreams(&self, peer: &MemberInfo, theirs: Revision) -> bool {
        let now_ms = self.clock.now_ms();
        let own = self.roster.lock().revision();
        if own <= Directory::PROVISIONAL && theirs > own {
            let is_arriving = self.fleet.listed.lock().is_progressing(now_ms);
            if is_arriving || self.awaits_local_list(now_ms, peer) {
                return false;
            }
        }
        let mut lag = self.fleet.lag.lock();
        lag.should_fetch(now_ms, own, theirs, Directory::PROVISIONAL, FETCH_DELAY_MS)
    }

    /// Whether this host has just started and is likely to get the list of upstreams from a host of
    /// its own data centre soon.
    fn awaits_local_list(&self, now_ms: Millis, peer: &MemberInfo) -> bool {
        self.fleet.drift.lock().is_starting(now_ms) && self.is_needlessly_remote(peer)
    }

    async fn fetch_configuration(&self, peer: SocketAddr) -> Option<Configuration> {
        let kind = ReplicatedState::Configuration;
        let call =
            |client: GatewayPeerClient, context| async move { client.holding(context, kind).await };
        self.fetch(peer, kind, call).await
    }

    async fn fetch_evacuations(&self, peer: SocketAddr) {
        let kind = ReplicatedState::Evacuations;
        let call =
            |client: GatewayPeerClient, context| async move { client.holding(context, kind).await };
        if let Some(state) = self.fetch(peer, kind, call).await {
            self.apply_evacuations(state, "a peer");
        }
    }

    /// Fetches the changes of the upstreams since this host's revision, or the complete list in
    /// parts if the peer can't list the changes.
    async fn fetch_upstreams(&self, peer: SocketAddr) -> Option<DirectoryChange> {
        let kind = ReplicatedState::Upstreams;
        let _fetching = self.begin_fetching(kind)?;
        let since = self.roster.lock().revision();
        let call = |client: GatewayPeerClient, context| async move {
            client.upstreams_since(context, since).await
        };
        let value = self.fleet.peers.call(peer, call).await.ok()?;
        match value.is_empty() {
            true => self.fetch_parts(peer).await,
            false => decode_from(kind, peer, &value),
        }
    }

    /// Fetches the complete list of upstreams in parts, and uses each part at once.
    ///
    /// In a fleet that starts, many hosts fetch the list from few over slow links. Each part has
    /// its own timeout, so a transfer is given up only when it makes no progress.
    async fn fetch_parts(&self, peer: SocketAddr) -> Option<DirectoryChange> {
        let kind = ReplicatedState::Upstreams;
        let mut list = DirectoryChange::default();
        let started_ms = self.clock.now_ms();
        loop {
            let after = list.put.last().map(|last| last.instance.clone());
            let is_first = after.is_none();
            let call = |client: GatewayPeerClient, context| async move {
                client.upstreams_part(context, after).await
            };
            let value = self.fleet.peers.call(peer, call).await.ok()?;
            let part: DirectoryPart = decode_from(kind, peer, &value)?;
            if is_first {
                // Changes during the transfer are fetched from this revision on.
                list.revision = part.revision;
                list.gone = part.gone;
                list.expired = part.expired;
            }
            self.fleet
                .join
                .lock()
                .record_list_progress(self.clock.now_ms());
            self.add_provisional_upstreams(&part.put);
            list.put.extend(part.put);
            if part.is_last {
                let elapsed_ms = self.clock.now_ms().saturating_sub(started_ms);
                for entry in &mut list.expired {
                    entry.left_ms = entry.left_ms.saturating_sub(elapsed_ms);
                }
                return Some(list);
            }
        }
    }

    /// Fetches state from a peer, unless it is being fetched from another one: pings of several
    /// peers with later versions arrive within the time that one answer takes.
    async fn fetch<T, F>(
        &self,
        peer: SocketAddr,
        kind: ReplicatedState,
        call: impl FnOnce(GatewayPeerClient, Context) -> F,
    ) -> Option<T>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<Vec<u8>, RpcError>>,
    {
        let _fetching = self.begin_fetching(kind)?;
        let value = self.fleet.peers.call(peer, call).await;
        decode_from(kind, peer, &value.ok()?)
    }

    /// Marks state as being fetched until the guard is dropped; `None` if it is already.
    fn begin_fetching(&self, kind: ReplicatedState) -> Option<FetchGuard<'_>> {
        let fetching = &self.fleet.fetching;
        let is_new = fetching.lock().insert(kind);
        is_new.then_some(FetchGuard { fetching, kind })
    }
}

/// Ends the fetching of a kind of state when it is dropped.
struct FetchGuard<'a> {
    fetching: &'a Mutex<HashSet<ReplicatedState>>,
    kind: ReplicatedState,
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.fetching.lock().remove(&self.kind);
    }
}

fn decode_from<T: DeserializeOwned>(
    kind: ReplicatedState,
    peer: SocketAddr,
    value: &[u8],
) -> Option<T> {
    match decode(kind, value) {
        Ok(state) => Some(state),
        Err(error) => {
            warn!("fleet: could not decode {kind:?} from {peer}: {error}");
            None
        }
    }
}
