//! How what every host holds gets from a few watchers to all.
//!
//! A host in each area (a data centre, or several small ones) watches the store, and so does the home
//! of each cell, which must hear of a leaving engine at once. A watcher passes its news on to its
//! area along a tree, so no host sends more than a few copies whatever the fleet's size. What a dead host in the tree
//! keeps from others they find by the versions in the next pings. Watching everywhere would cost a
//! waiting call a host and one more for each change: half of a day's worth before 81 hosts.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fulmarpath_cluster::Members;
use fulmarpath_policy::{HostKey, Millis, WatchArea, WatchCandidate};
use fulmarpath_wire::{Announcement, GatewayPeerClient, Holding};
use parking_lot::Mutex;
use serde::Serialize;
use spdlog::warn;
use tokio::time::sleep;

use crate::directory::{Directory, DirectoryChange};
use crate::encoding::{EncodingError, decode, encode};
use crate::gateway::Gateway;

/// A host that can't read the store says so again with each failed call; silence ends it.
const BLIND_MS: Millis = 2_500;
/// Between two such words of one host.
const BLIND_AGAIN_MS: Millis = 400;
/// Changes of the upstreams that come within this time are passed on together; a leaving upstream
/// may get requests for two seconds.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(100);
/// Hosts that each host passes news on to.
const FANOUT: usize = 3;

/// What this host has announced.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    announced: Mutex<Announced>,
    /// Hosts of this area that can't read the store, and until when that is believed.
    blind: Mutex<HashMap<HostKey, Millis>>,
    told_blind_ms: Mutex<Millis>,
    /// What has changed of the upstreams will be passed on in a moment.
    is_announcing: AtomicBool,
}

#[derive(Debug, Default)]
struct Announced {
    version: u64,
    directory: Directory,
}

impl Gateway {
    /// Whether this host watches the store.
    pub(crate) fn watches(&self) -> bool {
        self.is_watcher() || self.has_cell()
    }

    /// Whether this host watches for its area.
    fn is_watcher(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let blind = self.spread.blind.lock().clone();
        let members = self.fleet.members.lock();
        let me = members.my_key();
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
    pub(crate) fn announce_blindness(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        {
            let mut told_ms = self.spread.told_blind_ms.lock();
            if now_ms.saturating_sub(*told_ms) < BLIND_AGAIN_MS {
                return;
            }
            *told_ms = now_ms;
        }
        self.announce(Holding::Blindness, &self.host_key());
    }

    fn hear_blindness(&self, value: &[u8]) -> Result<(), EncodingError> {
        let host: HostKey = decode(Holding::Blindness, value)?;
        let until_ms = self.clock.now_ms() + BLIND_MS;
        self.spread.blind.lock().insert(host, until_ms);
        Ok(())
    }

    /// Passes on a configuration that this host's area doesn't have yet.
    pub(crate) fn announce_configuration(self: &Arc<Self>) {
        let Some(held) = self.in_force() else { return };
        let version = held.configuration.version;
        let announced = std::mem::replace(&mut self.spread.announced.lock().version, version);
        // A host that has just started has seen no change: all read it for themselves.
        if announced > 0 && announced < version && self.is_watcher() {
            self.announce(Holding::Configuration, &held.configuration);
        }
    }

    /// Passes on what has changed of the upstreams, with all that changes within a moment.
    ///
    /// The home of a cell takes each change as it comes. Passed on one by one, hundreds a second
    /// would each be a message to every host.
    pub(crate) fn announce_directory_soon(self: &Arc<Self>) {
        if self.spread.is_announcing.swap(true, Ordering::Relaxed) {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(ANNOUNCE_DELAY).await;
            gateway.spread.is_announcing.store(false, Ordering::Relaxed);
            gateway.announce_directory();
        });
    }

    fn announce_directory(self: &Arc<Self>) {
        let directory = self.roster.lock().directory();
        let before = {
            let mut announced = self.spread.announced.lock();
            std::mem::replace(&mut announced.directory, directory.clone())
        };
        let is_news = before.revision > 0 && before.revision < directory.revision;
        if is_news && self.is_watcher() {
            self.announce(Holding::Upstreams, &before.change_to(&directory));
        }
    }

    fn announce<T: Serialize>(self: &Arc<Self>, holding: Holding, news: &T) {
        match encode(holding, news) {
            Ok(value) => self.pass_on(holding, value, self.neighbours()),
            Err(error) => warn!("spread: could not write news: {error}"),
        }
    }

    /// The other hosts of this area.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let members = self.fleet.members.lock();
        let me = members.my_key();
        let area = self.area(&members);
        let near = members
            .homes()
            .filter(|(_, note)| area.contains(&note.data_centre));
        near.filter(|(key, _)| *key != me)
            .map(|(_, note)| note.address)
            .collect()
    }

    /// Sends news to the first few of an audience, each with its part of the rest.
    fn pass_on(self: &Arc<Self>, holding: Holding, value: Vec<u8>, audience: Vec<SocketAddr>) {
        let part = audience.len().div_ceil(FANOUT).max(1);
        for part in audience.chunks(part) {
            let Some((first, rest)) = part.split_first() else {
                continue;
            };
            let (gateway, first) = (self.clone(), *first);
            let announcement = Announcement {
                holding,
                value: value.clone(),
                audience: rest.to_vec(),
            };
            tokio::spawn(async move {
                let call = |client: GatewayPeerClient, context| async move {
                    client.announce(context, announcement).await
                };
                if let Err(error) = gateway.fleet.peers.call(first, call).await {
                    warn!("spread: news went no further: {error}");
                }
            });
        }
    }

    /// Takes news and passes it on.
    pub(crate) fn hear_announcement(self: &Arc<Self>, announcement: Announcement) {
        let Announcement {
            holding,
            value,
            audience,
        } = announcement;
        let taken = match holding {
            Holding::Configuration => self.take_configuration(&value),
            Holding::Upstreams => self.take_change(&value),
            Holding::Blindness => self.hear_blindness(&value),
        };
        if let Err(error) = taken {
            warn!("spread: could not read news: {error}");
            return;
        }
        self.pass_on(holding, value, audience);
    }

    fn take_configuration(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.adopt(decode(Holding::Configuration, value)?, "a watcher");
        Ok(())
    }

    fn take_change(&self, value: &[u8]) -> Result<(), EncodingError> {
        let change: DirectoryChange = decode(Holding::Upstreams, value)?;
        let mut roster = self.roster.lock();
        if roster.apply_by_peer(self.clock.now_ms(), change) {
            self.adopt_directory(&roster.directory());
        }
        Ok(())
    }
}
