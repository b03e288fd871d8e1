//! Which organisations hold more of a crowded cell than their share.
//!
//! The pattern is an organisation that sends many times its usual for a while, where the engines have
//! no room to spare. Turns by time alone go to whoever asks most, so the others' requests were late or
//! refused in proportion to the flood, though each of them asks for no more than usual. An organisation
//! is served from what nobody else wants, and before that up to its share: the level at which all that
//! is held and waited for fits, where each gets what it wants or the level, whichever is less (max-min
//! fairness: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2). What it holds now counts
//! and nothing of before, so there is neither credit for quiet times nor a debt after a flood.
//!
//! What runs is never cut for it: memory comes free as answers end, some tens a second, and goes to
//! those below their share first.

use std::collections::HashMap;

use super::Cell;
use super::forecast::Claim;
use crate::key::{Millis, OrganisationKey};

/// Memory that organisations hold of a cell, and up to where it is their share, in tokens.
#[derive(Debug, Default)]
pub(super) struct Shares {
    held: HashMap<OrganisationKey, f32>,
    level: Option<f32>,
}

impl Shares {
    /// Whether an organisation would hold more than its share with one more generation. One that
    /// holds nothing never does, however large the generation.
    pub(super) fn is_over(&self, organisation: OrganisationKey, claim: Claim) -> bool {
        let held = self.held.get(&organisation).copied().unwrap_or_default();
        self.level
            .is_some_and(|level| held > 0.0 && held + claim.whole() > level)
    }
}

impl Claim {
    /// All that it will have come to at its end.
    fn whole(self) -> f32 {
        self.held_tokens + self.rest_tokens
    }
}

impl Cell {
    /// The shares as of now, with a request that asks beside those that wait.
    pub(super) fn shares(&self, now_ms: Millis, asking: OrganisationKey, claim: Claim) -> Shares {
        let mut held: HashMap<OrganisationKey, f32> = HashMap::new();
        for run in self.runs.values() {
            let whole = run.claim(now_ms, &self.answers).whole();
            *held.entry(run.organisation).or_default() += whole;
        }
        let mut wanted = held.clone();
        *wanted.entry(asking).or_default() += claim.whole();
        for (organisation, claim) in self.waiting.claims() {
            *wanted.entry(organisation).or_default() += claim.whole();
        }
        let open = self.engines.values().filter(|engine| engine.is_open());
        let room = open.map(|engine| engine.entry.capacity.memory_tokens as f32);
        Shares {
            held,
            level: level(wanted.into_values().collect(), room.sum()),
        }
    }
}

/// The level up to which each of these may have what it wants so that all fits; `None` where all
/// fits anyway.
fn level(mut wanted: Vec<f32>, room: f32) -> Option<f32> {
    wanted.sort_by(f32::total_cmp);
    let mut left = room;
    let mut count = wanted.len();
    for want in wanted {
        let level = left / count as f32;
        if want > level {
            return Some(level);
        }
        left -= want;
        count -= 1;
    }
    None
}
