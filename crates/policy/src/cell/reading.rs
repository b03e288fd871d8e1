//! How fast the engines of a cell read prompts, as its home has seen first events come.
//!
//! Answers many short requests with long prompts. A prompt is read in pieces that ride along with the
//! steps of what runs beside it, so its rate depends on the engine's build and its batch alike. Taken
//! for faster than it is, the rate sent prompts to queues that were longer than they looked; taken for
//! slower, it left engines idle.

/// The rate before anything was seen: about half of what an engine reads by itself, since a step of
/// its batch goes with each piece.
const FIRST_TOKENS_PER_MS: f32 = 7.0;
/// How much one first event changes the rate: about the last fifty count.
const GAIN: f32 = 0.02;
/// A first event that is off by more counts as off by so many times: its engine was paused, or had read
/// its prompt before.
const MOST_OFF: f32 = 2.0;
/// The rates that are believed, in tokens a millisecond.
const BELIEVED: std::ops::RangeInclusive<f32> = 0.5..=200.0;

/// The rate at which a cell's engines read.
#[derive(Debug)]
pub(super) struct Reading {
    tokens_per_ms: f32,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            tokens_per_ms: FIRST_TOKENS_PER_MS,
        }
    }
}

impl Reading {
    /// How long so many tokens take.
    pub(super) fn ms(&self, tokens: f32) -> f32 {
        tokens / self.tokens_per_ms
    }

    /// A first event came after `took_ms`, where it had been expected after `expected_ms`.
    pub(super) fn learn(&mut self, expected_ms: f32, took_ms: f32) {
        let off = expected_ms.max(1.0) / took_ms.max(1.0);
        let off = off.clamp(1.0 / MOST_OFF, MOST_OFF);
        let learned = self.tokens_per_ms * off.powf(GAIN);
        self.tokens_per_ms = learned.clamp(*BELIEVED.start(), *BELIEVED.end());
    }
}
