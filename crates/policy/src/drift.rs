//! When a host exchanges all that it believes of members with a peer.
//!
//! Newcomers are announced and deaths are passed on by rumours, and either may miss a host: one in
//! the middle of an announcement's way has just died, or a cut was longer than rumours are told.
//! Such a host would take others for the homes of things for good, or ask dead ones. Hosts compare
//! a hash with each ping; while news spread all differ for a moment, so only a host that agrees with
//! nobody for longer exchanges, which costs more the more members there are.

use crate::key::Millis;

/// Rumours of a death reach all of some hundred hosts within this time after its suspicion.
const SPREAD_MS: Millis = 1_500;
/// Between two exchanges.
const AGAIN_MS: Millis = 3_000;
/// For so long after its start a host has heard too little and exchanges at once.
const YOUNG_MS: Millis = 3_000;
/// Between two exchanges of a host that has just started.
const YOUNG_AGAIN_MS: Millis = 250;

/// Since when a host agrees with no peer.
#[derive(Debug, Clone, Copy)]
pub struct Drift {
    started_ms: Millis,
    differs_since_ms: Option<Millis>,
    exchanged_ms: Option<Millis>,
}

impl Drift {
    /// A host that starts now.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            started_ms: now_ms,
            differs_since_ms: None,
            exchanged_ms: None,
        }
    }

    /// Hears whether a peer believes the same; true where this host is to exchange with it.
    pub fn should_exchange(&mut self, now_ms: Millis, is_same: bool) -> bool {
        if is_same {
            self.differs_since_ms = None;
            return false;
        }
        let since_ms = *self.differs_since_ms.get_or_insert(now_ms);
        let is_young = now_ms.saturating_sub(self.started_ms) < YOUNG_MS;
        let (wait_ms, again_ms) = match is_young {
            true => (0, YOUNG_AGAIN_MS),
            false => (SPREAD_MS, AGAIN_MS),
        };
        let rests = self
            .exchanged_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < again_ms);
        if rests || now_ms.saturating_sub(since_ms) < wait_ms {
            return false;
        }
        self.exchanged_ms = Some(now_ms);
        true
    }
}
