//! The simulation of one run: callers, the home of the cell and its engines.

use fulmarpath_policy::{HostKey, MigrationOutcome, RunEnd, RunKey, UpstreamKey};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::attempt::Attempt;
use super::cells::{CellIndex, Cells};
use super::engine::{Engine, StepOutput};
use super::engine_lifecycle;
use super::event::{Event, EventQueue};
use super::host;
use super::outcome::CallerOutcome;
use super::request::{CallerRequest, EVENT_TOKENS, Flood, Mix, draw};
use super::row::{PolicyName, Row, Tally};
use super::scenario::Scenario;

pub(super) const HOST: HostKey = HostKey(1);
/// Odd factor that spreads consecutive numbers over all bits (Fibonacci hashing).
const DRAW_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time after the last arrivals in which open requests can end.
const FINAL_PHASE_US: u64 = 30_000_000;
/// Delay from an engine's notice until its home receives it.
pub(super) const NOTICE_DELAY_US: u64 = 30_000;

/// Settings of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Settings {
    pub(crate) scenario: &'static Scenario,
    pub(crate) policy: PolicyName,
    pub(crate) engines: usize,
    pub(crate) load: f64,
    pub(crate) duration_s: f64,
    pub(crate) seed: u64,
    /// Interval between two crashes of an engine; no crashes at 0.
    pub(crate) crash_period_s: f64,
    pub(crate) organisations: usize,
    pub(crate) flood: Option<Flood>,
    pub(crate) mix: Mix,
}

pub(super) struct World {
    pub(super) settings: Settings,
    pub(super) now_us: u64,
    pub(super) event_queue: EventQueue,
    pub(super) cells: Cells,
    pub(super) engines: Vec<Engine>,
    pub(super) callers: Vec<CallerRequest>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) outcomes: Vec<CallerOutcome>,
    pub(super) tally: Tally,
    pub(super) rng: ChaCha8Rng,
}

/// Runs one simulation and returns its results.
pub(crate) fn run(settings: Settings) -> Row {
    let callers = draw(&settings);
    let outcomes = callers.iter().map(|request| CallerOutcome {
        is_long: request.is_long,
        prompt_tokens: request.prompt_tokens,
        length_tokens: request.length_tokens,
        organisation: request.organisation,
        ..CallerOutcome::default()
    });
    let mut world = World {
        settings,
        now_us: 0,
        event_queue: EventQueue::default(),
        cells: Cells::of(&settings),
        engines: Vec::new(),
        outcomes: outcomes.collect(),
        callers,
        attempts: Vec::new(),
        tally: Tally::default(),
        rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0xce11),
    };
    world.run_events();
    let World {
        tally, outcomes, ..
    } = world;
    tally.into_row(&settings, &outcomes)
}

pub(super) fn key_of(engine: usize) -> UpstreamKey {
    UpstreamKey(engine as u64 + 1)
}

pub(super) fn engine_of(key: UpstreamKey) -> usize {
    key.0 as usize - 1
}

impl World {
    fn run_events(&mut self) {
        self.start_engines();
        for caller in 0..self.callers.len() {
            self.schedule_attempt(caller, self.callers[caller].at_us);
        }
        self.event_queue
            .schedule(engine_lifecycle::RECLAIM_PERIOD_US / 2, Event::Reclaim);
        self.event_queue
            .schedule(host::RESTATE_PERIOD_US, Event::RestateRuns);
        if self.settings.policy != PolicyName::Stay {
            self.event_queue.schedule(0, Event::Rebalance);
        }
        self.next_crash();
        let end_us = (self.settings.duration_s * 1e6) as u64 + FINAL_PHASE_US;
        while let Some((at_us, event)) = self.event_queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(attempt) | Event::RetryPlacement(attempt) => self.place(attempt),
            Event::Step { engine, epoch } => self.finish_step(engine, epoch),
            Event::Reclaim => self.reclaim(),
            Event::NoticeReceived(engine) => self.receive_notice(engine),
            Event::TimeLeftReported(engine) => self.report_time_left(engine),
            Event::NextMigration(engine) => self.migrate_next(engine),
            Event::BulkCopied(migration) => self.finish_bulk_copy(migration),
            Event::DeltaCopied(migration) => self.resume_migrated(migration),
            Event::EngineGone(engine) => self.remove_engine(engine),
            Event::Crash => self.crash(),
            Event::ReplacementStarted(replaced) => self.start_replacement(replaced),
            Event::RestateRuns => self.restate_runs(),
            Event::Rebalance => self.rebalance(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(super) fn after(&mut self, us: u64, event: Event) {
        self.event_queue.schedule(self.now_us + us, event);
    }

    pub(super) fn schedule_attempt(&mut self, caller: usize, at_us: u64) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt::new(caller, at_us));
        self.event_queue.schedule(at_us, Event::Arrive(attempt));
    }

    pub(super) fn start_step_if_idle(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        if engine_state.is_stepping || engine_state.is_gone {
            return;
        }
        if let Some(step_ms) = engine_state.begin_step(self.now_us) {
            engine_state.is_stepping = true;
            let epoch = engine_state.epoch;
            self.after((step_ms * 1_000.0) as u64, Event::Step { engine, epoch });
        }
    }

    fn finish_step(&mut self, engine: usize, epoch: u32) {
        let engine_state = &mut self.engines[engine];
        if engine_state.is_gone || engine_state.epoch != epoch {
            return;
        }
        engine_state.is_stepping = false;
        for output in engine_state.end_step() {
            match output {
                StepOutput::Token(run) => self.record_token(run, engine),
                StepOutput::Done(run) => self.complete(run),
                StepOutput::Preempted(_, tokens) => {
                    self.tally.preemptions += 1;
                    self.tally.wasted_prompt_tokens += u64::from(tokens);
                }
            }
        }
        self.start_step_if_idle(engine);
    }

    fn record_token(&mut self, run: usize, engine: usize) {
        let out = self.engines[engine]
            .find(run)
            .map_or(0, |job| job.out_tokens);
        if out.is_multiple_of(EVENT_TOKENS) {
            self.record_event(run);
        }
        if let Some(backup) = self.attempts[run].backup {
            let held = self.callers[self.attempts[run].caller].prompt_tokens + out;
            self.engines[backup].grow_copy(run, held);
        }
        if out.is_multiple_of(EVENT_TOKENS)
            && let Some(migration) = self.attempts[run].stops_after_event.take()
        {
            self.stop_and_copy(migration);
        }
    }

    /// Records an event that reaches its caller.
    fn record_event(&mut self, run: usize) {
        let now_us = self.now_us;
        let attempt = &mut self.attempts[run];
        if attempt.first_event_us.is_none() {
            attempt.first_event_us = Some(now_us);
        } else {
            let pause_ms = (now_us - attempt.last_event_us) as f64 / 1_000.0;
            attempt.longest_pause_ms = attempt.longest_pause_ms.max(pause_ms);
            attempt.unstated_pause_ms = attempt.unstated_pause_ms.max(pause_ms);
            if std::mem::take(&mut attempt.was_migrated) {
                self.tally.pauses_ms.push(pause_ms);
            }
        }
        attempt.last_event_us = now_us;
    }

    fn complete(&mut self, run: usize) {
        self.record_event(run);
        self.abandon_stop(run, MigrationOutcome::Ended);
        self.end_attempt(run, true);
        let attempt = self.attempts[run];
        let caller_request = self.callers[attempt.caller];
        let first_event_us = attempt.first_event_us.unwrap_or(self.now_us);
        let first_ms = (first_event_us - caller_request.at_us) / 1_000;
        let kind = self.settings.scenario.kind(caller_request.is_long);
        let max_pause_ms = kind.max_pause_ms.unwrap_or(f64::INFINITY);
        let outcome = &mut self.outcomes[attempt.caller];
        outcome.is_complete = true;
        outcome.first_ms = first_ms as f64;
        outcome.stream_ms = (self.now_us - first_event_us) as f64 / 1_000.0;
        outcome.is_first_event_late = first_ms > caller_request.target_ms;
        outcome.has_long_pause = attempt.longest_pause_ms > max_pause_ms;
        outcome.step_factor = attempt.step_factor;
    }

    /// Ends an attempt, complete or not.
    pub(super) fn end_attempt(&mut self, run: usize, is_complete: bool) {
        self.attempts[run].has_ended = true;
        let end = RunEnd {
            out_tokens: self.callers[self.attempts[run].caller].length_tokens,
            is_complete,
            first_ms: self.attempts[run].first_ms(),
        };
        let (now_ms, cell) = (self.now_ms(), self.cell_of_run(run));
        self.cells
            .get_mut(cell)
            .end(now_ms, RunKey(run as u64), end);
        if let Some(backup) = self.attempts[run].backup.take() {
            self.engines[backup].drop_copy(run);
        }
    }

    /// The cell of the engine that an attempt runs on, or else the one in which it arrived.
    pub(super) fn cell_of_run(&self, run: usize) -> CellIndex {
        let Attempt { caller, engine, .. } = self.attempts[run];
        let own = || {
            let draw = (caller as u64).wrapping_mul(DRAW_FACTOR);
            self.cells
                .of_request(self.callers[caller].data_centre, draw)
        };
        engine.map_or_else(own, |engine| self.engines[engine].site.cell)
    }
}
