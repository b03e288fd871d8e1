//! Settings of an engine's home.

use crate::fit::FitRule;
use crate::key::Millis;
use crate::queue::OrderRule;
use crate::weights::Weights;

/// Settings of an engine's home, derived from the active preset.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeSettings {
    /// Memory of the engine.
    pub memory_tokens: u32,
    /// Admission rule for the engine's memory.
    pub fit: FitRule,
    /// Service order of the queue.
    pub order: OrderRule,
    /// How far an organisation may be ahead of a waiting one, in tokens per weight.
    pub lead_bound_tokens: f64,
    /// Share of memory up to which requests beyond an organisation's guaranteed share may start.
    pub lend_share: f32,
    /// Prefill time of one prompt token; 0 disables pacing.
    pub prompt_ms_per_token: f32,
    /// Whether to move generations off an engine that is about to run out of memory.
    pub moves: bool,
    /// A request is refused at once if its predicted wait exceeds this multiple of its remaining
    /// maximum wait; 0 disables early refusal.
    pub early_refusal_factor: f32,
    /// Maximum queue length.
    pub queue_limit: usize,
    /// Time without an update of its host after which a permit expires.
    pub permit_ttl_ms: Millis,
}

/// Waiting time after which a footprint counts half in the queue order.
const FOOTPRINT_HALF_AGE_MS: Millis = 30_000;
const LEAD_BOUND_TOKENS: f64 = 20_000.0;
const EARLY_REFUSAL_FACTOR: f32 = 0.4;
const PREFILL_PACING_FACTOR: f32 = 1.5;
const QUEUE_LIMIT: usize = 256;
const PERMIT_TTL_MS: Millis = 6_000;

impl HomeSettings {
    /// The settings for a preset. docs/POLICY.md has the figures behind each constant.
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
                half_age_ms: FOOTPRINT_HALF_AGE_MS,
            },
            lead_bound_tokens: LEAD_BOUND_TOKENS,
            lend_share,
            prompt_ms_per_token: prompt_ms_per_token * PREFILL_PACING_FACTOR,
            moves: true,
            early_refusal_factor: EARLY_REFUSAL_FACTOR,
            queue_limit: QUEUE_LIMIT,
            permit_ttl_ms: PERMIT_TTL_MS,
        }
    }
}
