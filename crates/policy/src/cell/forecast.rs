//! Predicted memory use of a cell's engines.

use std::collections::HashMap;

use super::{Cell, answer_lengths::AnswerLengths, engine::Engine, run::Run};
use crate::key::{Millis, UpstreamKey};

/// Horizons, in output tokens, at which memory use is predicted. Generations of one batch advance
/// together, so the memory of those still running at a horizon adds up. (Peak of predicted memory:
/// Gong et al., "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.)
const HORIZONS_TOKENS: [f32; 5] = [0.0, 64.0, 160.0, 320.0, 640.0];

/// Memory demand of a generation: the tokens it holds now and those it is expected to add.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MemoryDemand {
    pub(super) held_tokens: f32,
    pub(super) remaining_tokens: f32,
    /// Time per token.
    pub(super) token_ms: f32,
}

impl MemoryDemand {
    /// Memory held `ahead_tokens` later.
    fn at(self, ahead_tokens: f32) -> f32 {
        match ahead_tokens <= self.remaining_tokens {
            true => self.held_tokens + ahead_tokens,
            false => 0.0,
        }
    }
}

/// Predicted load of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Running generations.
    running: u32,
    /// What it costs in a second of prefill that running answers may become late.
    prefill_risk_per_s: f32,
    /// Memory at each of [`HORIZONS_TOKENS`].
    held_tokens: [f32; HORIZONS_TOKENS.len()],
}

impl Load {
    fn add(&mut self, demand: MemoryDemand) {
        for (held, ahead) in self.held_tokens.iter_mut().zip(HORIZONS_TOKENS) {
            *held += demand.at(ahead);
        }
    }

    fn peak_with(&self, demand: MemoryDemand) -> f32 {
        let held = self.held_tokens.iter().zip(HORIZONS_TOKENS);
        let peaks = held.map(|(held, ahead)| held + demand.at(ahead));
        peaks.fold(0.0, f32::max)
    }
}

/// Predicted memory use of all engines of a cell at one time.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    now_ms: Millis,
    loads: HashMap<UpstreamKey, Load>,
}

impl Forecast {
    /// Peak share of an engine's memory that is predicted with one more generation on it.
    pub(super) fn peak_share(&self, engine: &Engine, demand: MemoryDemand) -> f32 {
        let load = self.load(engine.entry.key);
        let peak = load.peak_with(demand) + engine.orphaned_tokens(self.now_ms);
        peak / engine.entry.capacity.memory_tokens.max(1) as f32
    }

    /// Number of generations running on an engine.
    pub(super) fn running(&self, engine: UpstreamKey) -> u32 {
        self.load(engine).running
    }

    /// What it costs in a second of prefill on an engine that answers there may become late.
    pub(super) fn prefill_risk_per_s(&self, engine: UpstreamKey) -> f32 {
        self.load(engine).prefill_risk_per_s
    }

    /// Reserves memory of an engine for a generation that takes precedence.
    pub(super) fn reserve(&mut self, engine: UpstreamKey, demand: MemoryDemand) {
        self.loads.entry(engine).or_default().add(demand);
    }

    fn load(&self, engine: UpstreamKey) -> Load {
        self.loads.get(&engine).copied().unwrap_or_default()
    }
}

impl Cell {
    pub(super) fn forecast(&self, now_ms: Millis) -> Forecast {
        let mut loads: HashMap<UpstreamKey, Load> = HashMap::new();
        for run in self.runs.values() {
            let demand = run.demand(now_ms, &self.answer_lengths);
            for engine in run.holders() {
                loads.entry(engine).or_default().add(demand);
            }
            let load = loads.entry(run.engine()).or_default();
            load.running += 1;
            load.prefill_risk_per_s += run.prefill_risk_per_s;
        }
        Forecast { now_ms, loads }
    }
}

impl Run {
    pub(super) fn demand(&self, now_ms: Millis, answer_lengths: &AnswerLengths) -> MemoryDemand {
        MemoryDemand {
            held_tokens: self.held_tokens(now_ms),
            remaining_tokens: self.remaining_tokens(now_ms, answer_lengths),
            token_ms: self.token_ms(),
        }
    }
}
