//! The simulated deployment: hosts, homes, engines and the messages between them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use fulmarpath_policy::{
    Ask, AskId, Candidate, EngineLoad, Home, HostKey, Lengths, Millis, OrganisationKey, Outcome,
    PermitKey, ServiceKey, UpstreamKey, highest, pick,
};
use fulmarpath_standin::{EngineEvent, EngineModel, EngineSpec, Job};

use super::policies::{PolicyName, Tuning, home_settings};
use super::stats::{Gatherer, Row};
use super::workload::{Arrival, LIMITS, ORGANISATIONS, Scenario, weight};

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    AskAt {
        home: usize,
        request: usize,
        ask: u64,
        only_now: bool,
    },
    Granted {
        home: usize,
        request: usize,
        ask: u64,
        permit: u64,
        priority: i32,
    },
    Hedge {
        request: usize,
        ask: u64,
        only_now: bool,
    },
    Refused {
        request: usize,
        ask: u64,
    },
    Withdraw {
        home: usize,
        ask: u64,
    },
    Submit {
        engine: usize,
        request: usize,
        attempt: u32,
    },
    StepDone(usize),
    Report(usize),
    Reported {
        engine: usize,
        used: u32,
        running: u32,
        waiting: u32,
    },
    Progress,
    Tick,
    Finished {
        home: usize,
        permit: u64,
        length: u32,
    },
    Left {
        home: usize,
        permit: u64,
    },
    LoseEngine(usize),
    Recover(usize),
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
                self.homes[home].withdraw(AskId(ask));
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

    fn arrive(&mut self, request: usize) {
        if self.settings.policy.admits() {
            self.ask(request, false);
            return;
        }
        let host = self.requests[request].arrival.host;
        let engine = match self.settings.policy {
            PolicyName::RoundRobin => loop {
                self.turn[host] = (self.turn[host] + 1) % self.engines.len();
                if !self.dead[self.turn[host]] {
                    break self.turn[host];
                }
            },
            _ => self.least_loaded(),
        };
        let attempt = self.requests[request].attempt;
        self.after(
            PEER_US,
            Event::Submit {
                engine,
                request,
                attempt,
            },
        );
    }

    fn least_loaded(&self) -> usize {
        let engines = 0..self.engines.len();
        let live = engines.filter(|engine| !self.dead[*engine]);
        let least = live.min_by_key(|engine| {
            let report = self.reports[*engine];
            report.used_tokens + report.waiting * 1_000
        });
        least.unwrap_or(0)
    }

    /// The home that a host believes an engine to have.
    fn home_of(&self, engine: usize, host: usize) -> usize {
        if self.settings.split && host % 2 == 1 {
            engine + self.engines.len()
        } else {
            engine
        }
    }

    fn engine_of(&self, home: usize) -> usize {
        home % self.engines.len()
    }

    /// Asks two homes, as an entry host does.
    fn ask(&mut self, request: usize, only_now: bool) {
        if !self.settings.policy.admits() {
            self.arrive(request);
            return;
        }
        let arrival = self.requests[request].arrival;
        let held = self.requests[request].held;
        let without = held.map(|(home, _)| self.engine_of(home));
        let candidates: Vec<Candidate> = (0..self.engines.len())
            .filter(|engine| Some(*engine) != without && !self.dead[*engine])
            .map(|engine| Candidate {
                upstream: upstream_key(engine),
                near: engine % DATA_CENTRES == arrival.host % DATA_CENTRES,
                load: self.views[arrival.host][engine],
                cached: false,
            })
            .collect();
        let Some(picked) = pick(arrival.prefix, &candidates) else {
            return;
        };
        let first = self.engine_named(picked.first);
        let second = picked.second.filter(|_| !self.settings.tuning.one_ask);
        self.requests[request].spare = second.map(|second| self.engine_named(second));
        let ask = self.send_ask(request, first, only_now);
        let hedge_us = self.settings.tuning.hedge_ms * 1_000;
        self.after(
            hedge_us,
            Event::Hedge {
                request,
                ask,
                only_now,
            },
        );
    }

    fn engine_named(&self, upstream: UpstreamKey) -> usize {
        let engines = 0..self.engines.len();
        let mut named = engines.filter(|engine| upstream_key(*engine) == upstream);
        named.next().unwrap_or(0)
    }

    fn send_ask(&mut self, request: usize, engine: usize, only_now: bool) -> u64 {
        let ask = self.next_ask;
        self.next_ask += 1;
        self.stats.asks += 1;
        let home = self.home_of(engine, self.requests[request].arrival.host);
        self.requests[request].asks.push((ask, home));
        self.by_ask.insert(ask, request);
        self.after(
            PEER_US,
            Event::AskAt {
                home,
                request,
                ask,
                only_now,
            },
        );
        ask
    }

    /// The first home hasn't granted in time: ask the second as well.
    fn hedge(&mut self, request: usize, ask: u64, only_now: bool) {
        let still_waits = self.requests[request]
            .asks
            .iter()
            .any(|(one, _)| *one == ask);
        if still_waits && let Some(engine) = self.requests[request].spare.take() {
            self.send_ask(request, engine, only_now);
        }
    }

    fn ask_at(&mut self, home: usize, request: usize, ask: u64, only_now: bool) {
        let one = &self.requests[request];
        let arrival = one.arrival;
        let waited_ms = (self.now_us - arrival.at_us) / 1_000;
        let patience_ms = if one.out > 0 || one.retried {
            60_000
        } else {
            PATIENCE_MS.saturating_sub(waited_ms)
        };
        let total: f32 = (0..ORGANISATIONS).map(weight).sum();
        let known = self.settings.policy == PolicyName::Oracle;
        let message = Ask {
            id: AskId(ask),
            host: HostKey(arrival.host as u64),
            organisation: OrganisationKey(arrival.organisation as u64),
            service: ServiceKey(arrival.service as u64),
            weight: weight(arrival.organisation),
            share: weight(arrival.organisation) / total,
            prompt_tokens: arrival.prompt_tokens,
            out_tokens: one.out,
            output_limit_tokens: LIMITS[arrival.service],
            patience_ms,
            only_now,
            known_tokens: known.then_some(arrival.length_tokens),
        };
        let now_ms = self.now_ms();
        let lengths = &self.lengths[self.home_host[home]];
        self.homes[home].ask(now_ms, message, lengths);
        self.step_home(home);
        let load = self.home_load(home);
        let engine = self.engine_of(home);
        self.views[arrival.host][engine] = load;
    }

    fn home_load(&self, home: usize) -> EngineLoad {
        let own = self.homes[home].load();
        let report = self.reports[self.engine_of(home)];
        EngineLoad {
            running: own.running,
            waiting: own.queued + report.waiting,
            used_tokens: own.held_tokens.max(report.used_tokens),
            memory_tokens: self.settings.spec.memory_tokens,
        }
    }

    fn step_home(&mut self, home: usize) {
        let now_ms = self.now_ms();
        let mut outcomes = Vec::new();
        let lengths = &self.lengths[self.home_host[home]];
        self.homes[home].step(now_ms, lengths, &mut outcomes);
        for outcome in outcomes {
            match outcome {
                Outcome::Granted {
                    ask,
                    permit,
                    priority,
                    ..
                } => {
                    let Some(request) = self.by_ask.get(&ask.0).copied() else {
                        continue;
                    };
                    let permit = permit_bits(permit);
                    let granted = Event::Granted {
                        home,
                        request,
                        ask: ask.0,
                        permit,
                        priority,
                    };
                    self.after(PEER_US, granted);
                }
                Outcome::Refused { ask, .. } => {
                    if let Some(request) = self.by_ask.get(&ask.0).copied() {
                        self.after(
                            PEER_US,
                            Event::Refused {
                                request,
                                ask: ask.0,
                            },
                        );
                    }
                }
                Outcome::Move { permit, .. } => self.moves.push((home, permit)),
            }
        }
    }

    fn granted(&mut self, home: usize, request: usize, ask: u64, permit: u64, priority: i32) {
        let engine = self.engine_of(home);
        let wanted = self.requests[request]
            .asks
            .iter()
            .any(|(one, _)| *one == ask);
        if !wanted || self.requests[request].ended || self.dead[engine] {
            self.after(PEER_US, Event::Left { home, permit });
            return;
        }
        self.requests[request].spare = None;
        let others: Vec<(u64, usize)> = self.requests[request].asks.drain(..).collect();
        for (other, other_home) in others {
            if other != ask {
                let withdraw = Event::Withdraw {
                    home: other_home,
                    ask: other,
                };
                self.after(PEER_US, withdraw);
            }
        }
        let one = &mut self.requests[request];
        one.attempt += 1;
        one.priority = priority;
        let attempt = one.attempt;
        let before = one.held.replace((home, permit));
        let was_moving = std::mem::take(&mut one.moving);
        self.by_permit.insert((home, permit), request);
        if let Some((old, old_permit)) = before {
            debug_assert!(was_moving, "only a move replaces a permit");
            self.by_permit.remove(&(old, old_permit));
            let old_engine = self.engine_of(old);
            self.engines[old_engine].cancel(request as u64);
            self.stats.moves += 1;
            self.after(
                PEER_US,
                Event::Left {
                    home: old,
                    permit: old_permit,
                },
            );
        }
        self.after(
            PEER_US,
            Event::Submit {
                engine,
                request,
                attempt,
            },
        );
    }

    fn refused(&mut self, request: usize, ask: u64) {
        let one = &mut self.requests[request];
        let before = one.asks.len();
        one.asks.retain(|(other, _)| *other != ask);
        if one.asks.len() == before || !one.asks.is_empty() || one.ended {
            return;
        }
        if let Some(engine) = one.spare.take() {
            let only_now = one.moving;
            self.send_ask(request, engine, only_now);
            return;
        }
        if one.moving {
            one.moving = false;
            return;
        }
        if one.held.is_some() {
            return;
        }
        if one.out > 0 || one.retried {
            self.after(200_000, Event::Recover(request));
            return;
        }
        one.ended = true;
        let waited_us = self.now_us - one.arrival.at_us;
        let stall = Gatherer::waiting_stall(true, waited_us);
        let organisation = one.arrival.organisation;
        self.stats.refused += 1;
        self.stats.end(organisation, stall);
    }

    fn submit(&mut self, engine: usize, request: usize, attempt: u32) {
        let one = &self.requests[request];
        if one.attempt != attempt || one.ended {
            return;
        }
        if self.dead[engine] {
            self.after(NOTICE_US, Event::Recover(request));
            return;
        }
        let priority = if self.settings.policy == PolicyName::Fulmarpath {
            one.priority
        } else {
            0
        };
        let arrival = one.arrival;
        self.engines[engine].submit(Job {
            id: request as u64,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
            prompt_tokens: arrival.prompt_tokens,
            out_tokens: one.out,
            length_tokens: arrival.length_tokens,
            priority,
        });
        if !self.settings.policy.admits() {
            self.requests[request].held = Some((engine, 0));
        }
        if !self.stepping[engine] {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        let mut events = std::mem::take(&mut self.pending[engine]);
        events.clear();
        let step_ms = self.engines[engine].step(&mut events);
        self.pending[engine] = events;
        self.stepping[engine] = step_ms > 0.0;
        if step_ms > 0.0 {
            self.after((step_ms * 1_000.0) as u64, Event::StepDone(engine));
        }
    }

    fn step_done(&mut self, engine: usize) {
        if self.dead[engine] {
            return;
        }
        let events = std::mem::take(&mut self.pending[engine]);
        for event in &events {
            match *event {
                EngineEvent::Token { id, index } => self.token(engine, id as usize, index),
                EngineEvent::Done { id } => self.done(engine, id as usize),
                EngineEvent::Preempted { id } => {
                    let organisation = self.requests[id as usize].arrival.organisation;
                    self.stats.preempted(organisation);
                }
            }
        }
        self.pending[engine] = events;
        self.start_step(engine);
    }

    fn runs_on(&self, engine: usize, request: usize) -> bool {
        let one = &self.requests[request];
        !one.ended
            && one
                .held
                .is_some_and(|(held, _)| self.engine_of(held) == engine)
    }

    fn token(&mut self, engine: usize, request: usize, index: u32) {
        if !self.runs_on(engine, request) {
            return;
        }
        let now_us = self.now_us;
        let one = &mut self.requests[request];
        if index < one.out {
            return;
        }
        assert_eq!(index, one.out, "a token must be the next one");
        one.out += 1;
        let stall = match one.last_us.replace(now_us) {
            None => self.stats.first(now_us - one.arrival.at_us),
            Some(last_us) => self.stats.gap(one.arrival.organisation, now_us - last_us),
        };
        one.stall_us += stall;
    }

    fn done(&mut self, engine: usize, request: usize) {
        if !self.runs_on(engine, request) {
            return;
        }
        let one = &mut self.requests[request];
        one.ended = true;
        let (organisation, stall, length) = (
            one.arrival.organisation,
            one.stall_us,
            one.arrival.length_tokens,
        );
        let held = one.held.take();
        self.stats.done += 1;
        self.stats.tokens_done += u64::from(length);
        self.stats.end(organisation, stall);
        if let Some((home, permit)) = held.filter(|_| self.settings.policy.admits()) {
            self.by_permit.remove(&(home, permit));
            self.after(
                PEER_US,
                Event::Finished {
                    home,
                    permit,
                    length,
                },
            );
        }
    }

    fn reported(&mut self, engine: usize, used: u32, running: u32, waiting: u32) {
        let load = EngineLoad {
            running,
            waiting,
            used_tokens: used,
            memory_tokens: self.settings.spec.memory_tokens,
        };
        self.reports[engine] = load;
        let now_ms = self.now_ms();
        for home in [engine, engine + self.engines.len()] {
            self.homes[home].report(now_ms, load);
        }
    }

    /// Entry hosts report how far their permits are, and heed the moves that homes ask for.
    fn progress(&mut self) {
        self.after(self.settings.tuning.progress_ms * 1_000, Event::Progress);
        if !self.settings.policy.admits() {
            return;
        }
        let now_ms = self.now_ms();
        for index in 0..self.requests.len() {
            let one = &self.requests[index];
            if let Some((home, permit)) = one.held.filter(|_| !one.ended) {
                self.homes[home].progress(now_ms, permit_key(permit), one.out);
            }
        }
        for (home, permit) in std::mem::take(&mut self.moves) {
            let held = (home, permit_bits(permit));
            let Some(request) = self.by_permit.get(&held).copied() else {
                continue;
            };
            let one = &mut self.requests[request];
            if !one.moving && one.out > 0 && !one.ended {
                one.moving = true;
                self.ask(request, true);
            }
        }
    }

    fn lose(&mut self, engine: usize) {
        self.dead[engine] = true;
        self.stepping[engine] = false;
        for index in 0..self.requests.len() {
            if !self.runs_on(engine, index) {
                continue;
            }
            let one = &mut self.requests[index];
            let held = one.held.take();
            one.attempt += 1;
            one.retried = true;
            if let Some((home, permit)) = held.filter(|_| self.settings.policy.admits()) {
                self.by_permit.remove(&(home, permit));
                self.after(NOTICE_US, Event::Left { home, permit });
            }
            self.after(NOTICE_US, Event::Recover(index));
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
