//! Evacuated data centres: their upstreams get no work until the operator ends the evacuation.
//!
//! A few hosts read the evacuations from the store. The others receive them from peers, in any
//! order. All entries together form one state with the store's revision of its last change. A
//! state of a later revision replaces an earlier one, so no host reverts to an older state.
//!
//! A store that was restored from a backup may lack the operator's latest changes until the
//! operator writes them again. Meanwhile a host keeps the evacuations that it knows for a limited
//! time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::key::Millis;
use crate::revision::Revision;

/// How long the end of an evacuation is remembered. It is needed only for the seconds in which the
/// upstreams are cold. Without a limit, names that other writers add to and remove from the store
/// would accumulate.
const ENDED_RETENTION_MS: Millis = 600_000;
/// How long an evacuation is kept that is missing from a restored store. An operator who still
/// wants it writes it again sooner. If it had been ended meanwhile, its data centre gets no work
/// for this time.
const UNCONFIRMED_TTL_MS: Millis = 30_000;

/// The evacuated data centres at one revision, as hosts exchange them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The revision of the store at which this state was read.
    pub revision: Revision,
    /// Names of the evacuated data centres.
    pub data_centres: BTreeSet<String>,
    /// Those among them that are missing from the restored store, and how much longer each is kept,
    /// in ms.
    pub unconfirmed: BTreeMap<String, Millis>,
}

/// A change of one data centre, as reported by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of the named data centre begins.
    Begins(String),
    /// The named data centre may get work again.
    Ends(String),
}

/// The evacuations known to one host.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The revision of the last change.
    changed: Revision,
    /// The revision up to which this host knows every change.
    known: Revision,
    /// When this host learned of each evacuation.
    evacuated: BTreeMap<String, Millis>,
    /// When this host learned that each evacuation had ended.
    ended_ms: BTreeMap<String, Millis>,
    /// Evacuations that are missing from the restored store, and until when each is kept.
    unconfirmed: BTreeMap<String, Millis>,
}

impl EvacuationState {
    /// Revision of a list that may be stale. Any other state replaces it.
    pub const PROVISIONAL: Revision = Revision::new(0, 1);
}

impl Evacuations {
    /// The revision of the last change, or the default if none is known.
    pub fn revision(&self) -> Revision {
        self.changed
    }

    /// Whether a peer's revision is later than all that this host knows.
    pub fn is_behind(&self, theirs: Revision) -> bool {
        theirs > self.known
    }

    /// The state to send to peers.
    pub fn state(&self, now_ms: Millis) -> EvacuationState {
        let unconfirmed = self.unconfirmed.iter();
        let left = unconfirmed.map(|(name, until_ms)| (name, until_ms.saturating_sub(now_ms)));
        EvacuationState {
            revision: self.changed,
            data_centres: self.names(),
            unconfirmed: left
                .map(|(name, left_ms)| (name.clone(), left_ms))
                .collect(),
        }
    }

    fn names(&self) -> BTreeSet<String> {
        self.evacuated.keys().cloned().collect()
    }

    /// Whether upstreams of a data centre get no work.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Number of evacuations that are missing from the restored store.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// When the evacuation of a data centre ended.
    pub fn ended_ms(&self, data_centre: &str) -> Option<Millis> {
        self.ended_ms.get(data_centre).copied()
    }

    /// When the oldest current evacuation began.
    pub fn oldest_ms(&self) -> Option<Millis> {
        self.evacuated.values().min().copied()
    }

    /// Replaces the state with all entries of the store at a revision. Returns whether the
    /// evacuated data centres changed.
    pub fn replace(
        &mut self,
        now_ms: Millis,
        revision: Revision,
        data_centres: BTreeSet<String>,
    ) -> bool {
        if revision < self.known {
            return false;
        }
        let is_first = self.known <= EvacuationState::PROVISIONAL;
        let is_restore = revision.is_restore_since(self.known, EvacuationState::PROVISIONAL);
        let is_confirmed = self.confirm(&data_centres);
        if is_restore {
            self.keep_missing(now_ms, &data_centres);
        }
        self.known = revision;
        let has_changed = self.set(now_ms, data_centres);
        // Announce an empty first list too, since a peer that was partitioned may hold older
        // entries. The same applies to the first list of an era, because revisions of different
        // eras are not comparable, and to an entry that was written again, because peers would
        // let it expire.
        if has_changed || is_first || is_restore || is_confirmed {
            self.changed = revision;
        }
        has_changed
    }

    /// Applies the store's changes up to a revision, in order. Returns whether the evacuated data
    /// centres changed.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        revision: Revision,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if revision < self.known {
            return false;
        }
        self.known = revision;
        let mut data_centres = self.names();
        let mut is_confirmed = false;
        for change in changes {
            let (EvacuationChange::Begins(name) | EvacuationChange::Ends(name)) = &change;
            is_confirmed |= self.unconfirmed.remove(name).is_some();
            match change {
                EvacuationChange::Begins(name) => data_centres.insert(name),
                EvacuationChange::Ends(name) => data_centres.remove(&name),
            };
        }
        let has_changed = self.set(now_ms, data_centres);
        if has_changed || is_confirmed {
            self.changed = revision;
        }
        has_changed
    }

    /// Merges a peer's state. Returns whether the evacuated data centres changed.
    pub fn merge_peer(&mut self, now_ms: Millis, peer: EvacuationState) -> bool {
        if !self.is_behind(peer.revision) {
            return false;
        }
        let provisional = EvacuationState::PROVISIONAL;
        let is_restore = peer.revision.is_restore_since(self.known, provisional);
        self.confirm(&peer.data_centres);
        if is_restore {
            self.keep_missing(now_ms, &peer.data_centres);
        }
        let unconfirmed = peer.unconfirmed.into_iter();
        let unconfirmed = unconfirmed.map(|(name, left_ms)| (name, now_ms.saturating_add(left_ms)));
        self.unconfirmed.extend(unconfirmed);
        self.known = peer.revision;
        self.changed = peer.revision;
        self.set(now_ms, peer.data_centres)
    }

    /// Ends unconfirmed evacuations that the operator has not written again in time. Returns
    /// whether there were any.
    pub fn expire(&mut self, now_ms: Millis) -> bool {
        let before = self.unconfirmed.len();
        if before == 0 {
            return false;
        }
        let mut data_centres = self.names();
        self.unconfirmed.retain(|name, until_ms| {
            let is_kept = now_ms < *until_ms;
            if !is_kept {
                data_centres.remove(name);
            }
            is_kept
        });
        self.unconfirmed.len() < before && self.set(now_ms, data_centres)
    }

    /// Marks evacuations as confirmed that the store has again. Returns whether there were any.
    fn confirm(&mut self, data_centres: &BTreeSet<String>) -> bool {
        let before = self.unconfirmed.len();
        self.unconfirmed
            .retain(|name, _| !data_centres.contains(name));
        self.unconfirmed.len() < before
    }

    /// Keeps evacuations that are missing from a restored store for a limited time, because the
    /// operator may still want them.
    fn keep_missing(&mut self, now_ms: Millis, data_centres: &BTreeSet<String>) {
        let missing = self.evacuated.keys();
        for name in missing.filter(|name| !data_centres.contains(*name)) {
            let until_ms = now_ms + UNCONFIRMED_TTL_MS;
            self.unconfirmed.entry(name.clone()).or_insert(until_ms);
        }
    }

    /// Sets the evacuated data centres and adds the unconfirmed ones. Returns whether any changed.
    fn set(&mut self, now_ms: Millis, mut data_centres: BTreeSet<String>) -> bool {
        data_centres.extend(self.unconfirmed.keys().cloned());
        self.ended_ms
            .retain(|_, ended_ms| now_ms.saturating_sub(*ended_ms) < ENDED_RETENTION_MS);
        let ended: Vec<String> = self
            .evacuated
            .keys()
            .filter(|name| !data_centres.contains(*name))
            .cloned()
            .collect();
        let mut has_changed = !ended.is_empty();
        for name in ended {
            self.evacuated.remove(&name);
            self.ended_ms.insert(name, now_ms);
        }
        for name in data_centres {
            if !self.evacuated.contains_key(&name) {
                self.ended_ms.remove(&name);
                self.evacuated.insert(name, now_ms);
                has_changed = true;
            }
        }
        has_changed
    }
}
