//! The other hosts: who is there, and what they know that this host doesn't.
//!
//! Who is alive is told by pings alone, since nothing of ours expires in the store by itself. A ping
//! compares versions of what all hosts hold, so a host that the store turns away follows its peers.

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
    Rumour, Versions,
};
use parking_lot::Mutex;
use rand::Rng;
use serde::de::DeserializeOwned;
use spdlog::{info, warn};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::configuration::Configuration;
use crate::directory::{Directory, DirectoryChange, HostRegistration};
use crate::encoding::decode;
use crate::gateway::Gateway;
use crate::join::JoiningHosts;
use crate::presence_log::PresenceLog;

/// Between two pings. Each goes to one member, so a host's share doesn't grow with the fleet.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// A peer that holds a later revision of the upstreams has to hold it for so long before it is
/// asked: the store's own answer is mostly on its way. Within the time that a leaving upstream may
/// still get requests.
const BEHIND_MS: Millis = 300;

/// A host that no other has spoken to for so long may be cut off: some pings each way are due in it.
const TOUCH_MS: Millis = 1_000;

/// What this host knows of the others.
pub(crate) struct Fleet {
    pub(crate) members: Mutex<Members>,
    pub(crate) peers: Peers<GatewayPeerClient>,
    /// How far this host has come since its start.
    pub(crate) join: Mutex<Join>,
    pub(crate) joining: JoiningHosts,
    /// How far this host's list of upstreams is behind its peers'.
    lag: Mutex<Lag>,
    drift: Mutex<Drift>,
    presence: Mutex<PresenceLog>,
    /// What is being fetched from a peer now.
    fetching: Mutex<HashSet<ReplicatedState>>,
    /// This start of the host has ever written its entry.
    has_written_entry: AtomicBool,
    has_entry: AtomicBool,
    /// When another host last answered or asked.
    last_contact_ms: AtomicU64,
}

impl Fleet {
    /// A fleet of this host alone.
    ///
    /// The name is unique to this start. A host that starts again is a new member and the old one
    /// dies by not answering; were it the same member, only a clock could tell which start a rumour
    /// is about, and clocks jump.
    pub(crate) fn new(now_ms: Millis, host: &HostRegistration, has_seeds: bool) -> Self {
        let start: u64 = rand::random();
        let note = MemberInfo {
            name: format!("{}/{start:016x}", host.name),
            data_centre: host.data_centre.clone(),
            address: host.address,
        };
        Self {
            members: Mutex::new(Members::new(note, 1)),
            peers: Peers::new(crate::peer::client),
            join: Mutex::new(Join::new(now_ms, has_seeds)),
            joining: JoiningHosts::default(),
            lag: Mutex::default(),
            drift: Mutex::new(Drift::new(now_ms)),
            presence: Mutex::default(),
            fetching: Mutex::default(),
            has_written_entry: AtomicBool::new(false),
            has_entry: AtomicBool::new(false),
            last_contact_ms: AtomicU64::new(0),
        }
    }

    /// Whether this start of the host has ever written its entry into the store.
    pub(crate) fn has_written_entry(&self) -> bool {
        self.has_written_entry.load(Ordering::Relaxed)
    }

    /// Whether the store has that entry.
    pub(crate) fn has_entry(&self) -> bool {
        self.has_entry.load(Ordering::Relaxed)
    }

    /// The entry is written.
    pub(crate) fn mark_entry_written(&self) {
        self.has_written_entry.store(true, Ordering::Relaxed);
        self.has_entry.store(true, Ordering::Relaxed);
    }

    /// The store has come back from a copy, which may lack the entry.
    pub(crate) fn mark_entry_lost(&self) {
        self.has_entry.store(false, Ordering::Relaxed);
    }

    /// Whether what this host believes of the others is likely true: it has spoken to one just now, or
    /// has never met any.
    pub(crate) fn has_recent_contact(&self, now_ms: Millis) -> bool {
        let join = *self.join.lock();
        if !join.has_met() {
            return join.may_watch(now_ms);
        }
        let last_contact_ms = self.last_contact_ms.load(Ordering::Relaxed);
        join.may_watch(now_ms) && now_ms.saturating_sub(last_contact_ms) < TOUCH_MS
    }

    /// Hosts that are believed present, this one with them.
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

    /// The line on who has come and who is gone, where one is due.
    fn presence_line(&self, now_ms: Millis) -> Option<String> {
        let present = {
            let members = self.members.lock();
            let me = members.own_key();
            let others = members.homes().filter(|(key, _)| *key != me);
            others.map(|(key, note)| (key, note.name.clone())).collect()
        };
        self.presence.lock().update(now_ms, present)
    }
}

impl Gateway {
    fn versions(&self) -> Versions {
        Versions {
            root: self.version(),
            upstreams: self.roster.lock().revision(),
            circuits: self.circuit_breakers.digest(self.clock.now_ms()),
            evacuations: self.evacuations.lock().revision(),
            ..Versions::default()
        }
    }

    /// Pings an address, and takes what its host holds in a later version.
    pub(crate) async fn ping_address(self: &Arc<Self>, address: SocketAddr) {
        let (ping, digest) = self.fleet.ping_message(self.versions());
        if let Some((pong, theirs)) = self.send_ping(address, ping, digest).await {
            self.handle_pong(address, pong, theirs).await;
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
                    // The address is in use again: the start that had it before is gone.
                    self.mark_dead(&target);
                }
                self.handle_pong(target.address, pong, theirs).await;
            }
            None => {
                warn!("fleet: {} does not answer", target.name);
                let now_ms = self.clock.now_ms();
                self.fleet.members.lock().suspect(now_ms, key);
            }
        }
    }

    fn mark_dead(&self, gone: &MemberInfo) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        let Some(known) = members.find(HostKey::of(&gone.name)).cloned() else {
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
        let call = |client: GatewayPeerClient, context| async move {
            client.ping(context, ping, digest).await
        };
        self.fleet.peers.call(address, call).await.ok()
    }

    async fn handle_pong(self: &Arc<Self>, address: SocketAddr, pong: Pong, theirs: MembersDigest) {
        self.record_contact(&pong.from, pong.rumours);
        self.fetch_newer(address, pong.versions, theirs).await;
    }

    fn record_contact(&self, from: &Rumour, rumours: Vec<Rumour>) {
        let now_ms = self.clock.now_ms();
        self.fleet.last_contact_ms.store(now_ms, Ordering::Relaxed);
        let mut members = self.fleet.members.lock();
        members.record_answer(now_ms, from);
        for rumour in rumours {
            members.apply(now_ms, rumour);
        }
    }

    /// Takes what reaches every member on another way than by rumours.
    pub(crate) fn merge_rumours(&self, news: &[Rumour]) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        for rumour in news {
            members.apply_unrelayed(now_ms, rumour.clone());
        }
    }

    /// Answers a ping, and learns from it.
    pub(crate) fn handle_ping(
        self: &Arc<Self>,
        ping: Ping,
        theirs: MembersDigest,
    ) -> (Pong, MembersDigest) {
        let address = ping.from.member.address;
        self.record_contact(&ping.from, ping.rumours);
        let versions = ping.versions;
        let gateway = self.clone();
        tokio::spawn(async move { gateway.fetch_newer(address, versions, theirs).await });
        let (answer, digest) = self.fleet.ping_message(self.versions());
        let pong = Pong {
            from: answer.from,
            rumours: answer.rumours,
            versions: answer.versions,
        };
        (pong, digest)
    }

    /// Fetches what a peer holds in a later version.
    async fn fetch_newer(&self, peer: SocketAddr, theirs: Versions, members: MembersDigest) {
        // Before the configuration, with which a host begins to serve.
        if self.evacuations.lock().is_behind(theirs.evacuations) {
            self.fetch_evacuations(peer).await;
        }
        if theirs.root > self.version()
            && let Some(configuration) = self.fetch_configuration(peer).await
        {
            self.apply_configuration(configuration, "a peer");
        }
        if self.is_behind(theirs.upstreams)
            && let Some(change) = self.fetch_upstreams(peer).await
        {
            self.apply_peer_upstreams(change);
        }
        if self.has_diverged(members) {
            self.exchange_members(peer).await;
        }
        if theirs.circuits != self.versions().circuits {
            exchange_circuits(self, peer).await;
        }
    }

    fn has_diverged(&self, theirs: MembersDigest) -> bool {
        let own = self.fleet.members.lock().digest();
        let mut drift = self.fleet.drift.lock();
        drift.hear(self.clock.now_ms(), own == theirs.0)
    }

    /// Exchanges all beliefs of members with a peer; true where it answered.
    pub(crate) async fn exchange_members(&self, peer: SocketAddr) -> bool {
        let beliefs = self.fleet.members.lock().snapshot();
        let call = |client: GatewayPeerClient, context| async move {
            client.exchange_members(context, beliefs).await
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

    /// Answers a peer's beliefs of members with this host's.
    pub(crate) fn handle_member_exchange(&self, theirs: &[Rumour]) -> Vec<Rumour> {
        let beliefs = self.fleet.members.lock().snapshot();
        self.merge_rumours(theirs);
        beliefs
    }

    /// Whether this host has missed news of the upstreams that a peer has.
    fn is_behind(&self, theirs: Revision) -> bool {
        let now_ms = self.clock.now_ms();
        let own = self.roster.lock().revision();
        let mut lag = self.fleet.lag.lock();
        lag.hear(now_ms, own, theirs, Directory::PROVISIONAL, BEHIND_MS)
    }

    async fn fetch_configuration(&self, peer: SocketAddr) -> Option<Configuration> {
        let holding = ReplicatedState::Configuration;
        let call = |client: GatewayPeerClient, context| async move {
            client.holding(context, holding).await
        };
        self.fetch(peer, holding, call).await
    }

    async fn fetch_evacuations(&self, peer: SocketAddr) {
        let holding = ReplicatedState::Evacuations;
        let call = |client: GatewayPeerClient, context| async move {
            client.holding(context, holding).await
        };
        if let Some(state) = self.fetch(peer, holding, call).await {
            self.apply_evacuations(state, "a peer");
        }
    }

    async fn fetch_upstreams(&self, peer: SocketAddr) -> Option<DirectoryChange> {
        let since = self.roster.lock().revision();
        let call = |client: GatewayPeerClient, context| async move {
            client.upstreams_since(context, since).await
        };
        self.fetch(peer, ReplicatedState::Upstreams, call).await
    }

    /// Asks a peer for what it holds, unless that is being asked of another one: pings of several
    /// that are ahead come within the time that one answer takes.
    async fn fetch<T, F>(
        &self,
        peer: SocketAddr,
        holding: ReplicatedState,
        call: impl FnOnce(GatewayPeerClient, Context) -> F,
    ) -> Option<T>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<Vec<u8>, RpcError>>,
    {
        if !self.fleet.fetching.lock().insert(holding) {
            return None;
        }
        let value = self.fleet.peers.call(peer, call).await;
        self.fleet.fetching.lock().remove(&holding);
        match decode(holding, &value.ok()?) {
            Ok(held) => Some(held),
            Err(error) => {
                warn!("fleet: could not read what {peer} holds: {error}");
                None
            }
        }
    }
}
