//! Tracks the era of the store.

use std::fmt::Display;

use fulmarpath_policy::{Millis, Revision};
use parking_lot::Mutex;
use spdlog::{info, warn};

use crate::gateway::Gateway;
use crate::log_throttle::LogThrottle;
use crate::roster::directory::Directory;

/// Between two log lines about dropped answers: there may be many calls a second, and the counter
/// includes all of them.
const LOG_INTERVAL_MS: Millis = 1_000;

/// Start of the log line on a store that was restored from a backup; both eras follow.
pub const STORE_RESTORED_PREFIX: &str = "store: it came back from a copy: ";

/// The latest era that this host has observed.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    latest: Mutex<Option<u64>>,
    dropped_log: LogThrottle,
}

impl StoreEra {
    /// The latest era; `None` before the first.
    pub(crate) fn latest(&self) -> Option<u64> {
        *self.latest.lock()
    }

    /// Records the era of an answer or an update.
    fn observe(&self, era: u64) -> EraUpdate {
        let mut latest = self.latest.lock();
        let before = latest.replace(era);
        match before {
            None => EraUpdate::First,
            Some(before) if before < era => EraUpdate::Restored { before },
            Some(before) => {
                *latest = Some(before);
                EraUpdate::Unchanged
            }
        }
    }
}

/// The effect of an observed era.
enum EraUpdate {
    /// It is the first one.
    First,
    /// The store was restored from a backup.
    Restored {
        /// The latest era before.
        before: u64,
    },
    /// The era is known already, or has ended.
    Unchanged,
}

impl Gateway {
    /// Records the era of a revision from the store or a peer. A provisional revision has no era.
    pub(crate) fn observe_era(&self, revision: Revision, source: impl Display) {
        if revision <= Directory::PROVISIONAL {
            return;
        }
        let era = revision.era;
        match self.store_era.observe(era) {
            EraUpdate::First => info!("store: era {era}, told by {source}"),
            EraUpdate::Restored { before } => {
                warn!("{STORE_RESTORED_PREFIX}era {era} follows {before}, told by {source}");
                self.fleet.mark_entry_lost();
            }
            EraUpdate::Unchanged => return,
        }
        self.metrics.store_era.set(era as i64);
    }

    /// Counts an answer of the store with a state before the known one.
    pub(crate) fn report_stale_answer(
        &self,
        what: &'static str,
        received: Revision,
        known: Revision,
    ) {
        self.metrics.dropped_answer(what);
        let now_ms = self.clock.now_ms();
        if self.store_era.dropped_log.allows(now_ms, LOG_INTERVAL_MS) {
            warn!("store: stale answer on {what} dropped: revision {received} is before {known}");
        }
    }
}
