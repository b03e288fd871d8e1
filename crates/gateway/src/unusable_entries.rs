//! Tells of entries in the store that can't be used, without letting their number decide how much.

use fulmarpath_policy::Millis;
use spdlog::warn;

use crate::gateway::Gateway;
use crate::metadata::{Change, Changes, Snapshot, UnusableEntry};

/// Between two lines of the log about entries that can't be used: whoever writes them may write
/// several a second, and the counter has all of them.
const SILENCE_MS: Millis = 5_000;

impl Gateway {
    /// Counts what can't be used of a list.
    pub(crate) fn report_unusable_in_list<T>(&self, what: &'static str, list: &Snapshot<T>) {
        self.skip(what, list.unusable.iter());
    }

    /// Counts what can't be used of changes.
    pub(crate) fn report_unusable_in_changes<T>(&self, what: &'static str, changes: &Changes<T>) {
        let unusable = changes.changes.iter().filter_map(|change| match change {
            Change::Unusable(unusable) => Some(unusable),
            Change::Put(_) | Change::Removed(_) => None,
        });
        self.skip(what, unusable);
    }

    fn skip<'a>(&self, what: &'static str, unusable: impl Iterator<Item = &'a UnusableEntry>) {
        let mut first = None;
        let mut count = 0;
        for one in unusable {
            first.get_or_insert(one);
            count += 1;
        }
        let Some(first) = first else { return };
        self.metrics.skip_entries(what, count);
        if self.unusable_log.allows(self.clock.now_ms(), SILENCE_MS) {
            let name = first.name.as_deref().unwrap_or("without a name");
            let reason = &first.reason;
            warn!("store: {count} entries of {what} can't be used, as {name}: {reason}");
        }
    }
}
