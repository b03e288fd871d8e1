//! Keeps the configuration, the upstreams and the hosts as the store has them.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Millis, Revision};
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::collection_reader::{CollectionReader, StoreUpdate, outcome};
use crate::configuration::Configuration;
use crate::directory::{Directory, DirectoryChange, Registration};
use crate::gateway::Gateway;
use crate::metadata::{Change, Freshness};
use crate::roster::Roster;

/// The part of the time in which a change must be in force for which a watch waits. A store that falls
/// silent, or loses an answer, shows only when the watch is over; each watch costs a call.
pub(crate) const WATCH_SHARE: f32 = 0.5;
/// How often a host that doesn't watch looks whether it should.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// How often a host that has just started looks whether its peers have been asked.
const JOIN_PERIOD: Duration = Duration::from_millis(10);
/// Between two reads of a host that neither its peers nor the store have told anything: before the
/// first configuration is written, and while the store is away. Drawn anew each time.
const UNTOLD_MS: Range<u64> = 800..1_600;
/// The part of the same time that passes between two watches of the upstreams: changes that come
/// together are one call. The home of a cell doesn't wait, for the notice of a leaving engine is short.
const MERGE_SHARE: f32 = 0.06;
/// How often what is kept for a while only is looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Spaces the reads of a host that nobody has told anything.
#[derive(Debug, Default)]
struct Untold {
    next_ms: Millis,
}

impl Untold {
    /// Whether to read now; not again before a drawn time has passed.
    fn is_due(&mut self, gateway: &Gateway) -> bool {
        let now_ms = gateway.clock.now_ms();
        if now_ms < self.next_ms || !gateway.may_read() {
            return false;
        }
        self.next_ms = now_ms + rand::rng().random_range(UNTOLD_MS);
        true
    }
}

impl Gateway {
    /// Follows the operator's configuration.
    pub(crate) async fn sync_configuration(self: Arc<Self>) {
        let source = &*self.metadata.configuration;
        let wait = self.part_of_change_bound(WATCH_SHARE);
        let mut reader = CollectionReader::new("the configuration", "configuration");
        let mut untold = Untold::default();
        let mut revision = None;
        loop {
            if !self.is_watcher() {
                revision = None;
                if self.version() == 0 && untold.is_due(&self) {
                    self.read_configuration().await;
                }
                sleep(self.watch_check_period()).await;
                continue;
            }
            match reader.read(&self, source, revision, wait).await {
                Ok(heard) => {
                    revision = Some(heard.revision());
                    for configuration in configurations(heard) {
                        self.apply_stored(configuration);
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

    /// Takes what the store has as the configuration, and passes it on.
    fn apply_stored(self: &Arc<Self>, configuration: Configuration) {
        let (stored, held) = (configuration.version, self.version());
        if stored < held {
            info!("configuration: the store has version {stored}, {held} stays in force");
        }
        if self.apply_configuration(configuration, "the store") {
            self.announce_configuration();
        }
    }

    /// Follows the upstreams' registrations.
    pub(crate) async fn sync_registrations(self: Arc<Self>) {
        let source = &*self.metadata.registrations;
        let wait = self.part_of_change_bound(WATCH_SHARE);
        let mut reader = CollectionReader::new("the upstreams", "upstreams");
        let mut untold = Untold::default();
        let mut is_listed = false;
        loop {
            if !self.watches_upstreams() {
                is_listed = false;
                if !self.knows_upstreams() && untold.is_due(&self) {
                    self.read_registrations().await;
                }
                sleep(self.watch_check_period()).await;
                continue;
            }
            let held = self.roster.lock().revision();
            if !is_listed {
                self.reset_announced_revision();
            }
            let since = is_listed.then_some(held);
            match reader.read(&self, source, since, wait).await {
                Ok(heard) => {
                    is_listed = true;
                    self.apply_registrations(heard);
                    self.schedule_directory_announcement();
                    if !self.is_home_of_any_cell() {
                        sleep(self.part_of_change_bound(MERGE_SHARE)).await;
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

    /// Takes what the store tells of the upstreams, or drops it where peers have told later news.
    fn apply_registrations(&self, heard: StoreUpdate<Registration>) {
        let held = self.roster.lock().revision();
        if heard.revision() < held {
            self.report_stale_answer("the upstreams", heard.revision(), held);
        }
        self.roster_step(|roster, now_ms| match heard {
            StoreUpdate::Snapshot(list) => roster.replace(now_ms, list),
            StoreUpdate::Changes(changes) => roster.apply(now_ms, changes),
        });
    }

    fn part_of_change_bound(&self, share: f32) -> Duration {
        Duration::from_millis((self.settings.change_bound_ms as f32 * share) as u64)
    }

    /// Whether a peer or the store has told of any upstream.
    fn knows_upstreams(&self) -> bool {
        self.roster.lock().revision() > Revision::default()
    }

    /// Whether this host may read what no peer has told it.
    fn may_read(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_read(now_ms)
    }

    /// How long a host that doesn't watch waits until it looks again whether it should.
    pub(crate) fn watch_check_period(&self) -> Duration {
        match self.may_read() {
            true => IDLE_PERIOD,
            false => JOIN_PERIOD,
        }
    }

    /// Reads the configuration once, where no peer has told it.
    async fn read_configuration(self: &Arc<Self>) {
        // With the configuration this host begins to serve, so the evacuations have to be known by then.
        let (listed, ()) = tokio::join!(
            self.metadata.configuration.list(Freshness::MayBeStale),
            self.read_evacuations()
        );
        self.metrics.store_call("configuration", outcome(&listed));
        match listed {
            Ok(all) => {
                self.report_unusable_in_list("the configuration", &all);
                for configuration in all.items {
                    self.apply_configuration(configuration, "the store, maybe old");
                }
                self.read_circuits().await;
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!("store: no configuration known, and it can't be read: {error}");
            }
        }
    }

    /// Reads the upstreams once, where no peer has told them.
    async fn read_registrations(self: &Arc<Self>) {
        let listed = self
            .metadata
            .registrations
            .list(Freshness::MayBeStale)
            .await;
        self.metrics.store_call("upstreams", outcome(&listed));
        match listed {
            Ok(list) => {
                self.report_unusable_in_list("the upstreams", &list);
                self.roster_step(|roster, now_ms| roster.load_provisional(now_ms, list));
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!("store: no upstream known, and they can't be read: {error}");
            }
        }
    }

    /// Ends what was kept only until the store, back from an outage or a copy, would tell of it again.
    pub(crate) async fn expire_unconfirmed(self: Arc<Self>) {
        loop {
            sleep(EXPIRE_PERIOD).await;
            self.expire_evacuations();
            let mut roster = self.roster.lock();
            if roster.expire(self.clock.now_ms()) {
                self.apply_directory(&roster.directory());
            }
        }
    }

    /// Takes what a peer knows of the upstreams and this host doesn't.
    pub(crate) fn apply_peer_upstreams(&self, change: DirectoryChange) {
        self.observe_era(change.revision, "a peer");
        let now_ms = self.clock.now_ms();
        let is_complete = change.is_complete();
        let mut roster = self.roster.lock();
        let before = roster.revision();
        if roster.apply_peer_change(now_ms, change) {
            let revision = roster.revision();
            let how = if is_complete { "whole" } else { "in part" };
            info!("upstreams: revision {revision} is a peer's, {how}, after {before}");
            self.apply_directory(&roster.directory());
        }
        log_store_restored(before, &roster);
    }

    fn roster_step(&self, step: impl FnOnce(&mut Roster, Millis) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        roster.mark_store_available(now_ms);
        let before = roster.revision();
        if step(&mut roster, now_ms) {
            let directory = roster.directory();
            info!(
                "upstreams: {} known at revision {}",
                directory.registrations.len(),
                directory.revision
            );
            self.apply_directory(&directory);
        }
        log_store_restored(before, &roster);
    }
}

/// Tells the log what is kept against a store that has come back from a copy since a revision.
pub(crate) fn log_store_restored(before: Revision, roster: &Roster) {
    let revision = roster.revision();
    if !revision.is_return_since(before, Directory::PROVISIONAL) {
        return;
    }
    let unconfirmed = roster.unconfirmed();
    info!(
        "upstreams: revision {revision} follows {before}: {} are kept that it lacks, {} left alone that had gone",
        unconfirmed.missing, unconfirmed.restored
    );
}

/// The configurations that an answer of the store names, in order. One that is gone leaves the one in
/// force.
fn configurations(heard: StoreUpdate<Configuration>) -> Vec<Configuration> {
    match heard {
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
