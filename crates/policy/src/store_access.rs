//! What the hosts of an area know of each other's access to the store.
//!
//! The store may reject some hosts and serve the others. Those that it rejects say so, and others
//! read it in their place. As long as one of these does, changes reach all hosts of the area, and
//! nobody has to find out by other means what the store would tell.

use std::collections::HashMap;

use crate::key::{HostKey, Millis};

/// How long the word of a host that it can't read the store holds: several of its announcements.
const UNREADABLE_TTL_MS: Millis = 2_500;
/// How long the word of a host that it reads the store holds: the longest watch, and then some.
const READABLE_TTL_MS: Millis = 4_000;

#[derive(Debug, Clone, Copy)]
struct Unreadable {
    since_ms: Millis,
    until_ms: Millis,
}

/// The access of an area's hosts to the store, by their announcements.
#[derive(Debug, Clone, Default)]
pub struct StoreAccess {
    unreadable: HashMap<HostKey, Unreadable>,
    /// When a host last said that it reads the store.
    readable_ms: Option<Millis>,
}

impl StoreAccess {
    /// Records that a host can't read the store.
    pub fn record_unreadable(&mut self, now_ms: Millis, host: HostKey) {
        self.unreadable.retain(|_, known| now_ms < known.until_ms);
        let until_ms = now_ms + UNREADABLE_TTL_MS;
        let known = self.unreadable.entry(host).or_insert(Unreadable {
            since_ms: now_ms,
            until_ms,
        });
        known.until_ms = until_ms;
    }

    /// Records that a host has just read the store.
    pub fn record_readable(&mut self, now_ms: Millis) {
        self.readable_ms = Some(now_ms);
    }

    /// Whether a host can't read the store.
    pub fn is_unreadable_to(&self, now_ms: Millis, host: HostKey) -> bool {
        let known = self.unreadable.get(&host);
        known.is_some_and(|known| now_ms < known.until_ms)
    }

    /// Whether any host can't read the store.
    pub fn is_unreadable(&self, now_ms: Millis) -> bool {
        let mut known = self.unreadable.values();
        known.any(|known| now_ms < known.until_ms)
    }

    /// Number of hosts that can't read the store.
    pub fn unreadable_count(&self, now_ms: Millis) -> usize {
        let known = self.unreadable.values();
        known.filter(|known| now_ms < known.until_ms).count()
    }

    /// Whether it is unknown if any host of the area reads the store. `own_failing_ms` is how long
    /// the calls of this host have failed; 0 if they don't.
    ///
    /// The hosts that take over may be rejected as well, so a word from before the latest host
    /// failed doesn't count.
    pub fn is_uncertain(&self, now_ms: Millis, own_failing_ms: Millis) -> bool {
        let own_since_ms = (own_failing_ms > 0).then(|| now_ms.saturating_sub(own_failing_ms));
        let live = self.unreadable.values();
        let live = live.filter(|known| now_ms < known.until_ms);
        let since_ms = live.map(|known| known.since_ms).chain(own_since_ms).max();
        let Some(since_ms) = since_ms else {
            return false;
        };
        let is_read = self.readable_ms.is_some_and(|readable_ms| {
            readable_ms > since_ms && now_ms.saturating_sub(readable_ms) < READABLE_TTL_MS
        });
        !is_read
    }
}
