//! The other hosts: who is there, and what they know that this host doesn't.
//!
//! Hosts find each other by entries in the store and by the settings' seeds; who is alive is told
//! by pings alone, since nothing of ours expires in the store by itself. A ping compares versions
//! of what all hosts hold, so a host that the store turns away follows its peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::Members;
use fulmarpath_policy::{HostKey, Lag, Millis};
use fulmarpath_wire::{
    GatewayPeerClient, Holding, MemberNote, MemberState, Peers, Ping, Pong, Rumour, Versions,
};
use parking_lot::Mutex;
use rand::Rng;
use spdlog::{info, warn};

use crate::directory::{Directory, HostRegistration};
use crate::encoding::decode;
use crate::follow::outcome;
use crate::gateway::Gateway;

/// Between two pings. Each goes to one member, so a host's share doesn't grow with the fleet.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// Between two tries to write or read the hosts' entries.
const ENTRY_PERIOD: Duration = Duration::from_millis(1_500);
/// How often a host that knows no other reads the entries again.
const LONELY_PERIOD: Duration = Duration::from_secs(10);
/// A peer that holds a later revision of the upstreams has to hold it for so long before it is
/// asked: the store's own answer is mostly on its way. Within the time that a leaving upstream may
/// still get requests.
const BEHIND_MS: Millis = 300;

/// What this host knows of the others.
pub(crate) struct Fleet {
    pub(crate) members: Mutex<Members>,
    pub(crate) peers: Peers<GatewayPeerClient>,
    /// How far this host's list of upstreams is behind its peers'.
    lag: Mutex<Lag>,
}

impl Fleet {
    /// A fleet of this host alone.
    ///
    /// The name is unique to this start. A host that starts again is a new member and the old one
    /// dies by not answering; were it the same member, only a clock could tell which start a rumour
    /// is about, and clocks jump.
    pub(crate) fn new(host: &HostRegistration) -> Self {
        let start: u64 = rand::random();
        let note = MemberNote {
            name: format!("{}/{start:016x}", host.name),
            data_centre: host.data_centre.clone(),
            address: host.address,
        };
        Self {
            members: Mutex::new(Members::new(note, 1)),
            peers: Peers::new(crate::peer::client),
            lag: Mutex::default(),
        }
    }

    /// Hosts that are believed present, this one with them.
    pub(crate) fn host_count(&self) -> usize {
        self.members.lock().present().count()
    }

    fn ping_message(&self, versions: Versions) -> Ping {
        let mut members = self.members.lock();
        Ping {
            from: members.me(),
            rumours: members.rumours(),
            versions,
        }
    }
}

impl Gateway {
    fn versions(&self) -> Versions {
        Versions {
            root: self.version(),
            host_list: self.roster.lock().revision(),
        }
    }

    /// Writes this host's entry, reads the others', and pings from then on.
    pub(crate) async fn join_fleet(self: Arc<Self>, seeds: Vec<SocketAddr>) {
        tokio::spawn(self.clone().ping_members());
        let own = self.settings.host.address;
        for seed in seeds.into_iter().filter(|seed| *seed != own) {
            tokio::spawn(self.clone().meet(seed));
        }
        loop {
            let written = self.metadata.registry.register(&self.settings.host).await;
            self.metrics.store_call("own_entry", outcome(&written));
            let Err(error) = written else { break };
            warn!("fleet: could not write this host's entry: {error}");
            tokio::time::sleep(ENTRY_PERIOD).await;
        }
        loop {
            let listed = self.metadata.hosts.list().await;
            self.metrics.store_call("hosts", outcome(&listed));
            match listed {
                Ok(listed) => {
                    self.skip_of_list("the hosts", &listed);
                    let others = listed.items.into_iter().filter(|host| host.address != own);
                    for host in others {
                        tokio::spawn(self.clone().meet(host.address));
                    }
                    tokio::time::sleep(LONELY_PERIOD).await;
                    if self.fleet.host_count() > 1 {
                        return;
                    }
                }
                Err(error) => {
                    warn!("fleet: could not read the hosts' entries: {error}");
                    tokio::time::sleep(ENTRY_PERIOD).await;
                }
            }
        }
    }

    /// Tells all that this host leaves, and removes its entry.
    pub(crate) async fn leave_fleet(self: &Arc<Self>) {
        self.fleet.members.lock().leave();
        let ping = self.fleet.ping_message(self.versions());
        let targets: Vec<SocketAddr> = {
            let members = self.fleet.members.lock();
            let me = members.my_key();
            let others = members
                .homes()
                .filter(|(key, _)| *key != me)
                .map(|(_, note)| note.address);
            others.collect()
        };
        for target in targets {
            let (gateway, ping) = (self.clone(), ping.clone());
            tokio::spawn(async move { gateway.ping_once(target, ping).await });
        }
        let name = &self.settings.host.name;
        let removed = self.metadata.registry.unregister(name).await;
        self.metrics.store_call("own_entry", outcome(&removed));
        if let Err(error) = removed {
            warn!("fleet: could not remove this host's entry: {error}");
        }
    }

    /// Speaks to an address that may be one of ours.
    async fn meet(self: Arc<Self>, address: SocketAddr) {
        let ping = self.fleet.ping_message(self.versions());
        if let Some(pong) = self.ping_once(address, ping).await {
            self.hear_pong(address, pong).await;
        }
    }

    async fn ping_members(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PING_PERIOD).await;
            let target = {
                let mut members = self.fleet.members.lock();
                members.expire(self.clock.now_ms());
                members.next_target(rand::rng().random())
            };
            if let Some(target) = target {
                tokio::spawn(self.clone().probe(target));
            }
            self.fleet.peers.tidy();
        }
    }

    async fn probe(self: Arc<Self>, target: MemberNote) {
        let ping = self.fleet.ping_message(self.versions());
        let key = HostKey::of(&target.name);
        match self.ping_once(target.address, ping).await {
            Some(pong) => {
                if pong.from.member.name != target.name {
                    // The address is in use again: the start that had it before is gone.
                    self.bury(&target);
                }
                self.hear_pong(target.address, pong).await;
            }
            None => {
                warn!("fleet: {} does not answer", target.name);
                let now_ms = self.clock.now_ms();
                self.fleet.members.lock().suspect(now_ms, key);
            }
        }
    }

    fn bury(&self, gone: &MemberNote) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        let Some(known) = members.find(HostKey::of(&gone.name)).cloned() else {
            return;
        };
        let rumour = Rumour {
            state: MemberState::Dead,
            ..known
        };
        members.hear(now_ms, rumour);
    }

    async fn ping_once(&self, address: SocketAddr, ping: Ping) -> Option<Pong> {
        let call =
            |client: GatewayPeerClient, context| async move { client.ping(context, ping).await };
        self.fleet.peers.call(address, call).await.ok()
    }

    async fn hear_pong(self: &Arc<Self>, address: SocketAddr, pong: Pong) {
        self.hear(&pong.from, pong.rumours);
        self.compare(address, pong.versions).await;
    }

    fn hear(&self, from: &Rumour, rumours: Vec<Rumour>) {
        let now_ms = self.clock.now_ms();
        let mut members = self.fleet.members.lock();
        let before = members.present().count();
        members.answered(now_ms, from);
        for rumour in rumours {
            members.hear(now_ms, rumour);
        }
        let after = members.present().count();
        if before != after {
            info!("fleet: {after} hosts present, {before} before");
        }
    }

    /// Answers a ping, and learns from it.
    pub(crate) fn pong(self: &Arc<Self>, ping: Ping) -> Pong {
        let address = ping.from.member.address;
        self.hear(&ping.from, ping.rumours);
        let theirs = ping.versions;
        let gateway = self.clone();
        tokio::spawn(async move { gateway.compare(address, theirs).await });
        let answer = self.fleet.ping_message(self.versions());
        Pong {
            from: answer.from,
            rumours: answer.rumours,
            versions: answer.versions,
        }
    }

    /// Fetches what a peer holds in a later version.
    async fn compare(&self, peer: SocketAddr, theirs: Versions) {
        if theirs.root > self.version()
            && let Some(configuration) = self.fetch(peer, Holding::Configuration).await
        {
            self.adopt(configuration, "a peer");
        }
        if self.is_behind(theirs.host_list)
            && let Some(directory) = self.fetch::<Directory>(peer, Holding::Upstreams).await
        {
            self.take_directory(directory);
        }
    }

    /// Whether this host has missed news of the upstreams that a peer has.
    fn is_behind(&self, theirs: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let own = self.roster.lock().revision();
        let mut lag = self.fleet.lag.lock();
        lag.hear(now_ms, own, theirs, BEHIND_MS)
    }

    async fn fetch<T: serde::de::DeserializeOwned>(
        &self,
        peer: SocketAddr,
        holding: Holding,
    ) -> Option<T> {
        let call = |client: GatewayPeerClient, context| async move {
            client.holding(context, holding).await
        };
        let value = self.fleet.peers.call(peer, call).await.ok()?;
        match decode(holding, &value) {
            Ok(held) => Some(held),
            Err(error) => {
                warn!("fleet: could not read what {peer} holds: {error}");
                None
            }
        }
    }
}
