//! Upstreams that had left and are listed again by a store that was restored from a backup.

use std::collections::HashMap;

use fulmarpath_policy::Millis;

use crate::directory::Registration;

/// Margin within which the store's removal of an entry is received.
const REMOVAL_MARGIN_MS: Millis = 400;

#[derive(Debug, Clone)]
struct RestoredEntry {
    registration: Registration,
    /// An upstream that is still listed at this time is alive.
    until_ms: Millis,
}

/// Upstreams that had left and may be present again.
#[derive(Debug)]
pub(crate) struct RestoredEntries {
    held: HashMap<String, RestoredEntry>,
    /// How long an entry outlives its upstream's last heartbeat.
    registration_ttl_ms: Millis,
}

impl RestoredEntries {
    pub(crate) fn new(registration_ttl_ms: Millis) -> Self {
        Self {
            held: HashMap::new(),
            registration_ttl_ms,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Records a listed upstream; the time for which it is ignored counts from the first listing.
    pub(crate) fn record(&mut self, now_ms: Millis, registration: Registration) {
        let name = registration.instance.clone();
        let held = self.held.get(&name).map(|held| held.until_ms);
        let until_ms = held.unwrap_or(now_ms + self.registration_ttl_ms + REMOVAL_MARGIN_MS);
        let returned = RestoredEntry {
            registration,
            until_ms,
        };
        self.held.insert(name, returned);
    }

    /// Removes an upstream that is gone for good, or confirmed as present.
    pub(crate) fn remove(&mut self, instance: &str) {
        self.held.remove(instance);
    }

    /// Removes upstreams that are no longer listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.held.retain(|name, _| is_listed(name));
    }

    /// Upstreams whose entries have outlived the longest possible silence.
    pub(crate) fn due(&self, now_ms: Millis) -> Vec<Registration> {
        let due = self.held.values().filter(|one| one.until_ms <= now_ms);
        due.map(|one| one.registration.clone()).collect()
    }
}
