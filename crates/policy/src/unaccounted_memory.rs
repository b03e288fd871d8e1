//! Engine memory that a home's own permits don't explain.

use std::collections::VecDeque;

use crate::key::Millis;

const WINDOW_MS: Millis = 3_000;

/// Compares the engine's late reports with what the home knew in the time they may speak of.
///
/// Another host that also believes to be home starts generations this home can't count. Their
/// symptom is a report above everything this home held lately; that excess is kept free.
#[derive(Debug, Default)]
pub(crate) struct UnaccountedMemory {
    known: VecDeque<(Millis, f32)>,
    tokens: f32,
}

impl UnaccountedMemory {
    /// Notes what the home's own permits hold now.
    pub(crate) fn note(&mut self, now_ms: Millis, held_tokens: f32) {
        while let Some((at_ms, _)) = self.known.front() {
            if now_ms.saturating_sub(*at_ms) <= WINDOW_MS {
                break;
            }
            self.known.pop_front();
        }
        self.known.push_back((now_ms, held_tokens));
    }

    /// Takes in a report of the engine's used memory.
    pub(crate) fn report(&mut self, used_tokens: f32) {
        let most = self.known.iter().map(|(_, held)| *held).fold(0.0, f32::max);
        let excess = (used_tokens - most).max(0.0);
        self.tokens += (excess - self.tokens) * 0.5;
    }

    pub(crate) fn tokens(&self) -> f32 {
        self.tokens
    }
}
