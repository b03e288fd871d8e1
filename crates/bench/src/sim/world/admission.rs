//! From an arrival to a permit or a refusal.

use fulmarpath_policy::{
    Candidate, EngineLoad, EnginePermitRequest, HostKey, OrganisationKey, Outcome, PermitRequestId,
    ServiceKey, UpstreamKey, pick,
};

use super::super::policies::PolicyName;
use super::super::stats::Gatherer;
use super::super::workload::{LIMITS, ORGANISATIONS, weight};
use super::event::Event;
use super::{DATA_CENTRES, PATIENCE_MS, PEER_US, World, permit_bits, upstream_key};

impl World<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
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

    pub(super) fn least_loaded(&self) -> usize {
        let engines = 0..self.engines.len();
        let live = engines.filter(|engine| !self.dead[*engine]);
        let least = live.min_by_key(|engine| {
            let report = self.reports[*engine];
            report.used_tokens + report.waiting * 1_000
        });
        least.unwrap_or(0)
    }

    /// The home that a host believes an engine to have.
    pub(super) fn home_of(&self, engine: usize, host: usize) -> usize {
        if self.settings.split && host % 2 == 1 {
            engine + self.engines.len()
        } else {
            engine
        }
    }

    pub(super) fn engine_of(&self, home: usize) -> usize {
        home % self.engines.len()
    }

    /// Asks two homes, as an entry host does.
    pub(super) fn ask(&mut self, request: usize, only_now: bool) {
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
                is_local: engine % DATA_CENTRES == arrival.host % DATA_CENTRES,
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

    pub(super) fn engine_named(&self, upstream: UpstreamKey) -> usize {
        let engines = 0..self.engines.len();
        let mut named = engines.filter(|engine| upstream_key(*engine) == upstream);
        named.next().unwrap_or(0)
    }

    pub(super) fn send_ask(&mut self, request: usize, engine: usize, only_now: bool) -> u64 {
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
    pub(super) fn hedge(&mut self, request: usize, ask: u64, only_now: bool) {
        let still_waits = self.requests[request]
            .asks
            .iter()
            .any(|(one, _)| *one == ask);
        if still_waits && let Some(engine) = self.requests[request].spare.take() {
            self.send_ask(request, engine, only_now);
        }
    }

    pub(super) fn ask_at(&mut self, home: usize, request: usize, ask: u64, only_now: bool) {
        let one = &self.requests[request];
        let arrival = one.arrival;
        let waited_ms = (self.now_us - arrival.at_us) / 1_000;
        let max_wait_ms = if one.out > 0 || one.retried {
            60_000
        } else {
            PATIENCE_MS.saturating_sub(waited_ms)
        };
        let total: f32 = (0..ORGANISATIONS).map(weight).sum();
        let known = self.settings.policy == PolicyName::Oracle;
        let message = EnginePermitRequest {
            id: PermitRequestId(ask),
            host: HostKey(arrival.host as u64),
            organisation: OrganisationKey(arrival.organisation as u64),
            service: ServiceKey(arrival.service as u64),
            weight: weight(arrival.organisation),
            share: weight(arrival.organisation) / total,
            prompt_tokens: arrival.prompt_tokens,
            out_tokens: one.out,
            output_limit_tokens: LIMITS[arrival.service],
            max_wait_ms,
            only_now,
            known_tokens: known.then_some(arrival.length_tokens),
        };
        let now_ms = self.now_ms();
        let lengths = &self.lengths[self.home_host[home]];
        self.homes[home].request_permit(now_ms, message, lengths);
        self.step_home(home);
        let load = self.home_load(home);
        let engine = self.engine_of(home);
        self.views[arrival.host][engine] = load;
    }

    pub(super) fn home_load(&self, home: usize) -> EngineLoad {
        let own = self.homes[home].load();
        let report = self.reports[self.engine_of(home)];
        EngineLoad {
            running: own.running,
            waiting: own.queued + report.waiting,
            used_tokens: own.held_tokens.max(report.used_tokens),
            memory_tokens: self.settings.spec.memory_tokens,
        }
    }

    pub(super) fn step_home(&mut self, home: usize) {
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

    pub(super) fn granted(
        &mut self,
        home: usize,
        request: usize,
        ask: u64,
        permit: u64,
        priority: i32,
    ) {
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

    pub(super) fn refused(&mut self, request: usize, ask: u64) {
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
}
