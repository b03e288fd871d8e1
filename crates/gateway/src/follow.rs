//! Keeps the configuration, the upstreams and the hosts as the store has them.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Millis, Revision};
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::directory::DirectoryChange;
use crate::gateway::Gateway;
use crate::metadata::{Change, Freshness, StoreError};
use crate::roster::Roster;

/// The part of the time in which a change must be in force for which a watch waits. A store that falls
/// silent, or loses an answer, shows only when the watch is over; each watch costs a call.
pub(crate) const WATCH_SHARE: f32 = 0.5;
/// Between two tries while the store is away; drawn anew each time, lest all hosts come at once.
const RETRY_MS: Range<u64> = 150..450;
/// The same after some tries: each is paid for, and a second of delay after an outage of seconds is
/// within the time that upstreams need to register again.
const LATER_RETRY_MS: Range<u64> = 400..900;
/// Tries before that: a connection that was cut, or a store that turned one call away.
const SOON_RETRIES: u32 = 3;
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
/// How often entries that lapsed with the store's outage are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Waits before the next try after so many failures.
pub(crate) async fn pause(failures: u32) {
    let range = match failures <= SOON_RETRIES {
        true => RETRY_MS,
        false => LATER_RETRY_MS,
    };
    let pause_ms = rand::rng().random_range(range);
    sleep(Duration::from_millis(pause_ms)).await;
}

/// Tells the log of each loss and return of a dependency, once.
#[derive(Debug)]
pub(crate) struct Contact {
    what: &'static str,
    /// Calls that have failed since the last that succeeded.
    pub(crate) failures: u32,
}

impl Contact {
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    pub(crate) fn heard(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            info!("store: {} can be read again", self.what);
        }
    }

    pub(crate) fn lost(&mut self, error: &StoreError) {
        self.failures += 1;
        if self.failures == 1 {
            warn!("store: {} can't be read: {error}", self.what);
        }
    }
}

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

/// A call's outcome on metrics.
pub(crate) fn outcome<T>(heard: &Result<T, StoreError>) -> &'static str {
    match heard {
        Ok(_) => "ok",
        Err(StoreError::HistoryGone { .. }) => "history_gone",
        Err(StoreError::Malformed { .. }) => "malformed",
        Err(StoreError::Unavailable { .. }) => "unavailable",
    }
}

impl Gateway {
    /// Follows the operator's configuration.
    pub(crate) async fn follow_configuration(self: Arc<Self>) {
        let source = &self.metadata.configuration;
        let mut contact = Contact::new("the configuration");
        let mut untold = Untold::default();
        let mut revision = None;
        loop {
            if !self.is_watcher() {
                revision = None;
                if self.version() == 0 && untold.is_due(&self) {
                    self.read_configuration().await;
                }
                sleep(self.until_next_look()).await;
                continue;
            }
            let heard = match revision {
                None => source.list(Freshness::Newest).await.map(|all| {
                    self.skip_of_list("the configuration", &all);
                    self.hear_era(all.revision.era, "its list of the configuration");
                    (all.revision.number, all.items)
                }),
                Some(seen) => source
                    .watch(seen, self.part_of_change_bound(WATCH_SHARE))
                    .await
                    .map(|changes| {
                        self.skip_of_changes("the configuration", &changes);
                        let puts = changes
                            .changes
                            .into_iter()
                            .filter_map(|change| match change {
                                Change::Put(configuration) => Some(configuration),
                                Change::Gone(_) | Change::Unusable(_) => None,
                            });
                        self.hear_era(changes.revision.era, "a watch of the configuration");
                        (changes.revision.number, puts.collect())
                    }),
            };
            self.metrics.store_call("configuration", outcome(&heard));
            match heard {
                Ok((seen, configurations)) => {
                    contact.heard();
                    revision = Some(seen);
                    for configuration in configurations {
                        if self.adopt(configuration, "the store") {
                            self.announce_configuration();
                        }
                    }
                    self.read_circuits().await;
                }
                Err(StoreError::HistoryGone { .. }) => revision = None,
                Err(error) => {
                    contact.lost(&error);
                    self.metrics.store_failures.inc();
                    self.announce_blindness();
                    // After an outage the list tells more than a watch from an old revision.
                    revision = None;
                    pause(contact.failures).await;
                }
            }
        }
    }

    /// Follows the upstreams' registrations.
    pub(crate) async fn follow_registrations(self: Arc<Self>) {
        let source = &self.metadata.registrations;
        let mut contact = Contact::new("the upstreams");
        let mut untold = Untold::default();
        let mut is_listed = false;
        loop {
            if !self.watches_upstreams() {
                is_listed = false;
                if !self.knows_upstreams() && untold.is_due(&self) {
                    self.read_registrations().await;
                }
                sleep(self.until_next_look()).await;
                continue;
            }
            let seen = self.roster.lock().revision();
            let heard = if is_listed {
                let changes = source
                    .watch(seen, self.part_of_change_bound(WATCH_SHARE))
                    .await;
                changes.map(|changes| {
                    self.skip_of_changes("the upstreams", &changes);
                    self.hear_upstreams_at(changes.revision, "a watch of the upstreams");
                    self.roster_step(|roster, now_ms| roster.apply(now_ms, changes));
                })
            } else {
                self.begin_announcing();
                let list = source.list(Freshness::Newest).await;
                list.map(|list| {
                    self.skip_of_list("the upstreams", &list);
                    self.hear_upstreams_at(list.revision, "its list of the upstreams");
                    self.roster_step(|roster, now_ms| roster.replace(now_ms, list));
                })
            };
            self.metrics.store_call("upstreams", outcome(&heard));
            match heard {
                Ok(()) => {
                    contact.heard();
                    is_listed = true;
                    self.announce_directory_soon();
                    if !self.has_cell() {
                        sleep(self.part_of_change_bound(MERGE_SHARE)).await;
                    }
                }
                Err(StoreError::HistoryGone { .. }) => is_listed = false,
                Err(error) => {
                    contact.lost(&error);
                    self.metrics.store_failures.inc();
                    self.announce_blindness();
                    self.roster.lock().lost(self.clock.now_ms());
                    is_listed = false;
                    pause(contact.failures).await;
                }
            }
        }
    }

    fn part_of_change_bound(&self, share: f32) -> Duration {
        Duration::from_millis((self.settings.change_bound_ms as f32 * share) as u64)
    }

    /// Whether a peer or the store has told of any upstream.
    fn knows_upstreams(&self) -> bool {
        self.roster.lock().revision() > 0
    }

    /// Whether this host may read what no peer has told it.
    fn may_read(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_read(now_ms)
    }

    /// How long a host that doesn't watch waits until it looks again whether it should.
    pub(crate) fn until_next_look(&self) -> Duration {
        match self.may_read() {
            true => IDLE_PERIOD,
            false => JOIN_PERIOD,
        }
    }

    /// Reads the configuration once, where no peer has told it.
    async fn read_configuration(self: &Arc<Self>) {
        // With the configuration this host begins to serve, so the evacuations have to be known by then.
        let (listed, ()) = tokio::join!(
            self.metadata.configuration.list(Freshness::MayBeOld),
            self.read_evacuations()
        );
        self.metrics.store_call("configuration", outcome(&listed));
        match listed {
            Ok(all) => {
                self.skip_of_list("the configuration", &all);
                for configuration in all.items {
                    self.adopt(configuration, "the store, maybe old");
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
        let listed = self.metadata.registrations.list(Freshness::MayBeOld).await;
        self.metrics.store_call("upstreams", outcome(&listed));
        match listed {
            Ok(list) => {
                self.skip_of_list("the upstreams", &list);
                self.roster_step(|roster, now_ms| roster.begin(now_ms, list));
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!("store: no upstream known, and they can't be read: {error}");
            }
        }
    }

    /// Drops upstreams that did not come back after an outage of the store.
    pub(crate) async fn expire_registrations(self: Arc<Self>) {
        loop {
            sleep(EXPIRE_PERIOD).await;
            let mut roster = self.roster.lock();
            if roster.expire(self.clock.now_ms()) {
                self.adopt_directory(&roster.directory());
            }
        }
    }

    /// Takes what a peer knows of the upstreams and this host doesn't.
    pub(crate) fn take_upstreams(&self, change: DirectoryChange) {
        let now_ms = self.clock.now_ms();
        let is_whole = change.is_whole();
        let mut roster = self.roster.lock();
        let before = roster.revision();
        if roster.apply_by_peer(now_ms, change) {
            let revision = roster.revision();
            let how = if is_whole { "whole" } else { "in part" };
            info!("upstreams: revision {revision} is a peer's, {how}, after {before}");
            self.adopt_directory(&roster.directory());
        }
    }

    /// Hears the revision at which the store tells of the upstreams.
    fn hear_upstreams_at(&self, heard: Revision, source: &str) {
        let era = self.store_era.latest();
        self.hear_era(heard.era, source);
        let held = Revision::new(era, self.roster.lock().revision());
        if heard.number < held.number {
            self.drop_answer("the upstreams", heard, held);
        }
    }

    fn roster_step(&self, step: impl FnOnce(&mut Roster, Millis) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        roster.heard(now_ms);
        if step(&mut roster, now_ms) {
            let directory = roster.directory();
            info!(
                "upstreams: {} known at revision {}",
                directory.registrations.len(),
                directory.revision
            );
            self.adopt_directory(&directory);
        }
    }
}
