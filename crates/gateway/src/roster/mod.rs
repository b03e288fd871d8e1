//! Tracks which registered upstreams count as present while the store that holds them is
//! unavailable or restored.
//!
//! A registration expires without a heartbeat, and no upstream can send one while the store is
//! unavailable. When the store is available again, all registrations are missing, until the live
//! upstreams have registered again after about two seconds. Without a grace period every upstream
//! would be dropped for that time and every request refused. Entries that expired during the outage
//! are therefore kept for a grace period after its end; those that are still missing then are
//! removed. An upstream that announced that it is draining gets no grace period. An entry that is
//! removed after the grace period is a departure, as is one of which any peer says so.
//!
//! A store restored from a backup has lost its latest changes. Upstreams that registered after the
//! backup get the same grace period to register again. An upstream that had left and is listed
//! again only because of the backup gets no work until it writes its entry again, or until its
//! entry has outlived the time after which the store removes a silent upstream. The same holds for an
//! entry without a start time under the name of an upstream that has stated one: a live upstream
//! overwrites it with its next heartbeat.

pub(crate) mod directory;
pub(crate) mod list_assembly;
pub(crate) mod missing_entries;
pub(crate) mod presence_decisions;
pub(crate) mod presence_log;
pub(crate) mod restored_entries;

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use fulmarpath_policy::{Millis, Revision};

use crate::cells::departures::Departures;
use crate::roster::directory::{
    Departure, DepartureNotice, Directory, DirectoryChange, DirectoryPart, ExpiredEntry,
    RegisteredState, Registration, RegistrationChange,
};
use crate::roster::missing_entries::MissingEntries;
use crate::roster::presence_decisions::{PresenceDecision, PresenceDecisions};
use crate::roster::restored_entries::RestoredEntries;
use crate::store::metadata::{Change, Changes, Snapshot, UnusableEntry};
use crate::store::outage::StoreOutage;

/// How long an entry outlives its upstream's last heartbeat if the settings do not say.
const DEFAULT_REGISTRATION_TTL_MS: Millis = 3_600;

#[derive(Debug, Clone)]
struct Entry {
    registration: Registration,
    /// The revision at which the entry reached its present state.
    changed_at: Revision,
    /// The latest revision at which the store is known to have had it.
    confirmed_at: Revision,
}

/// Upstreams for which this host's view differs from the store, for a while after an outage or a
/// restore of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unconfirmed {
    /// Kept although the store lacks them.
    pub(crate) missing: usize,
    /// Ignored although the store lists them again.
    pub(crate) restored: usize,
}

/// The registered upstreams in this host's view.
#[derive(Debug)]
pub struct Roster {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    missing: MissingEntries,
    /// Time of the last update from the store or a peer.
    last_update_ms: Millis,
    outage: StoreOutage,
    /// Upstreams that have left.
    departures: Departures,
    restored: RestoredEntries,
    /// Changes up to this revision cannot be listed one by one.
    listed_at: Revision,
    /// Whether the store was restored from a backup since this host's first list.
    has_seen_restore: bool,
    /// Registrations before their changes since the last call of [`Self::take_changes`].
    changed: HashMap<String, Option<Registration>>,
    /// Number of entries at that call.
    applied_len: usize,
    decisions: PresenceDecisions,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(DEFAULT_REGISTRATION_TTL_MS)
    }
}

impl Roster {
    /// Creates an empty roster; the store removes an entry `registration_ttl_ms` after its
    /// upstream's last heartbeat.
    pub fn new(registration_ttl_ms: Millis) -> Self {
        Self {
            revision: Revision::default(),
            entries: BTreeMap::new(),
            missing: MissingEntries::default(),
            last_update_ms: 0,
            outage: StoreOutage::default(),
            departures: Departures::default(),
            restored: RestoredEntries::new(registration_ttl_ms),
            listed_at: Revision::default(),
            has_seen_restore: false,
            changed: HashMap::new(),
            applied_len: 0,
            decisions: PresenceDecisions::default(),
        }
    }

    /// Takes the decisions since the last call about upstreams that the store does not list, as
    /// texts for the log.
    pub fn take_decisions(&mut self) -> Vec<String> {
        self.decisions.take()
    }

    /// The revision up to which changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Time of the last update from the store or a peer.
    pub fn last_update_ms(&self) -> Millis {
        self.last_update_ms
    }

    /// Number of upstreams that count as present.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether an upstream counts as present.
    pub fn contains(&self, instance: &str) -> bool {
        self.entries.contains_key(instance)
    }

    /// Whether no upstream counts as present.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a failed call to the store.
    pub fn mark_store_unavailable(&mut self, now_ms: Millis) {
        self.outage.record_failure(now_ms);
    }

    /// Records that calls of a peer to the store have failed for a time.
    pub fn mark_store_unavailable_to_peer(&mut self, now_ms: Millis, failing_ms: Millis) {
        let since_ms = now_ms.saturating_sub(failing_ms);
        self.outage.record_peer_failure(since_ms);
    }

    /// How long this host's calls to the store have failed; 0 if the last one succeeded.
    pub(crate) fn store_failing_ms(&self, now_ms: Millis) -> Millis {
        self.outage.failing_ms(now_ms)
    }

    /// Whether registrations cannot show which upstreams are leaving: the store is unavailable, or
    /// was until a moment ago and upstreams have yet to register again. An upstream that leaves in
    /// that time may never announce it.
    pub fn is_uncertain(&self, now_ms: Millis) -> bool {
        self.outage.is_ongoing() || self.is_settling(now_ms)
    }

    /// Whether the store was unavailable until a moment ago and upstreams have yet to register
    /// again.
    pub(crate) fn is_settling(&self, now_ms: Millis) -> bool {
        let is_in_grace = self.outage.grace_until_ms(now_ms).is_some();
        is_in_grace || !self.missing.is_empty()
    }

    /// Records a successful call to the store.
    pub fn mark_store_available(&mut self, now_ms: Millis) {
        self.last_update_ms = now_ms;
        if self.outage.record_answer(now_ms)
            && let Some(until_ms) = self.outage.grace_until_ms(now_ms)
        {
            self.missing.extend_all(until_ms);
        }
    }

    /// Loads a list that may be stale, if nothing is known yet; returns whether it named any
    /// upstream.
    ///
    /// The list's own revision is not adopted: the list may be older than the revision that comes
    /// with it, and a host that considered itself up to date would never receive what it lacks.
    /// Peers and a watch provide the complete list.
    pub fn load_provisional(&mut self, now_ms: Millis, snapshot: Snapshot<Registration>) -> bool {
        if self.revision > Revision::default() {
            return false;
        }
        self.last_update_ms = now_ms;
        if !snapshot.items.is_empty() {
            self.revision = Directory::PROVISIONAL;
        }
        let mut changed = false;
        for registration in snapshot.items {
            changed |= self.put(now_ms, registration);
        }
        changed
    }

    /// Counts the upstreams for which this host's view differs from the store.
    pub(crate) fn unconfirmed(&self) -> Unconfirmed {
        Unconfirmed {
            missing: self.missing.len(),
            restored: self.restored.len(),
        }
    }

    /// Applies a complete list; returns whether it changed anything.
    pub fn replace(&mut self, now_ms: Millis, snapshot: Snapshot<Registration>) -> bool {
        if snapshot.revision < self.revision {
            return false;
        }
        let received = snapshot.revision;
        if received.is_restore_since(self.revision, Directory::PROVISIONAL) {
            self.has_seen_restore = true;
            // Upstreams that the backup lacks have yet to register again.
            self.outage.begin_grace(now_ms);
        }
        self.revision = received;
        // An upstream that left and came back between two lists looks unchanged.
        self.listed_at = received;
        let listed: HashMap<String, Registration> = snapshot
            .items
            .into_iter()
            .map(|registration| (registration.instance.clone(), registration))
            .collect();
        let missing: Vec<String> = self
            .entries
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        self.restored.retain(|name| listed.contains_key(name));
        let mut changed = false;
        for name in missing {
            changed |= self.remove(now_ms, &name);
        }
        for registration in listed.into_values() {
            changed |= self.put_listed(now_ms, registration);
        }
        for unusable in &snapshot.unusable {
            changed |= self.drop_unusable(now_ms, unusable);
        }
        changed
    }

    /// Applies an entry of a list, unless it may be present only because of the backup.
    fn put_listed(&mut self, now_ms: Millis, registration: Registration) -> bool {
        let era = self.revision.era;
        if !self.departures.left_before_era(&registration, era) {
            return self.put(now_ms, registration);
        }
        self.restored.record(now_ms, registration);
        false
    }

    /// Applies a peer's change; returns whether it changed anything. A change that begins after
    /// this host's revision is ignored: the missing changes are fetched once a comparison of
    /// revisions shows that a peer has them.
    ///
    /// A change that begins before this host's revision is applied: it contains the present state
    /// of all entries that changed since then. The watchers of each data centre divide the sequence
    /// of changes at different revisions. A host that was once updated by a peer of another data
    /// centre is at a revision between two such boundaries; if it accepted only changes that begin
    /// exactly at its revision, it would from then on be updated by complete lists alone.
    pub fn apply_peer_change(&mut self, now_ms: Millis, change: DirectoryChange) -> bool {
        self.last_update_ms = now_ms;
        let mut changed = self.drop_departed(now_ms, &change.gone);
        if change.revision <= self.revision {
            return changed;
        }
        self.outage.record_peer_update(now_ms);
        if change.from_revision > self.revision {
            return changed;
        }
        self.has_seen_restore |= change
            .revision
            .is_restore_since(self.revision, Directory::PROVISIONAL);
        if change.is_complete() {
            changed |= self.replace(
                now_ms,
                Snapshot {
                    revision: change.revision,
                    items: change.put,
                    unusable: Vec::new(),
                },
            );
            changed |= self.drop_departed(now_ms, &change.gone);
            self.merge_departures(now_ms, change.gone);
        } else {
            self.revision = change.revision;
            for registration in change.put {
                changed |= self.put(now_ms, registration);
            }
            for departure in &change.gone {
                changed |= self.drop_entry(now_ms, &departure.instance, self.revision);
            }
        }
        self.keep_expired(now_ms, &change.expired);
        changed
    }

    /// Drops the missing upstreams that have left by a peer's word, whatever the peer's revision.
    /// Two hosts may judge one removed entry differently, and their updates have the same revision.
    fn drop_departed(&mut self, now_ms: Millis, departures: &[Departure]) -> bool {
        let mut changed = false;
        for departure in departures {
            if self.is_departure_of_missing(departure) {
                changed |= self.drop_entry(now_ms, &departure.instance, departure.at);
            }
        }
        changed
    }

    fn is_departure_of_missing(&self, departure: &Departure) -> bool {
        let entry = self.entries.get(&departure.instance);
        entry.is_some_and(|entry| {
            self.missing.contains(&departure.instance)
                && entry.registration.started_at_ms == departure.started_at_ms
                && entry.confirmed_at < departure.at
        })
    }

    /// Merges a peer's departures, as a restored store may list these upstreams again.
    fn merge_departures(&mut self, now_ms: Millis, departures: Vec<Departure>) {
        for departure in departures {
            if !self.entries.contains_key(&departure.instance) {
                self.departures.add(now_ms, departure);
            }
        }
    }

    /// Adds a part of a list while this host has no complete one; returns whether it changed
    /// anything.
    ///
    /// The revision stays that of a host without a list: peers would take a part for the whole, and
    /// fetch it instead of a complete list.
    pub fn add_provisional(&mut self, now_ms: Millis, part: &[Registration]) -> bool {
        if self.revision > Directory::PROVISIONAL || part.is_empty() {
            return false;
        }
        self.last_update_ms = now_ms;
        let mut changed = false;
        for registration in part {
            changed |= self.put(now_ms, registration.clone());
        }
        changed
    }

    /// The part of the complete list that follows an instance, with at most `max_len`
    /// registrations.
    pub fn part_after(&self, now_ms: Millis, after: Option<&str>, max_len: usize) -> DirectoryPart {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.entries.range::<str, _>((from, Bound::Unbounded));
        let put: Vec<Registration> = rest
            .take(max_len)
            .map(|(_, entry)| entry.registration.clone())
            .collect();
        let is_last = put.len() < max_len;
        match after {
            Some(_) => DirectoryPart {
                revision: self.revision,
                put,
                is_last,
                ..DirectoryPart::default()
            },
            None => DirectoryPart {
                revision: self.revision,
                put,
                gone: self.departures.since(Revision::default()),
                expired: self.expired_since(now_ms, Revision::default()),
                is_last,
            },
        }
    }

    /// Whether this host has a complete list and has seen no restore of the store. Lists and changes
    /// of peers lack the upstreams that only the restored store lists again.
    pub(crate) fn is_complete(&self) -> bool {
        self.revision > Directory::PROVISIONAL && !self.has_seen_restore
    }

    /// Whether the changes since a revision can be listed one by one.
    pub fn lists_changes_since(&self, revision: Revision) -> bool {
        revision > Revision::default() && revision >= self.incremental_from()
    }

    fn incremental_from(&self) -> Revision {
        self.listed_at.max(self.departures.truncated_at())
    }

    /// Returns all changes since a revision, for a peer at that revision; a complete list if the
    /// changes cannot be listed one by one.
    pub fn change_since(&self, now_ms: Millis, revision: Revision) -> DirectoryChange {
        let from_revision = match revision < self.incremental_from() {
            true => Revision::default(),
            false => revision,
        };
        let put = self.entries.values();
        let put = put.filter(|entry| {
            from_revision == Revision::default() || entry.changed_at > from_revision
        });
        DirectoryChange {
            from_revision,
            revision: self.revision,
            put: put.map(|entry| entry.registration.clone()).collect(),
            gone: self.departures.since(from_revision),
            expired: self.expired_since(now_ms, from_revision),
        }
    }

    /// Removes an entry whose upstream had left at a revision; returns whether there was one.
    fn drop_entry(&mut self, now_ms: Millis, name: &str, gone_at: Revision) -> bool {
        self.restored.remove(name);
        let Some(entry) = self.entries.remove(name) else {
            return false;
        };
        let departure = entry.registration.departure(gone_at);
        self.departures.add(now_ms, departure);
        self.missing.remove(name);
        self.record_change(name, Some(entry.registration));
        true
    }

    fn record_change(&mut self, name: &str, before: Option<Registration>) {
        if !self.changed.contains_key(name) {
            self.changed.insert(name.to_owned(), before);
        }
    }

    /// Whether registrations have changed since the last call of [`Self::take_changes`].
    pub(crate) fn has_unapplied_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Whether there are twice as many registrations as at the last call of [`Self::take_changes`].
    pub(crate) fn has_doubled_since_applied(&self) -> bool {
        self.entries.len() >= 2 * self.applied_len
    }

    /// Takes the changes of registrations since the last call.
    pub fn take_changes(&mut self) -> Vec<RegistrationChange> {
        self.applied_len = self.entries.len();
        let changed = std::mem::take(&mut self.changed);
        let changes = changed.into_iter().map(|(name, before)| {
            let after = self.entries.get(&name);
            RegistrationChange {
                before,
                after: after.map(|entry| entry.registration.clone()),
            }
        });
        changes
            .filter(|change| change.before != change.after)
            .collect()
    }

    fn expired_since(&self, now_ms: Millis, revision: Revision) -> Vec<ExpiredEntry> {
        let missing = self.missing.since(now_ms, revision);
        let expired = missing.filter_map(|(instance, left_ms)| {
            let entry = self.entries.get(instance)?;
            Some(ExpiredEntry {
                instance: instance.to_owned(),
                left_ms,
                confirmed_at: entry.confirmed_at,
            })
        });
        expired.collect()
    }

    /// Keeps upstreams whose entries have expired by a peer's word.
    fn keep_expired(&mut self, now_ms: Millis, expired: &[ExpiredEntry]) {
        for expired in expired {
            let Some(entry) = self.entries.get_mut(&expired.instance) else {
                continue;
            };
            entry.confirmed_at = expired.confirmed_at;
            self.keep_missing(&expired.instance, now_ms.saturating_add(expired.left_ms));
        }
    }

    /// Applies the changes since this host's revision; returns whether they changed anything.
    /// Changes of another era are ignored: they do not include what lies between the eras.
    pub fn apply(&mut self, now_ms: Millis, changes: Changes<Registration>) -> bool {
        let is_first = self.revision == Revision::default();
        let is_other_era = changes.revision.era != self.revision.era && !is_first;
        if is_other_era || changes.revision < self.revision {
            return false;
        }
        self.revision = changes.revision;
        let mut changed = false;
        for change in changes.changes {
            changed |= match change {
                Change::Put(registration) => self.put(now_ms, registration),
                Change::Removed(name) => self.remove(now_ms, &name),
                Change::Unusable(unusable) => self.drop_unusable(now_ms, &unusable),
            };
        }
        changed
    }

    /// Removes what is still missing after the grace period, and accepts restored entries that have
    /// outlived the longest silence of an upstream; returns whether anything changed.
    pub fn expire(&mut self, now_ms: Millis) -> bool {
        self.departures.expire(now_ms);
        let has_accepted = self.accept_restored(now_ms);
        self.drop_missing(now_ms) || has_accepted
    }

    fn accept_restored(&mut self, now_ms: Millis) -> bool {
        let mut changed = false;
        for registration in self.restored.due(now_ms) {
            let name = registration.instance.clone();
            changed |= self.insert(registration);
            if let Some(entry) = self.entries.get_mut(&name) {
                // Decided by this host, not by the store: peers receive it with the next revision.
                entry.changed_at = self.revision.next();
            }
        }
        changed
    }

    fn drop_missing(&mut self, now_ms: Millis) -> bool {
        if self.outage.is_ongoing() {
            return false;
        }
        let overdue = self.missing.overdue(now_ms);
        for name in &overdue {
            // Decided by this host, not by the store: peers receive it with the next revision.
            self.drop_entry(now_ms, name, self.revision.next());
            self.decisions.record(PresenceDecision::Dropped, name);
        }
        !overdue.is_empty()
    }

    /// This host's view of all upstreams.
    pub fn directory(&self) -> Directory {
        let entries = self.entries.values();
        Directory {
            revision: self.revision,
            registrations: entries.map(|entry| entry.registration.clone()).collect(),
        }
    }

    /// Records a restart that the upstream itself reports; returns whether it was unknown.
    ///
    /// The upstream's entry may still be that of the previous incarnation: the report on a
    /// connection comes first.
    pub fn observe_restart(&mut self, instance: &str, started_at_ms: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else {
            return false;
        };
        if entry
            .registration
            .started_at_ms
            .is_none_or(|held| held >= started_at_ms)
        {
            return false;
        }
        let before = entry.registration.clone();
        entry.registration.started_at_ms = Some(started_at_ms);
        entry.registration.state = RegisteredState::Ready;
        entry.changed_at = self.revision.next();
        self.record_change(instance, Some(before));
        true
    }

    /// Records a departure that a watcher reports ahead of its announcement; returns whether it was
    /// unknown.
    pub fn observe_departure(&mut self, now_ms: Millis, notice: &DepartureNotice) -> bool {
        let departure = &notice.departure;
        let Some(entry) = self.entries.get_mut(&departure.instance) else {
            return false;
        };
        if entry.registration.started_at_ms != departure.started_at_ms {
            return false;
        }
        // The change itself follows with a later revision.
        let at = self.revision.next();
        if notice.is_gone {
            return self.drop_entry(now_ms, &departure.instance, at);
        }
        if entry.registration.state == RegisteredState::Draining {
            return false;
        }
        let before = entry.registration.clone();
        entry.registration.state = RegisteredState::Draining;
        entry.changed_at = at;
        self.record_change(&departure.instance, Some(before));
        true
    }

    /// Applies an entry, unless it belongs to an earlier incarnation than the known one. Entries of
    /// the previous incarnation may arrive late, from a peer or from a store entry that the new one
    /// has not replaced yet.
    fn put(&mut self, now_ms: Millis, registration: Registration) -> bool {
        let name = &registration.instance;
        match registration.started_at_ms {
            Some(started_at_ms) => {
                let held_ms = self.held_start_ms(name);
                if held_ms.is_some_and(|held_ms| started_at_ms < held_ms) {
                    return false;
                }
            }
            // An upstream that has stated its start time states it in all its entries, so one
            // without it is from another writer. Only this name's own entries count: those of
            // another upstream must not decide whether this one is used.
            None if self.has_stated_start_time(name) => {
                let is_held = self.entries.contains_key(name);
                let changed = is_held && self.drop_entry(now_ms, name, self.revision);
                self.restored
                    .record_without_start_time(now_ms, registration);
                return changed;
            }
            None => {}
        }
        self.insert(registration)
    }

    fn held_start_ms(&self, name: &str) -> Option<Millis> {
        self.entries.get(name)?.registration.started_at_ms
    }

    /// Whether an entry of this name has stated a start time, as far as this host remembers.
    fn has_stated_start_time(&self, name: &str) -> bool {
        match self.entries.get(name) {
            Some(held) => held.registration.started_at_ms.is_some(),
            None => self.departures.has_start_time(name) || self.restored.lacks_start_time(name),
        }
    }

    /// Inserts an entry. An incarnation that announced that it is draining keeps that state: an
    /// entry that says otherwise comes from a backup.
    fn insert(&mut self, mut registration: Registration) -> bool {
        let name = registration.instance.clone();
        if self.departures.remove(&registration) {
            self.decisions.record(PresenceDecision::PresentAgain, &name);
        }
        self.restored.remove(&name);
        let held = self.entries.get_mut(&name);
        if let Some(held) = &held
            && held.registration.is_same_incarnation(&registration)
            && held.registration.state == RegisteredState::Draining
        {
            registration.state = RegisteredState::Draining;
        }
        let was_missing = self.missing.remove(&name);
        if let Some(held) = held
            && held.registration == registration
        {
            held.confirmed_at = self.revision;
            if was_missing {
                held.changed_at = self.revision;
            }
            return false;
        }
        let entry = Entry {
            registration,
            changed_at: self.revision,
            confirmed_at: self.revision,
        };
        let before = self.entries.insert(name.clone(), entry);
        self.record_change(&name, before.map(|before| before.registration));
        true
    }

    /// Removes the upstream of an unusable entry, whatever its state was. Such an entry has not
    /// expired because of a store outage, so there is no grace period.
    fn drop_unusable(&mut self, now_ms: Millis, unusable: &UnusableEntry) -> bool {
        let name = unusable.name.as_ref();
        name.is_some_and(|name| self.drop_entry(now_ms, name, self.revision))
    }

    fn remove(&mut self, now_ms: Millis, name: &str) -> bool {
        self.restored.remove(name);
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        if self.missing.contains(name) {
            return false;
        }
        let is_ready = entry.registration.state == RegisteredState::Ready;
        if let Some(until_ms) = self.outage.grace_until_ms(now_ms).filter(|_| is_ready) {
            self.keep_missing(name, until_ms);
            return false;
        }
        self.drop_entry(now_ms, name, self.revision)
    }

    fn keep_missing(&mut self, name: &str, until_ms: Millis) {
        if self.missing.keep(name, until_ms, self.revision) {
            self.decisions.record(PresenceDecision::Kept, name);
        }
    }
}
