//! Spread of the documents: a few watchers in each data centre, announcements, and comparison of
//! versions with each pinged peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{HostKey, rank};
use fulmarpath_store::HostListing;
use fulmarpath_wire::{Document, MemberInfo, Versions};
use futures::future::join_all;
use rand::Rng;
use spdlog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::{ActiveConfiguration, ROOT_KEY, Root, part_hash, part_key};
use crate::node::Node;
use crate::poison::exchange_circuits;
use crate::safeguard::Safeguard;

/// Watchers in each data centre; their number doesn't grow with the fleet.
const WATCHERS: usize = 2;
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
const HOST_LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// A fetch that failed is made up for with the next ping after so long.
const ROOT_FETCH_PAUSE_MS: u64 = 100;
const HOST_LIST_FETCH_PAUSE_MS: u64 = 700;
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Back-off after a failed platform call; jittered, lest all hosts come back at once.
const BACKOFF_MS: std::ops::Range<u64> = 250..3_000;

impl Node {
    /// Whether this host is one of its data centre's watchers.
    pub(crate) fn is_watcher(&self) -> bool {
        let thing = xxh3_64(self.settings.data_centre.as_bytes());
        let members = self.members.lock();
        let mine = rank(thing, self.key.0);
        let better = members
            .homes()
            .filter(|(key, note)| {
                *key != self.key
                    && note.data_centre == self.settings.data_centre
                    && rank(thing, key.0) > mine
            })
            .count();
        better < WATCHERS
    }

    /// Watches the root while this host is a watcher or holds no root.
    pub(crate) async fn watch_root(self: Arc<Self>) {
        let mut version = 0;
        loop {
            let needed = self.documents.versions().root == 0 || self.is_watcher();
            if !needed {
                version = 0;
                tokio::time::sleep(IDLE_PERIOD).await;
                continue;
            }
            match self
                .object_api
                .watch(ROOT_KEY, version, WATCH_TIMEOUT)
                .await
            {
                Ok(Some(object)) => {
                    self.documents.record_contact(self.clock.now_ms());
                    version = object.version;
                    self.adopt_document(None, Document::Root, &object.value)
                        .await;
                }
                Ok(None) => self.documents.record_contact(self.clock.now_ms()),
                Err(_) => {
                    version = 0;
                    self.back_off().await;
                }
            }
        }
    }

    /// Reads the host list while this host is a watcher or holds none.
    pub(crate) async fn watch_host_list(self: Arc<Self>) {
        loop {
            let needed = self.documents.versions().host_list == 0 || self.is_watcher();
            if needed {
                match self.host_list.read().await {
                    Ok(listing) => self.adopt_listing(listing),
                    Err(_) => self.back_off().await,
                }
            }
            tokio::time::sleep(HOST_LIST_PERIOD).await;
        }
    }

    async fn back_off(&self) {
        let wait_ms = rand::rng().random_range(BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Takes a document from the platform (`holder` is `None`) or a peer, and passes it on.
    pub(crate) async fn adopt_document(
        self: &Arc<Self>,
        holder: Option<SocketAddr>,
        document: Document,
        value: &[u8],
    ) {
        match document {
            Document::Root => {
                if let Ok(root) = serde_json::from_slice(value) {
                    self.fetch_root(holder, root).await;
                }
            }
            Document::HostList => {
                if let Ok(listing) = serde_json::from_slice(value) {
                    self.adopt_listing(listing);
                }
            }
        }
    }

    /// Fetches the missing parts of a newer root, takes it and passes it on.
    pub(crate) async fn fetch_root(self: &Arc<Self>, holder: Option<SocketAddr>, root: Root) {
        let held = self.documents.versions().root;
        let is_news =
            root.revision > held || (root.revision < held && !self.has(Safeguard::RevisionGrows));
        if !is_news {
            return;
        }
        let mut values = HashMap::new();
        for hash in root.parts.hashes() {
            let Some(value) = self.part(holder, hash).await else {
                warn!(
                    "spread: could not fetch a part of revision {}",
                    root.revision
                );
                return;
            };
            values.insert(hash.clone(), value);
        }
        let Some(in_force) = ActiveConfiguration::new(root, values) else {
            warn!("spread: could not read a newer revision");
            return;
        };
        // A host that held nothing has not seen a change, it has just started: when many start at
        // once, each passing on what all read for themselves would be a storm.
        let has_started = held > 0;
        self.adopt_root(holder, in_force, has_started);
    }

    /// Takes a whole configuration, and passes it on where it is news to others.
    pub(crate) fn adopt_root(
        self: &Arc<Self>,
        holder: Option<SocketAddr>,
        in_force: ActiveConfiguration,
        is_news: bool,
    ) {
        let revision = in_force.root.revision;
        let value = serde_json::to_vec(&in_force.root).unwrap_or_default();
        if self.documents.adopt_root(in_force) {
            info!("spread: revision {} is in force here", revision);
            self.apply_preset();
            if is_news {
                self.announce_root(holder, &value);
            }
        }
    }

    /// Takes a newer host list. It isn't announced but found by comparing versions: when many
    /// hosts start at once the list changes with each of them, every one still believes to be a
    /// watcher, and announcing each version to all would drown the fleet in lists.
    fn adopt_listing(&self, listing: HostListing) {
        if listing.version <= self.documents.versions().host_list {
            return;
        }
        let now_ms = self.clock.now_ms();
        for note in crate::node::entry_hosts(&listing) {
            self.members.lock().seed(now_ms, note);
        }
        self.documents.adopt_listing(listing, &*self.engines);
    }

    /// A part from memory, from the peer that holds the root, or from the platform.
    async fn part(&self, holder: Option<SocketAddr>, hash: &str) -> Option<Vec<u8>> {
        if let Some(held) = self.documents.active()
            && let Some(value) = held.part_values.get(hash)
        {
            return Some(value.clone());
        }
        if let Some(address) = holder {
            let wanted = hash.to_owned();
            let call = |client: fulmarpath_wire::PeerClient, context| async move {
                client.part(context, wanted).await
            };
            if let Ok(value) = self.peers.call(address, call).await
                && part_hash(&value) == hash
            {
                return Some(value);
            }
        }
        let object = self.object_api.read(&part_key(hash)).await.ok()??;
        let value = object.value.to_vec();
        (part_hash(&value) == hash).then_some(value)
    }

    /// Announces a root: whoever has it from the platform tells its own data centre and one
    /// watcher of each other one; whoever has it from another data centre tells its own.
    fn announce_root(self: &Arc<Self>, holder: Option<SocketAddr>, root: &[u8]) {
        if !self.has(Safeguard::Spread) {
            return;
        }
        let mine = self.settings.peer_address;
        let calls = self.recipients(holder).into_iter().map(|address| {
            let (node, root) = (self.clone(), root.to_vec());
            async move {
                let call = |client: fulmarpath_wire::PeerClient, context| async move {
                    client.announce(context, mine, Document::Root, root).await
                };
                let _ = node.peers.call(address, call).await;
            }
        });
        let calls: Vec<_> = calls.collect();
        tokio::spawn(join_all(calls));
    }

    fn recipients(&self, holder: Option<SocketAddr>) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let mine = &self.settings.data_centre;
        let from_near = members.present().any(|rumour| {
            Some(rumour.member.address) == holder && &rumour.member.data_centre == mine
        });
        if from_near {
            return Vec::new();
        }
        let mut targets = Vec::new();
        let mut other_centres: HashMap<&str, Vec<(HostKey, &MemberInfo)>> = HashMap::new();
        for rumour in members.present() {
            let note = &rumour.member;
            if note.address == self.settings.peer_address {
                continue;
            }
            if &note.data_centre == mine {
                targets.push(note.address);
            } else if holder.is_none() {
                let key = HostKey::of(&note.name);
                let same = other_centres.entry(&note.data_centre).or_default();
                same.push((key, note));
            }
        }
        for (centre, mut notes) in other_centres {
            let thing = xxh3_64(centre.as_bytes());
            notes.sort_by_key(|(key, _)| std::cmp::Reverse(rank(thing, key.0)));
            let chosen = notes.into_iter().take(WATCHERS);
            targets.extend(chosen.map(|(_, note)| note.address));
        }
        targets
    }

    /// Whether to fetch a document from a peer now. Many peers show a newer version at about the
    /// same time; fetching it from each of them would cost a hundred times what one fetch does.
    fn may_fetch(&self, document: Document) -> bool {
        let pause_ms = match document {
            Document::Root => ROOT_FETCH_PAUSE_MS,
            Document::HostList => HOST_LIST_FETCH_PAUSE_MS,
        };
        let now_ms = self.clock.now_ms();
        let mut fetched = self.fetched_at_ms.lock();
        let last_ms = fetched.entry(document).or_insert(0);
        if now_ms.saturating_sub(*last_ms) < pause_ms {
            return false;
        }
        *last_ms = now_ms;
        true
    }

    /// Fetches what a peer holds in a newer version.
    pub(crate) async fn compare(self: &Arc<Self>, peer: SocketAddr, theirs: Versions) {
        if !self.has(Safeguard::Spread) {
            return;
        }
        let mine = self.versions();
        if theirs.circuits != mine.circuits {
            exchange_circuits(self.as_ref(), peer).await;
        }
        let newer = [
            (Document::Root, theirs.root > mine.root),
            (Document::HostList, theirs.host_list > mine.host_list),
        ];
        for (document, _) in newer.into_iter().filter(|(_, is_newer)| *is_newer) {
            if !self.may_fetch(document) {
                continue;
            }
            let call = |client: fulmarpath_wire::PeerClient, context| async move {
                client.document(context, document).await
            };
            if let Ok(value) = self.peers.call(peer, call).await {
                self.adopt_document(Some(peer), document, &value).await;
            }
        }
    }
}
