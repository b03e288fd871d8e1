//! Speed of each engine of a cell, relative to the others, as learned by the home.
//!
//! Engines of one service run on machines of different speed. A home that takes them for equal
//! sends as much work to a slow engine as to one that is twice as fast, and predicts both wrongly.
//! All generations of a batch advance together, so the tokens between two statements of a
//! generation show the time of its engine's steps. Prompts that are prefilled meanwhile prolong the
//! steps and are accounted for; otherwise a busy engine would look like a slow one.

use super::Cell;
use super::engine::Engine;
use super::forecast::MemoryDemand;
use super::measurement::{Interval, IntervalStart};
use super::placement::PlacementRequest;
use super::run::Run;
use crate::key::{Millis, UpstreamKey};

/// Initial estimate of the time per output token: a decode step, a small share for each generation
/// in the batch, and an occasional chunk of a prefill.
const INITIAL_TOKEN_MS: f32 = 11.0;
/// Weight of the initial estimate. One generation exceeds it with its first interval, so an engine
/// that alone has been measured is compared with itself rather than with the estimate.
const INITIAL_TOKENS: f32 = 20.0;
/// Weight above which the cell's own history decays. One engine of a small cell produces as many
/// tokens in a few seconds.
const MIN_CELL_TOKENS: f32 = 4_000.0;
/// Time constant of the cell's usual time per token, which shifts with the load and with new
/// builds.
const CELL_TIME_CONSTANT_MS: f32 = 15_000.0;
/// Time constant of an engine's factor: an engine lives about 20 s, so a change has to show within
/// two seconds, while a machine that is shared for some hundred ms is not a slow engine.
const ENGINE_TIME_CONSTANT_MS: f32 = 2_000.0;
/// Weight of the assumption that an engine is as fast as usual. One generation exceeds it with a
/// single statement.
const INITIAL_ENGINE_MS: f32 = 300.0;
/// Bound on the ratio of a measured time to the expected one. A generation may also be delayed by a
/// slow reader, or by an engine that has run out of memory.
const MAX_RATIO: f32 = 2.5;
/// Plausible factors. Beyond these an engine is failing rather than slow.
const FACTOR_BOUNDS: std::ops::RangeInclusive<f32> = 0.2..=5.0;
/// Initial estimate of the share of the decode rate that is lost while a prompt is prefilled: a
/// chunk of a prefill takes about as long as a decode step.
const INITIAL_PREFILL_LOSS: f32 = 0.5;
const PREFILL_LOSS_BOUNDS: std::ops::RangeInclusive<f32> = 0.0..=0.85;
/// Weight of one interval in the estimate of the loss, which converges within some hundred
/// intervals: a second of a large cell, or half a minute of two engines.
const PREFILL_LOSS_GAIN: f32 = 0.1;
/// Weight of one interval in the mean share of time with a prefill: the last thousand count.
const PREFILL_SHARE_GAIN: f32 = 0.001;
/// Weight of one first event in the mean ratio of measured to expected first events. It is higher
/// than the gain of the prefill rate, which the ratio stands in for until that has converged.
const FIRST_EVENT_GAIN: f32 = 0.1;

/// Engines whose factors differ by less count as equal: learned factors of equal engines differ by a
/// few percent.
const EQUAL_SPEED_MARGIN: f32 = 0.15;
/// Weight of the time that an answer takes longer on a slow engine, relative to a later first event.
/// It holds memory for that time and is more often migrated, but its caller reads it meanwhile.
const DECODE_WEIGHT: f32 = 0.05;
/// Older first events say nothing about an engine's present speed. They are known when their answer
/// ends.
const MAX_FIRST_EVENT_AGE_MS: Millis = 1_000;

/// Speed of one engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EnginePace {
    /// Duration of the intervals, and the tokens that would have been decoded in them without
    /// prefills.
    decode_ms: f32,
    quiet_tokens: f32,
    /// Time to first events, and the time in which they were expected from a usual engine.
    first_ms: f32,
    usual_first_ms: f32,
    learned_at_ms: Millis,
    factor: f32,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            decode_ms: 0.0,
            quiet_tokens: 0.0,
            first_ms: 0.0,
            usual_first_ms: 0.0,
            learned_at_ms: 0,
            factor: 1.0,
        }
    }
}

impl EnginePace {
    /// Time that it takes for anything, as a multiple of the cell's usual time.
    pub(super) fn factor(&self) -> f32 {
        self.factor
    }

    fn decay(&mut self, now_ms: Millis) {
        let keep = decay(now_ms, self.learned_at_ms, ENGINE_TIME_CONSTANT_MS);
        self.learned_at_ms = now_ms;
        self.decode_ms *= keep;
        self.quiet_tokens *= keep;
        self.first_ms *= keep;
        self.usual_first_ms *= keep;
    }

    fn update_factor(&mut self, quiet_token_ms: f32) {
        let taken_ms = INITIAL_ENGINE_MS + self.decode_ms + self.first_ms;
        let usual_ms = INITIAL_ENGINE_MS + self.quiet_tokens * quiet_token_ms + self.usual_first_ms;
        let factor = taken_ms / usual_ms;
        self.factor = factor.clamp(*FACTOR_BOUNDS.start(), *FACTOR_BOUNDS.end());
    }
}

/// The usual speed of a cell's engines.
#[derive(Debug)]
pub(super) struct Pace {
    decode_ms: f32,
    tokens: f32,
    /// Tokens that would have been decoded without prefills.
    quiet_tokens: f32,
    learned_at_ms: Millis,
    /// Share of the decode rate that is lost while a prompt is prefilled.
    prefill_loss: f32,
    /// Mean share of time in which an engine prefills prompts.
    prefill_share: f32,
    /// Logarithm of the mean ratio of measured to expected times to first events.
    first_event_bias: Option<f32>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            decode_ms: 0.0,
            tokens: 0.0,
            quiet_tokens: 0.0,
            learned_at_ms: 0,
            prefill_loss: INITIAL_PREFILL_LOSS,
            prefill_share: 0.0,
            first_event_bias: None,
        }
    }
}

impl Pace {
    /// Usual time per output token, with the usual amount of prefills beside it.
    pub(super) fn token_ms(&self) -> f32 {
        let initial_ms = INITIAL_TOKENS * INITIAL_TOKEN_MS;
        (initial_ms + self.decode_ms) / (INITIAL_TOKENS + self.tokens)
    }

    /// Usual time per output token without prefills beside it.
    fn quiet_token_ms(&self) -> f32 {
        let initial_ms = INITIAL_TOKENS * INITIAL_TOKEN_MS;
        (initial_ms + self.decode_ms) / (INITIAL_TOKENS + self.quiet_tokens)
    }

    /// Learns from a statement of a generation that runs on an engine; returns the interval that the
    /// statement completes, if any.
    pub(super) fn learn_statement(
        &mut self,
        now_ms: Millis,
        engine: &mut Engine,
        run: &mut Run,
        longest_pause_ms: Millis,
    ) -> Option<Interval> {
        let now = IntervalStart {
            at_ms: now_ms,
            out_tokens: run.relayed_tokens(),
            prefilled_ms: engine.prefilled_ms(now_ms),
            longest_pause_ms,
        };
        let interval = run.measurement.advance(now)?;
        self.learn_interval(now_ms, &mut engine.pace, interval);
        Some(interval)
    }

    /// Learns from the progress of a generation on an engine.
    fn learn_interval(&mut self, now_ms: Millis, engine: &mut EnginePace, interval: Interval) {
        // Nothing was decoded by a generation whose reader has paused.
        if interval.tokens <= 0.0 {
            return;
        }
        let Interval {
            duration_ms,
            tokens,
            prefill_share,
            ..
        } = interval;
        let quiet_tokens = tokens / (1.0 - self.prefill_loss * prefill_share);
        self.decay(now_ms);
        self.decode_ms += duration_ms;
        self.tokens += tokens;
        self.quiet_tokens += quiet_tokens;
        let expected_ms = quiet_tokens * self.quiet_token_ms() * engine.factor;
        let ratio = (duration_ms / expected_ms).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        self.learn_prefill_loss(prefill_share, ratio.ln());
        engine.decay(now_ms);
        engine.decode_ms += expected_ms * ratio;
        engine.quiet_tokens += quiet_tokens;
    }

    /// Learns from a first event that a usual engine was expected to send after `usual_ms`,
    /// including the prompts queued before it.
    fn learn_first_event(
        &mut self,
        now_ms: Millis,
        engine: &mut EnginePace,
        usual_ms: f32,
        took_ms: f32,
    ) {
        let expected_ms = usual_ms.max(1.0) * engine.factor;
        let error = took_ms.max(1.0) / expected_ms;
        let error = error.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let bias = self.first_event_bias.get_or_insert(error);
        *bias += (error - *bias) * FIRST_EVENT_GAIN;
        let ratio = (error - *bias).exp();
        engine.decay(now_ms);
        engine.first_ms += expected_ms * ratio;
        engine.usual_first_ms += usual_ms;
    }

    /// Attributes slower decoding during prefills to them, by how the error of the expected time
    /// depends on their share (stochastic gradient descent).
    fn learn_prefill_loss(&mut self, prefill_share: f32, error: f32) {
        self.prefill_share += (prefill_share - self.prefill_share) * PREFILL_SHARE_GAIN;
        let gradient = (prefill_share - self.prefill_share) * error;
        let learned = self.prefill_loss + PREFILL_LOSS_GAIN * gradient;
        self.prefill_loss = learned.clamp(*PREFILL_LOSS_BOUNDS.start(), *PREFILL_LOSS_BOUNDS.end());
    }

    fn decay(&mut self, now_ms: Millis) {
        let keep = decay(now_ms, self.learned_at_ms, CELL_TIME_CONSTANT_MS);
        self.learned_at_ms = now_ms;
        let floor = (MIN_CELL_TOKENS / self.tokens.max(MIN_CELL_TOKENS)).min(1.0);
        let keep = keep.max(floor);
        self.decode_ms *= keep;
        self.tokens *= keep;
        self.quiet_tokens *= keep;
    }
}

/// How long a request occupies a usual engine, and the fastest engine that it could start on.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerTime {
    pub(super) prefill_ms: f32,
    decode_ms: f32,
    fastest_factor: f32,
}

impl AnswerTime {
    /// Cost of the time that the request takes longer on an engine than on the fastest one.
    pub(super) fn cost_ms(&self, engine: &Engine) -> f32 {
        let slower = engine.pace_factor() - self.fastest_factor * (1.0 + EQUAL_SPEED_MARGIN);
        slower.max(0.0) * (self.prefill_ms + DECODE_WEIGHT * self.decode_ms)
    }
}

impl Cell {
    /// The time for a request that may start on these engines.
    pub(super) fn answer_time(
        &self,
        request: &PlacementRequest,
        demand: MemoryDemand,
        open: &[&Engine],
    ) -> AnswerTime {
        let factors = open.iter().map(|engine| engine.pace_factor());
        AnswerTime {
            prefill_ms: request.prefill_ms(&self.prefill_rate),
            decode_ms: demand.remaining_tokens * demand.token_ms,
            fastest_factor: factors.fold(f32::INFINITY, f32::min),
        }
    }

    /// Updates the factors of all engines by what was learned of any.
    pub(super) fn update_pace_factors(&mut self) {
        let quiet_token_ms = self.pace.quiet_token_ms();
        for engine in self.engines.values_mut() {
            engine.pace.update_factor(quiet_token_ms);
        }
    }

    /// Expected time per token on an engine.
    pub(super) fn token_ms_on(&self, engine: UpstreamKey) -> f32 {
        let factor = self.engines.get(&engine).map_or(1.0, Engine::pace_factor);
        self.pace.token_ms() * factor
    }

    /// Learns the prefill rate, and the speed of an engine, from the first event of a generation
    /// that has ended.
    pub(super) fn learn_first_event(&mut self, now_ms: Millis, run: &Run, first_ms: Millis) {
        let Some(expected) = run.expected_first() else {
            return;
        };
        let usual_ms = expected.after_ms as f32 / expected.pace_factor;
        self.pauses
            .learn_first_event(expected.after_ms as f32, first_ms as f32);
        let engine = self.engines.get_mut(&run.engine());
        let factor = engine.as_ref().map_or(1.0, |engine| engine.pace_factor());
        self.prefill_rate.learn(usual_ms, first_ms as f32 / factor);
        let is_fresh = now_ms.saturating_sub(run.placed_ms() + first_ms) < MAX_FIRST_EVENT_AGE_MS;
        if let Some(engine) = engine.filter(|_| is_fresh) {
            let pace = &mut engine.pace;
            self.pace
                .learn_first_event(now_ms, pace, usual_ms, first_ms as f32);
            pace.update_factor(self.pace.quiet_token_ms());
        }
    }
}

fn decay(now_ms: Millis, since_ms: Millis, time_constant_ms: f32) -> f32 {
    let age_ms = now_ms.saturating_sub(since_ms) as f32;
    (-age_ms / time_constant_ms).exp()
}
