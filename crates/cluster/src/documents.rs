//! The documents replicated to every host: the active configuration and the host list.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use fulmarpath_policy::{Millis, UpstreamKey};
use fulmarpath_store::{HostEntry, HostListing, ListedState, Role};
use fulmarpath_upstream::Engine;
use fulmarpath_wire::Versions;
use parking_lot::Mutex;

use crate::configuration::ActiveConfiguration;
use crate::upstream_clients::UpstreamClients;

/// A listed engine with its client.
#[derive(Clone)]
pub(crate) struct ListedEngine {
    pub(crate) key: UpstreamKey,
    pub(crate) entry: HostEntry,
    pub(crate) client: Arc<dyn Engine>,
}

/// The host list, indexed for lookups.
#[derive(Default)]
pub(crate) struct Listing {
    pub(crate) document: HostListing,
    pub(crate) engines: HashMap<UpstreamKey, ListedEngine>,
    by_model: HashMap<String, Vec<UpstreamKey>>,
    plain: HashMap<String, Vec<HostEntry>>,
}

impl Listing {
    fn new(document: HostListing, clients: &dyn UpstreamClients) -> Self {
        let mut listing = Self::default();
        for entry in &document.hosts {
            match entry.role {
                Role::Entry => {}
                Role::Plain => {
                    let group = listing.plain.entry(entry.serves.clone()).or_default();
                    group.push(entry.clone());
                }
                Role::Engine => {
                    let key = UpstreamKey::of(&entry.name);
                    let group = listing.by_model.entry(entry.serves.clone()).or_default();
                    group.push(key);
                    let engine = ListedEngine {
                        key,
                        entry: entry.clone(),
                        client: clients.engine(entry.address),
                    };
                    listing.engines.insert(key, engine);
                }
            }
        }
        listing.document = document;
        listing
    }

    /// The live engines of a model.
    pub(crate) fn engines_of(&self, model: &str) -> impl Iterator<Item = &ListedEngine> {
        let keys = self.by_model.get(model).into_iter().flatten();
        keys.filter_map(|key| self.engines.get(key))
            .filter(|engine| engine.entry.state == ListedState::Live)
    }

    /// The live instances of a plain service.
    pub(crate) fn plain(&self, service: &str) -> impl Iterator<Item = &HostEntry> {
        let group = self.plain.get(service).into_iter().flatten();
        group.filter(|entry| entry.state == ListedState::Live)
    }
}

/// The documents held by this host. A document is only ever replaced by a newer one.
pub(crate) struct Documents {
    active: ArcSwapOption<ActiveConfiguration>,
    listing: ArcSwap<Listing>,
    adopting: Mutex<()>,
    last_contact_ms: AtomicU64,
    /// Set when a fault run disables the comparison of revisions.
    accepts_any_revision: bool,
}

impl Documents {
    pub(crate) fn new(accepts_any_revision: bool) -> Self {
        Self {
            accepts_any_revision,
            active: ArcSwapOption::empty(),
            listing: ArcSwap::from_pointee(Listing::default()),
            adopting: Mutex::new(()),
            last_contact_ms: AtomicU64::new(0),
        }
    }

    pub(crate) fn active(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active.load_full()
    }

    pub(crate) fn listing(&self) -> Arc<Listing> {
        self.listing.load_full()
    }

    /// The versions of the two documents; other versions are left at 0.
    pub(crate) fn versions(&self) -> Versions {
        let root = self.active.load();
        Versions {
            root: root.as_ref().map_or(0, |active| active.root.revision),
            host_list: self.listing.load().document.version,
            ..Versions::default()
        }
    }

    /// Adopts a configuration with a higher revision; true where it was adopted.
    ///
    /// Announcements arrive late and out of order. Adopting an older one would revert an accepted
    /// change. Comparing revisions under the lock is sufficient, since the root's revision only
    /// grows.
    pub(crate) fn adopt_root(&self, newer: ActiveConfiguration) -> bool {
        let _adopting = self.adopting.lock();
        let held = self.versions().root;
        if newer.root.revision <= held && !self.accepts_any_revision {
            return false;
        }
        self.active.store(Some(Arc::new(newer)));
        assert!(
            self.accepts_any_revision || self.versions().root > held,
            "the revision must grow"
        );
        true
    }

    /// Adopts a newer host list; true where it was adopted.
    pub(crate) fn adopt_listing(&self, newer: HostListing, clients: &dyn UpstreamClients) -> bool {
        let _adopting = self.adopting.lock();
        if newer.version <= self.versions().host_list {
            return false;
        }
        self.listing.store(Arc::new(Listing::new(newer, clients)));
        true
    }

    /// Records contact with the platform or a peer.
    pub(crate) fn record_contact(&self, now_ms: Millis) {
        self.last_contact_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn last_contact_ms(&self) -> Millis {
        self.last_contact_ms.load(Ordering::Relaxed)
    }
}
