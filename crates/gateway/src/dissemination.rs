//! How what every host holds gets from a few watchers to all.
//!
//! A host in each area (a data centre, or several small ones) watches the store, and so does the home
//! of each cell, which must hear of a leaving engine at once. A watcher passes its news on to its
//! area along a tree, so no host sends more than a few copies whatever the fleet's size. What a dead host in
//! the tree keeps from others they find by the versions in the next pings. Watching everywhere would cost a
//! waiting call a host and one more for each change.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fulmarpath_cluster::Members;
use fulmarpath_policy::{
    HostKey, Listener, Millis, Revision, WatchArea, WatchCandidate, branches, parts,
};
use fulmarpath_wire::{Announcement, GatewayPeerClient, ReplicatedState, Rumour};
use parking_lot::Mutex;
use serde::Serialize;
use spdlog::warn;
use tokio::time::sleep;

use crate::directory::DirectoryChange;
use crate::encoding::{EncodingError, decode, encode};
use crate::gateway::Gateway;
use crate::store_sync::log_store_restored;

/// A host that can't read the store says so again with each failed call; silence ends it.
const BLIND_MS: Millis = 2_500;
/// Between two such words of one host.
const BLIND_AGAIN_MS: Millis = 400;
/// Changes of the upstreams that come within this time are passed on together; a leaving upstream
/// may get requests for two seconds.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(100);

/// What this host has passed on, and what it has heard of the store from others.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    /// The revision of the upstreams up to which this host has passed them on.
    announced: Mutex<Revision>,
    /// Hosts of this area that can't read the store, and until when that is believed.
    blind: Mutex<HashMap<HostKey, Millis>>,
    told_blind_ms: Mutex<Millis>,
    /// What has changed of the upstreams will be passed on in a moment.
    is_announcing: AtomicBool,
}

impl Gateway {
    /// Whether this host watches the upstreams.
    pub(crate) fn watches_upstreams(&self) -> bool {
        self.is_watcher() || (self.may_watch() && self.is_home_of_any_cell())
    }

    /// Whether this host knows enough of the others to tell who watches.
    fn may_watch(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_watch(now_ms)
    }

    /// Whether this host watches for its area.
    pub(crate) fn is_watcher(&self) -> bool {
        if !self.may_watch() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let blind = self.dissemination.blind.lock().clone();
        let members = self.fleet.members.lock();
        let me = members.own_key();
        let area = self.area(&members);
        let near = members
            .homes()
            .filter(|(key, note)| *key != me && area.contains(&note.data_centre));
        let others = near.map(|(key, _)| WatchCandidate {
            rank: key.0,
            is_blind: blind.get(&key).is_some_and(|until_ms| now_ms < *until_ms),
        });
        area.is_watcher(me.0, others)
    }

    /// The data centres that this host's news come from and go to.
    fn area(&self, members: &Members) -> WatchArea {
        let mut hosts: BTreeMap<String, usize> = BTreeMap::new();
        for (_, note) in members.homes() {
            *hosts.entry(note.data_centre.clone()).or_default() += 1;
        }
        WatchArea::of(&self.settings.host.data_centre, &hosts)
    }

    /// Tells this area that this host can't read the store.
    pub(crate) fn announce_store_unreadable(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        {
            let mut told_ms = self.dissemination.told_blind_ms.lock();
            if now_ms.saturating_sub(*told_ms) < BLIND_AGAIN_MS {
                return;
            }
            *told_ms = now_ms;
        }
        self.announce(
            ReplicatedState::StoreUnreadable,
            &self.host_key(),
            self.neighbours(),
        );
    }

    fn handle_store_unreadable(&self, value: &[u8]) -> Result<(), EncodingError> {
        let host: HostKey = decode(ReplicatedState::StoreUnreadable, value)?;
        let until_ms = self.clock.now_ms() + BLIND_MS;
        self.dissemination.blind.lock().insert(host, until_ms);
        Ok(())
    }

    /// Passes on a configuration that the store has told this host.
    pub(crate) fn announce_configuration(self: &Arc<Self>) {
        let Some(held) = self.in_force() else { return };
        if self.is_watcher() {
            let area = self.neighbours();
            self.announce(ReplicatedState::Configuration, &held.configuration, area);
        }
    }

    /// This host reads the upstreams anew, to pass on from then on what has changed since.
    pub(crate) fn reset_announced_revision(&self) {
        let held = self.roster.lock().revision();
        *self.dissemination.announced.lock() = held;
    }

    /// Passes on what has changed of the upstreams, with all that changes within a moment.
    ///
    /// The home of a cell takes each change as it comes. Passed on one by one, hundreds a second
    /// would each be a message to every host.
    pub(crate) fn schedule_directory_announcement(self: &Arc<Self>) {
        if self
            .dissemination
            .is_announcing
            .swap(true, Ordering::Relaxed)
        {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(ANNOUNCE_DELAY).await;
            gateway
                .dissemination
                .is_announcing
                .store(false, Ordering::Relaxed);
            gateway.announce_directory();
        });
    }

    fn announce_directory(self: &Arc<Self>) {
        if !self.is_watcher() {
            return;
        }
        let change = {
            let roster = self.roster.lock();
            let mut announced = self.dissemination.announced.lock();
            let before = std::mem::replace(&mut *announced, roster.revision());
            if roster.revision() <= before {
                return;
            }
            roster.change_since(before)
        };
        self.announce(ReplicatedState::Upstreams, &change, self.neighbours());
    }

    /// Tells an audience, over a few of it.
    pub(crate) fn announce<T: Serialize>(
        self: &Arc<Self>,
        holding: ReplicatedState,
        news: &T,
        audience: Vec<Vec<SocketAddr>>,
    ) {
        match encode(holding, news) {
            Ok(value) => self.pass_on(holding, &value, audience),
            Err(error) => warn!("spread: could not write news: {error}"),
        }
    }

    /// The other hosts of this area, in branches.
    pub(crate) fn neighbours(&self) -> Vec<Vec<SocketAddr>> {
        let area = self.area(&self.fleet.members.lock());
        self.audience(|data_centre| area.contains(data_centre))
    }

    /// All other hosts, in branches.
    pub(crate) fn everybody(&self) -> Vec<Vec<SocketAddr>> {
        self.audience(|_| true)
    }

    fn audience(&self, hears: impl Fn(&str) -> bool) -> Vec<Vec<SocketAddr>> {
        let members = self.fleet.members.lock();
        let me = members.own_key();
        let listeners = members
            .homes()
            .filter(|(key, note)| *key != me && hears(&note.data_centre));
        let listeners = listeners.map(|(key, note)| Listener {
            data_centre: note.data_centre.as_str(),
            rank: key.0,
            address: note.address,
        });
        branches(&self.settings.host.data_centre, listeners)
    }

    /// Sends news to the first of each branch, with the rest of it to pass them on to.
    fn pass_on(
        self: &Arc<Self>,
        holding: ReplicatedState,
        value: &[u8],
        branches: Vec<Vec<SocketAddr>>,
    ) {
        for branch in branches {
            let Some((first, rest)) = branch.split_first() else {
                continue;
            };
            let (gateway, first, rest) = (self.clone(), *first, rest.to_vec());
            let value = value.to_vec();
            tokio::spawn(async move { gateway.tell(first, holding, value, rest).await });
        }
    }

    /// Tells one host, or in its place the rest of its branch.
    ///
    /// Hosts die many at once, and each is still believed present for some seconds. Left there, the
    /// news of a leaving upstream would reach the rest of the branch only by its pings.
    async fn tell(
        self: Arc<Self>,
        host: SocketAddr,
        holding: ReplicatedState,
        value: Vec<u8>,
        rest: Vec<SocketAddr>,
    ) {
        let announcement = Announcement {
            holding,
            value: value.clone(),
            audience: rest.clone(),
        };
        let call = |client: GatewayPeerClient, context| async move {
            client.announce(context, announcement).await
        };
        if let Err(error) = self.fleet.peers.call(host, call).await {
            warn!("spread: news went around a host: {error}");
            self.pass_on(holding, &value, parts(&rest));
        }
    }

    /// Takes news and passes it on.
    pub(crate) fn handle_announcement(self: &Arc<Self>, announcement: Announcement) {
        let Announcement {
            holding,
            value,
            audience,
        } = announcement;
        let taken = match holding {
            ReplicatedState::Configuration => self.handle_configuration(&value),
            ReplicatedState::Upstreams => self.handle_directory_change(&value),
            ReplicatedState::StoreUnreadable => self.handle_store_unreadable(&value),
            ReplicatedState::Members => self.handle_members(&value),
            ReplicatedState::Circuits => self.handle_circuits(&value),
            ReplicatedState::Evacuations => self.handle_evacuations(&value),
        };
        if let Err(error) = taken {
            warn!("spread: could not read news: {error}");
            return;
        }
        self.pass_on(holding, &value, parts(&audience));
    }

    fn handle_members(&self, value: &[u8]) -> Result<(), EncodingError> {
        let news: Vec<Rumour> = decode(ReplicatedState::Members, value)?;
        self.merge_rumours(&news);
        Ok(())
    }

    fn handle_configuration(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.apply_configuration(decode(ReplicatedState::Configuration, value)?, "a watcher");
        Ok(())
    }

    fn handle_directory_change(&self, value: &[u8]) -> Result<(), EncodingError> {
        let change: DirectoryChange = decode(ReplicatedState::Upstreams, value)?;
        self.observe_era(change.revision, "a watcher");
        let mut roster = self.roster.lock();
        let before = roster.revision();
        if roster.apply_peer_change(self.clock.now_ms(), change) {
            self.apply_directory(&roster.directory());
        }
        log_store_restored(before, &roster);
        Ok(())
    }
}
