//! Intervals between two statements of a generation, which show the speed of its engine.

use crate::key::Millis;

/// Shorter intervals between two statements are joined with the next one: tokens arrive in events
/// of several, so a few events measure nothing.
const MIN_INTERVAL_MS: Millis = 400;

/// What an engine did between two statements of one of its generations.
#[derive(Debug, Clone, Copy)]
pub(super) struct Interval {
    pub(super) duration_ms: f32,
    /// Tokens of the generation.
    pub(super) tokens: f32,
    /// Share of the time in which the engine prefilled prompts.
    pub(super) prefill_share: f32,
    /// Longest pause between two of its events.
    pub(super) longest_pause_ms: Millis,
}

/// A statement of a generation, from which the next interval is measured.
#[derive(Debug, Clone, Copy)]
pub(super) struct IntervalStart {
    pub(super) at_ms: Millis,
    pub(super) out_tokens: u32,
    /// Time that the engine had spent on prefills by then.
    pub(super) prefilled_ms: f64,
    /// Longest pause since the previous statement; as a start, of the interval so far.
    pub(super) longest_pause_ms: Millis,
}

impl IntervalStart {
    /// The interval up to a later statement; `None` if it is too short to measure.
    fn until(self, end: Self) -> Option<Interval> {
        let duration_ms = end.at_ms.saturating_sub(self.at_ms);
        let tokens = end.out_tokens.checked_sub(self.out_tokens)?;
        let prefill_ms = (end.prefilled_ms - self.prefilled_ms) as f32;
        let interval = Interval {
            duration_ms: duration_ms as f32,
            tokens: tokens as f32,
            prefill_share: (prefill_ms / duration_ms.max(1) as f32).clamp(0.0, 1.0),
            longest_pause_ms: end.longest_pause_ms,
        };
        (duration_ms >= MIN_INTERVAL_MS).then_some(interval)
    }
}

/// Progress of a generation from which its engine's speed is measured.
///
/// A migration pauses the generation, which says nothing about either engine. Measuring starts
/// again once the generation has progressed on its new engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum Measurement {
    /// A migration is in progress or has just ended.
    Interrupted,
    /// Starts when the generation has more tokens than these.
    StartsAfter(u32),
    Since(IntervalStart),
}

impl Default for Measurement {
    fn default() -> Self {
        Self::StartsAfter(0)
    }
}

impl Measurement {
    pub(super) fn interrupt(&mut self) {
        *self = Self::Interrupted;
    }

    /// Begins an interval, to which the pauses before it don't belong.
    fn since(now: IntervalStart) -> Self {
        Self::Since(IntervalStart {
            longest_pause_ms: 0,
            ..now
        })
    }

    /// The interval that a new statement completes, if any.
    pub(super) fn advance(&mut self, now: IntervalStart) -> Option<Interval> {
        match *self {
            Self::Interrupted => *self = Self::StartsAfter(now.out_tokens),
            Self::StartsAfter(tokens) if now.out_tokens > tokens => *self = Self::since(now),
            Self::StartsAfter(_) => {}
            Self::Since(start) => {
                let longest_pause_ms = start.longest_pause_ms.max(now.longest_pause_ms);
                let end = IntervalStart {
                    longest_pause_ms,
                    ..now
                };
                let interval = start.until(end);
                *self = match interval {
                    Some(_) => Self::since(now),
                    None => Self::Since(IntervalStart {
                        longest_pause_ms,
                        ..start
                    }),
                };
                return interval;
            }
        }
        None
    }
}
