//! Contents that completed recently on one host.

use std::collections::HashSet;

use crate::key::{ContentKey, Millis};

/// How long a success counts at most: longer than a caller keeps retrying. The sets are rotated
/// when they are used, so it may count for only half as long.
const SUCCESS_EXPIRY_MS: Millis = 60_000;
/// Maximum number of contents in each of the two sets: about 64 kB per host. A content that
/// is requested so rarely that it is rotated out is not on many upstreams at once either.
const MAX_CONTENTS: usize = 2_048;

/// Contents that completed recently. A poison request never completes, so these contents are not
/// suspects of a crash. Otherwise a health check repeated by many callers would be a suspect of
/// every crash.
#[derive(Debug, Clone, Default)]
pub struct RecentSuccesses {
    recent: HashSet<ContentKey>,
    previous: HashSet<ContentKey>,
    rotated_ms: Millis,
}

impl RecentSuccesses {
    /// Records that a request with this content has completed.
    pub fn record(&mut self, now_ms: Millis, content: ContentKey) {
        self.rotate(now_ms);
        self.recent.insert(content);
    }

    /// Whether a request with this content completed recently.
    pub fn contains(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.rotate(now_ms);
        self.recent.contains(&content) || self.previous.contains(&content)
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
