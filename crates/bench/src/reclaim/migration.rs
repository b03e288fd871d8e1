//! Migration of generations off leaving engines, over links that do one transfer at a time.

use fulmarpath_policy::{Migration, MigrationOutcome};

use super::event::Event;
use super::request::EVENT_TOKENS;
use super::row::PolicyName;
use super::world::{World, engine_of, key_of};

/// Age of an engine's report of its remaining time.
const REPORT_AGE_US: u64 = 560_000;
/// Interval between two checks of a leaving engine when nothing can be migrated at present.
const MIGRATION_POLL_US: u64 = 25_000;
/// Interval at which homes look for a migration between engines that stay.
const REBALANCE_PERIOD_US: u64 = 25_000;
/// Latency of the calls between home, host and engine, at each of the two copies of a migration.
const CALL_LATENCY_US: u64 = 8_000;
/// A copy that is not used is dropped after this time.
const ORPHANED_COPY_TTL_US: u64 = 9_000_000;

impl World {
    pub(super) fn report_time_left(&mut self, engine: usize) {
        let now_ms = self.now_ms();
        if let Some(stop_us) = self.engines[engine].stops_at_us {
            let remaining_us = stop_us.saturating_sub(self.now_us) + REPORT_AGE_US;
            let cell = self.cells.get_mut(self.engines[engine].site.cell);
            cell.set_time_left(now_ms, key_of(engine), remaining_us / 1_000);
        }
    }

    pub(super) fn migrate_next(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        let now_ms = self.now_ms();
        let own = self.engines[engine].site.cell;
        match self.cells.next_migration(now_ms, own, key_of(engine)) {
            Some(migration) => self.begin_migration(migration),
            None => self.after(MIGRATION_POLL_US, Event::NextMigration(engine)),
        }
    }

    /// Starts a migration between engines that stay in each cell, if there is one.
    pub(super) fn rebalance(&mut self) {
        let now_ms = self.now_ms();
        for cell in self.cells.all() {
            if let Some(migration) = self.cells.get_mut(cell).next_rebalancing(now_ms) {
                self.tally.rebalanced += 1;
                self.begin_migration(migration);
            }
        }
        self.after(REBALANCE_PERIOD_US, Event::Rebalance);
    }

    fn begin_migration(&mut self, migration: Migration) {
        let (from, to) = (engine_of(migration.from), engine_of(migration.to));
        let run = migration.run.0 as usize;
        let job = self.engines[from].find(run).copied();
        let decoding = job.filter(|job| job.out_tokens > 0 && job.prefill_tokens_left == 0);
        let Some(job) = decoding else {
            return self.end_migration(migration, MigrationOutcome::NotMoved);
        };
        let held = job.held_tokens();
        if self.engines[to].is_gone || !self.engines[to].has_memory(held) {
            return self.end_migration(migration, MigrationOutcome::Refused);
        }
        let until_us = self.now_us + ORPHANED_COPY_TTL_US;
        self.engines[to].put_copy(run, held, until_us);
        let copied_us = self.reserve_links(from, to, held);
        self.event_queue
            .schedule(copied_us, Event::BulkCopied(migration));
    }

    /// Queues a copy on both links; returns when it ends. A transfer between data centres takes
    /// twice the time.
    fn reserve_links(&mut self, from: usize, to: usize, tokens: u32) -> u64 {
        let sites = [from, to].map(|engine| self.engines[engine].site);
        let is_remote = sites[0].data_centre != sites[1].data_centre;
        let bits = f64::from(tokens) * f64::from(sites[0].capacity.token_bytes) * 8.0;
        let local_us = bits / f64::from(sites[0].capacity.link_mbps);
        let duration_us = match (self.settings.policy, is_remote) {
            (PolicyName::Oracle, _) => 0.0,
            (_, false) => local_us,
            (_, true) => 2.0 * local_us,
        };
        let links = [from, to].map(|engine| self.engines[engine].link_free_us);
        let start_us = (self.now_us + CALL_LATENCY_US).max(links[0]).max(links[1]);
        let end_us = start_us + duration_us as u64;
        for engine in [from, to] {
            self.engines[engine].link_free_us = end_us;
        }
        end_us
    }

    pub(super) fn finish_bulk_copy(&mut self, migration: Migration) {
        let (from, to) = (engine_of(migration.from), engine_of(migration.to));
        let run = migration.run.0 as usize;
        if self.engines[from].is_gone {
            return self.end_migration(migration, MigrationOutcome::Orphaned);
        }
        let job = self.engines[from].find(run);
        let Some(out_tokens) = job.map(|job| job.out_tokens) else {
            self.engines[to].drop_copy(run);
            return self.end_migration(migration, MigrationOutcome::Ended);
        };
        let waits_for_event = self.settings.policy == PolicyName::StopAtEvent;
        if waits_for_event && !out_tokens.is_multiple_of(EVENT_TOKENS) {
            self.attempts[run].stops_after_event = Some(migration);
            return;
        }
        self.stop_and_copy(migration);
    }

    /// Stops a generation and begins the final copy. The destination sends whole events, so the
    /// tokens since the last event are computed again there.
    pub(super) fn stop_and_copy(&mut self, migration: Migration) {
        let (from, to) = (engine_of(migration.from), engine_of(migration.to));
        let run = migration.run.0 as usize;
        let Some(mut job) = self.engines[from].remove(run) else {
            return;
        };
        job.out_tokens -= job.out_tokens % EVENT_TOKENS;
        self.attempts[run].in_transfer = Some(job);
        let new_tokens = job
            .held_tokens()
            .saturating_sub(self.engines[to].copied_tokens(run));
        let end_us = self.reserve_links(from, to, new_tokens) + CALL_LATENCY_US;
        self.event_queue
            .schedule(end_us, Event::DeltaCopied(migration));
    }

    /// Ends a migration that waits for an event that won't come.
    pub(super) fn abandon_stop(&mut self, run: usize, outcome: MigrationOutcome) {
        let Some(migration) = self.attempts[run].stops_after_event.take() else {
            return;
        };
        if outcome == MigrationOutcome::Ended {
            self.engines[engine_of(migration.to)].drop_copy(run);
        }
        self.end_migration(migration, outcome);
    }

    pub(super) fn resume_migrated(&mut self, migration: Migration) {
        let (from, to) = (engine_of(migration.from), engine_of(migration.to));
        let run = migration.run.0 as usize;
        let Some(job) = self.attempts[run].in_transfer.take() else {
            return;
        };
        let targets = [to, from];
        let target = targets
            .into_iter()
            .find(|target| !self.engines[*target].is_gone);
        let Some(target) = target else {
            self.fail_over(run);
            return self.end_migration(migration, MigrationOutcome::Ended);
        };
        if self.attempts[run].backup == Some(target) {
            self.attempts[run].backup = None;
        }
        self.attempts[run].engine = Some(target);
        self.attempts[run].was_migrated = true;
        self.attempts[run].step_factor = None;
        self.engines[target].resume(job);
        self.start_step_if_idle(target);
        let outcome = match target == to {
            true => MigrationOutcome::Moved,
            false => MigrationOutcome::NotMoved,
        };
        self.tally.moves += u32::from(target == to);
        self.end_migration(migration, outcome);
    }

    fn end_migration(&mut self, migration: Migration, outcome: MigrationOutcome) {
        let now_ms = self.now_ms();
        let between =
            [migration.from, migration.to].map(|key| self.engines[engine_of(key)].site.cell);
        self.cells
            .finish_migration(now_ms, between, migration, outcome);
        let from = engine_of(migration.from);
        if self.engines[from].stops_at_us.is_some() {
            self.after(1_000, Event::NextMigration(from));
        }
    }
}
