//! What a generation costs the others of its cell, against its benefit to its caller.
//!
//! Answers memory that is short: by arrival, or by what has to start first, each waiting request is
//! worth as much as any other, and one that will hold six thousand tokens for twenty seconds keeps
//! several others out. Its cost is the memory that it holds times the time that it holds it for; its
//! benefit grows more slowly with its size. Requests are compared with what is usual in their cell, so
//! no figure here is one of a deployment.

use super::engine::TOKEN_MS;
use super::forecast::Claim;
use super::reading::Reading;

/// Of the usual figures, what each new request changes: the last fifty count, a second or two before a
/// crowded cell.
const USUAL_PART: f32 = 0.02;
/// A token out weighs as much as so many of the prompt, by the users' weighing of generations.
const OUT_WEIGHT: f32 = 10.0;
/// The part of a generation's benefit that doesn't grow with its size, by the same.
const LEAST_BENEFIT: f32 = 0.3;
/// Where a request's cost is this many times the usual one it counts as that: the bound on how far any
/// request goes behind others.
const MOST: f32 = 4.0;

/// What is usual in a cell.
#[derive(Debug, Default)]
pub(super) struct UsualCost {
    cost: f32,
    size_tokens: f32,
}

impl UsualCost {
    /// Takes in a new request; its cost in times of the usual one, up to a bound.
    pub(super) fn compare(&mut self, reading: &Reading, claim: Claim) -> f32 {
        let size_tokens = claim.held_tokens + OUT_WEIGHT * claim.rest_tokens;
        follow(&mut self.size_tokens, size_tokens);
        let relative_size = size_tokens / self.size_tokens.max(1.0);
        let benefit = LEAST_BENEFIT + (1.0 - LEAST_BENEFIT) * relative_size;
        let cost = held_token_ms(reading, claim) / benefit;
        follow(&mut self.cost, cost);
        (cost / self.cost.max(1.0)).min(MOST)
    }
}

/// Memory times time: its prompt while that is read, then more with each token.
fn held_token_ms(reading: &Reading, claim: Claim) -> f32 {
    let reading_ms = reading.ms(claim.held_tokens);
    let answering_ms = claim.rest_tokens * TOKEN_MS;
    (claim.held_tokens + claim.rest_tokens / 2.0) * (reading_ms + answering_ms)
}

fn follow(usual: &mut f32, new: f32) {
    match *usual == 0.0 {
        true => *usual = new,
        false => *usual += (new - *usual) * USUAL_PART,
    }
}
