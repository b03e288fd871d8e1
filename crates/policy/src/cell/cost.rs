//! The cost of a generation to the rest of its cell, relative to its benefit to its caller.
//!
//! Matters when memory is short: ordered by arrival or by latest start alone, all waiting requests
//! have equal weight, and one that holds six thousand tokens for twenty seconds blocks several
//! others. The cost is the memory held times the time it is held; the benefit grows more slowly
//! with size. Requests are compared with the average of their cell, so no constant here depends on
//! a deployment.

use super::forecast::MemoryDemand;
use super::prefill_rate::PrefillRate;

/// Weight of a new request in the moving averages: about the last fifty requests count, which is
/// one or two seconds on an overloaded cell.
const AVERAGE_GAIN: f32 = 0.02;
/// Benefit of an output token to the caller, relative to that of a prompt token.
pub(super) const OUTPUT_TOKEN_WEIGHT: f32 = 10.0;
/// Part of a generation's benefit that does not depend on its size, relative to the benefit of an
/// average generation.
const MIN_BENEFIT: f32 = 0.3;
/// Upper bound on the relative cost, which limits how far any request is delayed behind others.
const MAX_RELATIVE_COST: f32 = 4.0;

/// Moving averages of cost and size in a cell.
#[derive(Debug, Default)]
pub(super) struct AverageCost {
    cost: f32,
    size_tokens: f32,
}

impl AverageCost {
    /// Adds a request to the averages and returns its cost as a multiple of the average, up to
    /// [`MAX_RELATIVE_COST`].
    pub(super) fn record_and_compare(
        &mut self,
        prefill_rate: &PrefillRate,
        demand: MemoryDemand,
    ) -> f32 {
        let size_tokens = demand.held_tokens + OUTPUT_TOKEN_WEIGHT * demand.remaining_tokens;
        update_average(&mut self.size_tokens, size_tokens);
        let benefit = benefit(size_tokens, self.size_tokens);
        let cost = held_token_ms(prefill_rate, demand) / benefit;
        update_average(&mut self.cost, cost);
        (cost / self.cost.max(1.0)).min(MAX_RELATIVE_COST)
    }
}

/// Benefit of a generation to its caller, relative to one of average size.
pub(super) fn benefit(size_tokens: f32, average_tokens: f32) -> f32 {
    MIN_BENEFIT + (1.0 - MIN_BENEFIT) * size_tokens / average_tokens.max(1.0)
}

/// Memory times time: the prompt during prefill, then one more token per decode step.
fn held_token_ms(prefill_rate: &PrefillRate, demand: MemoryDemand) -> f32 {
    let prefill_ms = prefill_rate.ms(demand.held_tokens);
    let decode_ms = demand.remaining_tokens * demand.token_ms;
    (demand.held_tokens + demand.remaining_tokens / 2.0) * (prefill_ms + decode_ms)
}

/// Updates a moving average, which begins with its first value.
pub(super) fn update_average(average: &mut f32, new: f32) {
    match *average == 0.0 {
        true => *average = new,
        false => *average += (new - *average) * AVERAGE_GAIN,
    }
}
