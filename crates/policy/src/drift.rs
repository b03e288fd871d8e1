//! Anti-entropy of membership: when a host exchanges its complete member list with a peer.
//!
//! Joining hosts are announced and deaths are spread by rumours, and both can miss a host: a relay
//! of the announcement has just died, or a partition lasted longer than rumours are repeated. Such
//! a host would permanently compute wrong homes or call dead hosts. Hosts compare a hash of the
//! list with each ping. While updates spread all hashes differ briefly, so only a host that agrees
//! with no peer for longer exchanges the list, whose cost grows with the number of members.

use crate::key::Millis;

/// Rumours of a death reach all of about a hundred hosts within this time after the suspicion.
const RUMOUR_SPREAD_MS: Millis = 1_500;
/// Minimum time between two exchanges.
const EXCHANGE_INTERVAL_MS: Millis = 3_000;
/// Time after its start in which a host exchanges at once, because it has received few updates.
const STARTUP_MS: Millis = 3_000;
/// Minimum time between two exchanges of a host that has just started.
const STARTUP_EXCHANGE_INTERVAL_MS: Millis = 250;

/// Tracks since when a host's member list has differed from that of every peer.
#[derive(Debug, Clone, Copy)]
pub struct Drift {
    started_ms: Millis,
    differs_since_ms: Option<Millis>,
    exchanged_ms: Option<Millis>,
}

impl Drift {
    /// Creates the state of a host that starts now.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            started_ms: now_ms,
            differs_since_ms: None,
            exchanged_ms: None,
        }
    }

    /// Whether this host has just started and has yet to receive most of the members.
    pub fn is_starting(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.started_ms) < STARTUP_MS
    }

    /// Records whether a peer has the same member list. Returns whether to exchange with it.
    pub fn should_exchange(&mut self, now_ms: Millis, is_same: bool) -> bool {
        if is_same {
            self.differs_since_ms = None;
            return false;
        }
        let since_ms = *self.differs_since_ms.get_or_insert(now_ms);
        let (wait_ms, interval_ms) = match self.is_starting(now_ms) {
            true => (0, STARTUP_EXCHANGE_INTERVAL_MS),
            false => (RUMOUR_SPREAD_MS, EXCHANGE_INTERVAL_MS),
        };
        let has_exchanged_recently = self
            .exchanged_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < interval_ms);
        if has_exchanged_recently || now_ms.saturating_sub(since_ms) < wait_ms {
            return false;
        }
        self.exchanged_ms = Some(now_ms);
        true
    }
}
