//! Keeps the configuration and the upstreams in sync with the store.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Millis, Revision};
use fulmarpath_wire::CellKey;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::configuration::Configuration;
use crate::gateway::Gateway;
use crate::key::upstream_key;
use crate::roster::Roster;
use crate::roster::directory::{
    DepartureNotice, Directory, DirectoryChange, Registration, RegistrationChange,
};
use crate::store::collection_reader::{CollectionReader, StoreUpdate, outcome};
use crate::store::metadata::{Change, Freshness, PartialList, ReadPage};

/// How long one watch waits, as a fraction of the time within which a change must be in force. A
/// store that stops responding or loses an answer is detected only when the watch ends; each watch
/// costs a call.
pub(crate) const WATCH_WAIT_FRACTION: f32 = 0.5;
/// How often a host that does not watch checks whether it should.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// How often a host that has just started checks whether its peers have been asked.
const JOIN_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Between two reads of a host that has data neither from its peers nor from the store: before the
/// first configuration is written, and during a store outage. Randomised for each read.
const READ_INTERVAL_MS: Range<u64> = 800..1_600;
/// Pause between two watches of the upstreams, as a fraction of the time within which a change must
/// be in force, so that changes close together cost one call. The home of a cell does not pause, as
/// an engine announces only shortly before its end that it is leaving.
const WATCH_PAUSE_FRACTION: f32 = 0.06;
/// How often state that is kept for a limited time is checked for expiry.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Spaces the reads of a host that has no data yet.
#[derive(Debug, Default)]
struct InitialReads {
    next_ms: Millis,
}

impl InitialReads {
    /// Whether to read now; false until the random interval has passed.
    fn is_due(&mut self, now_ms: Millis) -> bool {
        if now_ms < self.next_ms {
            return false;
        }
        self.next_ms = now_ms + rand::rng().random_range(READ_INTERVAL_MS);
        true
    }
}

impl Gateway {
    /// Watches the operator's configuration while this host is the watcher of its area.
    pub(crate) async fn sync_configuration(self: Arc<Self>) {
        let source = &*self.metadata.configuration;
        let wait = self.fraction_of_change_bound(WATCH_WAIT_FRACTION);
        let mut reader = CollectionReader::new("the configuration", "configuration");
        let mut initial_reads = InitialReads::default();
        let mut revision = None;
        loop {
            if !self.is_watcher() {
                revision = None;
                let needs_read = self.configuration_version() == 0 && self.may_read();
                if needs_read && initial_reads.is_due(self.clock.now_ms()) {
                    self.read_configuration().await;
                }
                sleep(self.watch_check_period()).await;
                continue;
            }
            match reader.read(&self, source, revision, wait).await {
                Ok(update) => {
                    revision = Some(update.revision());
                    for configuration in configurations(update) {
                        self.apply_stored_configuration(configuration);
                    }
                    self.read_circuits().await;
                }
                Err(error) => {
                    revision = None;
                    reader.handle_failure(&self, &error).await;
                }
            }
        }
    }

    /// Applies the stored configuration, and announces it.
    fn apply_stored_configuration(self: &Arc<Self>, configuration: Configuration) {
        let (stored, held) = (configuration.version, self.configuration_version());
        if stored < held {
            info!("configuration: the store has version {stored}, {held} stays in force");
        }
        if self.apply_configuration(configuration, "the store") {
            self.announce_configuration();
        }
    }

    /// Watches the upstreams' registrations while this host is a watcher or the home of a cell.
    pub(crate) async fn sync_registrations(self: Arc<Self>) {
        let source = &*self.metadata.registrations;
        let wait = self.fraction_of_change_bound(WATCH_WAIT_FRACTION);
        let mut reader = CollectionReader::new("the upstreams", "upstreams");
        let mut initial_reads = InitialReads::default();
        let mut is_listed = false;
        let mut has_watched = false;
        loop {
            if !self.watches_upstreams() {
                is_listed = false;
                has_watched = false;
                let needs_read = !self.knows_upstreams() && self.may_read_upstreams();
                if needs_read && initial_reads.is_due(self.clock.now_ms()) {
                    self.read_registrations().await;
                }
                sleep(self.watch_check_period()).await;
                continue;
            }
            let held = self.roster.lock().revision();
            if !is_listed {
                self.reset_announced_revision();
            }
            // A list that peers have provided needs no list from the store, which costs a call for
            // each of its pages.
            is_listed |= !std::mem::replace(&mut has_watched, true) && self.has_complete_list();
            let since = is_listed.then_some(held);
            let passes_on = !self.has_complete_list();
            let on_page = |page: ReadPage<'_, Registration>| {
                if passes_on {
                    self.announce_listed_page(&page);
                }
            };
            let update = reader.read_by_page(&self, source, since, wait, on_page);
            match update.await {
                Ok(update) => {
                    is_listed = true;
                    self.apply_registrations(update);
                    self.announce_store_readable();
                    self.schedule_directory_announcement();
                    if !self.watches_as_home() {
                        sleep(self.fraction_of_change_bound(WATCH_PAUSE_FRACTION)).await;
                    }
                }
                Err(error) => {
                    is_listed = false;
                    if error.is_outage() {
                        self.roster
                            .lock()
                            .mark_store_unavailable(self.clock.now_ms());
                    }
                    reader.handle_failure(&self, &error).await;
                }
            }
        }
    }

    /// Whether this host's list is complete and of the store's present era.
    fn has_complete_list(&self) -> bool {
        let latest = self.store_era.latest();
        let roster = self.roster.lock();
        roster.is_complete() && latest.is_none_or(|latest| latest == roster.revision().era)
    }

    /// Applies the store's update of the upstreams, or drops it if peers have sent a later one.
    fn apply_registrations(self: &Arc<Self>, update: StoreUpdate<Registration>) {
        let held = self.roster.lock().revision();
        if update.revision() < held {
            self.report_stale_answer("the upstreams", update.revision(), held);
        }
        self.update_roster(|roster, now_ms| match update {
            StoreUpdate::Snapshot(list) => roster.replace(now_ms, list),
            StoreUpdate::Changes(changes) => roster.apply(now_ms, changes),
        });
    }

    fn fraction_of_change_bound(&self, fraction: f32) -> Duration {
        Duration::from_millis((self.settings.change_bound_ms as f32 * fraction) as u64)
    }

    /// Whether a peer or the store has provided a list of upstreams.
    fn knows_upstreams(&self) -> bool {
        self.roster.lock().revision() > Revision::default()
    }

    /// Whether this host may read from the store what no peer has provided.
    fn may_read(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_read_store(now_ms)
    }

    /// The same for the upstreams, whose list is long in a large fleet.
    fn may_read_upstreams(&self) -> bool {
        let hosts = self.fleet.host_count();
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_read_upstreams(now_ms, hosts)
    }

    /// Time until a host that does not watch checks again whether it should.
    pub(crate) fn watch_check_period(&self) -> Duration {
        match self.may_read() {
            true => WATCH_CHECK_PERIOD,
            false => JOIN_CHECK_PERIOD,
        }
    }

    /// Reads the configuration once if no peer has provided it.
    async fn read_configuration(self: &Arc<Self>) {
        // This host begins to serve with the configuration, so the evacuations have to be known by
        // then.
        let (listed, ()) = tokio::join!(
            self.metadata.configuration.list(Freshness::MayBeStale),
            self.read_evacuations()
        );
        self.metrics.store_call("configuration", outcome(&listed));
        match listed {
            Ok(all) => {
                self.report_unusable_in_list("the configuration", &all);
                for configuration in all.items {
                    self.apply_configuration(configuration, "a possibly stale list of the store");
                }
                self.read_circuits().await;
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!(
                    "store: no configuration known, and the configuration can't be read: {error}"
                );
            }
        }
    }

    /// Reads the upstreams once if no peer has provided them. A list that turns out to be long is
    /// left to the watchers of a large fleet after its first page.
    async fn read_registrations(self: &Arc<Self>) {
        let source = &*self.metadata.registrations;
        let mut list = PartialList::default();
        while !list.is_complete {
            let read = list.read_page(source, Freshness::MayBeStale).await;
            self.metrics.store_call("upstreams", outcome(&read));
            match read {
                Ok(page) if page.up_to.is_some() => self.add_provisional_upstreams(page.items),
                Ok(_) => {}
                Err(error) => {
                    self.metrics.store_failures.inc();
                    warn!("store: no upstream known, and the upstreams can't be read: {error}");
                    return;
                }
            }
            if !list.is_complete && !self.may_read_upstreams() {
                return;
            }
        }
        let list = list.into_snapshot();
        self.report_unusable_in_list("the upstreams", &list);
        self.update_roster(|roster, now_ms| roster.load_provisional(now_ms, list));
    }

    /// Expires state that is kept until the store confirms it after an outage or a restore.
    pub(crate) async fn expire_unconfirmed(self: Arc<Self>) {
        loop {
            sleep(EXPIRY_CHECK_PERIOD).await;
            self.expire_evacuations();
            let mut roster = self.roster.lock();
            if roster.expire(self.clock.now_ms()) {
                log_decisions(&mut roster, "expiry");
                self.apply_roster_changes(&mut roster);
            }
        }
    }

    /// Applies a peer's change of the upstreams.
    pub(crate) fn apply_peer_upstreams(&self, change: DirectoryChange) {
        self.observe_era(change.revision, "a peer");
        let now_ms = self.clock.now_ms();
        let is_complete = change.is_complete();
        let mut roster = self.roster.lock();
        let before = roster.revision();
        if roster.apply_peer_change(now_ms, change) || roster.has_unapplied_changes() {
            let revision = roster.revision();
            let extent = if is_complete {
                "complete"
            } else {
                "incremental"
            };
            info!("upstreams: revision {revision} from a peer, {extent}, replaces {before}");
            self.apply_roster_changes(&mut roster);
        }
        log_decisions(&mut roster, "a peer");
        log_store_restored(before, &roster);
    }

    /// Uses a part of a peer's list before the rest has arrived.
    pub(crate) fn add_provisional_upstreams(&self, part: &[Registration]) {
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        // Applying what has changed costs as much as the whole list while a fleet starts, so it is
        // done each time the list has doubled.
        if roster.add_provisional(now_ms, part) && roster.has_doubled_since_applied() {
            self.apply_roster_changes(&mut roster);
        }
    }

    fn update_roster(self: &Arc<Self>, apply: impl FnOnce(&mut Roster, Millis) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        roster.mark_store_available(now_ms);
        let before = roster.revision();
        if apply(&mut roster, now_ms) || roster.has_unapplied_changes() {
            let (count, revision) = (roster.len(), roster.revision());
            info!("upstreams: {count} known at revision {revision}");
            let changes = roster.take_changes();
            let departures = self.departures(revision, &changes);
            self.apply_registration_changes(&mut roster, changes);
            self.notify_homes(departures);
        }
        log_decisions(&mut roster, "the store");
        log_store_restored(before, &roster);
    }

    /// The engines among changed registrations that are leaving, with their cells.
    fn departures(
        &self,
        at: Revision,
        changes: &[RegistrationChange],
    ) -> Vec<(CellKey, DepartureNotice)> {
        let leaving = changes.iter().filter_map(|change| {
            let known = change.before.as_ref()?;
            let cell = self.cells.cell_of_engine(upstream_key(known))?;
            Some((cell, change.departure_notice(at)?))
        });
        leaving.collect()
    }
}

/// Logs what was decided about upstreams that the store does not list.
pub(crate) fn log_decisions(roster: &mut Roster, source: &str) {
    let revision = roster.revision();
    for decision in roster.take_decisions() {
        info!("upstreams: at revision {revision}, by {source}, {decision}");
    }
}

/// Logs the differences to a store that was restored from a backup since a revision.
pub(crate) fn log_store_restored(before: Revision, roster: &Roster) {
    let revision = roster.revision();
    if !revision.is_restore_since(before, Directory::PROVISIONAL) {
        return;
    }
    let unconfirmed = roster.unconfirmed();
    info!(
        "upstreams: revision {revision} follows {before}: {} kept that the store lacks, \
         {} ignored that had left",
        unconfirmed.missing, unconfirmed.restored
    );
}

/// The configurations in an update from the store, in order. A removed configuration leaves the
/// active one in force.
fn configurations(update: StoreUpdate<Configuration>) -> Vec<Configuration> {
    match update {
        StoreUpdate::Snapshot(all) => all.items,
        StoreUpdate::Changes(changes) => {
            let puts = changes
                .changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(configuration) => Some(configuration),
                    Change::Removed(_) | Change::Unusable(_) => None,
                });
            puts.collect()
        }
    }
}
