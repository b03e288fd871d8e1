//! Follows one collection of the store: a whole list first, then what has changed since.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::Revision;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::metadata::{Changes, Collection, Freshness, Snapshot, StoreError};

/// Between two tries while the store is away; drawn anew each time, lest all hosts come at once.
const RETRY_MS: Range<u64> = 150..450;
/// The same after some tries: each is paid for, and a second of delay after an outage of seconds is
/// within the time that upstreams need to register again.
const LATER_RETRY_MS: Range<u64> = 400..900;
/// Tries before that: a connection that was cut, or a store that turned one call away.
const SOON_RETRIES: u32 = 3;

/// What the store tells of a collection.
pub(crate) enum StoreUpdate<T> {
    /// All there is.
    Snapshot(Snapshot<T>),
    /// What has changed.
    Changes(Changes<T>),
}

impl<T> StoreUpdate<T> {
    /// The revision that it tells of.
    pub(crate) fn revision(&self) -> Revision {
        match self {
            Self::Snapshot(all) => all.revision,
            Self::Changes(changes) => changes.revision,
        }
    }
}

/// One collection of the store that this host follows.
#[derive(Debug)]
pub(crate) struct CollectionReader {
    /// What it is called in the log.
    what: &'static str,
    /// What it is called in metrics.
    label: &'static str,
    /// Calls that have failed since the last that succeeded.
    failures: u32,
    /// Lists that were read since the last watch that succeeded.
    lists: u32,
}

impl CollectionReader {
    pub(crate) fn new(what: &'static str, label: &'static str) -> Self {
        Self {
            what,
            label,
            failures: 0,
            lists: 0,
        }
    }

    /// Asks the store for what has changed since a revision, or for all.
    pub(crate) async fn read<T>(
        &mut self,
        gateway: &Gateway,
        source: &dyn Collection<T>,
        since: Option<Revision>,
        wait: Duration,
    ) -> Result<StoreUpdate<T>, StoreError> {
        let heard = match since {
            None => source
                .list(Freshness::Newest)
                .await
                .map(StoreUpdate::Snapshot),
            Some(held) => source.watch(held, wait).await.map(StoreUpdate::Changes),
        };
        let heard = heard.and_then(|heard| self.check(gateway, since, heard));
        gateway.metrics.store_call(self.label, outcome(&heard));
        let heard = heard?;
        match &heard {
            StoreUpdate::Snapshot(all) => {
                self.lists += 1;
                gateway.report_unusable_in_list(self.what, all);
            }
            StoreUpdate::Changes(changes) => {
                self.lists = 0;
                gateway.report_unusable_in_changes(self.what, changes);
            }
        }
        if std::mem::take(&mut self.failures) > 0 {
            info!("store: {} can be read again", self.what);
        }
        Ok(heard)
    }

    /// Checks the era of an answer: one number names different states in two eras.
    fn check<T>(
        &self,
        gateway: &Gateway,
        since: Option<Revision>,
        heard: StoreUpdate<T>,
    ) -> Result<StoreUpdate<T>, StoreError> {
        let revision = heard.revision();
        gateway.observe_era(revision, format_args!("the store with {}", self.what));
        match (since, gateway.store_era.latest()) {
            (None, Some(latest)) if revision.era < latest => Err(StoreError::StaleEra {
                received: revision,
                latest,
            }),
            (Some(held), _) if revision.era != held.era => Err(StoreError::EraChanged {
                known: held,
                received: revision,
            }),
            _ => Ok(heard),
        }
    }

    /// After a failed call: tells of it, and waits before the next. All is to be read anew then, as
    /// after an outage a list tells more than a watch from an old revision.
    pub(crate) async fn handle_failure(&mut self, gateway: &Arc<Gateway>, error: &StoreError) {
        if !error.is_outage() {
            info!("store: {} to be read anew: {error}", self.what);
            if self.lists > 1 {
                // The list before was no use either.
                pause(self.lists).await;
            }
            return;
        }
        self.failures += 1;
        if self.failures == 1 {
            warn!("store: {} can't be read: {error}", self.what);
        }
        gateway.metrics.store_failures.inc();
        gateway.announce_store_unreadable();
        pause(self.failures).await;
    }
}

/// Waits before the next try after so many failures.
async fn pause(failures: u32) {
    let range = match failures <= SOON_RETRIES {
        true => RETRY_MS,
        false => LATER_RETRY_MS,
    };
    let pause_ms = rand::rng().random_range(range);
    sleep(Duration::from_millis(pause_ms)).await;
}

/// A call's outcome on metrics.
pub(crate) fn outcome<T>(heard: &Result<T, StoreError>) -> &'static str {
    match heard {
        Ok(_) => "ok",
        Err(StoreError::HistoryGone { .. }) => "history_gone",
        Err(StoreError::EraChanged { .. }) => "other_era",
        Err(StoreError::StaleEra { .. }) => "era_over",
        Err(StoreError::Malformed { .. }) => "malformed",
        Err(StoreError::Unavailable { .. }) => "unavailable",
    }
}
