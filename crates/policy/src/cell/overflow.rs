//! The two sides of a request that is handed on to another cell: at its own cell, which decides
//! whether to ask, and at the cell that takes it.

use super::Cell;
use super::placement::{Placement, PlacementRequest};
use super::run::Run;
use super::selection::Selection;
use crate::key::Millis;

/// How long a generation of another cell is counted before its host first states it. Hosts state
/// what they relay once a second. If the answer to the asking home was lost, no host ever does.
const UNCONFIRMED_TTL_MS: Millis = 2_500;

impl Cell {
    /// Places or queues a generation like [`Cell::place`], unless it would cost `max_cost_ms` or
    /// more; `None` for any cost.
    ///
    /// # Errors
    /// Its cost in ms, if that is too high; nothing is placed or queued then.
    pub fn place_unless_costly(
        &mut self,
        now_ms: Millis,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<Placement, f32> {
        let (attempt, shares, selection) = self.select(now_ms, request, |engine| engine.0);
        match selection {
            Selection::Engine(candidate)
                if max_cost_ms.is_some_and(|max_cost_ms| candidate.cost_ms >= max_cost_ms) =>
            {
                Err(candidate.cost_ms)
            }
            _ => Ok(self.apply(now_ms, &attempt, &shares, selection)),
        }
    }

    /// Forgets a request that another cell has taken: its place in the queue, or its refusal, or
    /// the run that it continues elsewhere.
    pub fn withdraw(&mut self, request: &PlacementRequest) {
        self.waiting.withdraw(request);
        self.runs.remove(&request.run);
    }

    /// Places a generation that arrived in another cell, if that costs less than `max_cost_ms` here;
    /// `None` for any cost. It is never queued. Returns its cost in ms as well.
    ///
    /// # Errors
    /// The cost here, if there is room at all.
    pub fn place_below(
        &mut self,
        now_ms: Millis,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<(Placement, f32), Option<f32>> {
        self.expire_unconfirmed(now_ms);
        let (attempt, shares, selection) = self.select(now_ms, request, |engine| engine.0);
        let Selection::Engine(candidate) = selection else {
            return Err(None);
        };
        let cost_ms = candidate.cost_ms;
        if max_cost_ms.is_some_and(|max_cost_ms| cost_ms >= max_cost_ms) {
            return Err(Some(cost_ms));
        }
        let placement = self.apply(now_ms, &attempt, &shares, selection);
        if let Some(run) = self.runs.get_mut(&request.run) {
            run.expect_statement(now_ms + UNCONFIRMED_TTL_MS);
        }
        Ok((placement, cost_ms))
    }

    /// Removes generations of other cells that no host has stated in time.
    pub(super) fn expire_unconfirmed(&mut self, now_ms: Millis) {
        self.runs.retain(|_, run| !run.is_overdue(now_ms));
    }
}

impl Run {
    /// Counts the generation only until `until_ms`, unless its host states it before.
    pub(super) fn expect_statement(&mut self, until_ms: Millis) {
        self.unconfirmed_until_ms = Some(until_ms);
    }

    fn is_overdue(&self, now_ms: Millis) -> bool {
        self.unconfirmed_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
    }
}
