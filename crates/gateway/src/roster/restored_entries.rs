//! Upstreams that had left and are listed again by a store that was restored from a backup.

use std::collections::HashMap;

use fulmarpath_policy::Millis;

use crate::roster::directory::Registration;

/// Margin within which the store's removal of an entry is received.
const REMOVAL_MARGIN_MS: Millis = 400;

#[derive(Debug, Clone)]
struct RestoredEntry {
    registration: Registration,
    /// An upstream that is still listed at this time is alive.
    accept_at_ms: Millis,
}

/// Upstreams that had left and may be present again.
#[derive(Debug)]
pub(crate) struct RestoredEntries {
    entries: HashMap<String, RestoredEntry>,
    /// How long an entry outlives its upstream's last heartbeat.
    registration_ttl_ms: Millis,
}

impl RestoredEntries {
    pub(crate) fn new(registration_ttl_ms: Millis) -> Self {
        Self {
            entries: HashMap::new(),
            registration_ttl_ms,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records a listed upstream; the time for which it is ignored counts from the first listing.
    pub(crate) fn record(&mut self, now_ms: Millis, registration: Registration) {
        let name = registration.instance.clone();
        let known = self.entries.get(&name).map(|known| known.accept_at_ms);
        let accept_at_ms = known.unwrap_or(now_ms + self.registration_ttl_ms + REMOVAL_MARGIN_MS);
        let entry = RestoredEntry {
            registration,
            accept_at_ms,
        };
        self.entries.insert(name, entry);
    }

    /// Removes an upstream that is gone for good, or confirmed as present.
    pub(crate) fn remove(&mut self, instance: &str) {
        self.entries.remove(instance);
    }

    /// Removes upstreams that are no longer listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.entries.retain(|name, _| is_listed(name));
    }

    /// Upstreams whose entries have outlived the longest possible silence.
    pub(crate) fn due(&self, now_ms: Millis) -> Vec<Registration> {
        let due = self
            .entries
            .values()
            .filter(|entry| entry.accept_at_ms <= now_ms);
        due.map(|entry| entry.registration.clone()).collect()
    }
}
