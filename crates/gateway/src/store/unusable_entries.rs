//! Reports entries in the store that can't be used, at a bounded rate.

use fulmarpath_policy::Millis;
use spdlog::warn;

use crate::gateway::Gateway;
use crate::store::metadata::{Change, Changes, Snapshot, UnusableEntry};

/// Between two log lines about unusable entries: another writer may write several a second, and the
/// counter includes all of them.
const LOG_INTERVAL_MS: Millis = 5_000;

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
        let mut first = None;
        let mut count = 0;
        for entry in unusable {
            first.get_or_insert(entry);
            count += 1;
        }
        let Some(first) = first else { return };
        self.metrics.skipped_entries(what, count);
        if self
            .unusable_log
            .allows(self.clock.now_ms(), LOG_INTERVAL_MS)
        {
            let name = first.name.as_deref().unwrap_or("one without a name");
            let reason = &first.reason;
            warn!("store: {count} entries of {what} can't be used, the first is {name}: {reason}");
        }
    }
}
