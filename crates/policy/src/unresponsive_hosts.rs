//! Removal of the store entries of hosts that don't answer.
//!
//! Entries don't expire in the store by themselves. Each lost host would leave an entry there, and
//! a host whose seeds are gone would try more and more dead hosts before it finds a live one. A
//! host that is only partitioned writes its entry again when it finds it missing.

use std::collections::HashMap;

/// Consecutive probes without an answer after which an entry is removed: half a minute, longer
/// than a restart takes.
const REMOVE_AFTER_MISSES: u32 = 6;

/// Counts consecutive unanswered probes of the hosts that have an entry in the store.
#[derive(Debug, Clone, Default)]
pub struct UnresponsiveHosts {
    misses: HashMap<String, u32>,
}

impl UnresponsiveHosts {
    /// Keeps only the hosts for which `is_absent` holds: still listed and not known to be present.
    pub fn retain(&mut self, is_absent: impl Fn(&str) -> bool) {
        self.misses.retain(|name, _| is_absent(name));
    }

    /// Records that a host has answered, which resets its count.
    pub fn record_answer(&mut self, name: &str) {
        self.misses.remove(name);
    }

    /// Records that a host did not answer. Returns whether its entry is to be removed.
    pub fn record_miss(&mut self, name: &str) -> bool {
        let misses = self.misses.entry(name.to_owned()).or_default();
        *misses += 1;
        *misses >= REMOVE_AFTER_MISSES
    }
}
