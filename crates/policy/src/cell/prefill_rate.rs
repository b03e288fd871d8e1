//! Prefill rate of a cell's engines, estimated by the home from the times of first events.
//!
//! Matters for many requests with long prompts and short answers. A prompt is prefilled in chunks
//! that share steps with the decoding of the batch, so its rate depends on both the engine's build
//! and the batch. Overestimating the rate sends prompts to queues that are longer than they look;
//! underestimating it leaves engines idle.

/// Initial estimate: about half of what an engine prefills on its own, because each chunk shares a
/// step with the batch.
const INITIAL_TOKENS_PER_MS: f32 = 7.0;
/// Weight of one first event in the rate: about the last fifty count.
const GAIN: f32 = 0.02;
/// Bound on the ratio of expected to actual time that one event contributes. Larger errors come
/// from an engine that was paused or had the prompt cached.
const MAX_RATIO: f32 = 2.0;
/// Plausible rates, in tokens per millisecond.
const RATE_BOUNDS: std::ops::RangeInclusive<f32> = 0.5..=200.0;

/// The rate at which a cell's engines prefill prompts.
#[derive(Debug)]
pub(super) struct PrefillRate {
    tokens_per_ms: f32,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Prefill time of this many tokens.
    pub(super) fn ms(&self, tokens: f32) -> f32 {
        tokens / self.tokens_per_ms
    }

    /// Updates the rate after a first event that was expected after `expected_ms` and came after
    /// `took_ms`.
    pub(super) fn learn(&mut self, expected_ms: f32, took_ms: f32) {
        let ratio = expected_ms.max(1.0) / took_ms.max(1.0);
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let learned = self.tokens_per_ms * ratio.powf(GAIN);
        self.tokens_per_ms = learned.clamp(*RATE_BOUNDS.start(), *RATE_BOUNDS.end());
    }
}
