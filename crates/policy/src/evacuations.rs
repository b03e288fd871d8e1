//! Which data centres are evacuated: their upstreams get no work until the operator takes it back.
//!
//! A few hosts read the operator's word from the store, the others have it from peers, in any order.
//! All entries together are one state, which has the store's revision by which it was last seen to
//! change; a state of a later revision replaces an earlier one, so no host falls back.
//!
//! A store that comes back from a copy may lack what the operator had written last and writes again in
//! its own time. Until then what a host has heard binds on: it keeps such an evacuation for a while.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::key::Millis;
use crate::revision::Revision;

/// After so long the end of an evacuation is forgotten: its upstreams are cold for seconds. Other writers
/// may leave names without end in the store.
const REMEMBERED_MS: Millis = 600_000;
/// How long an evacuation is kept that a store lacks which came back from a copy. An operator who still wants
/// it writes it again sooner; one that was taken back unheard costs its data centre's work for so long.
const UNCONFIRMED_MS: Millis = 30_000;

/// The evacuated data centres at one revision, as hosts tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The revision of the store by which it was seen to be so.
    pub revision: Revision,
    /// Names, in order.
    pub data_centres: BTreeSet<String>,
    /// Those among them that the store lacks since it came back from a copy, and how much longer each is
    /// kept.
    pub unconfirmed: BTreeMap<String, Millis>,
}

/// A change of one data centre, as the store tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It is to get nothing more.
    Begins(String),
    /// It may get work again.
    Ends(String),
}

/// What one host believes of evacuations.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The revision of the last change.
    changed: Revision,
    /// The revision up to which this host knows of every change.
    seen: Revision,
    /// Since when each is evacuated, as this host heard it.
    evacuated: BTreeMap<String, Millis>,
    /// When each data centre was taken back, as this host heard it.
    ended_ms: BTreeMap<String, Millis>,
    /// Evacuated ones that the store lacks since it came back from a copy, and until when each is kept.
    unconfirmed: BTreeMap<String, Millis>,
}

impl EvacuationState {
    /// The revision of a list that may be old: any other that is heard replaces it.
    pub const PROVISIONAL: Revision = Revision::new(0, 1);
}

impl Evacuations {
    /// The revision of the last change; the first of all where nothing was ever heard.
    pub fn revision(&self) -> Revision {
        self.changed
    }

    /// Whether a peer's state is later than all that this host knows.
    pub fn is_behind(&self, theirs: Revision) -> bool {
        theirs > self.seen
    }

    /// What this host tells others.
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

    /// Evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Evacuated ones that the store lacks since it came back from a copy.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// When a data centre was taken back.
    pub fn ended_ms(&self, data_centre: &str) -> Option<Millis> {
        self.ended_ms.get(data_centre).copied()
    }

    /// Since when the longest of the evacuations lasts.
    pub fn oldest_ms(&self) -> Option<Millis> {
        self.evacuated.values().min().copied()
    }

    /// Takes all entries that the store has at a revision; true where they differ from what was known.
    pub fn replace(
        &mut self,
        now_ms: Millis,
        revision: Revision,
        data_centres: BTreeSet<String>,
    ) -> bool {
        if revision < self.seen {
            return false;
        }
        let is_first = self.seen <= EvacuationState::PROVISIONAL;
        let is_return = revision.is_restore_since(self.seen, EvacuationState::PROVISIONAL);
        let is_confirmed = self.confirm(&data_centres);
        if is_return {
            self.keep_missing(now_ms, &data_centres);
        }
        self.seen = revision;
        let is_new = self.set(now_ms, data_centres);
        // A first list without entries is news as well: a peer that was cut off may hold older ones. So is
        // the first of an era, which no peer can compare with what it holds, and an entry that was written
        // again, which peers would end in a while.
        if is_new || is_first || is_return || is_confirmed {
            self.changed = revision;
        }
        is_new
    }

    /// Takes the store's changes up to a revision, in order; true where something differs in the end.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        revision: Revision,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if revision < self.seen {
            return false;
        }
        self.seen = revision;
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
        let is_new = self.set(now_ms, data_centres);
        if is_new || is_confirmed {
            self.changed = revision;
        }
        is_new
    }

    /// Takes a peer's state; true where it differs from what was known.
    pub fn merge_peer(&mut self, now_ms: Millis, told: EvacuationState) -> bool {
        if !self.is_behind(told.revision) {
            return false;
        }
        let provisional = EvacuationState::PROVISIONAL;
        let is_return = told.revision.is_restore_since(self.seen, provisional);
        self.confirm(&told.data_centres);
        if is_return {
            self.keep_missing(now_ms, &told.data_centres);
        }
        let theirs = told.unconfirmed.into_iter();
        let theirs = theirs.map(|(name, left_ms)| (name, now_ms + left_ms));
        self.unconfirmed.extend(theirs);
        self.seen = told.revision;
        self.changed = told.revision;
        self.set(now_ms, told.data_centres)
    }

    /// Ends what the operator has not written again in time; true where there was any.
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

    /// Keeps for good what is there again; true where there was any.
    fn confirm(&mut self, data_centres: &BTreeSet<String>) -> bool {
        let before = self.unconfirmed.len();
        self.unconfirmed
            .retain(|name, _| !data_centres.contains(name));
        self.unconfirmed.len() < before
    }

    /// Keeps for a while what the operator may still want and the store lacks.
    fn keep_missing(&mut self, now_ms: Millis, data_centres: &BTreeSet<String>) {
        let missing = self.evacuated.keys();
        for name in missing.filter(|name| !data_centres.contains(*name)) {
            let until_ms = now_ms + UNCONFIRMED_MS;
            self.unconfirmed.entry(name.clone()).or_insert(until_ms);
        }
    }

    fn set(&mut self, now_ms: Millis, mut data_centres: BTreeSet<String>) -> bool {
        data_centres.extend(self.unconfirmed.keys().cloned());
        self.ended_ms
            .retain(|_, ended_ms| now_ms.saturating_sub(*ended_ms) < REMEMBERED_MS);
        let ended: Vec<String> = self
            .evacuated
            .keys()
            .filter(|name| !data_centres.contains(*name))
            .cloned()
            .collect();
        let mut is_new = !ended.is_empty();
        for name in ended {
            self.evacuated.remove(&name);
            self.ended_ms.insert(name, now_ms);
        }
        for name in data_centres {
            if !self.evacuated.contains_key(&name) {
                self.ended_ms.remove(&name);
                self.evacuated.insert(name, now_ms);
                is_new = true;
            }
        }
        is_new
    }
}
