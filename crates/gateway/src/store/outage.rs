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
    /// Since when calls of peers have failed, by their word. Cleared when the store answers.
    peers_failing_since_ms: Option<Millis>,
    /// When the store last answered this host, or a peer as far as this host knows.
    answered_ms: Millis,
    grace_until_ms: Millis,
}

impl StoreOutage {
    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, now_ms: Millis) {
        self.failing_since_ms.get_or_insert(now_ms);
        // What came before this failure may be from before the outage.
        self.answered_peer_ms = None;
    }

    /// Records that calls of a peer have failed since a time.
    ///
    /// Hosts call the store in place of those that fail. The last one to begin may be the first one
    /// to get an answer, and knows by its own calls only the end of the outage.
    pub(crate) fn record_peer_failure(&mut self, since_ms: Millis) {
        let known_ms = self.peers_failing_since_ms.unwrap_or(since_ms);
        self.peers_failing_since_ms = Some(known_ms.min(since_ms));
    }

    /// Records a peer's update with a later state than this host's.
    pub(crate) fn record_peer_update(&mut self, now_ms: Millis) {
        self.answered_ms = now_ms;
        self.peers_failing_since_ms = None;
        if self.failing_since_ms.is_some() {
            self.answered_peer_ms.get_or_insert(now_ms);
        }
    }

    /// Records a successful call; returns whether it began a grace period.
    ///
    /// A host that does not watch makes no calls, so the store may have returned long before its
    /// next one. Peers' updates show when.
    pub(crate) fn record_answer(&mut self, now_ms: Millis) -> bool {
        let answered_ms = std::mem::replace(&mut self.answered_ms, now_ms);
        let returned_ms = self.answered_peer_ms.take().unwrap_or(now_ms);
        let told_ms = self.peers_failing_since_ms.take();
        // The store has answered since it refused the peer.
        let told_ms = told_ms.map(|told_ms| told_ms.max(answered_ms));
        let failing_since_ms = self.failing_since_ms.take().into_iter().chain(told_ms);
        let Some(failing_since_ms) = failing_since_ms.min() else {
            return false;
        };
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

    /// How long this host's calls have failed; 0 if the last one succeeded.
    pub(crate) fn failing_ms(&self, now_ms: Millis) -> Millis {
        let since_ms = self.failing_since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
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
