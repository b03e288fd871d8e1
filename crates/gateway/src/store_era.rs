//! Which era of the store this host has heard of.

use std::fmt::Display;

use fulmarpath_policy::{Millis, Revision};
use parking_lot::Mutex;
use spdlog::{info, warn};

use crate::directory::Directory;
use crate::gateway::Gateway;
use crate::log_throttle::LogThrottle;

/// Between two lines of the log about answers that are dropped: calls may come many a second, and the
/// counter has all of them.
const SILENCE_MS: Millis = 1_000;

/// What the payload begins with of the line that tells of a return from a copy; both eras follow.
pub const STORE_RESTORED_PREFIX: &str = "store: it came back from a copy: ";

/// The latest era that this host has heard of.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    latest: Mutex<Option<u64>>,
    dropped_log: LogThrottle,
}

impl StoreEra {
    /// The latest; `None` where none was heard.
    pub(crate) fn latest(&self) -> Option<u64> {
        *self.latest.lock()
    }

    /// Hears an era.
    fn observe(&self, era: u64) -> EraUpdate {
        let mut latest = self.latest.lock();
        let before = latest.replace(era);
        match before {
            None => EraUpdate::First,
            Some(before) if before < era => EraUpdate::Return { before },
            Some(before) => {
                *latest = Some(before);
                EraUpdate::Nothing
            }
        }
    }
}

/// What is new about an era that was heard.
enum EraUpdate {
    /// It is the first.
    First,
    /// The store has come back from a copy.
    Return {
        /// The latest before.
        before: u64,
    },
    /// It is known, or over.
    Nothing,
}

impl Gateway {
    /// Hears of a state of the store, from itself or from a peer. One that nobody knows for certain tells
    /// no era.
    pub(crate) fn observe_era(&self, revision: Revision, source: impl Display) {
        if revision <= Directory::PROVISIONAL {
            return;
        }
        let era = revision.era;
        match self.store_era.observe(era) {
            EraUpdate::First => info!("store: era {era}, told by {source}"),
            EraUpdate::Return { before } => {
                warn!("{STORE_RESTORED_PREFIX}era {era} follows {before}, told by {source}");
                self.fleet.mark_entry_lost();
            }
            EraUpdate::Nothing => return,
        }
        self.metrics.store_era.set(era as i64);
    }

    /// Counts an answer of the store that tells of a state before the one that is known.
    pub(crate) fn report_stale_answer(&self, what: &'static str, heard: Revision, held: Revision) {
        self.metrics.drop_answer(what);
        let now_ms = self.clock.now_ms();
        if self.store_era.dropped_log.allows(now_ms, SILENCE_MS) {
            warn!(
                "store: an answer on {what} is dropped: revision {heard}, after {held} was heard"
            );
        }
    }
}
