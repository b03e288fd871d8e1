//! Upstreams whose entries expired with an outage of the store, and that may register again.
//!
//! Each is kept up to a time that follows from the store's return. Peers are told how much time is
//! left: if each host that is told began the time anew, hosts could keep an upstream that has left
//! for as long as they tell each other of it.

use std::collections::BTreeMap;

use fulmarpath_policy::{Millis, Revision};

#[derive(Debug, Clone, Copy)]
struct MissingEntry {
    until_ms: Millis,
    /// The revision at which this host learnt that the entry is missing.
    at: Revision,
}

/// The missing upstreams that a host keeps.
#[derive(Debug, Default)]
pub(crate) struct MissingEntries {
    entries: BTreeMap<String, MissingEntry>,
}

impl MissingEntries {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn contains(&self, instance: &str) -> bool {
        self.entries.contains_key(instance)
    }

    /// Keeps an upstream until a time, or until an earlier one that is known already; returns
    /// whether it was not missing before.
    pub(crate) fn keep(&mut self, instance: &str, until_ms: Millis, at: Revision) -> bool {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.until_ms = entry.until_ms.min(until_ms);
            return false;
        }
        let entry = MissingEntry { until_ms, at };
        self.entries.insert(instance.to_owned(), entry);
        true
    }

    /// Keeps all of them until a time at least, since another outage kept them from registering.
    pub(crate) fn extend_all(&mut self, until_ms: Millis) {
        for entry in self.entries.values_mut() {
            entry.until_ms = entry.until_ms.max(until_ms);
        }
    }

    /// Removes an upstream that has registered again or has left; returns whether it was missing.
    pub(crate) fn remove(&mut self, instance: &str) -> bool {
        self.entries.remove(instance).is_some()
    }

    /// Upstreams that have not registered again in time.
    pub(crate) fn overdue(&self, now_ms: Millis) -> Vec<String> {
        let overdue = self.entries.iter();
        let overdue = overdue.filter(|(_, entry)| entry.until_ms <= now_ms);
        overdue.map(|(instance, _)| instance.clone()).collect()
    }

    /// Upstreams that are missing since a later revision, and how much longer each is kept, in ms.
    pub(crate) fn since(
        &self,
        now_ms: Millis,
        revision: Revision,
    ) -> impl Iterator<Item = (&str, Millis)> {
        let entries = self.entries.iter();
        let later = entries.filter(move |(_, entry)| entry.at > revision);
        later.map(move |(instance, entry)| {
            (instance.as_str(), entry.until_ms.saturating_sub(now_ms))
        })
    }
}
