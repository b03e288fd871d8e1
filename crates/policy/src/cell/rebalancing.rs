//! Selects generations to migrate between engines that stay, before their answers become late.
//!
//! Several prompts may have to start on one slow engine when demand peaks. The first answers are
//! then likely to be made late by the prefills behind them, unless they move to an engine that has
//! no prompts queued, or to a fast one. Prompts that may come later are not counted: each answer
//! that is moved away from them takes room of the engines on which such prompts do no harm.

use super::Cell;
use super::engine::Engine;
use super::forecast::Forecast;
use super::late_risk::AnswerRisk;
use super::migration::{Migration, SETUP_MS, Transfer};
use super::run::{Run, RunKey};
use super::selection::RUNNING_COST_MS;
use crate::key::Millis;

/// A migration has to gain more than this: about the time that it takes.
const MIN_GAIN_MS: f32 = 100.0;
/// Cost of a transfer for each millisecond of its duration. It occupies two links that generations
/// of leaving engines may need, but delays nothing if they don't.
const LINK_COST: f32 = 0.3;
/// Maximum share of a destination's memory: the rest is for new prompts and for generations of
/// leaving engines, which need it more.
const MAX_MEMORY_SHARE: f32 = 0.85;

/// A generation whose answer is likely to become late where it runs.
#[derive(Debug)]
struct Mover<'a> {
    key: RunKey,
    run: &'a Run,
    source: &'a Engine,
    risk: AnswerRisk<'a>,
    stay_cost_ms: f32,
}

impl Cell {
    /// Selects the migration between engines that stay with the largest gain, and counts it at the
    /// destination. It gains more than it risks by its own pause.
    pub fn next_rebalancing(&mut self, now_ms: Millis) -> Option<Migration> {
        let movers = self.movers(now_ms);
        if movers.is_empty() {
            return None;
        }
        let forecast = self.forecast(now_ms);
        let transfers = movers
            .iter()
            .filter_map(|mover| self.best_transfer(now_ms, &forecast, mover));
        let best = transfers.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.run.cmp(&a.1.run)));
        let (_, transfer) = best?;
        self.begin_transfer(now_ms, transfer)
    }

    /// Whether any answer may become late by prefills beside it.
    pub fn has_answers_at_risk(&self) -> bool {
        self.runs.values().any(|run| run.prefill_risk_per_s > 0.0)
    }

    fn movers(&self, now_ms: Millis) -> Vec<Mover<'_>> {
        let at_risk = self.runs.iter().filter(|(_, run)| {
            run.prefill_risk_per_s > 0.0
                && !run.is_migrating()
                && run.has_first_token(now_ms)
                && now_ms >= run.backoff_until_ms
        });
        let movers = at_risk.filter_map(|(key, run)| {
            let source = self.engines.get(&run.engine())?;
            let stays = source.is_open() && source.has_free_link(now_ms);
            let demand = run.demand(now_ms, &self.answer_lengths);
            let risk = self.migration_risk(run, demand);
            let stay_cost_ms = risk.queue_cost_ms(source, now_ms);
            (stays && stay_cost_ms > MIN_GAIN_MS).then_some(Mover {
                key: *key,
                run,
                source,
                risk,
                stay_cost_ms,
            })
        });
        movers.collect()
    }

    /// The transfer of a generation with the largest gain, and the gain.
    fn best_transfer(
        &self,
        now_ms: Millis,
        forecast: &Forecast,
        mover: &Mover<'_>,
    ) -> Option<(f32, Transfer)> {
        let source = mover.source.entry;
        let demand = mover.run.demand(now_ms, &self.answer_lengths);
        let others = self
            .engines
            .values()
            .filter(|engine| engine.entry.key != source.key && engine.can_receive(now_ms));
        let transfers = others.filter_map(|engine| {
            let running = forecast.running(engine.entry.key);
            let has_room = forecast.peak_share(engine, demand) <= MAX_MEMORY_SHARE
                && running < engine.entry.capacity.slots;
            let is_local = engine.entry.data_centre == source.data_centre;
            let held_tokens = demand.held_tokens as u32;
            let duration_ms = mover.source.transfer_ms(held_tokens, is_local) + SETUP_MS;
            let is_prefilling = engine.is_prefilling_at(now_ms + duration_ms as Millis);
            let pace_factor = engine.pace_factor();
            let cost_ms = mover.risk.migration_cost_ms(pace_factor, is_prefilling)
                + mover.risk.queue_cost_ms(engine, now_ms)
                + LINK_COST * duration_ms
                + RUNNING_COST_MS * running as f32 * pace_factor;
            let gain_ms = mover.stay_cost_ms - cost_ms;
            let transfer = Transfer {
                run: mover.key,
                from: source.key,
                to: engine.entry.key,
                duration_ms: duration_ms as Millis,
            };
            (has_room && gain_ms > MIN_GAIN_MS).then_some((gain_ms, transfer))
        });
        transfers.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.to.cmp(&a.1.to)))
    }
}
