//! The simulation of one run: callers, the home of the cell and its engines.

use fulmarpath_policy::{
    Cell, CellEngine, HostKey, Millis, OrganisationKey, Placement, PlacementRequest, RunEnd,
    RunKey, RunStatement, UpstreamKey,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::engine::{CAPACITY, Engine, Job, StepOutput};
use super::engine_lifecycle;
use super::event::{Event, EventQueue};
use super::request::{CallerRequest, Flood, Mix, draw};
use super::row::{CallerOutcome, PolicyName, Row, Tally};

const HOST: HostKey = HostKey(1);
pub(super) const DATA_CENTRES: usize = 4;
/// Hosts wait for a placement for this share of the target time, as the gateway's do.
const MAX_WAIT_SHARE: f64 = 0.55;
const PLACEMENT_RETRY_US: u64 = 60_000;
const RESTATE_PERIOD_US: u64 = 1_000_000;
/// Time after the last arrivals in which open requests can end.
const FINAL_PHASE_US: u64 = 30_000_000;
/// Delay from an engine's notice until its home receives it.
pub(super) const NOTICE_DELAY_US: u64 = 30_000;
/// Delay from the receipt of a notice until the home has the engine's report of its remaining time.
const TIME_LEFT_DELAY_US: u64 = 620_000;
/// A stream with a longer pause is late.
const GAP_LIMIT_MS: f64 = 180.0;
/// Tokens in one event of an answer.
const EVENT_TOKENS: u32 = 4;
/// Long requests from this prompt size on get a running copy under [`PolicyName::CopyLargest`].
const LARGE_PROMPT_TOKENS: u32 = 3_900;

/// Settings of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Settings {
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

/// One attempt of a caller and its progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) caller: usize,
    arrived_us: u64,
    placed_us: u64,
    pub(super) engine: Option<usize>,
    pub(super) backup: Option<usize>,
    /// Removed from its engine, in transfer to another.
    pub(super) in_transfer: Option<Job>,
    pub(super) has_ended: bool,
    pub(super) was_migrated: bool,
    pub(super) first_event_us: Option<u64>,
    pub(super) last_event_us: u64,
    longest_pause_ms: f64,
}

pub(super) struct World {
    pub(super) settings: Settings,
    pub(super) now_us: u64,
    pub(super) event_queue: EventQueue,
    pub(super) cell: Cell,
    pub(super) engines: Vec<Engine>,
    pub(super) callers: Vec<CallerRequest>,
    pub(super) attempts: Vec<Attempt>,
    outcomes: Vec<CallerOutcome>,
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
        cell: Cell::default(),
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
        for number in 0..self.settings.engines {
            self.engines
                .push(Engine::new((number % DATA_CENTRES) as u64));
        }
        self.register();
        for caller in 0..self.callers.len() {
            self.schedule_attempt(caller, self.callers[caller].at_us);
        }
        self.event_queue
            .schedule(engine_lifecycle::RECLAIM_PERIOD_US / 2, Event::Reclaim);
        self.event_queue
            .schedule(RESTATE_PERIOD_US, Event::RestateRuns);
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
            Event::EngineStarted => self.start_replacement(),
            Event::RestateRuns => self.restate_runs(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(super) fn after(&mut self, us: u64, event: Event) {
        self.event_queue.schedule(self.now_us + us, event);
    }

    fn schedule_attempt(&mut self, caller: usize, at_us: u64) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            caller,
            arrived_us: at_us,
            placed_us: at_us,
            engine: None,
            backup: None,
            in_transfer: None,
            has_ended: false,
            was_migrated: false,
            first_event_us: None,
            last_event_us: 0,
            longest_pause_ms: 0.0,
        });
        self.event_queue.schedule(at_us, Event::Arrive(attempt));
    }

    fn place(&mut self, attempt: usize) {
        let Attempt {
            caller, arrived_us, ..
        } = self.attempts[attempt];
        let caller_request = self.callers[caller];
        let waited_ms = (self.now_us - arrived_us) / 1_000;
        let is_final_attempt = waited_ms as f64 >= caller_request.target_ms as f64 * MAX_WAIT_SHARE;
        let request = PlacementRequest {
            run: RunKey(attempt as u64),
            host: HOST,
            organisation: self.organisation(&caller_request),
            data_centre: caller as u64 % DATA_CENTRES as u64,
            prompt_tokens: caller_request.prompt_tokens,
            limit_tokens: caller_request.limit_tokens,
            hint_tokens: Some(self.hint(&caller_request)),
            retry_key: caller as u64,
            priority: caller_request.priority,
            max_wait_ms: caller_request.target_ms.saturating_sub(waited_ms),
            left_ms: caller_request.deadline_ms.saturating_sub(waited_ms),
            is_final_attempt,
            excluded: Vec::new(),
            can_back_up: matches!(self.settings.policy, PolicyName::Kept | PolicyName::Unfair),
        };
        match self.cell.place(self.now_ms(), &request) {
            Placement::On { engine, backup, .. } => {
                self.start(attempt, engine_of(engine), backup.map(engine_of));
            }
            Placement::Full { .. } if !is_final_attempt => {
                self.after(PLACEMENT_RETRY_US, Event::RetryPlacement(attempt))
            }
            Placement::Full { retry_after_ms } => self.refuse(attempt, Some(retry_after_ms)),
            Placement::TooLarge | Placement::NoEngine => self.refuse(attempt, None),
        }
    }

    fn organisation(&self, caller_request: &CallerRequest) -> OrganisationKey {
        match self.settings.policy {
            PolicyName::Unfair => OrganisationKey(0),
            _ => OrganisationKey(caller_request.organisation as u64),
        }
    }

    fn hint(&self, caller_request: &CallerRequest) -> u32 {
        match self.settings.policy {
            PolicyName::Oracle => caller_request.length_tokens,
            _ => caller_request.hint_tokens,
        }
    }

    /// Refuses an attempt. The caller retries once if it got a Retry-After.
    fn refuse(&mut self, attempt: usize, retry_after_ms: Option<Millis>) {
        self.tally.refused += 1;
        self.attempts[attempt].has_ended = true;
        let caller = self.attempts[attempt].caller;
        self.outcomes[caller].was_refused = true;
        let is_first = self.attempts[attempt].arrived_us == self.callers[caller].at_us;
        if let (true, Some(after_ms)) = (is_first, retry_after_ms) {
            self.schedule_attempt(caller, self.now_us + after_ms * 1_000);
        }
    }

    fn start(&mut self, attempt: usize, engine: usize, backup: Option<usize>) {
        let caller_request = self.callers[self.attempts[attempt].caller];
        let backup = backup.or_else(|| self.policy_backup(engine, &caller_request));
        if let Some(backup) = backup {
            self.engines[backup].put_copy(attempt, caller_request.prompt_tokens, u64::MAX);
        }
        self.attempts[attempt].engine = Some(engine);
        self.attempts[attempt].placed_us = self.now_us;
        self.attempts[attempt].backup = backup;
        self.engines[engine].submit(Job {
            run: attempt,
            prompt_tokens: caller_request.prompt_tokens,
            out_tokens: 0,
            length_tokens: caller_request.length_tokens,
            prefill_tokens_left: caller_request.prompt_tokens,
            is_long: caller_request.is_long,
        });
        self.start_step_if_idle(engine);
    }

    /// The emptiest other engine, if the policy keeps running copies by a rule of its own.
    fn policy_backup(&self, main: usize, caller_request: &CallerRequest) -> Option<usize> {
        let makes_copy = match self.settings.policy {
            PolicyName::CopyAll => caller_request.is_long,
            PolicyName::CopyLargest => {
                caller_request.is_long && caller_request.prompt_tokens >= LARGE_PROMPT_TOKENS
            }
            _ => false,
        };
        let others = self.engines.iter().enumerate();
        let available = others.filter(|(index, engine)| {
            *index != main && !engine.is_gone && engine.stops_at_us.is_none()
        });
        let emptiest = available.min_by_key(|(_, engine)| engine.used_tokens())?;
        (makes_copy && emptiest.1.has_memory(caller_request.prompt_tokens)).then_some(emptiest.0)
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
        if out.is_multiple_of(EVENT_TOKENS) || out == 1 {
            self.record_event(run);
        }
        if let Some(backup) = self.attempts[run].backup {
            let held = self.callers[self.attempts[run].caller].prompt_tokens + out;
            self.engines[backup].grow_copy(run, held);
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
            if std::mem::take(&mut attempt.was_migrated) {
                self.tally.pauses_ms.push(pause_ms);
            }
        }
        attempt.last_event_us = now_us;
    }

    fn complete(&mut self, run: usize) {
        self.record_event(run);
        self.end_attempt(run, true);
        let attempt = self.attempts[run];
        let caller_request = self.callers[attempt.caller];
        let first_event_us = attempt.first_event_us.unwrap_or(self.now_us);
        let first_ms = (first_event_us - caller_request.at_us) / 1_000;
        let stream_ms = (self.now_us - first_event_us) as f64 / 1_000.0;
        let outcome = &mut self.outcomes[attempt.caller];
        outcome.is_complete = true;
        outcome.first_ms = first_ms as f64;
        outcome.stream_ms = stream_ms;
        outcome.is_on_time =
            first_ms <= caller_request.target_ms && attempt.longest_pause_ms <= GAP_LIMIT_MS;
    }

    /// Ends an attempt, complete or not.
    pub(super) fn end_attempt(&mut self, run: usize, is_complete: bool) {
        self.attempts[run].has_ended = true;
        let end = RunEnd {
            out_tokens: self.callers[self.attempts[run].caller].length_tokens,
            is_complete,
            first_ms: self.first_ms(run),
        };
        self.cell.end(self.now_ms(), RunKey(run as u64), end);
        if let Some(backup) = self.attempts[run].backup.take() {
            self.engines[backup].drop_copy(run);
        }
    }

    /// Time from the placement of an attempt to its first event.
    fn first_ms(&self, run: usize) -> Option<u64> {
        let attempt = &self.attempts[run];
        Some((attempt.first_event_us? - attempt.placed_us) / 1_000)
    }

    /// Passes the registered engines to the home. An engine counts as draining once a notice of the
    /// longest kind would have reached the home.
    pub(super) fn register(&mut self) {
        let known_us = self.now_us.saturating_sub(NOTICE_DELAY_US);
        let running_engines = self.engines.iter().enumerate();
        let running_engines = running_engines.filter(|(_, engine)| !engine.is_gone);
        let registered: Vec<CellEngine> = running_engines
            .map(|(index, engine)| CellEngine {
                key: key_of(index),
                name: key_of(index).0,
                data_centre: engine.data_centre,
                is_draining: engine
                    .stops_at_us
                    .is_some_and(|stop_us| stop_us <= known_us + engine_lifecycle::NOTICE_US.end),
                is_evacuated: false,
                cold: None,
                capacity: CAPACITY,
            })
            .collect();
        let now_ms = self.now_ms();
        self.cell.set_engines(now_ms, &registered);
    }

    fn receive_notice(&mut self, engine: usize) {
        self.register();
        self.after(TIME_LEFT_DELAY_US, Event::TimeLeftReported(engine));
        if self.settings.policy != PolicyName::Stay {
            self.after(0, Event::NextMigration(engine));
        }
    }

    fn restate_runs(&mut self) {
        let running = self.attempts.iter().enumerate();
        let running = running.filter(|(_, attempt)| !attempt.has_ended && attempt.engine.is_some());
        let statements: Vec<RunStatement> = running
            .map(|(run, attempt)| {
                let caller_request = &self.callers[attempt.caller];
                let engine = attempt.engine.unwrap_or_default();
                let job = attempt
                    .in_transfer
                    .or(self.engines[engine].find(run).copied());
                RunStatement {
                    run: RunKey(run as u64),
                    organisation: self.organisation(caller_request),
                    engine: key_of(engine),
                    backup: attempt.backup.map(key_of),
                    prompt_tokens: caller_request.prompt_tokens,
                    out_tokens: job.map_or(0, |job| job.out_tokens),
                    limit_tokens: caller_request.limit_tokens,
                    hint_tokens: Some(self.hint(caller_request)),
                }
            })
            .collect();
        let now_ms = self.now_ms();
        self.cell.restate(now_ms, HOST, &statements);
        self.after(RESTATE_PERIOD_US, Event::RestateRuns);
    }
}
