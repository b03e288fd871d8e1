//! Selects the generation of a leaving engine to migrate next, and its destination.
//!
//! An engine's notice period is short and its link handles one transfer after another, so the
//! generation with the largest loss per millisecond of link time goes first. Transfers run one at a
//! time, because the final short copy, during which the generation is stopped, must directly follow
//! the long one. When several copies share a link, stopped generations wait behind the long copies
//! of others, and callers see pauses of up to a second.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Cell;
use super::engine::Engine;
use super::forecast::Forecast;
use super::run::{Run, RunKey};
use crate::key::{HostKey, Millis, UpstreamKey};

/// Fixed part of a transfer: two calls to the engine and the start at the destination.
pub(super) const SETUP_MS: f32 = 15.0;
/// Backoff of a generation whose migration has failed; others are migrated meanwhile.
const RETRY_BACKOFF_MS: Millis = 150;
/// Maximum share of a destination's memory that migrations may fill.
pub(super) const MAX_MEMORY_SHARE: f32 = 0.97;
/// Like [`MAX_MEMORY_SHARE`], but when little time is left: a full engine pauses a generation
/// briefly, whereas a leaving engine cuts it permanently.
const LATE_MAX_MEMORY_SHARE: f32 = 1.05;
/// Little time is left when it is enough for fewer than this many transfers of a generation within
/// its data centre: a first attempt and a retry. A larger value would cover most of the notice
/// period and fill engines without need.
pub(super) const LATE_TRANSFERS: f32 = 2.5;
/// A generation is not migrated if the probability that its engine's end cuts it is lower than
/// this: a migration is cheap, but occupies the link.
const MIN_LOSS_PROBABILITY: f32 = 0.1;

/// The migration of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The generation.
    pub run: RunKey,
    /// The host that relays it.
    pub host: HostKey,
    /// The leaving engine.
    pub from: UpstreamKey,
    /// The destination.
    pub to: UpstreamKey,
}

/// A migration that may start, and the expected duration of its transfer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub(super) run: RunKey,
    pub(super) from: UpstreamKey,
    pub(super) to: UpstreamKey,
    pub(super) duration_ms: Millis,
}

/// The outcome of a migration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MigrationOutcome {
    /// The generation continues on the destination.
    Moved,
    /// The generation is still running on its source.
    NotMoved,
    /// The generation is still running on its source; the destination had no room for it.
    Refused,
    /// The generation may still be running on its source. A partial copy with an unknown id stays
    /// on the destination for a while.
    Orphaned,
    /// The generation has ended.
    Ended,
}

impl Cell {
    /// Leaving engines that still have generations.
    pub fn leaving_engines(&self) -> Vec<UpstreamKey> {
        let used: BTreeSet<UpstreamKey> = self.runs.values().map(Run::engine).collect();
        let is_leaving = |key: &UpstreamKey| self.engines.get(key).is_some_and(Engine::is_leaving);
        used.into_iter().filter(is_leaving).collect()
    }

    /// Selects the next migration off a leaving engine, and counts it at the destination.
    pub fn next_migration(&mut self, now_ms: Millis, from: UpstreamKey) -> Option<Migration> {
        let engine = self.engines.get(&from)?;
        let left_ms = engine.ends_at_ms()?.saturating_sub(now_ms) as f32;
        let by_loss_rate = self.by_loss_rate(now_ms, engine, left_ms);
        let forecast = self.forecast(now_ms);
        let copy_ms = self.initial_copies_ms(now_ms);
        let transfer = by_loss_rate.into_iter().find_map(|(_, key)| {
            let run = &self.runs[&key];
            let is_free = |engine: &Engine| engine.can_receive(now_ms);
            let (to, duration_ms) =
                self.destination(now_ms, &forecast, &copy_ms, run, left_ms, is_free)?;
            Some(Transfer {
                run: key,
                from,
                to,
                duration_ms,
            })
        })?;
        self.begin_transfer(now_ms, transfer)
    }

    /// Counts a migration that starts now at both engines.
    pub(super) fn begin_transfer(
        &mut self,
        now_ms: Millis,
        transfer: Transfer,
    ) -> Option<Migration> {
        let Transfer {
            run: key,
            from,
            to,
            duration_ms,
        } = transfer;
        let resume_risk_ms = self.resume_risk_ms(now_ms, self.runs.get(&key)?, to);
        let sender = self.engines.get_mut(&from)?;
        sender.begin_sending(now_ms, duration_ms);
        let receiver = self.engines.get_mut(&to)?;
        receiver.begin_receiving(now_ms, duration_ms, resume_risk_ms);
        receiver.record_start(now_ms);
        let run = self.runs.get_mut(&key)?;
        run.begin_migration(to);
        Some(Migration {
            run: key,
            host: run.host(),
            from,
            to,
        })
    }

    /// Records the outcome of a migration.
    pub fn finish_migration(
        &mut self,
        now_ms: Millis,
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        let held = self.runs.get(&migration.run);
        let held_tokens = held.map(|run| run.held_tokens(now_ms));
        if let Some(from) = self.engines.get_mut(&migration.from) {
            from.finish_sending();
        }
        if let Some(to) = self.engines.get_mut(&migration.to) {
            to.finish_receiving();
            if outcome != MigrationOutcome::Orphaned {
                to.release_ended_copy(migration.run);
            }
            match outcome {
                MigrationOutcome::Refused => to.refuse_transfers(now_ms),
                // That of a generation that has ended meanwhile is counted already.
                MigrationOutcome::Orphaned => {
                    if let Some(held_tokens) = held_tokens {
                        to.add_orphaned_copy(now_ms, held_tokens);
                    }
                }
                MigrationOutcome::Moved | MigrationOutcome::NotMoved | MigrationOutcome::Ended => {}
            }
        }
        if outcome == MigrationOutcome::Ended {
            self.runs.remove(&migration.run);
            return;
        }
        if let Some(run) = self.runs.get_mut(&migration.run) {
            run.finish_migration(now_ms, outcome == MigrationOutcome::Moved);
            if outcome == MigrationOutcome::Moved
                && let Some(to) = self.engines.get(&migration.to)
            {
                let is_prefilling = to.is_prefilling_at(now_ms);
                let event_ms = self.pauses.event_ms(to.pace_factor(), is_prefilling);
                run.record_resumption(now_ms, event_ms);
            }
            if matches!(
                outcome,
                MigrationOutcome::NotMoved | MigrationOutcome::Orphaned
            ) {
                run.backoff_until_ms = now_ms + RETRY_BACKOFF_MS;
            }
        }
    }

    /// The destination with the most room that a generation reaches before its engine ends, and the
    /// duration of the transfer. Engines in the same data centre are preferred, because a transfer
    /// between data centres takes twice as long.
    ///
    /// A transfer cut by the end of its engine saves nothing, and its partial copy holds memory on
    /// the destination until it expires, 9 s later with a copy TTL of 5 s.
    pub(super) fn destination(
        &self,
        now_ms: Millis,
        forecast: &Forecast,
        copy_ms: &BTreeMap<UpstreamKey, f32>,
        run: &Run,
        left_ms: f32,
        is_open: impl Fn(&Engine) -> bool,
    ) -> Option<(UpstreamKey, Millis)> {
        let source = self.engines.get(&run.engine())?;
        let demand = run.demand(now_ms, &self.answer_lengths);
        let local_ms = source.transfer_ms(demand.held_tokens as u32, true) + SETUP_MS;
        let max_share = match left_ms < local_ms * LATE_TRANSFERS {
            true => LATE_MAX_MEMORY_SHARE,
            false => MAX_MEMORY_SHARE,
        };
        let risk = self.migration_risk(run, demand);
        let open = self.engines.values().filter(|engine| is_open(engine));
        let costs = open.filter_map(|engine| {
            let is_local = engine.entry.data_centre == source.entry.data_centre;
            let duration_ms = source.transfer_ms(demand.held_tokens as u32, is_local) + SETUP_MS;
            if duration_ms > left_ms {
                return None;
            }
            let share = forecast.peak_share(engine, demand);
            let busy_ms = copy_ms.get(&engine.entry.key).copied().unwrap_or_default();
            let pace_factor = engine.pace_factor();
            let is_prefilling = engine.is_prefilling_at(now_ms + duration_ms as Millis);
            let risk_ms = risk.migration_cost_ms(pace_factor, is_prefilling);
            let cost_ms = duration_ms + busy_ms + MEMORY_COST_MS * share + risk_ms;
            (share <= max_share).then_some((cost_ms, engine.entry.key, duration_ms as Millis))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, key, duration_ms)| (key, duration_ms))
    }

    /// What it costs if a prompt is prefilled on an engine when a generation resumes there.
    pub(super) fn resume_risk_ms(&self, now_ms: Millis, run: &Run, to: UpstreamKey) -> f32 {
        let Some(to) = self.engines.get(&to) else {
            return 0.0;
        };
        let demand = run.demand(now_ms, &self.answer_lengths);
        let risk = self.migration_risk(run, demand);
        let pace_factor = to.pace_factor();
        risk.migration_cost_ms(pace_factor, true) - risk.migration_cost_ms(pace_factor, false)
    }

    /// How long the links of engines are occupied by backup copies that have just started and
    /// include the whole prompt.
    fn initial_copies_ms(&self, now_ms: Millis) -> BTreeMap<UpstreamKey, f32> {
        let mut copy_ms = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.is_recent(now_ms)) {
            let copy_at = run.backup().and_then(|backup| self.engines.get(&backup));
            let Some(engine) = copy_at else { continue };
            let duration_ms = engine.transfer_ms(run.prompt_tokens, true);
            *copy_ms.entry(engine.entry.key).or_default() += duration_ms;
        }
        copy_ms
    }

    /// Reserves room for the next generation of each leaving engine, because its KV cache was
    /// already computed and must not be recomputed. Its other generations follow one by one as
    /// ending generations free memory.
    ///
    /// If new prompts filled the cell meanwhile, these generations would have no destination.
    /// Running generations are not cut in favour of new ones.
    pub(super) fn reserve_for_leaving(&self, now_ms: Millis, forecast: &mut Forecast) {
        let is_open = |engine: &Engine| engine.is_open();
        for engine in self.engines.values() {
            let Some(ends_at_ms) = engine.ends_at_ms() else {
                continue;
            };
            let left_ms = ends_at_ms.saturating_sub(now_ms) as f32;
            let Some((_, key)) = self
                .by_loss_rate(now_ms, engine, left_ms)
                .into_iter()
                .next()
            else {
                continue;
            };
            let run = &self.runs[&key];
            let copy_ms = BTreeMap::new();
            let to = self.destination(now_ms, forecast, &copy_ms, run, left_ms, is_open);
            if let Some((to, _)) = to {
                forecast.reserve(to, run.demand(now_ms, &self.answer_lengths));
            }
        }
    }

    /// The generations that may leave an engine now, largest loss rate first.
    pub(super) fn by_loss_rate(
        &self,
        now_ms: Millis,
        engine: &Engine,
        left_ms: f32,
    ) -> Vec<(f32, RunKey)> {
        let movable = self.runs.iter().filter(|(_, run)| {
            run.is_on(engine.entry.key)
                && !run.is_migrating()
                && run.has_first_token(now_ms)
                && now_ms >= run.backoff_until_ms
        });
        let mut by_loss_rate: Vec<(f32, RunKey)> = movable
            .map(|(key, run)| {
                let loss_probability =
                    run.running_probability(now_ms, left_ms, &self.answer_lengths);
                (loss_rate(run, engine, loss_probability, now_ms), *key)
            })
            .filter(|(rate, _)| *rate > 0.0)
            .collect();
        by_loss_rate.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        by_loss_rate
    }
}

/// Cost of a full destination against an empty one: about one transfer between data centres.
pub(super) const MEMORY_COST_MS: f32 = 300.0;

/// Expected loss of computed tokens if a generation stays, per millisecond of link time.
fn loss_rate(run: &Run, engine: &Engine, loss_probability: f32, now_ms: Millis) -> f32 {
    if loss_probability < MIN_LOSS_PROBABILITY {
        return 0.0;
    }
    let held_tokens = run.held_tokens(now_ms);
    let transfer_ms = engine.transfer_ms(held_tokens as u32, true) + SETUP_MS;
    held_tokens * loss_probability / transfer_ms
}
