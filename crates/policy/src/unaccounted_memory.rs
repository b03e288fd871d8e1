//! Engine memory in use that a home's permits don't account for.

use std::collections::VecDeque;

use crate::key::Millis;

const WINDOW_MS: Millis = 3_000;

/// Compares the engine's delayed load reports with the permits that the home held in the period
/// that a report may refer to.
///
/// Another host that also acts as the home starts generations that this home can't count. They
/// show as reported memory above the most that this home's permits held recently. That excess is
/// subtracted from the memory that this home grants.
#[derive(Debug, Default)]
pub(crate) struct UnaccountedMemory {
    recent_holdings: VecDeque<(Millis, f32)>,
    tokens: f32,
}

impl UnaccountedMemory {
    /// Records the memory that the home's permits hold now.
    pub(crate) fn record_held(&mut self, now_ms: Millis, held_tokens: f32) {
        while let Some((at_ms, _)) = self.recent_holdings.front() {
            if now_ms.saturating_sub(*at_ms) <= WINDOW_MS {
                break;
            }
            self.recent_holdings.pop_front();
        }
        self.recent_holdings.push_back((now_ms, held_tokens));
    }

    /// Records the memory in use that the engine reports.
    pub(crate) fn record_report(&mut self, used_tokens: f32) {
        let most = self
            .recent_holdings
            .iter()
            .map(|(_, held)| *held)
            .fold(0.0, f32::max);
        let excess = (used_tokens - most).max(0.0);
        self.tokens += (excess - self.tokens) * 0.5;
    }

    pub(crate) fn tokens(&self) -> f32 {
        self.tokens
    }
}
