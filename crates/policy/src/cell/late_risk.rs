//! Expected loss by answers that become late, in the unit of the cost of a placement.

use super::Cell;
use super::engine::Engine;
use super::forecast::MemoryDemand;
use super::pauses::Pauses;
use super::placement::PlacementRequest;
use super::run::Run;
use crate::key::Millis;

/// The risk of one answer on an engine where it may run.
#[derive(Debug)]
pub(super) struct AnswerRisk<'a> {
    pauses: &'a Pauses,
    gap_target_ms: Option<Millis>,
    /// Time that a usual engine takes for the rest of the answer.
    decode_s: f32,
    late_cost_ms: f32,
}

impl AnswerRisk<'_> {
    /// Expected loss because later prompts are prefilled beside it.
    pub(super) fn later_cost_ms(&self, pace_factor: f32) -> f32 {
        let Some(gap_target_ms) = self.gap_target_ms else {
            return 0.0;
        };
        let late_per_s = self.pauses.late_per_s(gap_target_ms, pace_factor);
        let decode_s = self.decode_s * pace_factor;
        self.late_cost_ms * (1.0 - (-late_per_s * decode_s).exp())
    }

    /// Expected loss by the prompts that are queued on an engine.
    pub(super) fn queue_cost_ms(&self, engine: &Engine, now_ms: Millis) -> f32 {
        let Some(gap_target_ms) = self.gap_target_ms else {
            return 0.0;
        };
        let pace_factor = engine.pace_factor();
        let queue_s = engine.prefill_wait_ms(now_ms) / 1_000.0;
        let beside_s = queue_s.min(self.decode_s * pace_factor);
        let late_per_s = self
            .pauses
            .late_per_s_of_prefill(gap_target_ms, pace_factor);
        self.late_cost_ms * (1.0 - (-late_per_s * beside_s).exp())
    }

    /// Expected loss by the pause of a migration to an engine.
    pub(super) fn migration_cost_ms(&self, pace_factor: f32, is_prefilling: bool) -> f32 {
        let Some(gap_target_ms) = self.gap_target_ms else {
            return 0.0;
        };
        let event_ms = self.pauses.event_ms(pace_factor, is_prefilling);
        self.late_cost_ms * self.pauses.late_by_migration(gap_target_ms, event_ms)
    }
}

/// The risk of a start, for its own answer and for those that run beside it.
#[derive(Debug)]
pub(super) struct StartRisk<'a> {
    answer: AnswerRisk<'a>,
    /// Time that a usual engine takes for the prompt.
    prefill_ms: f32,
    max_wait_ms: f32,
}

impl StartRisk<'_> {
    /// Expected loss by a start on an engine, where the prompt waits for others and answers with
    /// the given risk for each second of prefill run.
    pub(super) fn cost_ms(&self, engine: &Engine, wait_ms: f32, running_risk_per_s: f32) -> f32 {
        let pace_factor = engine.pace_factor();
        let prefill_ms = self.prefill_ms * pace_factor;
        let spare_ms = self.max_wait_ms - wait_ms - prefill_ms;
        let late_first_event = self.answer.pauses.late_first_event(spare_ms);
        self.answer.late_cost_ms * late_first_event
            + running_risk_per_s * prefill_ms / 1_000.0
            + self.answer.later_cost_ms(pace_factor)
    }
}

impl Cell {
    /// The risk of starting a request.
    pub(super) fn start_risk(
        &self,
        request: &PlacementRequest,
        demand: MemoryDemand,
    ) -> StartRisk<'_> {
        StartRisk {
            answer: self.answer_risk(request.gap_target_ms, demand),
            prefill_ms: request.prefill_ms(&self.prefill_rate),
            max_wait_ms: request.max_wait_ms as f32,
        }
    }

    /// The risk of moving a generation. One that is late already has nothing more to lose.
    pub(super) fn migration_risk(&self, run: &Run, demand: MemoryDemand) -> AnswerRisk<'_> {
        let gap_target_ms = run.gap_target_ms.filter(|_| !run.is_late);
        self.answer_risk(gap_target_ms, demand)
    }

    fn answer_risk(&self, gap_target_ms: Option<Millis>, demand: MemoryDemand) -> AnswerRisk<'_> {
        AnswerRisk {
            pauses: &self.pauses,
            gap_target_ms,
            decode_s: demand.remaining_tokens * self.pace.token_ms() / 1_000.0,
            late_cost_ms: self.pauses.late_cost_ms(demand),
        }
    }
}
