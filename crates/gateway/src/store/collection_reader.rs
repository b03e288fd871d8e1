//! Reads one collection of the store: first a complete list, then the changes since.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::Revision;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::store::metadata::{Changes, Collection, Freshness, ReadPage, Snapshot, StoreError};

/// Between two attempts while the store is unavailable; randomised, so that not all hosts call at
/// once.
const RETRY_MS: Range<u64> = 150..450;
/// The same after [`SHORT_RETRIES`] attempts: each call has a cost, and a delay of a second after
/// an outage of seconds is within the time that upstreams need to register again.
const LONG_RETRY_MS: Range<u64> = 400..900;
/// Attempts with the short delay, for a connection that was cut or a store that rejected a single
/// call.
const SHORT_RETRIES: u32 = 3;

/// An update of a collection from the store.
pub(crate) enum StoreUpdate<T> {
    /// The complete list.
    Snapshot(Snapshot<T>),
    /// The changes since a revision.
    Changes(Changes<T>),
}

impl<T> StoreUpdate<T> {
    /// The revision of the update.
    pub(crate) fn revision(&self) -> Revision {
        match self {
            Self::Snapshot(all) => all.revision,
            Self::Changes(changes) => changes.revision,
        }
    }
}

/// A reader of one collection of the store.
#[derive(Debug)]
pub(crate) struct CollectionReader {
    /// Name in the log.
    what: &'static str,
    /// Name in metrics.
    label: &'static str,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Lists read since the last successful watch.
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

    /// Reads the changes since a revision, or the complete list without one.
    pub(crate) async fn read<T: Send + 'static>(
        &mut self,
        gateway: &Gateway,
        source: &dyn Collection<T>,
        since: Option<Revision>,
        wait: Duration,
    ) -> Result<StoreUpdate<T>, StoreError> {
        self.read_by_page(gateway, source, since, wait, |_| {})
            .await
    }

    /// The same, with each page of a list handed over as it arrives.
    pub(crate) async fn read_by_page<T: Send + 'static>(
        &mut self,
        gateway: &Gateway,
        source: &dyn Collection<T>,
        since: Option<Revision>,
        wait: Duration,
        on_page: impl FnMut(ReadPage<'_, T>) + Send,
    ) -> Result<StoreUpdate<T>, StoreError> {
        let update = match since {
            None => source
                .list_by_page(Freshness::Newest, on_page)
                .await
                .map(StoreUpdate::Snapshot),
            Some(held) => source.watch(held, wait).await.map(StoreUpdate::Changes),
        };
        let update = update.and_then(|update| self.check(gateway, since, update));
        gateway.metrics.store_call(self.label, outcome(&update));
        let update = update?;
        match &update {
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
        Ok(update)
    }

    /// Checks the era of an answer: one revision number denotes different states in two eras.
    fn check<T>(
        &self,
        gateway: &Gateway,
        since: Option<Revision>,
        update: StoreUpdate<T>,
    ) -> Result<StoreUpdate<T>, StoreError> {
        let revision = update.revision();
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
            _ => Ok(update),
        }
    }

    /// Logs a failed call and waits before the next one, which has to be a list: after an outage a
    /// list is more complete than a watch from an old revision.
    pub(crate) async fn handle_failure(&mut self, gateway: &Arc<Gateway>, error: &StoreError) {
        if !error.is_outage() {
            info!("store: {} to be read anew: {error}", self.what);
            if self.lists > 1 {
                // The previous list did not allow a watch either.
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

/// Waits before the next attempt, after this many without success.
async fn pause(attempts: u32) {
    let range = match attempts <= SHORT_RETRIES {
        true => RETRY_MS,
        false => LONG_RETRY_MS,
    };
    let pause_ms = rand::rng().random_range(range);
    sleep(Duration::from_millis(pause_ms)).await;
}

/// The metric label for the outcome of a call.
pub(crate) fn outcome<T>(update: &Result<T, StoreError>) -> &'static str {
    match update {
        Ok(_) => "ok",
        Err(StoreError::HistoryGone { .. }) => "history_gone",
        Err(StoreError::EraChanged { .. }) => "other_era",
        Err(StoreError::StaleEra { .. }) => "era_over",
        Err(StoreError::Malformed { .. }) => "malformed",
        Err(StoreError::Unavailable { .. }) => "unavailable",
    }
}
