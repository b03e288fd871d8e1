//! Pauses between the events of running answers, and the risk that a prompt makes them too long.
//!
//! A route may bound the pauses of its answers. While a prompt is prefilled, each step of its engine
//! takes longer, and so do the pauses of all answers beside it. On a slow engine whose machine is
//! shared with other work at that moment, they exceed the bound. The home learns from statements how
//! often pauses of a length occur, with and without a prefill beside them, as a rate for each second
//! of either. Divided by the engines' factors, the pauses of all engines are alike.

use super::cost::{OUTPUT_TOKEN_WEIGHT, benefit, update_average};
use super::exceedances::Exceedances;
use super::forecast::MemoryDemand;
use super::measurement::Interval;
use super::placement::PlacementRequest;
use crate::key::Millis;

/// The last seconds count: an engine lives about 20 s, and the load of its machine changes.
const TIME_CONSTANT_MS: f32 = 10_000.0;
/// An interval with less prefill than this share of its time shows pauses without prefills.
const QUIET_PREFILL_SHARE: f32 = 0.05;
/// Weight of one interval in the mean share of time with a prefill: the last thousand count.
const PREFILL_SHARE_GAIN: f32 = 0.001;

/// The pauses of a cell's answers, and what a late answer costs.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    quiet: Exceedances,
    prefilling: Exceedances,
    /// First events after the time at which they were expected.
    overdue: Exceedances,
    /// Pauses of migrations, without the time to the first event on the destination.
    resumptions: Exceedances,
    /// Mean longest pause of an interval, without and with a prefill.
    quiet_pause_ms: f32,
    prefill_pause_ms: f32,
    learned_at_ms: Millis,
    /// Mean share of time in which an engine prefills prompts beside an answer.
    prefill_share: f32,
    /// Mean time to the first event within which answers with a bound are on time.
    target_ms: f32,
    /// Mean size of answers.
    size_tokens: f32,
}

impl Pauses {
    /// Learns from an interval of an answer on an engine of this factor.
    pub(super) fn learn(&mut self, pace_factor: f32, interval: Interval) {
        let pause_ms = interval.longest_pause_ms as f32 / pace_factor;
        let duration_s = interval.duration_ms / 1_000.0;
        self.prefill_share += (interval.prefill_share - self.prefill_share) * PREFILL_SHARE_GAIN;
        if interval.prefill_share < QUIET_PREFILL_SHARE {
            self.quiet.record(pause_ms, duration_s);
            update_average(&mut self.quiet_pause_ms, pause_ms);
            return;
        }
        self.prefilling
            .record(pause_ms, duration_s * interval.prefill_share);
        update_average(&mut self.prefill_pause_ms, pause_ms);
    }

    /// Lets earlier pauses decay, and updates the rates by those learned since.
    pub(super) fn refresh(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.learned_at_ms) as f32;
        self.learned_at_ms = now_ms;
        let keep = (-age_ms / TIME_CONSTANT_MS).exp();
        let all = [
            &mut self.quiet,
            &mut self.prefilling,
            &mut self.overdue,
            &mut self.resumptions,
        ];
        for rates in all {
            rates.decay(keep);
            rates.refresh();
        }
    }

    /// Learns from a first event that came after `took_ms`.
    pub(super) fn learn_first_event(&mut self, expected_ms: f32, took_ms: f32) {
        self.overdue.record((took_ms - expected_ms).max(0.0), 1.0);
    }

    /// Learns from the pause of a migration, after which an event was expected within `event_ms`.
    pub(super) fn learn_resumption(&mut self, event_ms: f32, pause_ms: Millis) {
        let stopped_ms = (pause_ms as f32 - event_ms).max(0.0);
        self.resumptions.record(stopped_ms, 1.0);
    }

    /// Expected time to the next event on an engine of this factor.
    pub(super) fn event_ms(&self, pace_factor: f32, is_prefilling: bool) -> f32 {
        let usual_ms = match is_prefilling {
            true => self.prefill_pause_ms.max(self.quiet_pause_ms),
            false => self.quiet_pause_ms,
        };
        usual_ms * pace_factor
    }

    /// Probability that the pause of a migration exceeds a bound, if an event follows it within
    /// `event_ms`.
    pub(super) fn late_by_migration(&self, gap_target_ms: Millis, event_ms: f32) -> f32 {
        let left_ms = (gap_target_ms as f32 - event_ms).max(0.0);
        self.resumptions.rate(left_ms)
    }

    /// Probability that a first event comes later than `spare_ms` after it is expected.
    pub(super) fn late_first_event(&self, spare_ms: f32) -> f32 {
        self.overdue.rate(spare_ms.max(0.0))
    }

    /// How often an answer on an engine of this factor becomes late in a second of prefill.
    pub(super) fn late_per_s_of_prefill(&self, gap_target_ms: Millis, pace_factor: f32) -> f32 {
        self.prefilling.rate(gap_target_ms as f32 / pace_factor)
    }

    /// How often an answer on an engine of this factor becomes late in a second, with the usual
    /// prefills beside it.
    pub(super) fn late_per_s(&self, gap_target_ms: Millis, pace_factor: f32) -> f32 {
        let pause_ms = gap_target_ms as f32 / pace_factor;
        let prefill_share = self.prefill_share;
        let prefilling = self.prefilling.rate(pause_ms) * prefill_share;
        prefilling + self.quiet.rate(pause_ms) * (1.0 - prefill_share)
    }

    /// Records a request that is placed.
    pub(super) fn record_request(&mut self, request: &PlacementRequest, demand: MemoryDemand) {
        update_average(&mut self.size_tokens, size_tokens(demand));
        update_average(&mut self.target_ms, request.max_wait_ms as f32);
    }

    /// What it costs in a second of prefill beside it that an answer may become late.
    pub(super) fn prefill_risk_per_s(
        &self,
        gap_target_ms: Option<Millis>,
        pace_factor: f32,
        demand: MemoryDemand,
    ) -> f32 {
        let Some(gap_target_ms) = gap_target_ms else {
            return 0.0;
        };
        let late_per_s = self.prefilling.rate(gap_target_ms as f32 / pace_factor);
        late_per_s * self.late_cost_ms(demand)
    }

    /// What an answer costs that becomes late: as much as a first event that uses up its whole
    /// target, in proportion to the answer's size.
    pub(super) fn late_cost_ms(&self, demand: MemoryDemand) -> f32 {
        self.target_ms * benefit(size_tokens(demand), self.size_tokens)
    }
}

fn size_tokens(demand: MemoryDemand) -> f32 {
    demand.held_tokens + OUTPUT_TOKEN_WEIGHT * demand.remaining_tokens
}
