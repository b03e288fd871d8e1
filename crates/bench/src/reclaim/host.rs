//! What homes learn from registrations and from the hosts' statements.

use fulmarpath_policy::{CellEngine, Millis, RunKey, RunStatement};

use super::attempt::Attempt;
use super::cells::CellIndex;
use super::engine_lifecycle::NOTICE_US;
use super::event::Event;
use super::request::EVENT_TOKENS;
use super::row::PolicyName;
use super::world::{HOST, NOTICE_DELAY_US, World, key_of};

pub(super) const RESTATE_PERIOD_US: u64 = 1_000_000;
/// Delay from the receipt of a notice until the home has the engine's report of its remaining time.
const TIME_LEFT_DELAY_US: u64 = 620_000;

impl World {
    /// Passes the registered engines of each cell to its home. An engine counts as draining once a notice of the
    /// longest kind would have reached the home.
    pub(super) fn register(&mut self) {
        let now_ms = self.now_ms();
        for cell in self.cells.all() {
            let registered = self.registered(cell);
            self.cells.get_mut(cell).set_engines(now_ms, &registered);
        }
    }

    fn registered(&self, cell: CellIndex) -> Vec<CellEngine> {
        let draining_until_us = self.now_us.saturating_sub(NOTICE_DELAY_US) + NOTICE_US.end;
        let engines = self.engines.iter().enumerate();
        let running = engines.filter(|(_, engine)| !engine.is_gone && engine.site.cell == cell);
        let entries = running.map(|(index, engine)| CellEngine {
            key: key_of(index),
            name: key_of(index).0,
            data_centre: engine.site.data_centre,
            is_draining: engine
                .stops_at_us
                .is_some_and(|stop_us| stop_us <= draining_until_us),
            is_evacuated: false,
            cold: None,
            capacity: engine.site.capacity,
        });
        entries.collect()
    }

    pub(super) fn receive_notice(&mut self, engine: usize) {
        self.register();
        self.after(TIME_LEFT_DELAY_US, Event::TimeLeftReported(engine));
        if self.settings.policy != PolicyName::Stay {
            self.after(0, Event::NextMigration(engine));
        }
    }

    pub(super) fn restate_runs(&mut self) {
        let now_ms = self.now_ms();
        for cell in self.cells.all() {
            let statements = self.statements(cell);
            self.cells.get_mut(cell).restate(now_ms, HOST, &statements);
        }
        for attempt in &mut self.attempts {
            attempt.unstated_pause_ms = 0.0;
        }
        self.after(RESTATE_PERIOD_US, Event::RestateRuns);
    }

    /// The statements of all generations that run on engines of a cell.
    fn statements(&self, cell: CellIndex) -> Vec<RunStatement> {
        let attempts = self.attempts.iter().enumerate();
        let open = attempts.filter(|(_, attempt)| !attempt.has_ended);
        let placed = open.filter_map(|(run, attempt)| Some((run, attempt, attempt.engine?)));
        let here = placed.filter(|(_, _, engine)| self.engines[*engine].site.cell == cell);
        let statements = here.map(|(run, attempt, engine)| self.statement(run, attempt, engine));
        statements.collect()
    }

    fn statement(&self, run: usize, attempt: &Attempt, engine: usize) -> RunStatement {
        let caller_request = &self.callers[attempt.caller];
        let on_engine = self.engines[engine].find(run).copied();
        let job = attempt.in_transfer.or(on_engine);
        RunStatement {
            run: RunKey(run as u64),
            organisation: self.organisation(caller_request),
            engine: key_of(engine),
            backup: attempt.backup.map(key_of),
            prompt_tokens: caller_request.prompt_tokens,
            // Hosts count the tokens of whole events.
            out_tokens: job.map_or(0, |job| job.out_tokens - job.out_tokens % EVENT_TOKENS),
            limit_tokens: caller_request.limit_tokens,
            hint_tokens: Some(self.hint(caller_request)),
            gap_target_ms: self.gap_target_ms(caller_request),
            longest_pause_ms: attempt.unstated_pause_ms as Millis,
            priority: caller_request.priority,
        }
    }
}
