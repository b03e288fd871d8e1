//! Upstreams that had left and are listed again by a store that was restored from a backup, and
//! those whose entry lacks the start time that an earlier one stated.

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
    /// It lacks the start time that an earlier entry of the upstream stated.
    lacks_start_time: bool,
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
        self.add(now_ms, registration, false);
    }

    /// Records an entry without the start time that an earlier one of the upstream stated.
    pub(crate) fn record_without_start_time(&mut self, now_ms: Millis, registration: Registration) {
        self.add(now_ms, registration, true);
    }

    fn add(&mut self, now_ms: Millis, registration: Registration, lacks_start_time: bool) {
        let name = registration.instance.clone();
        let known = self.entries.get(&name).map(|known| known.accept_at_ms);
        let accept_at_ms = known.unwrap_or_else(|| {
            let wait_ms = self.registration_ttl_ms.saturating_add(REMOVAL_MARGIN_MS);
            now_ms.saturating_add(wait_ms)
        });
        let entry = RestoredEntry {
            registration,
            accept_at_ms,
            lacks_start_time,
        };
        self.entries.insert(name, entry);
    }

    /// Whether an entry is recorded that lacks the start time of an earlier one.
    pub(crate) fn lacks_start_time(&self, instance: &str) -> bool {
        let entry = self.entries.get(instance);
        entry.is_some_and(|entry| entry.lacks_start_time)
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
