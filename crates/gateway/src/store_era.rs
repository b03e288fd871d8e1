//! Which era of the store this host has heard of.

use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};

use fulmarpath_policy::{Millis, Revision};
use parking_lot::Mutex;
use spdlog::{info, warn};

use crate::gateway::Gateway;

/// Between two lines of the log about answers that are dropped: calls may come many a second, and the
/// counter has all of them.
const SILENCE_MS: Millis = 1_000;

/// What the payload begins with of the line that tells of a return from a copy; both eras follow.
pub const RETURN_PREFIX: &str = "store: it came back from a copy: ";

/// The latest era that this host has heard of.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    latest: AtomicU64,
    told_ms: Mutex<Option<Millis>>,
}

impl StoreEra {
    /// The latest; 0 where none was heard.
    pub(crate) fn latest(&self) -> u64 {
        self.latest.load(Ordering::Relaxed)
    }

    /// Hears an era; the one that was the latest before, where this one is later.
    fn hear(&self, era: u64) -> Option<u64> {
        let before = self.latest.fetch_max(era, Ordering::Relaxed);
        (before < era).then_some(before)
    }

    fn may_tell(&self, now_ms: Millis) -> bool {
        let mut told_ms = self.told_ms.lock();
        let may = told_ms.is_none_or(|told_ms| now_ms.saturating_sub(told_ms) >= SILENCE_MS);
        if may {
            *told_ms = Some(now_ms);
        }
        may
    }
}

impl Gateway {
    /// Hears which era the store is in, from itself or from a peer.
    pub(crate) fn hear_era(&self, era: u64, source: impl Display) {
        let Some(before) = self.store_era.hear(era) else {
            return;
        };
        self.metrics.store_era.set(era as i64);
        match before {
            0 => info!("store: era {era}, told by {source}"),
            _ => warn!("{RETURN_PREFIX}era {era} follows {before}, told by {source}"),
        }
    }

    /// Counts an answer of the store that tells of a state before the one that is known.
    pub(crate) fn drop_answer(&self, what: &'static str, heard: Revision, held: Revision) {
        self.metrics.drop_answer(what);
        if self.store_era.may_tell(self.clock.now_ms()) {
            warn!(
                "store: an answer on {what} is dropped: revision {heard}, after {held} was heard"
            );
        }
    }
}
