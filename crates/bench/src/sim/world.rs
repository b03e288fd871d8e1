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
use super::stats::{Row, StatsCollector};
use super::workload::{Arrival, Scenario};
use event::Event;

const PEER_LATENCY_US: u64 = 1_500;
const REPORT_PERIOD_US: u64 = 500_000;
const REPORT_LAG_US: u64 = 700_000;
const TICK_US: u64 = 10_000;
const MAX_WAIT_MS: Millis = 10_000;
const DATA_CENTRES: usize = 3;
/// Time until hosts detect the loss of an engine.
const LOSS_DETECTION_US: u64 = 1_000_000;

/// Settings of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorldSettings {
    pub(crate) policy: PolicyName,
    pub(crate) tuning: Tuning,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) spec: EngineSpec,
    pub(crate) duration_s: f64,
    pub(crate) scenario: Scenario,
    /// Half of the hosts use a different home for each engine.
    pub(crate) split_view: bool,
}

#[derive(Debug, Clone)]
struct Request {
    arrival: Arrival,
    /// Open permit requests: id and home.
    permit_requests: Vec<(u64, usize)>,
    /// The engine of second choice, until a permit has been requested at its home.
    second_choice: Option<usize>,
    /// Home and permit of the running attempt; without admission control, its engine and 0.
    held: Option<(usize, u64)>,
    attempt: u32,
    /// A permit on another engine has been requested, to move there.
    is_moving: bool,
    out_tokens: u32,
    last_token_us: Option<u64>,
    stall_us: u64,
    has_ended: bool,
    priority: i32,
    was_retried: bool,
}

struct World<'a> {
    settings: &'a WorldSettings,
    now_us: u64,
    end_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    engines: Vec<EngineModel>,
    /// Events of each engine's current step, which are handled when the step ends.
    step_events: Vec<Vec<EngineEvent>>,
    is_stepping: Vec<bool>,
    is_lost: Vec<bool>,
    /// Two homes for each engine: at its index, and, for half of the hosts in a split view, at its
    /// index plus the number of engines.
    homes: Vec<Home>,
    /// The host of each home.
    home_host: Vec<usize>,
    /// Length statistics of each host.
    lengths: Vec<Lengths>,
    /// Load of each engine as known to each host, by host and engine.
    views: Vec<Vec<EngineLoad>>,
    /// Latest load report of each engine.
    reports: Vec<EngineLoad>,
    /// Moves that homes have requested, by home and permit.
    requested_moves: Vec<(usize, PermitKey)>,
    by_permit: HashMap<(usize, u64), usize>,
    by_permit_request: HashMap<u64, usize>,
    next_permit_request: u64,
    round_robin: Vec<usize>,
    stats: StatsCollector,
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

/// Runs the arrivals under the policy of `settings`.
pub(crate) fn run(settings: &WorldSettings, arrivals: &[Arrival], load: f64, seed: u64) -> Row {
    let mut world = World::new(settings, arrivals);
    world.run_events();
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
            step_events: vec![Vec::new(); engines],
            is_stepping: vec![false; engines],
            is_lost: vec![false; engines],
            homes: (0..engines * 2).map(|_| Home::new(home)).collect(),
            home_host: home_host.clone().chain(home_host).collect(),
            lengths: (0..settings.hosts).map(|_| Lengths::new()).collect(),
            views: vec![vec![empty; engines]; settings.hosts],
            reports: vec![empty; engines],
            requested_moves: Vec::new(),
            by_permit: HashMap::new(),
            by_permit_request: HashMap::new(),
            next_permit_request: 1,
            round_robin: (0..settings.hosts).collect(),
            stats: StatsCollector::new(),
        };
        for (index, arrival) in arrivals.iter().enumerate() {
            world.schedule(arrival.at_us, Event::Arrive(index));
        }
        for engine in 0..engines {
            let first_us = REPORT_PERIOD_US * engine as u64 / engines as u64;
            world.schedule(first_us, Event::SendLoadReport(engine));
        }
        let progress_us = settings.tuning.progress_ms * 1_000;
        world.schedule(progress_us, Event::ReportProgress);
        world.schedule(TICK_US, Event::Tick);
        if settings.scenario == Scenario::EngineLost {
            world.schedule(world.end_us / 2, Event::LoseEngine(0));
        }
        world
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, event)));
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.schedule(self.now_us + delay_us, event);
    }

    fn now_ms(&self) -> Millis {
        self.now_us / 1_000
    }

    fn run_events(&mut self) {
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
            if request.has_ended {
                continue;
            }
            let since = request.last_token_us.unwrap_or(request.arrival.at_us);
            let silent_us = self.end_us.saturating_sub(since);
            let stall = StatsCollector::open_stall_us(request.last_token_us.is_none(), silent_us);
            let total = request.stall_us + stall;
            self.stats.record_end(request.arrival.organisation, total);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::PermitRequested {
                home,
                request,
                permit_request,
                only_now,
            } => {
                self.receive_permit_request(home, request, permit_request, only_now);
            }
            Event::Granted {
                home,
                request,
                permit_request,
                permit,
                priority,
            } => {
                self.receive_grant(home, request, permit_request, permit, priority);
            }
            Event::Hedge {
                request,
                permit_request,
                only_now,
            } => self.hedge(request, permit_request, only_now),
            Event::Refused {
                request,
                permit_request,
            } => self.receive_refusal(request, permit_request),
            Event::Withdraw {
                home,
                permit_request,
            } => {
                self.homes[home].withdraw(PermitRequestId(permit_request));
                self.step_home(home);
            }
            Event::Submit {
                engine,
                request,
                attempt,
            } => self.submit(engine, request, attempt),
            Event::StepDone(engine) => self.finish_step(engine),
            Event::SendLoadReport(engine) => {
                let model = &self.engines[engine];
                let (used, running, waiting) =
                    (model.used_tokens(), model.running(), model.waiting());
                let report = Event::LoadReportReceived {
                    engine,
                    used,
                    running,
                    waiting,
                };
                self.after(REPORT_LAG_US, report);
                self.after(REPORT_PERIOD_US, Event::SendLoadReport(engine));
            }
            Event::LoadReportReceived {
                engine,
                used,
                running,
                waiting,
            } => {
                self.receive_report(engine, used, running, waiting);
            }
            Event::ReportProgress => self.report_progress(),
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
            Event::Released { home, permit } => {
                self.homes[home].cancel(permit_key(permit));
                self.step_home(home);
            }
            Event::LoseEngine(engine) => self.lose_engine(engine),
            Event::RetryRequest(request) => self.request_permit(request, false),
        }
    }
}

impl Request {
    fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            permit_requests: Vec::new(),
            second_choice: None,
            held: None,
            attempt: 0,
            is_moving: false,
            out_tokens: 0,
            last_token_us: None,
            stall_us: 0,
            has_ended: false,
            priority: 0,
            was_retried: false,
        }
    }
}
