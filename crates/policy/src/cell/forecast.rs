//! The memory that engines' generations will come to.

use std::collections::HashMap;

use super::{Cell, answers::Answers, engine::Engine, run::Run};
use crate::key::{Millis, UpstreamKey};

/// Tokens ahead at which the memory is looked at. Generations of one batch advance together, so
/// what each holds then, if it still runs, adds up. (Peak of predicted memory: Gong et al.,
/// "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.)
const HORIZONS_TOKENS: [f32; 5] = [0.0, 64.0, 160.0, 320.0, 640.0];

/// A generation's claim on memory: what it holds now, and how many tokens it will add.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Claim {
    pub(super) held_tokens: f32,
    pub(super) rest_tokens: f32,
}

impl Claim {
    /// What it holds so many tokens ahead.
    fn at(self, ahead_tokens: f32) -> f32 {
        match ahead_tokens <= self.rest_tokens {
            true => self.held_tokens + ahead_tokens,
            false => 0.0,
        }
    }
}

/// What is predicted of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Generations that run there.
    running: u32,
    /// Memory at each horizon.
    held_tokens: [f32; HORIZONS_TOKENS.len()],
}

impl Load {
    fn add(&mut self, claim: Claim) {
        for (held, ahead) in self.held_tokens.iter_mut().zip(HORIZONS_TOKENS) {
            *held += claim.at(ahead);
        }
    }

    fn peak_with(&self, claim: Claim) -> f32 {
        let held = self.held_tokens.iter().zip(HORIZONS_TOKENS);
        let peaks = held.map(|(held, ahead)| held + claim.at(ahead));
        peaks.fold(0.0, f32::max)
    }
}

/// The memory of all engines of a cell, as predicted at one moment.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    now_ms: Millis,
    loads: HashMap<UpstreamKey, Load>,
}

impl Forecast {
    /// The highest share of an engine's memory that is predicted with one more generation there.
    pub(super) fn peak_share(&self, engine: &Engine, claim: Claim) -> f32 {
        let load = self.load(engine.entry.key);
        let peak = load.peak_with(claim) + engine.left_behind_tokens(self.now_ms);
        peak / engine.entry.capacity.memory_tokens.max(1) as f32
    }

    /// Generations on an engine.
    pub(super) fn running(&self, engine: UpstreamKey) -> u32 {
        self.load(engine).running
    }

    /// Keeps memory of an engine free for a generation that goes first.
    pub(super) fn reserve(&mut self, engine: UpstreamKey, claim: Claim) {
        self.loads.entry(engine).or_default().add(claim);
    }

    fn load(&self, engine: UpstreamKey) -> Load {
        self.loads.get(&engine).copied().unwrap_or_default()
    }
}

impl Cell {
    pub(super) fn forecast(&self, now_ms: Millis) -> Forecast {
        let mut loads: HashMap<UpstreamKey, Load> = HashMap::new();
        for run in self.runs.values() {
            let claim = run.claim(now_ms, &self.answers);
            for engine in run.holders() {
                loads.entry(engine).or_default().add(claim);
            }
            loads.entry(run.engine()).or_default().running += 1;
        }
        Forecast { now_ms, loads }
    }
}

impl Run {
    pub(super) fn claim(&self, now_ms: Millis, answers: &Answers) -> Claim {
        Claim {
            held_tokens: self.held_tokens(now_ms),
            rest_tokens: self.rest_tokens(now_ms, answers),
        }
    }
}
