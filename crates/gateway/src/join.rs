//! Finds the other hosts, and keeps this host discoverable for hosts that start later.
//!
//! A starting host contacts one of the seeds from the settings, which announces it to all hosts. It
//! fetches the replicated state from another member, which each host draws at random; otherwise the
//! seeds would have to send everything to everybody. The store names hosts for the case that all
//! seeds are gone. The few hosts that watch the store keep an entry there, so a start costs the
//! store nothing and some live host can always be found.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{HostKey, UnresponsiveHosts};
use fulmarpath_wire::{GatewayPeerClient, ReplicatedState, Rumour};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::store::collection_reader::outcome;
use crate::store::metadata::Freshness;

/// The next seed is contacted as well after this long without an answer.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(120);
/// Between two attempts to contact another host.
const CONTACT_PERIOD: Duration = Duration::from_millis(50);
/// Between two attempts to write or read the hosts' entries.
const ENTRY_PERIOD: Duration = Duration::from_millis(1_500);
/// How often a host that knows no other reads the entries again.
const NO_HOSTS_PERIOD: Duration = Duration::from_secs(10);
/// Between two checks of the entries by a watcher: how long a separated part of the fleet may stay
/// unaware of the rest.
const ENTRY_CHECK_PERIOD: Duration = Duration::from_secs(5);
/// Members named to a joining host, those of its own data centre first. With a tenth of them gone
/// it is almost certain to reach one.
const SAMPLE_SIZE: usize = 8;
/// Members asked for the replicated state, one after the other, until one answers.
const MAX_SYNC_PEERS: usize = 3;
/// Hosts from the store's entries that are contacted at once.
const MAX_CONTACTED_ENTRIES: usize = 3;
/// Hosts that join within this time are announced together: all hosts start within 0.3 s, and each
/// announcement is a message to every host.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(50);

/// Joining hosts that this host has yet to announce.
#[derive(Debug, Default)]
pub(crate) struct JoiningHosts {
    waiting: Mutex<Vec<Rumour>>,
}

impl Gateway {
    /// Contacts the other hosts, and from then on keeps the hosts' entries in the store up to date.
    pub(crate) async fn join_fleet(self: Arc<Self>, seeds: Vec<SocketAddr>) {
        let own = self.settings.host.address;
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != own).collect();
        while !self.contact_any(&seeds).await {
            let period = match self.should_discover() {
                true => self.discover_from_store().await,
                false => CONTACT_PERIOD,
            };
            sleep(period).await;
            if self.fleet.host_count() > 1 {
                // Other hosts have found this one.
                self.fleet.join.lock().record_peer(self.clock.now_ms());
                break;
            }
        }
        self.keep_entries().await;
    }

    fn should_discover(&self) -> bool {
        self.fleet.join.lock().should_discover(self.clock.now_ms())
    }

    /// Introduces this host to one of the addresses; returns whether one answered.
    async fn contact_any(self: &Arc<Self>, addresses: &[SocketAddr]) -> bool {
        let mut order = addresses.to_vec();
        order.shuffle(&mut rand::rng());
        let sample = self.introduce(order).await;
        let Some(sample) = sample else {
            self.fleet.join.lock().finish_peer_queries();
            return false;
        };
        self.fleet.join.lock().record_peer(self.clock.now_ms());
        info!("fleet: met, {} members named", sample.len());
        self.sync_with_any(sample).await;
        self.fleet.join.lock().finish_peer_queries();
        true
    }

    /// Returns the first answer to an introduction; the next address is contacted if one is slow or
    /// fails.
    async fn introduce(self: &Arc<Self>, addresses: Vec<SocketAddr>) -> Option<Vec<Rumour>> {
        let (answers, mut answered) = mpsc::channel(addresses.len().max(1));
        for address in addresses {
            let (gateway, answers) = (self.clone(), answers.clone());
            tokio::spawn(async move {
                let sample = gateway.introduce_to(address).await;
                // Another answer came first if nobody receives this one.
                let _ = answers.send(sample).await;
            });
            let waited = tokio::time::timeout(NEXT_SEED_DELAY, answered.recv()).await;
            if let Ok(Some(Some(sample))) = waited {
                return Some(sample);
            }
        }
        drop(answers);
        while let Some(answer) = answered.recv().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn introduce_to(&self, address: SocketAddr) -> Option<Vec<Rumour>> {
        let own_rumour = self.fleet.members.lock().own_rumour();
        let call = |client: GatewayPeerClient, context| async move {
            client.join(context, own_rumour).await
        };
        self.fleet.peers.call(address, call).await.ok()
    }

    /// Fetches the replicated state from one of a few members.
    async fn sync_with_any(self: &Arc<Self>, mut sample: Vec<Rumour>) {
        self.merge_rumours(&sample);
        let own = self.host_key();
        sample.retain(|rumour| HostKey::of(&rumour.member.name) != own);
        for peer in sample.into_iter().take(MAX_SYNC_PEERS) {
            let address = peer.member.address;
            if self.exchange_members(address).await {
                self.ping_address(address).await;
                return;
            }
        }
    }

    /// Answers a joining host with a sample of members, and announces it to all others.
    pub(crate) fn handle_join(self: &Arc<Self>, joining_host: Rumour) -> Vec<Rumour> {
        let now_ms = self.clock.now_ms();
        let (is_new, sample) = {
            let mut members = self.fleet.members.lock();
            let is_new = members.apply_unrelayed(now_ms, joining_host.clone());
            (
                is_new,
                members.sample(&joining_host.member, rand::random(), SAMPLE_SIZE),
            )
        };
        if is_new {
            self.schedule_join_announcement(joining_host);
        }
        sample
    }

    fn schedule_join_announcement(self: &Arc<Self>, joining_host: Rumour) {
        let is_first = {
            let mut waiting = self.fleet.joining.waiting.lock();
            waiting.push(joining_host);
            waiting.len() == 1
        };
        if !is_first {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(ANNOUNCE_DELAY).await;
            let joining = std::mem::take(&mut *gateway.fleet.joining.waiting.lock());
            gateway.announce_members(&joining);
        });
    }

    /// Announces to all hosts that this one leaves, and removes its entry.
    pub(crate) async fn leave_fleet(self: &Arc<Self>) {
        let own_rumour = {
            let mut members = self.fleet.members.lock();
            members.leave();
            members.own_rumour()
        };
        self.announce_members(&[own_rumour]);
        if self.fleet.has_written_entry() {
            let name = &self.settings.host.name;
            self.remove_entry(name).await;
        }
    }

    fn announce_members(self: &Arc<Self>, rumours: &[Rumour]) {
        self.announce(ReplicatedState::Members, &rumours, self.all_branches());
    }

    /// Announces all known members to all hosts, after two parts of the fleet have met through one
    /// host each. By pings alone some hosts would ignore the other part in placements for some
    /// seconds more.
    fn announce_all_known(self: &Arc<Self>) {
        let known = self.fleet.members.lock().snapshot();
        self.announce_members(&known);
    }

    /// Writes this host's entry and contacts hosts that have one; returns how long to wait after
    /// that.
    async fn discover_from_store(self: &Arc<Self>) -> Duration {
        if !self.write_entry().await {
            return ENTRY_PERIOD;
        }
        // If two hosts do this at once, the one that writes later reads both entries, provided that
        // its read is not stale.
        let Some(others) = self.listed_hosts(Freshness::Newest).await else {
            return ENTRY_PERIOD;
        };
        if others.is_empty() {
            self.fleet.join.lock().record_no_other_host();
            return NO_HOSTS_PERIOD;
        }
        let mut addresses: Vec<SocketAddr> = others.into_values().collect();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(MAX_CONTACTED_ENTRIES);
        match self.contact_any(&addresses).await {
            true => Duration::ZERO,
            false => ENTRY_PERIOD,
        }
    }

    /// While this host watches: keeps its own entry, contacts listed hosts that are not known to be
    /// present, and removes entries of those that are gone.
    ///
    /// Two parts of a fleet that started during a store outage without an answer from any seed do
    /// not know of each other, and each would place generations as if it had all engines to itself.
    /// Each part has a watcher, and both write their entries into the same store.
    async fn keep_entries(self: &Arc<Self>) {
        let mut unresponsive = UnresponsiveHosts::default();
        loop {
            sleep(ENTRY_CHECK_PERIOD).await;
            if self.is_elected_watcher() {
                self.check_entries(&mut unresponsive).await;
            } else {
                unresponsive = UnresponsiveHosts::default();
            }
        }
    }

    async fn check_entries(self: &Arc<Self>, unresponsive: &mut UnresponsiveHosts) {
        if !self.fleet.has_entry() && !self.write_entry().await {
            return;
        }
        let Some(mut others) = self.listed_hosts(Freshness::MayBeStale).await else {
            return;
        };
        {
            let members = self.fleet.members.lock();
            let present: Vec<SocketAddr> =
                members.homes().map(|(_, member)| member.address).collect();
            others.retain(|_, address| !present.contains(address));
        }
        unresponsive.retain(|name| others.contains_key(name));
        for (name, address) in others.into_iter().take(MAX_CONTACTED_ENTRIES) {
            if self.contact_any(&[address]).await {
                unresponsive.record_answer(&name);
                self.announce_all_known();
            } else if unresponsive.record_miss(&name) {
                info!("fleet: removing the entry of {name}, which does not answer");
                self.remove_entry(&name).await;
            }
        }
    }

    /// The other hosts that have an entry; `None` if the store can't be read.
    async fn listed_hosts(&self, freshness: Freshness) -> Option<HashMap<String, SocketAddr>> {
        let listed = self.metadata.hosts.list(freshness).await;
        self.metrics.store_call("hosts", outcome(&listed));
        match listed {
            Ok(listed) => {
                self.report_unusable_in_list("the hosts", &listed);
                let own = self.settings.host.address;
                let others = listed.items.into_iter().filter(|host| host.address != own);
                Some(others.map(|host| (host.name, host.address)).collect())
            }
            Err(error) => {
                warn!("fleet: could not read the hosts' entries: {error}");
                None
            }
        }
    }

    async fn write_entry(&self) -> bool {
        let era = self.store_era.latest();
        let written = self.metadata.registry.register(&self.settings.host).await;
        self.metrics.store_call("own_entry", outcome(&written));
        match written {
            Ok(()) => {
                self.fleet.mark_entry_written();
                // An entry written just before the store was restored from a backup is lost.
                if era.is_some() && self.store_era.latest() != era {
                    self.fleet.mark_entry_lost();
                }
            }
            Err(error) => warn!("fleet: could not write this host's entry: {error}"),
        }
        self.fleet.has_written_entry()
    }

    async fn remove_entry(&self, name: &str) {
        let removed = self.metadata.registry.unregister(name).await;
        self.metrics.store_call("an_entry_gone", outcome(&removed));
        if let Err(error) = removed {
            warn!("fleet: could not remove the entry of {name}: {error}");
        }
    }
}
