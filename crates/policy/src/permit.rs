//! One generation that a home has let start.

use crate::fit::Footprint;
use crate::key::Millis;
use crate::lengths::Lengths;
use crate::permit_request::{EnginePermitRequest, PermitRequestId};

/// The pace of a batch is trusted for so long after a report.
const PACE_BOUND_MS: Millis = 1_500;

#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) ask: EnginePermitRequest,
    pub(crate) out_tokens: u32,
    pub(crate) heard_at_ms: Millis,
    draw: f32,
    pub(crate) priority: i32,
    /// When a move was last asked for.
    pub(crate) moved_at_ms: Option<Millis>,
}

impl Permit {
    pub(crate) fn new(now_ms: Millis, ask: EnginePermitRequest, priority: i32) -> Self {
        Self {
            ask,
            out_tokens: ask.out_tokens,
            heard_at_ms: now_ms,
            draw: draw(ask.id),
            priority,
            moved_at_ms: None,
        }
    }

    /// Tokens computed anew for each token of memory freed over the time to come, if it moved.
    pub(crate) fn move_loss(&self, lengths: &Lengths) -> f32 {
        let footprint = self.footprint(self.out_tokens, lengths);
        let expected = footprint.curve.expected(footprint.out_tokens);
        let remaining = (expected - footprint.out_tokens).max(1.0);
        self.held_tokens() as f32 / remaining
    }

    pub(crate) fn held_tokens(&self) -> u32 {
        self.ask.prompt_tokens + self.out_tokens
    }

    /// Tokens out by now: the last report, and what the engine's pace adds to it. Without that a
    /// home would overfill its engine by what a whole batch decodes between two reports.
    pub(crate) fn likely_out_tokens(&self, now_ms: Millis, tokens_per_ms: f32) -> u32 {
        let since_ms = now_ms.saturating_sub(self.heard_at_ms).min(PACE_BOUND_MS);
        let likely = self.out_tokens + (since_ms as f32 * tokens_per_ms) as u32;
        let most = self.ask.known_tokens.unwrap_or(u32::MAX);
        likely.min(self.ask.output_limit_tokens).min(most)
    }

    pub(crate) fn footprint<'a>(&self, out_tokens: u32, lengths: &'a Lengths) -> Footprint<'a> {
        footprint(&self.ask, out_tokens, self.draw, lengths)
    }
}

fn footprint<'a>(
    ask: &EnginePermitRequest,
    out_tokens: u32,
    draw: f32,
    lengths: &'a Lengths,
) -> Footprint<'a> {
    Footprint {
        prompt_tokens: ask.prompt_tokens as f32,
        out_tokens: out_tokens as f32,
        limit_tokens: ask.output_limit_tokens as f32,
        curve: lengths.curve(ask.organisation, ask.service),
        known_tokens: ask.known_tokens.map(|tokens| tokens as f32),
        draw,
    }
}

/// A draw that stays with its ask, so that a prediction doesn't jump from step to step.
fn draw(ask: PermitRequestId) -> f32 {
    let hash = xxhash_rust::xxh3::xxh3_64(&ask.0.to_le_bytes());
    (hash >> 40) as f32 / (1u64 << 24) as f32
}

/// What an ask would hold if it started now.
pub(crate) fn wanted<'a>(ask: &EnginePermitRequest, lengths: &'a Lengths) -> Footprint<'a> {
    footprint(ask, ask.out_tokens, draw(ask.id), lengths)
}
