//! Watches the operator's evacuations of data centres, and announces them to the hosts of this
//! area.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{EvacuationChange, EvacuationState, Evacuations, Millis};
use fulmarpath_wire::ReplicatedState;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::encoding::{EncodingError, decode};
use crate::gateway::Gateway;
use crate::store::collection_reader::{CollectionReader, StoreUpdate, outcome};
use crate::store::metadata::{Change, Changes, Freshness, Snapshot};
use crate::store::sync::WATCH_WAIT_FRACTION;

const LOG_NAME: &str = "the evacuations";

impl Gateway {
    /// Watches the operator's evacuations, which have to be in force within `bound_ms`.
    pub(crate) async fn sync_evacuations(self: Arc<Self>, bound_ms: Millis) {
        let source = &*self.metadata.evacuations;
        let wait = Duration::from_millis((bound_ms as f32 * WATCH_WAIT_FRACTION) as Millis);
        let mut reader = CollectionReader::new(LOG_NAME, "evacuations");
        let mut revision = None;
        loop {
            if !self.is_watcher() {
                revision = None;
                sleep(self.watch_check_period()).await;
                continue;
            }
            match reader.read(&self, source, revision, wait).await {
                Ok(update) => {
                    revision = Some(update.revision());
                    match update {
                        StoreUpdate::Snapshot(all) => self.apply_evacuation_list(all),
                        StoreUpdate::Changes(changes) => self.apply_evacuation_changes(changes),
                    }
                }
                Err(error) => {
                    revision = None;
                    reader.handle_failure(&self, &error).await;
                }
            }
        }
    }

    /// Reads the evacuations once if no peer has provided them.
    pub(crate) async fn read_evacuations(&self) {
        if self.settings.evacuation_bound_ms.is_none() {
            return;
        }
        let listed = self.metadata.evacuations.list(Freshness::MayBeStale).await;
        self.metrics.store_call("evacuations", outcome(&listed));
        match listed {
            Ok(all) => {
                let state = EvacuationState {
                    revision: EvacuationState::PROVISIONAL,
                    data_centres: names(&all),
                    ..EvacuationState::default()
                };
                self.apply_evacuations(state, "a possibly stale list of the store");
            }
            Err(error) => warn!("store: {LOG_NAME} can't be read: {error}"),
        }
    }

    fn apply_evacuation_list(self: &Arc<Self>, all: Snapshot<String>) {
        let names = names(&all);
        let is_new = self.change_evacuations("the store", |evacuations, now_ms| {
            evacuations.replace(now_ms, all.revision, names)
        });
        if is_new {
            self.announce_evacuations();
        }
    }

    fn apply_evacuation_changes(self: &Arc<Self>, changes: Changes<String>) {
        let evacuation_changes = changes.changes.into_iter().filter_map(evacuation_change);
        let is_new = self.change_evacuations("the store", |evacuations, now_ms| {
            evacuations.apply(now_ms, changes.revision, evacuation_changes)
        });
        if is_new {
            self.announce_evacuations();
        }
    }

    /// Applies a peer's state.
    pub(crate) fn apply_evacuations(&self, state: EvacuationState, source: &str) {
        self.observe_era(state.revision, source);
        self.change_evacuations(source, |evacuations, now_ms| {
            evacuations.merge_peer(now_ms, state)
        });
    }

    /// Applies a watcher's update.
    pub(crate) fn handle_evacuations(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.apply_evacuations(decode(ReplicatedState::Evacuations, value)?, "a watcher");
        Ok(())
    }

    /// Ends evacuations that the operator has not written again since the store's restore from a
    /// backup.
    pub(crate) fn expire_evacuations(&self) {
        self.change_evacuations("expiry", |evacuations, now_ms| evacuations.expire(now_ms));
    }

    fn change_evacuations(
        &self,
        source: &str,
        change: impl FnOnce(&mut Evacuations, Millis) -> bool,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        let state = {
            let mut evacuations = self.evacuations.lock();
            let kept_before = evacuations.unconfirmed_count();
            let is_new = change(&mut evacuations, now_ms);
            let kept = evacuations.unconfirmed_count();
            if kept > kept_before {
                info!("evacuations: {kept} kept that the store lacks, by {source}");
            }
            if !is_new {
                return false;
            }
            evacuations.state(now_ms)
        };
        let names: Vec<String> = state
            .data_centres
            .iter()
            .map(|name| name.escape_debug().to_string())
            .collect();
        let revision = state.revision;
        match names.is_empty() {
            true => info!("evacuations: none at revision {revision}, by {source}"),
            false => info!(
                "evacuations: upstreams in {} get no work at revision {revision}, by {source}",
                names.join(", ")
            ),
        }
        self.apply_directory(&mut roster);
        true
    }

    /// Announces the evacuations that this host has read from the store.
    fn announce_evacuations(self: &Arc<Self>) {
        let state = self.evacuations.lock().state(self.clock.now_ms());
        self.announce(ReplicatedState::Evacuations, &state, self.area_branches());
    }
}

/// The data centres in a list. The name alone states the evacuation, so an entry that can't be read
/// counts too.
fn names(all: &Snapshot<String>) -> BTreeSet<String> {
    let unreadable = all.unusable.iter().filter_map(|entry| entry.name.clone());
    all.items.iter().cloned().chain(unreadable).collect()
}

fn evacuation_change(change: Change<String>) -> Option<EvacuationChange> {
    match change {
        Change::Put(name) => Some(EvacuationChange::Begins(name)),
        Change::Removed(name) => Some(EvacuationChange::Ends(name)),
        Change::Unusable(unusable) => unusable.name.map(EvacuationChange::Begins),
    }
}
