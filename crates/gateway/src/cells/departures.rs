//! Upstreams that have left. Peers that are behind are sent these departures, and a store that is
//! restored from a backup may list the upstreams again.

use std::collections::HashMap;

use fulmarpath_policy::{Millis, Revision};

use crate::roster::directory::{Departure, Registration};

/// Maximum number of stored departures: ten times as many as occur, at hundreds a second, while an
/// update reaches all hosts of a fleet.
const MAX_DEPARTURES: usize = 1_024;
/// Departures that remain after the limit was exceeded.
const KEPT_DEPARTURES: usize = MAX_DEPARTURES / 2;
/// How long a departure is stored. The backup from which a store is restored is some seconds old.
const DEPARTURE_TTL_MS: Millis = 30_000;

#[derive(Debug, Clone)]
struct StoredDeparture {
    departure: Departure,
    /// When this host learnt of the departure.
    learnt_ms: Millis,
}

/// Upstreams that have left.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    stored: HashMap<String, StoredDeparture>,
    /// Departures up to this revision may be missing.
    truncated_at: Revision,
}

impl Departures {
    /// Departures up to this revision may be missing.
    pub(crate) fn truncated_at(&self) -> Revision {
        self.truncated_at
    }

    /// Adds a departure, in place of an older one of the same upstream.
    pub(crate) fn add(&mut self, now_ms: Millis, departure: Departure) {
        let name = departure.instance.clone();
        let stored = StoredDeparture {
            departure,
            learnt_ms: now_ms,
        };
        self.stored.insert(name, stored);
        if self.stored.len() > MAX_DEPARTURES {
            self.remove_oldest();
        }
    }

    /// Removes the departure of an upstream that is present again; returns whether this incarnation
    /// had left.
    pub(crate) fn remove(&mut self, registration: &Registration) -> bool {
        let removed = self.stored.remove(&registration.instance);
        removed.is_some_and(|stored| stored.departure.started_at_ms == registration.started_at_ms)
    }

    /// Whether this incarnation of an upstream had left before an era.
    pub(crate) fn left_before_era(&self, registration: &Registration, era: u64) -> bool {
        let stored = self.stored.get(&registration.instance);
        stored.is_some_and(|stored| {
            let departure = &stored.departure;
            departure.started_at_ms == registration.started_at_ms && departure.at.era < era
        })
    }

    /// Whether an upstream that has left had stated its start time.
    pub(crate) fn has_start_time(&self, instance: &str) -> bool {
        let stored = self.stored.get(instance);
        stored.is_some_and(|stored| stored.departure.started_at_ms.is_some())
    }

    /// Departures after a revision.
    pub(crate) fn since(&self, revision: Revision) -> Vec<Departure> {
        let stored = self.stored.values().map(|stored| &stored.departure);
        stored
            .filter(|stored| stored.at > revision)
            .cloned()
            .collect()
    }

    /// Removes departures older than [`DEPARTURE_TTL_MS`].
    pub(crate) fn expire(&mut self, now_ms: Millis) {
        let is_old =
            |stored: &StoredDeparture| now_ms.saturating_sub(stored.learnt_ms) >= DEPARTURE_TTL_MS;
        let old = self.stored.values().filter(|stored| is_old(stored));
        let Some(latest) = old.map(|stored| stored.departure.at).max() else {
            return;
        };
        self.truncated_at = self.truncated_at.max(latest);
        self.stored.retain(|_, stored| !is_old(stored));
    }

    fn remove_oldest(&mut self) {
        let mut order: Vec<Revision> = self
            .stored
            .values()
            .map(|stored| stored.departure.at)
            .collect();
        order.sort_unstable();
        let latest = order[order.len() - KEPT_DEPARTURES - 1];
        self.truncated_at = self.truncated_at.max(latest);
        self.stored.retain(|_, stored| stored.departure.at > latest);
    }
}
