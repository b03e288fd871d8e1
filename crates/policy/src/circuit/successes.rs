//! Contents that ended well lately, at one host.

use std::collections::HashSet;

use crate::key::{ContentKey, Millis};

/// How long a success counts: longer than a caller goes on trying.
const SUCCESS_MS: Millis = 60_000;
/// Contents in each half: some 64 kB a host. A content that is asked for less often than that is not
/// on many upstreams at once either.
const MOST: usize = 2_048;

/// Contents that ended well lately. What ends each upstream that begins to run it never does, so
/// these are no suspects of a crash: a check that many callers repeat would otherwise be on every
/// upstream that ends.
#[derive(Debug, Clone, Default)]
pub struct RecentSuccesses {
    recent: HashSet<ContentKey>,
    before: HashSet<ContentKey>,
    turned_ms: Millis,
}

impl RecentSuccesses {
    /// A request of this content was answered whole.
    pub fn record(&mut self, now_ms: Millis, content: ContentKey) {
        self.version(now_ms);
        self.recent.insert(content);
    }

    /// Whether one was lately.
    pub fn contains(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.version(now_ms);
        self.recent.contains(&content) || self.before.contains(&content)
    }

    /// Drops the older half when it is too old, or the newer one full.
    fn version(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.turned_ms);
        if age_ms < SUCCESS_MS / 2 && self.recent.len() < MOST {
            return;
        }
        self.turned_ms = now_ms;
        self.before = std::mem::take(&mut self.recent);
    }
}
