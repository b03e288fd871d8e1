//! Dissemination of the documents: a few watchers per data centre, announcements, and a comparison
//! of versions with each pinged peer.

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

/// Watchers per data centre, a number that doesn't grow with the fleet.
const WATCHERS: usize = 2;
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
const HOST_LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// Shortest time between two fetches; a failed fetch is retried with the next ping after it.
const ROOT_FETCH_INTERVAL_MS: u64 = 100;
const HOST_LIST_FETCH_INTERVAL_MS: u64 = 700;
/// Period in which a host that isn't a watcher checks whether it has become one.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Backoff after a failed platform call, with jitter so that hosts don't retry simultaneously.
const BACKOFF_MS: std::ops::Range<u64> = 250..3_000;

impl Node {
    /// Whether this host is one of its data centre's watchers.
    pub(crate) fn is_watcher(&self) -> bool {
        let resource = xxh3_64(self.settings.data_centre.as_bytes());
        let members = self.members.lock();
        let own = rank(resource, self.key.0);
        let better = members
            .homes()
            .filter(|(key, info)| {
                *key != self.key
                    && info.data_centre == self.settings.data_centre
                    && rank(resource, key.0) > own
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
                tokio::time::sleep(WATCHER_CHECK_PERIOD).await;
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

    /// Adopts a document from the platform (`holder` is `None`) or a peer, if it is newer. A new
    /// root is announced; a new host list is not.
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

    /// Fetches the missing parts of a newer root, adopts it and announces it.
    pub(crate) async fn fetch_root(self: &Arc<Self>, holder: Option<SocketAddr>, root: Root) {
        let held = self.documents.versions().root;
        let is_update =
            root.revision > held || (root.revision < held && !self.has(Safeguard::RevisionGrows));
        if !is_update {
            return;
        }
        let mut values = HashMap::new();
        for hash in root.parts.hashes() {
            let Some(value) = self.part(holder, hash).await else {
                warn!(
                    "spread: could not fetch part {} of revision {}; revision {} stays active",
                    hash, root.revision, held
                );
                return;
            };
            values.insert(hash.clone(), value);
        }
        let revision = root.revision;
        let Some(configuration) = ActiveConfiguration::new(root, values) else {
            warn!("spread: could not decode revision {revision}; revision {held} stays active");
            return;
        };
        // A host that held no root has just started and has seen no change. When many hosts start
        // at once, announcing what each of them reads anyway would cause a message storm.
        let must_announce = held > 0;
        self.adopt_root(holder, configuration, must_announce);
    }

    /// Adopts a complete configuration if it is newer, and announces it where `must_announce`.
    pub(crate) fn adopt_root(
        self: &Arc<Self>,
        holder: Option<SocketAddr>,
        configuration: ActiveConfiguration,
        must_announce: bool,
    ) {
        let revision = configuration.root.revision;
        let value = serde_json::to_vec(&configuration.root).unwrap_or_default();
        if self.documents.adopt_root(configuration) {
            info!("spread: revision {} is active", revision);
            self.apply_preset();
            if must_announce {
                self.announce_root(holder, &value);
            }
        }
    }

    /// Adopts a newer host list. It isn't announced; hosts discover it by comparing versions. When
    /// many hosts start at once, the list changes with each of them and each still considers itself
    /// a watcher, so announcing each version to all would flood the fleet.
    fn adopt_listing(&self, listing: HostListing) {
        if listing.version <= self.documents.versions().host_list {
            return;
        }
        let now_ms = self.clock.now_ms();
        for info in crate::node::entry_hosts(&listing) {
            self.members.lock().seed(now_ms, info);
        }
        self.documents.adopt_listing(listing, &*self.clients);
    }

    /// Returns a part from memory, from the peer that holds the root, or from the platform.
    async fn part(&self, holder: Option<SocketAddr>, hash: &str) -> Option<Vec<u8>> {
        if let Some(active) = self.documents.active()
            && let Some(value) = active.part_values.get(hash)
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

    /// Announces a root. A host that read it from the platform announces it to its own data centre
    /// and to the watchers of each other one; a host that received it from another data centre
    /// announces it to its own.
    fn announce_root(self: &Arc<Self>, holder: Option<SocketAddr>, root: &[u8]) {
        if !self.has(Safeguard::Spread) {
            return;
        }
        let own = self.settings.peer_address;
        let calls = self.recipients(holder).into_iter().map(|address| {
            let (node, root) = (self.clone(), root.to_vec());
            async move {
                let call = |client: fulmarpath_wire::PeerClient, context| async move {
                    client.announce(context, own, Document::Root, root).await
                };
                let _ = node.peers.call(address, call).await;
            }
        });
        let calls: Vec<_> = calls.collect();
        tokio::spawn(join_all(calls));
    }

    fn recipients(&self, holder: Option<SocketAddr>) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let own = &self.settings.data_centre;
        let from_local = members.present().any(|rumour| {
            Some(rumour.member.address) == holder && &rumour.member.data_centre == own
        });
        if from_local {
            return Vec::new();
        }
        let mut targets = Vec::new();
        let mut other_data_centres: HashMap<&str, Vec<(HostKey, &MemberInfo)>> = HashMap::new();
        for rumour in members.present() {
            let info = &rumour.member;
            if info.address == self.settings.peer_address {
                continue;
            }
            if &info.data_centre == own {
                targets.push(info.address);
            } else if holder.is_none() {
                let key = HostKey::of(&info.name);
                let group = other_data_centres.entry(&info.data_centre).or_default();
                group.push((key, info));
            }
        }
        for (data_centre, mut infos) in other_data_centres {
            let resource = xxh3_64(data_centre.as_bytes());
            infos.sort_by_key(|(key, _)| std::cmp::Reverse(rank(resource, key.0)));
            let selected = infos.into_iter().take(WATCHERS);
            targets.extend(selected.map(|(_, info)| info.address));
        }
        targets
    }

    /// Whether to fetch a document from a peer now; records the fetch if so. Many peers report a
    /// newer version at about the same time; fetching it from each of them would cost a hundred
    /// times as much as one fetch.
    fn begin_fetch(&self, document: Document) -> bool {
        let interval_ms = match document {
            Document::Root => ROOT_FETCH_INTERVAL_MS,
            Document::HostList => HOST_LIST_FETCH_INTERVAL_MS,
        };
        let now_ms = self.clock.now_ms();
        let mut fetched = self.fetched_at_ms.lock();
        let last_ms = fetched.entry(document).or_insert(0);
        if now_ms.saturating_sub(*last_ms) < interval_ms {
            return false;
        }
        *last_ms = now_ms;
        true
    }

    /// Fetches the documents of which a peer has a newer version, and exchanges circuits with it if
    /// theirs differ.
    pub(crate) async fn fetch_newer(self: &Arc<Self>, peer: SocketAddr, theirs: Versions) {
        if !self.has(Safeguard::Spread) {
            return;
        }
        let own = self.versions();
        if theirs.circuits != own.circuits {
            exchange_circuits(self.as_ref(), peer).await;
        }
        let newer = [
            (Document::Root, theirs.root > own.root),
            (Document::HostList, theirs.host_list > own.host_list),
        ];
        for (document, _) in newer.into_iter().filter(|(_, is_newer)| *is_newer) {
            if !self.begin_fetch(document) {
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
