//! The pings that keep the membership table current, at a rate independent of the fleet's size.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::HostKey;
use fulmarpath_wire::{MemberInfo, MemberState, PeerClient, Ping, Pong, Versions};
use futures::future::join_all;
use rand::Rng;
use spdlog::{info, warn};

use crate::node::Node;

const PERIOD: Duration = Duration::from_millis(300);
/// Members that send an indirect ping to one that didn't answer.
const PROBE_RELAYS: usize = 2;

impl Node {
    /// Pings one member per period.
    pub(crate) async fn ping_members(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PERIOD).await;
            let target = {
                let mut members = self.members.lock();
                members.expire(self.clock.now_ms());
                members.next_target(rand::rng().random())
            };
            if let Some(target) = target {
                tokio::spawn(self.clone().probe(target));
            }
        }
    }

    async fn probe(self: Arc<Self>, target: MemberInfo) {
        let ping = self.ping_message();
        if let Some(pong) = self.ping_once(target.address, ping.clone()).await {
            self.handle_pong(target.address, pong).await;
            return;
        }
        let key = HostKey::of(&target.name);
        let draw = rand::rng().random();
        let relays = self.members.lock().probe_relays(key, draw, PROBE_RELAYS);
        let relay_count = relays.len();
        let calls = relays.into_iter().map(|relay| {
            let (node, ping) = (self.clone(), ping.clone());
            async move {
                let call = |client: PeerClient, context| async move {
                    client.ping_through(context, target.address, ping).await
                };
                node.peers.call(relay.address, call).await.ok().flatten()
            }
        });
        let pongs = join_all(calls).await;
        match pongs.into_iter().flatten().next() {
            Some(pong) => self.handle_pong(target.address, pong).await,
            None => {
                warn!(
                    "members: {} does not answer, neither directly nor through {} relays",
                    target.name, relay_count
                );
                self.members.lock().suspect(self.clock.now_ms(), key);
            }
        }
    }

    pub(crate) async fn ping_once(&self, address: SocketAddr, ping: Ping) -> Option<Pong> {
        let call = |client: PeerClient, context| async move { client.ping(context, ping).await };
        self.peers.call(address, call).await.ok()
    }

    /// The versions of the replicated state on this host.
    pub(crate) fn versions(&self) -> Versions {
        Versions {
            circuits: self.circuit_breakers.digest(self.clock.now_ms()),
            ..self.documents.versions()
        }
    }

    fn ping_message(&self) -> Ping {
        let mut members = self.members.lock();
        Ping {
            from: members.own_rumour(),
            rumours: members.rumours(),
            versions: self.versions(),
        }
    }

    async fn handle_pong(self: &Arc<Self>, address: SocketAddr, pong: Pong) {
        let now_ms = self.clock.now_ms();
        self.documents.record_contact(now_ms);
        {
            let mut members = self.members.lock();
            members.record_contact(now_ms, &pong.from);
            for rumour in pong.rumours {
                members.apply(now_ms, rumour);
            }
        }
        self.fetch_newer(address, pong.versions).await;
    }

    /// Answers a ping, and applies its rumours.
    pub(crate) fn handle_ping(self: &Arc<Self>, ping: Ping) -> Pong {
        let now_ms = self.clock.now_ms();
        self.documents.record_contact(now_ms);
        let address = ping.from.member.address;
        let (from, rumours) = {
            let mut members = self.members.lock();
            members.record_contact(now_ms, &ping.from);
            for rumour in ping.rumours {
                members.apply(now_ms, rumour);
            }
            (members.own_rumour(), members.rumours())
        };
        let own = self.versions();
        let theirs_are_newer =
            ping.versions.root > own.root || ping.versions.host_list > own.host_list;
        if theirs_are_newer || ping.versions.circuits != own.circuits {
            let node = self.clone();
            let theirs = ping.versions;
            tokio::spawn(async move { node.fetch_newer(address, theirs).await });
        }
        Pong {
            from,
            rumours,
            versions: own,
        }
    }

    /// Marks this host as leaving, so that it takes no new work, and notifies all live members.
    pub async fn leave(self: &Arc<Self>) {
        self.leaving
            .store(true, std::sync::atomic::Ordering::Relaxed);
        let ping = {
            self.members.lock().leave();
            self.ping_message()
        };
        let targets: Vec<SocketAddr> = self
            .members
            .lock()
            .present()
            .filter(|rumour| rumour.state == MemberState::Alive)
            .map(|rumour| rumour.member.address)
            .collect();
        info!("members: leaving; notifying {} members", targets.len());
        let calls = targets
            .into_iter()
            .map(|address| self.ping_once(address, ping.clone()));
        join_all(calls).await;
    }
}
