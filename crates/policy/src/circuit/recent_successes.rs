//! Contents that were answered recently on one host.

use std::collections::HashMap;

use crate::key::{ContentKey, Millis};

/// How long a success counts at most: longer than a caller keeps retrying. The sets are rotated
/// when they are used, so it may count for only half as long.
const SUCCESS_EXPIRY_MS: Millis = 60_000;
/// Maximum number of contents in each of the two sets: about 64 kB per host. A content that
/// is requested so rarely that it is rotated out is not on many upstreams at once either.
const MAX_CONTENTS: usize = 2_048;

/// Contents that were answered recently. A poison request never is, so these contents are not
/// suspects of a crash. Otherwise a health check repeated by many callers would be a suspect of
/// every crash.
#[derive(Debug, Clone, Default)]
pub struct RecentSuccesses {
    /// When an upstream last began to answer each content.
    recent: HashMap<ContentKey, Millis>,
    previous: HashMap<ContentKey, Millis>,
    rotated_ms: Millis,
}

impl RecentSuccesses {
    /// Records that a request with this content, which an upstream began to answer at `began_ms`,
    /// did not crash it.
    pub fn record(&mut self, now_ms: Millis, content: ContentKey, began_ms: Millis) {
        self.rotate(now_ms);
        let latest_ms = self.recent.entry(content).or_insert(began_ms);
        *latest_ms = began_ms.max(*latest_ms);
    }

    /// Whether a request with this content was answered recently.
    pub fn contains(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.latest_ms(now_ms, content).is_some()
    }

    /// When an upstream last began to answer a request with this content; `None` if that is not
    /// remembered.
    pub fn latest_ms(&mut self, now_ms: Millis, content: ContentKey) -> Option<Millis> {
        self.rotate(now_ms);
        let sets = [&self.recent, &self.previous];
        sets.into_iter()
            .filter_map(|set| set.get(&content).copied())
            .max()
    }

    /// Drops the older set when it has expired or the newer one is full, and both when the newer
    /// one has expired as well.
    fn rotate(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.rotated_ms);
        if age_ms >= SUCCESS_EXPIRY_MS {
            self.recent.clear();
        }
        if age_ms < SUCCESS_EXPIRY_MS / 2 && self.recent.len() < MAX_CONTENTS {
            return;
        }
        self.rotated_ms = now_ms;
        self.previous = std::mem::take(&mut self.recent);
    }
}
