//! Finds the organisations that hold more than their fair share of an overloaded cell.
//!
//! When an organisation sends many times its usual load and the engines have no spare room,
//! ordering by time alone favours whoever sends most: requests of other organisations are late or
//! refused in proportion to the flood, although their load is normal. Every organisation may use
//! what no other one requests, and otherwise up to its share: the level at which all held and
//! requested memory fits, where each organisation gets the smaller of its demand and the level
//! (max-min fairness: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2). Only current
//! holdings count, so idle times earn no credit and a flood leaves no debt.
//!
//! Running generations are never cut for fairness: some tens of answers end per second, and the
//! memory they free goes first to organisations below their share.

use std::collections::HashMap;

use super::Cell;
use super::forecast::MemoryDemand;
use crate::key::{Millis, OrganisationKey};

/// Memory held by each organisation of a cell and their fair share, in tokens.
#[derive(Debug, Default)]
pub(super) struct Shares {
    held: HashMap<OrganisationKey, f32>,
    level: Option<f32>,
}

impl Shares {
    /// Whether an organisation would exceed its share with one more generation. An organisation
    /// that holds nothing never does, however large the generation is.
    pub(super) fn is_over(&self, organisation: OrganisationKey, demand: MemoryDemand) -> bool {
        let held = self.held.get(&organisation).copied().unwrap_or_default();
        self.level
            .is_some_and(|level| held > 0.0 && held + demand.total_tokens() > level)
    }
}

impl MemoryDemand {
    /// Memory held at the end of the generation.
    fn total_tokens(self) -> f32 {
        self.held_tokens + self.remaining_tokens
    }
}

impl Cell {
    /// The current shares, counting the given request with those that wait.
    pub(super) fn shares(
        &self,
        now_ms: Millis,
        requester: OrganisationKey,
        demand: MemoryDemand,
    ) -> Shares {
        let mut held: HashMap<OrganisationKey, f32> = HashMap::new();
        for run in self.runs.values() {
            let total_tokens = run.demand(now_ms, &self.answer_lengths).total_tokens();
            *held.entry(run.organisation).or_default() += total_tokens;
        }
        let mut demands = held.clone();
        *demands.entry(requester).or_default() += demand.total_tokens();
        for (organisation, demand) in self.waiting.demands() {
            *demands.entry(organisation).or_default() += demand.total_tokens();
        }
        let open = self.engines.values().filter(|engine| engine.is_open());
        let room = open.map(|engine| engine.entry.capacity.memory_tokens as f32);
        Shares {
            held,
            level: level(demands.into_values().collect(), room.sum()),
        }
    }
}

/// The max-min fair level for these demands; `None` if all demands fit.
fn level(mut demands: Vec<f32>, room: f32) -> Option<f32> {
    demands.sort_by(f32::total_cmp);
    let mut left = room;
    let mut count = demands.len();
    for demand in demands {
        let level = left / count as f32;
        if demand > level {
            return Some(level);
        }
        left -= demand;
        count -= 1;
    }
    None
}
