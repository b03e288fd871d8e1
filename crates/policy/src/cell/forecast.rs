//! The memory that an engine's generations will come to.

use super::{Cell, engine::Engine};
use crate::key::{Millis, UpstreamKey};

/// Tokens ahead at which the memory is looked at. Generations of one batch advance together, so
/// what each holds then, if it still runs, adds up. (Peak of predicted memory: Gong et al.,
/// "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.)
const HORIZONS_TOKENS: [f32; 5] = [0.0, 64.0, 160.0, 320.0, 640.0];

impl Cell {
    /// The highest share of an engine's memory that is predicted with one more generation there.
    pub(super) fn peak_share(
        &self,
        now_ms: Millis,
        engine: &Engine,
        prompt_tokens: f32,
        expected_tokens: f32,
    ) -> f32 {
        let key = engine.entry.key;
        let more = |ahead: f32| match ahead <= expected_tokens {
            true => prompt_tokens + ahead,
            false => 0.0,
        };
        let peaks = HORIZONS_TOKENS.map(|ahead| self.memory_at(now_ms, key, ahead) + more(ahead));
        let peak = peaks.into_iter().fold(0.0, f32::max) + engine.left_behind_tokens(now_ms);
        peak / engine.entry.figures.memory_tokens.max(1) as f32
    }

    fn memory_at(&self, now_ms: Millis, engine: UpstreamKey, ahead: f32) -> f32 {
        let holding = self.runs.values().filter(|run| run.holds(engine));
        holding
            .filter(|run| run.rest_tokens(now_ms) >= ahead)
            .map(|run| run.held_tokens(now_ms) + ahead)
            .sum()
    }
}
