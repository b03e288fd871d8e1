//! Which data centres are evacuated: their upstreams get no work until the operator takes it back.
//!
//! A few hosts read the operator's word from the store, the others have it from peers, in any order.
//! All entries together are one state, which has the store's revision by which it was last seen to
//! change; a state of a later revision replaces an earlier one, so no host falls back.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::key::Millis;

/// After so long the end of an evacuation is forgotten: its upstreams are cold for seconds. Other writers
/// may leave names without end in the store.
const REMEMBERED_MS: Millis = 600_000;

/// The evacuated data centres at one revision, as hosts tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The revision of the store by which it was seen to be so.
    pub revision: u64,
    /// Names, in order.
    pub data_centres: BTreeSet<String>,
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
    changed: u64,
    /// The revision up to which this host knows of every change.
    seen: u64,
    /// Since when each is evacuated, as this host heard it.
    evacuated: BTreeMap<String, Millis>,
    /// When each data centre was taken back, as this host heard it.
    ended_ms: BTreeMap<String, Millis>,
}

impl EvacuationState {
    /// The revision of a list that may be old: any other that is heard replaces it.
    pub const PROVISIONAL: u64 = 1;
}

impl Evacuations {
    /// The revision of the last change; 0 where nothing was ever heard.
    pub fn revision(&self) -> u64 {
        self.changed
    }

    /// Whether a peer's state is later than all that this host knows.
    pub fn is_behind(&self, theirs: u64) -> bool {
        theirs > self.seen
    }

    /// What this host tells others.
    pub fn state(&self) -> EvacuationState {
        EvacuationState {
            revision: self.changed,
            data_centres: self.evacuated.keys().cloned().collect(),
        }
    }

    /// Whether upstreams of a data centre get no work.
    pub fn covers(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuated.len()
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
        revision: u64,
        data_centres: BTreeSet<String>,
    ) -> bool {
        if revision < self.seen {
            return false;
        }
        let is_first = self.seen <= EvacuationState::PROVISIONAL;
        self.seen = revision;
        let is_new = self.set(now_ms, data_centres);
        // A first list without entries is news as well: a peer that was cut off may hold older ones.
        if is_new || is_first {
            self.changed = revision;
        }
        is_new
    }

    /// Takes the store's changes up to a revision, in order; true where something differs in the end.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        revision: u64,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if revision < self.seen {
            return false;
        }
        self.seen = revision;
        let mut data_centres = self.state().data_centres;
        for change in changes {
            match change {
                EvacuationChange::Begins(name) => data_centres.insert(name),
                EvacuationChange::Ends(name) => data_centres.remove(&name),
            };
        }
        let is_new = self.set(now_ms, data_centres);
        if is_new {
            self.changed = revision;
        }
        is_new
    }

    /// Takes a peer's state; true where it differs from what was known.
    pub fn hear(&mut self, now_ms: Millis, told: EvacuationState) -> bool {
        if !self.is_behind(told.revision) {
            return false;
        }
        self.seen = told.revision;
        self.changed = told.revision;
        self.set(now_ms, told.data_centres)
    }

    fn set(&mut self, now_ms: Millis, data_centres: BTreeSet<String>) -> bool {
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
