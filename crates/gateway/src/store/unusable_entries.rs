//! Reports entries in the store that can't be used, at a bounded rate.

use std::collections::HashMap;

use fulmarpath_policy::Millis;
use parking_lot::Mutex;
use spdlog::warn;

use crate::gateway::Gateway;
use crate::log_throttle::LogThrottle;
use crate::store::metadata::{Change, Changes, Snapshot, UnusableEntry};

/// Between two log lines about unusable entries: another writer may write several a second, and the
/// counter includes all of them.
const LOG_INTERVAL_MS: Millis = 5_000;
/// Entries that one line names.
const MAX_NAMED: usize = 3;
/// The longest name and the longest reason in a line.
const MAX_LOGGED_CHARS: usize = 200;

impl Gateway {
    /// Counts the unusable entries of a list.
    pub(crate) fn report_unusable_in_list<T>(&self, what: &'static str, list: &Snapshot<T>) {
        self.report_unusable(what, list.unusable.iter());
    }

    /// Counts the unusable entries among changes.
    pub(crate) fn report_unusable_in_changes<T>(&self, what: &'static str, changes: &Changes<T>) {
        let unusable = changes.changes.iter().filter_map(|change| match change {
            Change::Unusable(unusable) => Some(unusable),
            Change::Put(_) | Change::Removed(_) => None,
        });
        self.report_unusable(what, unusable);
    }

    fn report_unusable<'a>(
        &self,
        what: &'static str,
        unusable: impl Iterator<Item = &'a UnusableEntry>,
    ) {
        let mut named = Vec::new();
        let mut count = 0;
        for entry in unusable {
            if named.len() < MAX_NAMED {
                named.push(describe(entry));
            }
            count += 1;
        }
        if count == 0 {
            return;
        }
        self.metrics.skipped_entries(what, count);
        let now_ms = self.clock.now_ms();
        if self.unusable_log.allows(what, now_ms) {
            let named = named.join("; ");
            warn!("store: {count} entries of {what} can't be used: {named}");
        }
    }
}

/// When unusable entries of each collection were last logged.
#[derive(Debug, Default)]
pub(crate) struct UnusableLog {
    by_collection: Mutex<HashMap<&'static str, LogThrottle>>,
}

impl UnusableLog {
    fn allows(&self, what: &'static str, now_ms: Millis) -> bool {
        let mut by_collection = self.by_collection.lock();
        let throttle = by_collection.entry(what).or_default();
        throttle.allows(now_ms, LOG_INTERVAL_MS)
    }
}

/// The name of an entry and the reason, for the log.
fn describe(entry: &UnusableEntry) -> String {
    let name = entry.name.as_deref().unwrap_or("one without a name");
    let shorten = |text: &str| -> String {
        let escaped = text.chars().flat_map(char::escape_debug);
        escaped.take(MAX_LOGGED_CHARS).collect()
    };
    format!("{}: {}", shorten(name), shorten(&entry.reason))
}
