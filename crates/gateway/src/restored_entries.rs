//! Upstreams that had gone and are there again with the copy that the store came back from.

use std::collections::HashMap;

use fulmarpath_policy::Millis;

use crate::directory::Registration;

/// For the store's removal of an entry to be heard.
const LAPSE_MARGIN_MS: Millis = 400;

#[derive(Debug, Clone)]
struct RestoredEntry {
    registration: Registration,
    /// What is there still by then is alive.
    until_ms: Millis,
}

/// Upstreams that had gone and may be there again.
#[derive(Debug)]
pub(crate) struct RestoredEntries {
    held: HashMap<String, RestoredEntry>,
    /// How long an entry outlives its upstream's silence.
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

    /// One is listed; how long it is left alone counts from the first time.
    pub(crate) fn list(&mut self, now_ms: Millis, registration: Registration) {
        let name = registration.instance.clone();
        let held = self.held.get(&name).map(|held| held.until_ms);
        let until_ms = held.unwrap_or(now_ms + self.registration_ttl_ms + LAPSE_MARGIN_MS);
        let returned = RestoredEntry {
            registration,
            until_ms,
        };
        self.held.insert(name, returned);
    }

    /// One is gone for good, or there for certain.
    pub(crate) fn remove(&mut self, instance: &str) {
        self.held.remove(instance);
    }

    /// Drops those that are listed no more.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.held.retain(|name, _| is_listed(name));
    }

    /// Those whose entries have outlived their upstreams' possible silence.
    pub(crate) fn due(&self, now_ms: Millis) -> Vec<Registration> {
        let due = self.held.values().filter(|one| one.until_ms <= now_ms);
        due.map(|one| one.registration.clone()).collect()
    }
}
