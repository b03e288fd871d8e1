//! The permit of one running generation.

use crate::fit::Footprint;
use crate::key::Millis;
use crate::lengths::Lengths;
use crate::permit_request::{EnginePermitRequest, PermitRequestId};

/// How long output is extrapolated after the last progress report.
const EXTRAPOLATION_LIMIT_MS: Millis = 1_500;

#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) request: EnginePermitRequest,
    pub(crate) out_tokens: u32,
    pub(crate) updated_at_ms: Millis,
    draw: f32,
    pub(crate) priority: i32,
    /// When a move was last requested.
    pub(crate) moved_at_ms: Option<Millis>,
}

impl Permit {
    pub(crate) fn new(now_ms: Millis, request: EnginePermitRequest, priority: i32) -> Self {
        Self {
            request,
            out_tokens: request.out_tokens,
            updated_at_ms: now_ms,
            draw: draw(request.id),
            priority,
            moved_at_ms: None,
        }
    }

    /// Cost of a move: tokens to recompute for each token of future memory that it frees.
    pub(crate) fn move_cost(&self, lengths: &Lengths) -> f32 {
        let footprint = self.footprint(self.out_tokens, lengths);
        let expected = footprint.curve.expected(footprint.out_tokens);
        let remaining = (expected - footprint.out_tokens).max(1.0);
        self.held_tokens() as f32 / remaining
    }

    pub(crate) fn held_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.out_tokens
    }

    /// Estimated output so far: the last report, extrapolated at the engine's decode rate. Without
    /// it a home would overcommit its engine by what the batch decodes between two reports.
    pub(crate) fn estimated_out_tokens(&self, now_ms: Millis, tokens_per_ms: f32) -> u32 {
        let since_ms = now_ms
            .saturating_sub(self.updated_at_ms)
            .min(EXTRAPOLATION_LIMIT_MS);
        let estimated = self.out_tokens + (since_ms as f32 * tokens_per_ms) as u32;
        let most = self.request.known_tokens.unwrap_or(u32::MAX);
        estimated.min(self.request.output_limit_tokens).min(most)
    }

    pub(crate) fn footprint<'a>(&self, out_tokens: u32, lengths: &'a Lengths) -> Footprint<'a> {
        footprint(&self.request, out_tokens, self.draw, lengths)
    }
}

fn footprint<'a>(
    request: &EnginePermitRequest,
    out_tokens: u32,
    draw: f32,
    lengths: &'a Lengths,
) -> Footprint<'a> {
    Footprint {
        prompt_tokens: request.prompt_tokens as f32,
        out_tokens: out_tokens as f32,
        limit_tokens: request.output_limit_tokens as f32,
        curve: lengths.curve(request.organisation, request.service),
        known_tokens: request.known_tokens.map(|tokens| tokens as f32),
        draw,
    }
}

/// A pseudo-random draw derived from the request, so that predictions are stable between steps.
fn draw(request: PermitRequestId) -> f32 {
    let hash = xxhash_rust::xxh3::xxh3_64(&request.0.to_le_bytes());
    (hash >> 40) as f32 / (1u64 << 24) as f32
}

/// The footprint of a request if it started now.
pub(crate) fn footprint_at_start<'a>(
    request: &EnginePermitRequest,
    lengths: &'a Lengths,
) -> Footprint<'a> {
    footprint(request, request.out_tokens, draw(request.id), lengths)
}
