//! How a home decides.

use crate::fit::FitRule;
use crate::key::Millis;
use crate::queue::OrderRule;
use crate::weights::Weights;

/// How a home decides; follows from the preset in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeSettings {
    /// The engine's memory.
    pub memory_tokens: u32,
    /// How memory is kept from filling up.
    pub fit: FitRule,
    /// Who is served next.
    pub order: OrderRule,
    /// How far an organisation may run ahead of one that waits, in tokens a weight.
    pub lead_bound_tokens: f64,
    /// The share of memory up to which work above an organisation's own share may start.
    pub lend_share: f32,
    /// Time that the engine spends on a prompt's token; 0 turns pacing off.
    pub prompt_ms_per_token: f32,
    /// Whether to move a generation off an engine about to fill.
    pub moves: bool,
    /// An ask whose predicted wait exceeds this multiple of its patience is refused at once; 0
    /// waits for each to run out.
    pub early_refusal_factor: f32,
    /// The longest queue.
    pub queue_limit: usize,
    /// A permit without a word from its host for so long lapses.
    pub permit_ttl_ms: Millis,
}

/// After so long a footprint counts for half in the queue's order.
const HALF_AGE_MS: Millis = 30_000;
const LEAD_BOUND_TOKENS: f64 = 20_000.0;
const EARLY: f32 = 0.4;
const PACE: f32 = 1.5;
const QUEUE_LIMIT: usize = 256;
const LAPSE_MS: Millis = 6_000;

impl HomeSettings {
    /// What the product uses under a preset; docs/POLICY.md has the figures behind each constant.
    pub fn new(
        weights: Weights,
        lend_share: f32,
        memory_tokens: u32,
        prompt_ms_per_token: f32,
    ) -> Self {
        Self {
            memory_tokens,
            fit: FitRule::Normal {
                z: weights.reserve_deviations(),
                share: 1.0,
            },
            order: OrderRule::SmallestFirst {
                half_age_ms: HALF_AGE_MS,
            },
            lead_bound_tokens: LEAD_BOUND_TOKENS,
            lend_share,
            prompt_ms_per_token: prompt_ms_per_token * PACE,
            moves: true,
            early_refusal_factor: EARLY,
            queue_limit: QUEUE_LIMIT,
            permit_ttl_ms: LAPSE_MS,
        }
    }
}
