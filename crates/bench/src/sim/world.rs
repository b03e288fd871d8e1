//! The simulated deployment: hosts, homes, engines and the messages between them.

mod admission;
mod engines;
mod event;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use fulmarpath_policy::{
    EngineLoad, Home, HostKey, Lengths, Millis, PermitKey, PermitRequestId, UpstreamKey, highest,
};
use fulmarpath_standin::{EngineEvent, EngineModel, EngineSpec};

use super::policies::{PolicyName, Tuning, home_settings};
use super::stats::{Gatherer, Row};
use super::workload::{Arrival, Scenario};
use event::Event;

const PEER_US: u64 = 1_500;
const REPORT_PERIOD_US: u64 = 500_000;
const REPORT_LAG_US: u64 = 700_000;
const TICK_US: u64 = 10_000;
const PATIENCE_MS: Millis = 10_000;
const DATA_CENTRES: usize = 3;
/// An engine that is lost is noticed after so long.
const NOTICE_US: u64 = 1_000_000;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorldSettings {
    pub(crate) policy: PolicyName,
    pub(crate) tuning: Tuning,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) spec: EngineSpec,
    pub(crate) duration_s: f64,
    pub(crate) scenario: Scenario,
    /// Half of the hosts believe in another home for each engine.
    pub(crate) split: bool,
}

#[derive(Debug, Clone)]
struct Request {
    arrival: Arrival,
    asks: Vec<(u64, usize)>,
    /// The second pick, as long as it hasn't been asked.
    spare: Option<usize>,
    /// Engine and permit of the running attempt.
    held: Option<(usize, u64)>,
    attempt: u32,
    /// An ask to move is under way.
    moving: bool,
    out: u32,
    last_us: Option<u64>,
    stall_us: u64,
    ended: bool,
    priority: i32,
    retried: bool,
}

struct World<'a> {
    settings: &'a WorldSettings,
    now_us: u64,
    end_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    engines: Vec<EngineModel>,
    pending: Vec<Vec<EngineEvent>>,
    stepping: Vec<bool>,
    dead: Vec<bool>,
    homes: Vec<Home>,
    home_host: Vec<usize>,
    lengths: Vec<Lengths>,
    views: Vec<Vec<EngineLoad>>,
    reports: Vec<EngineLoad>,
    moves: Vec<(usize, PermitKey)>,
    by_permit: HashMap<(usize, u64), usize>,
    by_ask: HashMap<u64, usize>,
    next_ask: u64,
    turn: Vec<usize>,
    stats: Gatherer,
}

fn permit_bits(key: PermitKey) -> u64 {
    use slotmap::Key;
    key.data().as_ffi()
}

fn permit_key(bits: u64) -> PermitKey {
    PermitKey::from(slotmap::KeyData::from_ffi(bits))
}

fn upstream_key(engine: usize) -> UpstreamKey {
    UpstreamKey::of(&format!("engine-{engine}"))
}

/// Runs the arrivals under one policy.
pub(crate) fn run(settings: &WorldSettings, arrivals: &[Arrival], load: f64, seed: u64) -> Row {
    let mut world = World::new(settings, arrivals);
    world.play();
    world.stats.row(settings.policy.name(), load, seed)
}

impl<'a> World<'a> {
    fn new(settings: &'a WorldSettings, arrivals: &[Arrival]) -> Self {
        let engines = settings.engines;
        let hosts: Vec<HostKey> = (0..settings.hosts)
            .map(|host| HostKey::of(&format!("host-{host}")))
            .collect();
        let prompt_ms = settings.spec.prompt_ms_per_token as f32;
        let home = home_settings(
            settings.policy,
            &settings.tuning,
            settings.spec.memory_tokens,
            prompt_ms,
        );
        let home_host = (0..engines).map(|engine| {
            let home = highest(upstream_key(engine).0, hosts.iter().copied());
            hosts
                .iter()
                .position(|host| Some(*host) == home)
                .unwrap_or(0)
        });
        let memory_tokens = settings.spec.memory_tokens;
        let empty = EngineLoad {
            memory_tokens,
            ..EngineLoad::default()
        };
        let mut world = Self {
            settings,
            now_us: 0,
            end_us: (settings.duration_s * 1e6) as u64,
            queue: BinaryHeap::new(),
            sequence: 0,
            requests: arrivals
                .iter()
                .map(|arrival| Request::new(*arrival))
                .collect(),
            engines: (0..engines)
                .map(|_| EngineModel::new(settings.spec))
                .collect(),
            pending: vec![Vec::new(); engines],
            stepping: vec![false; engines],
            dead: vec![false; engines],
            homes: (0..engines * 2).map(|_| Home::new(home)).collect(),
            home_host: home_host.clone().chain(home_host).collect(),
            lengths: (0..settings.hosts).map(|_| Lengths::new()).collect(),
            views: vec![vec![empty; engines]; settings.hosts],
            reports: vec![empty; engines],
            moves: Vec::new(),
            by_permit: HashMap::new(),
            by_ask: HashMap::new(),
            next_ask: 1,
            turn: (0..settings.hosts).collect(),
            stats: Gatherer::new(),
        };
        for (index, arrival) in arrivals.iter().enumerate() {
            world.at(arrival.at_us, Event::Arrive(index));
        }
        for engine in 0..engines {
            let first_us = REPORT_PERIOD_US * engine as u64 / engines as u64;
            world.at(first_us, Event::Report(engine));
        }
        let progress_us = settings.tuning.progress_ms * 1_000;
        world.at(progress_us, Event::Progress);
        world.at(TICK_US, Event::Tick);
        if settings.scenario == Scenario::EngineLost {
            world.at(world.end_us / 2, Event::LoseEngine(0));
        }
        world
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, event)));
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn now_ms(&self) -> Millis {
        self.now_us / 1_000
    }

    fn play(&mut self) {
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = self.end_us;
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            if request.ended {
                continue;
            }
            let since = request.last_us.unwrap_or(request.arrival.at_us);
            let silent_us = self.end_us.saturating_sub(since);
            let stall = Gatherer::waiting_stall(request.last_us.is_none(), silent_us);
            let total = request.stall_us + stall;
            self.stats.end(request.arrival.organisation, total);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::AskAt {
                home,
                request,
                ask,
                only_now,
            } => {
                self.ask_at(home, request, ask, only_now);
            }
            Event::Granted {
                home,
                request,
                ask,
                permit,
                priority,
            } => {
                self.granted(home, request, ask, permit, priority);
            }
            Event::Hedge {
                request,
                ask,
                only_now,
            } => self.hedge(request, ask, only_now),
            Event::Refused { request, ask } => self.refused(request, ask),
            Event::Withdraw { home, ask } => {
                self.homes[home].withdraw(PermitRequestId(ask));
                self.step_home(home);
            }
            Event::Submit {
                engine,
                request,
                attempt,
            } => self.submit(engine, request, attempt),
            Event::StepDone(engine) => self.step_done(engine),
            Event::Report(engine) => {
                let model = &self.engines[engine];
                let (used, running, waiting) =
                    (model.used_tokens(), model.running(), model.waiting());
                let reported = Event::Reported {
                    engine,
                    used,
                    running,
                    waiting,
                };
                self.after(REPORT_LAG_US, reported);
                self.after(REPORT_PERIOD_US, Event::Report(engine));
            }
            Event::Reported {
                engine,
                used,
                running,
                waiting,
            } => {
                self.reported(engine, used, running, waiting);
            }
            Event::Progress => self.progress(),
            Event::Tick => {
                if self.settings.policy.admits() {
                    for home in 0..self.homes.len() {
                        let load = self.homes[home].load();
                        if load.queued > 0 || load.running > 0 {
                            self.step_home(home);
                        }
                    }
                    self.after(TICK_US, Event::Tick);
                }
            }
            Event::Finished {
                home,
                permit,
                length,
            } => {
                let now_ms = self.now_ms();
                let lengths = &mut self.lengths[self.home_host[home]];
                self.homes[home].finish(now_ms, permit_key(permit), length, lengths);
                self.step_home(home);
            }
            Event::Left { home, permit } => {
                self.homes[home].cancel(permit_key(permit));
                self.step_home(home);
            }
            Event::LoseEngine(engine) => self.lose(engine),
            Event::Recover(request) => self.ask(request, false),
        }
    }
}

impl Request {
    fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            asks: Vec::new(),
            spare: None,
            held: None,
            attempt: 0,
            moving: false,
            out: 0,
            last_us: None,
            stall_us: 0,
            ended: false,
            priority: 0,
            retried: false,
        }
    }
}
