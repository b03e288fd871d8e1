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
//!
//! Urgent requests of an organisation above its share keep their turn as long as they hold no more
//! than their usual part of its share.

use std::collections::{BTreeMap, HashMap};

use super::Cell;
use super::forecast::MemoryDemand;
use crate::key::{Millis, OrganisationKey};

/// How far the urgent memory of an organisation may exceed its expected part, in standard deviations
/// of a Poisson process. Arrivals of an organisation that sends its usual load stay below it.
const URGENT_DEVIATIONS: f32 = 3.0;

/// Memory held by each organisation of a cell and their fair share, in tokens.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// By organisation and priority.
    held: BTreeMap<(OrganisationKey, u8), f32>,
    /// Of all organisations, by priority.
    held_by_priority: BTreeMap<u8, f32>,
    level: Option<f32>,
}

impl Shares {
    /// Whether a request of an organisation is queued behind those of organisations below their
    /// share: the organisation would exceed its share with it, and the request is not one of the
    /// few urgent ones that are exempt. An organisation that holds nothing never exceeds its share,
    /// however large the generation is.
    pub(super) fn is_over(
        &self,
        organisation: OrganisationKey,
        priority: u8,
        demand: MemoryDemand,
    ) -> bool {
        let Some(level) = self.level else {
            return false;
        };
        let held = self.held_by(organisation, u8::MAX);
        let exceeds = held > 0.0 && held + demand.total_tokens() > level;
        exceeds && !self.is_exempt(organisation, priority, demand, level)
    }

    /// Whether an organisation above its share holds no more memory for requests as urgent as this
    /// one than the others would in its place, so that they lose next to nothing to it.
    ///
    /// Without the exemption, the short urgent requests of a large organisation would wait behind
    /// the long ones of all others because of its own long ones. A flood of urgent requests exceeds
    /// the part that such requests have in the memory of others and is not exempt. Requests of the
    /// least urgent class have all of the memory, so none of them is exempt.
    fn is_exempt(
        &self,
        organisation: OrganisationKey,
        priority: u8,
        demand: MemoryDemand,
        level: f32,
    ) -> bool {
        let held = self.held_by(organisation, priority);
        let all: f32 = self.held_by_priority.values().sum();
        let urgent: f32 = self
            .held_by_priority
            .range(..=priority)
            .map(|(_, held)| held)
            .sum();
        let of_others = all - self.held_by(organisation, u8::MAX);
        let urgent_part = match of_others > 0.0 {
            true => ((urgent - held) / of_others).clamp(0.0, 1.0),
            false => 1.0,
        };
        let expected = level * urgent_part;
        let deviation = (expected * demand.total_tokens()).sqrt();
        let most = (expected + URGENT_DEVIATIONS * deviation).min(level);
        held == 0.0 || held + demand.total_tokens() <= most
    }

    /// Memory held by an organisation for requests at least as urgent as `priority`.
    fn held_by(&self, organisation: OrganisationKey, priority: u8) -> f32 {
        let held = self
            .held
            .range((organisation, 0)..=(organisation, priority));
        held.map(|(_, held)| held).sum()
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
        let mut held: BTreeMap<(OrganisationKey, u8), f32> = BTreeMap::new();
        let mut held_by_priority: BTreeMap<u8, f32> = BTreeMap::new();
        let mut demands: HashMap<OrganisationKey, f32> = HashMap::new();
        for run in self.runs.values() {
            let total_tokens = run.demand(now_ms, &self.answer_lengths).total_tokens();
            *held.entry((run.organisation, run.priority)).or_default() += total_tokens;
            *held_by_priority.entry(run.priority).or_default() += total_tokens;
            *demands.entry(run.organisation).or_default() += total_tokens;
        }
        *demands.entry(requester).or_default() += demand.total_tokens();
        for (organisation, demand) in self.waiting.demands() {
            *demands.entry(organisation).or_default() += demand.total_tokens();
        }
        let open = self.engines.values().filter(|engine| engine.is_open());
        let room = open.map(|engine| engine.entry.capacity.memory_tokens as f32);
        Shares {
            held,
            held_by_priority,
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
