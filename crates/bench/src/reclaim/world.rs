//! Callers, their home and its engines through one day.

use fulmarpath_policy::{
    Cell, CellEngine, HostKey, Millis, OrganisationKey, Placement, PlacementRequest, RunEnd,
    RunKey, RunStatement, UpstreamKey,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, FIGURES, Job, Made};
use super::event::{Agenda, Event};
use super::loss;
use super::request::{Asked, Flood, Mix, draw};
use super::row::{Fared, Row, RowName, Tally};

const HOST: HostKey = HostKey(1);
pub(super) const DATA_CENTRES: usize = 4;
/// How the gateway's hosts wait for room, as they do.
const WAIT_SHARE: f64 = 0.55;
const ASK_AGAIN_US: u64 = 60_000;
const RESTATE_US: u64 = 1_000_000;
/// From an engine's notice until its home has heard it, and until its report tells of it.
pub(super) const HEARD_US: u64 = 30_000;
const LOOKED_US: u64 = 620_000;
/// A pause over this makes a stream late.
const GAP_TARGET_MS: f64 = 180.0;
/// Tokens that come to a caller together.
const EVENT_TOKENS: u32 = 4;
/// What a caller's request is worth beyond this size is copied under [`RowName::CopyLargest`].
const LARGE_TOKENS: u32 = 3_900;

/// What a day is like.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Settings {
    pub(crate) row: RowName,
    pub(crate) engines: usize,
    pub(crate) load: f64,
    pub(crate) duration_s: f64,
    pub(crate) seed: u64,
    /// One engine crashes each so many seconds; never at 0.
    pub(crate) crash_period_s: f64,
    pub(crate) organisations: usize,
    pub(crate) flood: Option<Flood>,
    pub(crate) mix: Mix,
}

/// One try of a caller, and what became of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Try {
    pub(super) caller: usize,
    came_us: u64,
    placed_us: u64,
    pub(super) engine: Option<usize>,
    pub(super) backup: Option<usize>,
    /// Taken off its engine, on its way to another.
    pub(super) stopped: Option<Job>,
    pub(super) is_over: bool,
    pub(super) has_moved: bool,
    pub(super) first_us: Option<u64>,
    pub(super) last_us: u64,
    longest_pause_ms: f64,
}

pub(super) struct World {
    pub(super) settings: Settings,
    pub(super) now_us: u64,
    pub(super) agenda: Agenda,
    pub(super) cell: Cell,
    pub(super) engines: Vec<Engine>,
    pub(super) callers: Vec<Asked>,
    pub(super) tries: Vec<Try>,
    fared: Vec<Fared>,
    pub(super) tally: Tally,
    pub(super) rng: ChaCha8Rng,
}

/// Plays a day.
pub(crate) fn run(settings: Settings) -> Row {
    let callers = draw(&settings);
    let fared = callers.iter().map(|one| Fared {
        is_long: one.is_long,
        prompt_tokens: one.prompt_tokens,
        length_tokens: one.length_tokens,
        organisation: one.organisation,
        ..Fared::default()
    });
    let mut world = World {
        settings,
        now_us: 0,
        agenda: Agenda::default(),
        cell: Cell::default(),
        engines: Vec::new(),
        fared: fared.collect(),
        callers,
        tries: Vec::new(),
        tally: Tally::default(),
        rng: ChaCha8Rng::seed_from_u64(settings.seed ^ 0xce11),
    };
    world.play();
    let World { tally, fared, .. } = world;
    tally.row(&settings, &fared)
}

pub(super) fn key_of(engine: usize) -> UpstreamKey {
    UpstreamKey(engine as u64 + 1)
}

pub(super) fn engine_of(key: UpstreamKey) -> usize {
    key.0 as usize - 1
}

impl World {
    fn play(&mut self) {
        for number in 0..self.settings.engines {
            self.engines
                .push(Engine::new((number % DATA_CENTRES) as u64));
        }
        self.register();
        for caller in 0..self.callers.len() {
            self.come(caller, self.callers[caller].at_us);
        }
        self.agenda.add(loss::RECLAIM_US / 2, Event::Reclaim);
        self.agenda.add(RESTATE_US, Event::Restate);
        self.next_crash();
        let end_us = (self.settings.duration_s * 1e6) as u64 + 30_000_000;
        while let Some((at_us, event)) = self.agenda.next() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(one) | Event::Ask(one) => self.ask(one),
            Event::Step { engine, series } => self.step(engine, series),
            Event::Reclaim => self.reclaim(),
            Event::Heard(engine) => self.hear(engine),
            Event::Looked(engine) => self.look(engine),
            Event::Carry(engine) => self.carry_next(engine),
            Event::Copied(carry) => self.copied(carry),
            Event::GoesOn(carry) => self.goes_on(carry),
            Event::Gone(engine) => self.gone(engine),
            Event::Crash => self.crash(),
            Event::Born => self.born(),
            Event::Restate => self.restate(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(super) fn after(&mut self, us: u64, event: Event) {
        self.agenda.add(self.now_us + us, event);
    }

    fn come(&mut self, caller: usize, at_us: u64) {
        let one = self.tries.len();
        self.tries.push(Try {
            caller,
            came_us: at_us,
            placed_us: at_us,
            engine: None,
            backup: None,
            stopped: None,
            is_over: false,
            has_moved: false,
            first_us: None,
            last_us: 0,
            longest_pause_ms: 0.0,
        });
        self.agenda.add(at_us, Event::Arrive(one));
    }

    fn ask(&mut self, one: usize) {
        let Try {
            caller, came_us, ..
        } = self.tries[one];
        let asked = self.callers[caller];
        let waited_ms = (self.now_us - came_us) / 1_000;
        let is_last_call = waited_ms as f64 >= asked.target_ms as f64 * WAIT_SHARE;
        let request = PlacementRequest {
            run: RunKey(one as u64),
            host: HOST,
            organisation: self.organisation(&asked),
            data_centre: caller as u64 % DATA_CENTRES as u64,
            prompt_tokens: asked.prompt_tokens,
            limit_tokens: asked.limit_tokens,
            hint_tokens: Some(self.hint(&asked)),
            retry_key: caller as u64,
            priority: asked.priority,
            max_wait_ms: asked.target_ms.saturating_sub(waited_ms),
            left_ms: asked.deadline_ms.saturating_sub(waited_ms),
            is_final_attempt: is_last_call,
            excluded: Vec::new(),
            can_back_up: matches!(self.settings.row, RowName::Kept | RowName::Unfair),
        };
        match self.cell.place(self.now_ms(), &request) {
            Placement::On { engine, backup, .. } => {
                self.start(one, engine_of(engine), backup.map(engine_of));
            }
            Placement::Full { .. } if !is_last_call => self.after(ASK_AGAIN_US, Event::Ask(one)),
            Placement::Full { retry_after_ms } => self.refuse(one, Some(retry_after_ms)),
            Placement::TooLarge | Placement::NoEngine => self.refuse(one, None),
        }
    }

    fn organisation(&self, asked: &Asked) -> OrganisationKey {
        match self.settings.row {
            RowName::Unfair => OrganisationKey(0),
            _ => OrganisationKey(asked.organisation as u64),
        }
    }

    fn hint(&self, asked: &Asked) -> u32 {
        match self.settings.row {
            RowName::Oracle => asked.length_tokens,
            _ => asked.hint_tokens,
        }
    }

    /// Refuses a request, whose caller comes back once where it is told when.
    fn refuse(&mut self, one: usize, retry_after_ms: Option<Millis>) {
        self.tally.refused += 1;
        self.tries[one].is_over = true;
        let caller = self.tries[one].caller;
        self.fared[caller].was_refused = true;
        let is_first = self.tries[one].came_us == self.callers[caller].at_us;
        if let (true, Some(after_ms)) = (is_first, retry_after_ms) {
            self.come(caller, self.now_us + after_ms * 1_000);
        }
    }

    fn start(&mut self, one: usize, engine: usize, backup: Option<usize>) {
        let asked = self.callers[self.tries[one].caller];
        let backup = backup.or_else(|| self.own_backup(engine, &asked));
        if let Some(backup) = backup {
            self.engines[backup].copy(one, asked.prompt_tokens, u64::MAX);
        }
        self.tries[one].engine = Some(engine);
        self.tries[one].placed_us = self.now_us;
        self.tries[one].backup = backup;
        self.engines[engine].submit(Job {
            run: one,
            prompt_tokens: asked.prompt_tokens,
            out_tokens: 0,
            length_tokens: asked.length_tokens,
            unread_tokens: asked.prompt_tokens,
            is_long: asked.is_long,
        });
        self.kick(engine);
    }

    /// The emptiest other engine, where this row copies by a rule of its own.
    fn own_backup(&self, main: usize, asked: &Asked) -> Option<usize> {
        let copies = match self.settings.row {
            RowName::CopyAll => asked.is_long,
            RowName::CopyLargest => asked.is_long && asked.prompt_tokens >= LARGE_TOKENS,
            _ => false,
        };
        let others = self.engines.iter().enumerate();
        let open = others
            .filter(|(place, one)| *place != main && !one.is_gone && one.gone_at_us.is_none());
        let emptiest = open.min_by_key(|(_, one)| one.used_tokens())?;
        (copies && emptiest.1.has_room(asked.prompt_tokens)).then_some(emptiest.0)
    }

    pub(super) fn kick(&mut self, engine: usize) {
        let one = &mut self.engines[engine];
        if one.is_stepping || one.is_gone {
            return;
        }
        if let Some(step_ms) = one.begin_step(self.now_us) {
            one.is_stepping = true;
            let series = one.series;
            self.after((step_ms * 1_000.0) as u64, Event::Step { engine, series });
        }
    }

    fn step(&mut self, engine: usize, series: u32) {
        let one = &mut self.engines[engine];
        if one.is_gone || one.series != series {
            return;
        }
        one.is_stepping = false;
        for made in one.end_step() {
            match made {
                Made::Token(run) => self.token(run, engine),
                Made::Done(run) => self.done(run),
                Made::Preempted(_, tokens) => {
                    self.tally.preemptions += 1;
                    self.tally.wasted_prompt_tokens += u64::from(tokens);
                }
            }
        }
        self.kick(engine);
    }

    fn token(&mut self, run: usize, engine: usize) {
        let out = self.engines[engine]
            .find(run)
            .map_or(0, |job| job.out_tokens);
        if out.is_multiple_of(EVENT_TOKENS) || out == 1 {
            self.event(run);
        }
        if let Some(backup) = self.tries[run].backup {
            let held = self.callers[self.tries[run].caller].prompt_tokens + out;
            self.engines[backup].grow_copy(run, held);
        }
    }

    /// An event reaches its caller.
    fn event(&mut self, run: usize) {
        let now_us = self.now_us;
        let one = &mut self.tries[run];
        if one.first_us.is_none() {
            one.first_us = Some(now_us);
        } else {
            let pause_ms = (now_us - one.last_us) as f64 / 1_000.0;
            one.longest_pause_ms = one.longest_pause_ms.max(pause_ms);
            if std::mem::take(&mut one.has_moved) {
                self.tally.pauses_ms.push(pause_ms);
            }
        }
        one.last_us = now_us;
    }

    fn done(&mut self, run: usize) {
        self.event(run);
        self.end(run, true);
        let one = self.tries[run];
        let asked = self.callers[one.caller];
        let first_us = one.first_us.unwrap_or(self.now_us);
        let first_ms = (first_us - asked.at_us) / 1_000;
        let stream_ms = (self.now_us - first_us) as f64 / 1_000.0;
        let fared = &mut self.fared[one.caller];
        fared.is_whole = true;
        fared.first_ms = first_ms as f64;
        fared.stream_ms = stream_ms;
        fared.is_on_time = first_ms <= asked.target_ms && one.longest_pause_ms <= GAP_TARGET_MS;
    }

    /// A try is over, well or not.
    pub(super) fn end(&mut self, run: usize, is_whole: bool) {
        self.tries[run].is_over = true;
        let end = RunEnd {
            out_tokens: self.callers[self.tries[run].caller].length_tokens,
            is_complete: is_whole,
            first_ms: self.first_ms(run),
        };
        self.cell.end(self.now_ms(), RunKey(run as u64), end);
        if let Some(backup) = self.tries[run].backup.take() {
            self.engines[backup].drop_copy(run);
        }
    }

    /// From a try's placement to its first event.
    fn first_ms(&self, run: usize) -> Option<u64> {
        let one = &self.tries[run];
        Some((one.first_us? - one.placed_us) / 1_000)
    }

    /// The home hears which engines are there.
    pub(super) fn register(&mut self) {
        let heard_us = self.now_us.saturating_sub(HEARD_US);
        let there = self.engines.iter().enumerate();
        let there = there.filter(|(_, one)| !one.is_gone);
        let registered: Vec<CellEngine> = there
            .map(|(place, one)| CellEngine {
                key: key_of(place),
                name: key_of(place).0,
                data_centre: one.data_centre,
                is_draining: one
                    .gone_at_us
                    .is_some_and(|gone_us| gone_us <= heard_us + loss::NOTICE_US.end),
                is_evacuated: false,
                cold: None,
                capacity: FIGURES,
            })
            .collect();
        let now_ms = self.now_ms();
        self.cell.set_engines(now_ms, &registered);
    }

    fn hear(&mut self, engine: usize) {
        self.register();
        self.after(LOOKED_US, Event::Looked(engine));
        if self.settings.row != RowName::Stay {
            self.after(0, Event::Carry(engine));
        }
    }

    fn restate(&mut self) {
        let running = self.tries.iter().enumerate();
        let running = running.filter(|(_, one)| !one.is_over && one.engine.is_some());
        let statements: Vec<RunStatement> = running
            .map(|(run, one)| {
                let asked = &self.callers[one.caller];
                let engine = one.engine.unwrap_or_default();
                let job = one.stopped.or(self.engines[engine].find(run).copied());
                RunStatement {
                    run: RunKey(run as u64),
                    organisation: self.organisation(asked),
                    engine: key_of(engine),
                    backup: one.backup.map(key_of),
                    prompt_tokens: asked.prompt_tokens,
                    out_tokens: job.map_or(0, |job| job.out_tokens),
                    limit_tokens: asked.limit_tokens,
                    hint_tokens: Some(self.hint(asked)),
                }
            })
            .collect();
        let now_ms = self.now_ms();
        self.cell.restate(now_ms, HOST, &statements);
        self.after(RESTATE_US, Event::Restate);
    }
}
