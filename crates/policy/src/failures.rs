//! The share of an upstream's requests that failed lately.

use crate::key::Millis;

/// How much one answer changes the share: about the last eight count.
const GAIN: f32 = 0.12;
/// Time in which the share halves without new answers, so that the upstream is tried again.
const DECAY_HALF_LIFE_MS: f32 = 2_500.0;

/// The share of an upstream's requests that failed lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Failures {
    share: f32,
    at_ms: Millis,
}

impl Failures {
    /// The share as of now.
    pub(crate) fn share(&self, now_ms: Millis) -> f32 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f32;
        self.share * (-passed_ms / DECAY_HALF_LIFE_MS).exp2()
    }

    /// A request ended; `failed` is 0 for well, 1 for a failure.
    pub(crate) fn record(&mut self, now_ms: Millis, failed: f32) {
        let share = self.share(now_ms);
        self.share = share + (failed - share) * GAIN;
        self.at_ms = now_ms;
    }

    /// Whatever was sent there now would fail.
    pub(crate) fn record_unreachable(&mut self, now_ms: Millis) {
        self.share = 1.0;
        self.at_ms = now_ms;
    }
}
