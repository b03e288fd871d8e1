//! Tells from the outcome of calls when the store was unavailable, and how long a removed entry
//! counts as expired after that.

use fulmarpath_policy::Millis;

/// Live upstreams register again within about two seconds of the end of a store outage.
const REREGISTRATION_GRACE_MS: Millis = 2_200;
/// No registration expires in a shorter outage: entries outlive three heartbeats.
const MIN_OUTAGE_MS: Millis = 1_500;

/// This host's view of the store's latest outage.
#[derive(Debug, Default)]
pub(crate) struct StoreOutage {
    /// Time of the first failed call since the last successful one.
    failing_since_ms: Option<Millis>,
    /// When a peer's update showed, after this host's last failed call, that the store answers
    /// others.
    answered_peer_ms: Option<Millis>,
    grace_until_ms: Millis,
}

impl StoreOutage {
    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, now_ms: Millis) {
        self.failing_since_ms.get_or_insert(now_ms);
        // What came before this failure may be from before the outage.
        self.answered_peer_ms = None;
    }

    /// Records a peer's update with a later state than this host's.
    pub(crate) fn record_peer_update(&mut self, now_ms: Millis) {
        if self.failing_since_ms.is_some() {
            self.answered_peer_ms.get_or_insert(now_ms);
        }
    }

    /// Records a successful call; returns whether it began a grace period.
    ///
    /// A host that does not watch makes no calls, so the store may have returned long before its
    /// next one. Peers' updates show when.
    pub(crate) fn record_answer(&mut self, now_ms: Millis) -> bool {
        let answered_peer_ms = self.answered_peer_ms.take();
        let Some(failing_since_ms) = self.failing_since_ms.take() else {
            return false;
        };
        let returned_ms = answered_peer_ms.unwrap_or(now_ms);
        if returned_ms.saturating_sub(failing_since_ms) < MIN_OUTAGE_MS {
            return false;
        }
        self.begin_grace(returned_ms);
        true
    }

    /// Begins a grace period at the return of the store.
    pub(crate) fn begin_grace(&mut self, returned_ms: Millis) {
        self.grace_until_ms = self
            .grace_until_ms
            .max(returned_ms + REREGISTRATION_GRACE_MS);
    }

    /// Whether the store answers neither this host nor its peers, as far as this host knows.
    pub(crate) fn is_ongoing(&self) -> bool {
        self.failing_since_ms.is_some() && self.answered_peer_ms.is_none()
    }

    /// The end of the grace period in which an entry that is removed counts as expired; `None` if
    /// it is over.
    pub(crate) fn grace_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        (now_ms < self.grace_until_ms).then_some(self.grace_until_ms)
    }
}
