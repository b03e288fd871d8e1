//! Migrations between two cells of one service, for generations of leaving engines that find no
//! destination in their own cell.
//!
//! The home of the source selects the generation, the home of the destination its engine. Each
//! counts what happens in its own cell: the source's link does one transfer after another, as within
//! the cell, and the destination reserves its memory and its incoming link.

use serde::{Deserialize, Serialize};

use super::Cell;
use super::engine::Engine;
use super::migration::{
    LATE_TRANSFERS, MAX_MEMORY_SHARE, MEMORY_COST_MS, Migration, MigrationOutcome, SETUP_MS,
};
use super::run::{Run, RunKey, RunStatement};
use crate::key::{HostKey, Millis, UpstreamKey};

/// How long a destination is reserved. Longer than any transfer may take; the outcome may never be
/// reported.
const RESERVATION_TTL_MS: Millis = 2_500;

/// A generation of a leaving engine, as its home describes it to the home of another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncomingMigration {
    /// The generation; its engine is the leaving one.
    pub statement: RunStatement,
    /// The host that relays it.
    pub host: HostKey,
    /// Hash of the leaving engine's data centre.
    pub data_centre: u64,
    /// Time that the leaving engine has left.
    pub left_ms: Millis,
}

impl Cell {
    /// The generation of a leaving engine that is due to migrate and finds no destination in this
    /// cell. Destinations that are only busy with another transfer count, unless little time is
    /// left.
    pub fn unplaceable_migration(
        &self,
        now_ms: Millis,
        from: UpstreamKey,
    ) -> Option<IncomingMigration> {
        let engine = self.engines.get(&from)?;
        let left_ms = engine.ends_at_ms()?.saturating_sub(now_ms);
        let forecast = self.forecast(now_ms);
        let by_loss_rate = self.by_loss_rate(now_ms, engine, left_ms as f32);
        let copy_ms = std::collections::BTreeMap::new();
        let is_unplaceable = |run: &Run| {
            let local_ms = engine.transfer_ms(run.held_tokens(now_ms) as u32, true) + SETUP_MS;
            let is_late = (left_ms as f32) < local_ms * LATE_TRANSFERS;
            let left_ms = left_ms as f32;
            is_late
                || self
                    .destination(now_ms, &forecast, &copy_ms, run, left_ms, Engine::is_open)
                    .is_none()
        };
        let runs = by_loss_rate
            .into_iter()
            .map(|(_, key)| (key, &self.runs[&key]));
        let (key, run) = runs
            .filter(|(_, run)| {
                let fastest_ms = engine.transfer_ms(run.held_tokens(now_ms) as u32, true);
                fastest_ms + SETUP_MS <= left_ms as f32
            })
            .find(|(_, run)| is_unplaceable(run))?;
        Some(IncomingMigration {
            statement: run.statement(now_ms, key),
            host: run.host(),
            data_centre: engine.entry.data_centre,
            left_ms,
        })
    }

    /// Records that a generation migrates to an engine of another cell; `None` if it no longer runs
    /// on `from`.
    pub fn begin_outgoing(
        &mut self,
        run: RunKey,
        from: UpstreamKey,
        to: UpstreamKey,
    ) -> Option<Migration> {
        let known = self.runs.get_mut(&run);
        let moving = known.filter(|known| known.is_on(from) && !known.is_migrating())?;
        moving.begin_migration(to);
        Some(Migration {
            run,
            host: moving.host(),
            from,
            to,
        })
    }

    /// Records the outcome of a migration to an engine of another cell.
    pub fn finish_outgoing(
        &mut self,
        now_ms: Millis,
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        self.finish_migration(now_ms, migration, outcome);
        if outcome == MigrationOutcome::Moved {
            self.runs.remove(&migration.run);
        }
    }

    /// Reserves an engine for a generation of another cell; `None` if none has room and time for it.
    /// Room is left for the next generation of each leaving engine of this cell.
    pub fn reserve_incoming(
        &mut self,
        now_ms: Millis,
        incoming: &IncomingMigration,
    ) -> Option<UpstreamKey> {
        self.expire_unconfirmed(now_ms);
        let token_ms = self.pace.token_ms();
        let run = Run::restored(now_ms, incoming.host, token_ms, &incoming.statement);
        let demand = run.demand(now_ms, &self.answer_lengths);
        let mut forecast = self.forecast(now_ms);
        self.reserve_for_leaving(now_ms, &mut forecast);
        let risk = self.migration_risk(&run, demand);
        let receivers = self
            .engines
            .values()
            .filter(|engine| engine.can_receive(now_ms));
        let costs = receivers.filter_map(|engine| {
            let is_local = engine.entry.data_centre == incoming.data_centre;
            let duration_ms = engine.transfer_ms(demand.held_tokens as u32, is_local) + SETUP_MS;
            let share = forecast.peak_share(engine, demand);
            let has_slot = forecast.running(engine.entry.key) < engine.entry.capacity.slots;
            let fits =
                has_slot && share <= MAX_MEMORY_SHARE && duration_ms <= incoming.left_ms as f32;
            let is_prefilling = engine.is_prefilling_at(now_ms + duration_ms as Millis);
            let risk_ms = risk.migration_cost_ms(engine.pace_factor(), is_prefilling);
            let cost_ms = duration_ms + MEMORY_COST_MS * share + risk_ms;
            fits.then_some((cost_ms, engine.entry.key, duration_ms as Millis))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, to, duration_ms) = best?;
        let token_ms = self.token_ms_on(to);
        let resume_risk_ms = self.resume_risk_ms(now_ms, &run, to);
        let receiver = self.engines.get_mut(&to)?;
        receiver.begin_receiving(now_ms, duration_ms, resume_risk_ms);
        receiver.record_start(now_ms);
        let statement = RunStatement {
            engine: to,
            backup: None,
            ..incoming.statement
        };
        let mut run = Run::restored(now_ms, incoming.host, token_ms, &statement);
        run.expect_statement(now_ms + RESERVATION_TTL_MS);
        run.backoff_until_ms = now_ms + RESERVATION_TTL_MS;
        self.runs.insert(statement.run, run);
        Some(to)
    }

    /// Records the outcome of a migration for which an engine of this cell was reserved. A generation
    /// that its host has already stated here stays.
    pub fn finish_incoming(&mut self, now_ms: Millis, run: RunKey, outcome: MigrationOutcome) {
        let Some(incoming) = self.runs.get_mut(&run) else {
            return;
        };
        let held_tokens = incoming.held_tokens(now_ms);
        let is_stated = incoming.unconfirmed_until_ms.is_none();
        if let Some(to) = self.engines.get_mut(&incoming.engine()) {
            to.finish_receiving();
            match outcome {
                MigrationOutcome::Refused => to.refuse_transfers(now_ms),
                MigrationOutcome::Orphaned if !is_stated => {
                    to.add_orphaned_copy(now_ms, held_tokens);
                }
                MigrationOutcome::Moved
                | MigrationOutcome::NotMoved
                | MigrationOutcome::Orphaned
                | MigrationOutcome::Ended => {}
            }
        }
        incoming.backoff_until_ms = now_ms;
        let stays =
            outcome == MigrationOutcome::Moved || is_stated && outcome != MigrationOutcome::Ended;
        match stays {
            true if !is_stated => incoming.expect_statement(now_ms + RESERVATION_TTL_MS),
            true => {}
            false => {
                self.runs.remove(&run);
            }
        }
    }
}
