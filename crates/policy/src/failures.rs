//! Decaying failure rate of an upstream.

use crate::key::Millis;

/// Weight of one response in the share: about the last eight count.
const GAIN: f32 = 0.12;
/// Time in which the share halves without new responses, so that the upstream is tried again.
const DECAY_HALF_LIFE_MS: f32 = 2_500.0;

/// Share of an upstream's recent requests that failed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Failures {
    share: f32,
    at_ms: Millis,
}

impl Failures {
    /// The decayed share at `now_ms`.
    pub(crate) fn share(&self, now_ms: Millis) -> f32 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f32;
        self.share * (-passed_ms / DECAY_HALF_LIFE_MS).exp2()
    }

    /// Records the end of a request; `failed` is 0 for a success, 1 for a failure and 0.5 for a
    /// request that the upstream did not run.
    pub(crate) fn record(&mut self, now_ms: Millis, failed: f32) {
        let share = self.share(now_ms);
        self.share = share + (failed - share) * GAIN;
        self.at_ms = now_ms;
    }

    /// Records that the upstream is unreachable, so that every request would fail.
    pub(crate) fn record_unreachable(&mut self, now_ms: Millis) {
        self.share = 1.0;
        self.at_ms = now_ms;
    }
}
