//! Upstreams that have gone, as peers that are behind are told of them, and as a store that comes back
//! from a copy may name them again.

use std::collections::HashMap;

use fulmarpath_policy::{Millis, Revision};

use crate::directory::{Departure, Registration};

/// At most this many are kept: ten times those that go while news pass through a fleet, at hundreds a
/// second.
const MOST: usize = 1_024;
/// Kept once there are too many.
const KEPT: usize = MOST / 2;
/// For so long a departure is kept. A copy that a store comes back from is some seconds old.
const REMEMBERED_MS: Millis = 30_000;

#[derive(Debug, Clone)]
struct Gone {
    departure: Departure,
    /// When this host heard.
    heard_ms: Millis,
}

/// Upstreams that have gone.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    gone: HashMap<String, Gone>,
    /// What went up to this revision is not remembered.
    forgotten: Revision,
}

impl Departures {
    /// What went up to this revision is not remembered.
    pub(crate) fn forgotten(&self) -> Revision {
        self.forgotten
    }

    /// One has gone.
    pub(crate) fn add(&mut self, now_ms: Millis, departure: Departure) {
        let name = departure.instance.clone();
        let gone = Gone {
            departure,
            heard_ms: now_ms,
        };
        self.gone.insert(name, gone);
        if self.gone.len() > MOST {
            self.forget_oldest();
        }
    }

    /// One is there, again or still.
    pub(crate) fn remove(&mut self, instance: &str) {
        self.gone.remove(instance);
    }

    /// Whether this very start had gone before an era.
    pub(crate) fn has_gone_before(&self, start: &Registration, era: u64) -> bool {
        let gone = self.gone.get(&start.instance);
        gone.is_some_and(|gone| {
            gone.departure.started_at_ms == start.started_at_ms && gone.departure.at.era < era
        })
    }

    /// Those that have gone since a revision.
    pub(crate) fn since(&self, revision: Revision) -> Vec<Departure> {
        let gone = self.gone.values().map(|gone| &gone.departure);
        gone.filter(|gone| gone.at > revision).cloned().collect()
    }

    /// Forgets what went long ago.
    pub(crate) fn expire(&mut self, now_ms: Millis) {
        let is_old = |gone: &Gone| now_ms.saturating_sub(gone.heard_ms) >= REMEMBERED_MS;
        let old = self.gone.values().filter(|gone| is_old(gone));
        let Some(latest) = old.map(|gone| gone.departure.at).max() else {
            return;
        };
        self.forgotten = self.forgotten.max(latest);
        self.gone.retain(|_, gone| !is_old(gone));
    }

    fn forget_oldest(&mut self) {
        let mut order: Vec<Revision> = self.gone.values().map(|gone| gone.departure.at).collect();
        order.sort_unstable();
        let latest = order[order.len() - KEPT - 1];
        self.forgotten = self.forgotten.max(latest);
        self.gone.retain(|_, gone| gone.departure.at > latest);
    }
}
