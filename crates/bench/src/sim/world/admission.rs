//! Admission: from an arrival to a permit or a refusal.

use fulmarpath_policy::{
    Candidate, EngineLoad, EnginePermitRequest, HostKey, Millis, OrganisationKey, Outcome,
    PermitRequestId, ServiceKey, UpstreamKey, pick,
};

use super::super::policies::PolicyName;
use super::super::stats::StatsCollector;
use super::super::workload::{LIMITS, ORGANISATIONS, weight};
use super::event::Event;
use super::{DATA_CENTRES, MAX_WAIT_MS, PEER_LATENCY_US, World, permit_bits, upstream_key};

/// Maximum wait of a request that has started before; it is not refused but retried.
const RESUMPTION_MAX_WAIT_MS: Millis = 60_000;
const RESUMPTION_RETRY_DELAY_US: u64 = 200_000;

impl World<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        if self.settings.policy.admits() {
            self.request_permit(request, false);
            return;
        }
        let host = self.requests[request].arrival.host;
        let engine = match self.settings.policy {
            PolicyName::RoundRobin => loop {
                self.round_robin[host] = (self.round_robin[host] + 1) % self.engines.len();
                if !self.is_lost[self.round_robin[host]] {
                    break self.round_robin[host];
                }
            },
            _ => self.least_loaded(),
        };
        let attempt = self.requests[request].attempt;
        self.after(
            PEER_LATENCY_US,
            Event::Submit {
                engine,
                request,
                attempt,
            },
        );
    }

    pub(super) fn least_loaded(&self) -> usize {
        let engines = 0..self.engines.len();
        let live = engines.filter(|engine| !self.is_lost[*engine]);
        let least = live.min_by_key(|engine| {
            let report = self.reports[*engine];
            report.used_tokens + report.waiting * 1_000
        });
        least.unwrap_or(0)
    }

    /// Home of an engine in the view of a host.
    pub(super) fn home_of(&self, engine: usize, host: usize) -> usize {
        if self.settings.split_view && host % 2 == 1 {
            engine + self.engines.len()
        } else {
            engine
        }
    }

    pub(super) fn engine_of(&self, home: usize) -> usize {
        home % self.engines.len()
    }

    /// Requests a permit at one home and schedules the hedge to a second, as an entry host does.
    pub(super) fn request_permit(&mut self, request: usize, only_now: bool) {
        if !self.settings.policy.admits() {
            self.arrive(request);
            return;
        }
        let arrival = self.requests[request].arrival;
        let held = self.requests[request].held;
        let excluded = held.map(|(home, _)| self.engine_of(home));
        let candidates: Vec<Candidate> = (0..self.engines.len())
            .filter(|engine| Some(*engine) != excluded && !self.is_lost[*engine])
            .map(|engine| Candidate {
                upstream: upstream_key(engine),
                is_local: engine % DATA_CENTRES == arrival.host % DATA_CENTRES,
                load: self.views[arrival.host][engine],
                cached: false,
            })
            .collect();
        let Some(choice) = pick(arrival.prefix, &candidates) else {
            return;
        };
        let first = self.engine_by_key(choice.first);
        let second = choice
            .second
            .filter(|_| !self.settings.tuning.single_request);
        self.requests[request].second_choice = second.map(|second| self.engine_by_key(second));
        let permit_request = self.send_permit_request(request, first, only_now);
        let hedge_us = self.settings.tuning.hedge_ms * 1_000;
        self.after(
            hedge_us,
            Event::Hedge {
                request,
                permit_request,
                only_now,
            },
        );
    }

    pub(super) fn engine_by_key(&self, upstream: UpstreamKey) -> usize {
        let engines = 0..self.engines.len();
        let mut named = engines.filter(|engine| upstream_key(*engine) == upstream);
        named.next().unwrap_or(0)
    }

    pub(super) fn send_permit_request(
        &mut self,
        request: usize,
        engine: usize,
        only_now: bool,
    ) -> u64 {
        let permit_request = self.next_permit_request;
        self.next_permit_request += 1;
        self.stats.permit_requests += 1;
        let home = self.home_of(engine, self.requests[request].arrival.host);
        self.requests[request]
            .permit_requests
            .push((permit_request, home));
        self.by_permit_request.insert(permit_request, request);
        self.after(
            PEER_LATENCY_US,
            Event::PermitRequested {
                home,
                request,
                permit_request,
                only_now,
            },
        );
        permit_request
    }

    /// Requests a permit at the second home as well if the first hasn't granted one in time.
    pub(super) fn hedge(&mut self, request: usize, permit_request: u64, only_now: bool) {
        let is_open = self.requests[request]
            .permit_requests
            .iter()
            .any(|(id, _)| *id == permit_request);
        if is_open && let Some(engine) = self.requests[request].second_choice.take() {
            self.send_permit_request(request, engine, only_now);
        }
    }

    pub(super) fn receive_permit_request(
        &mut self,
        home: usize,
        request: usize,
        permit_request: u64,
        only_now: bool,
    ) {
        let state = &self.requests[request];
        let arrival = state.arrival;
        let waited_ms = (self.now_us - arrival.at_us) / 1_000;
        let max_wait_ms = if state.out_tokens > 0 || state.was_retried {
            RESUMPTION_MAX_WAIT_MS
        } else {
            MAX_WAIT_MS.saturating_sub(waited_ms)
        };
        let total: f32 = (0..ORGANISATIONS).map(weight).sum();
        let is_length_known = self.settings.policy == PolicyName::Oracle;
        let message = EnginePermitRequest {
            id: PermitRequestId(permit_request),
            host: HostKey(arrival.host as u64),
            organisation: OrganisationKey(arrival.organisation as u64),
            service: ServiceKey(arrival.service as u64),
            weight: weight(arrival.organisation),
            share: weight(arrival.organisation) / total,
            prompt_tokens: arrival.prompt_tokens,
            out_tokens: state.out_tokens,
            output_limit_tokens: LIMITS[arrival.service],
            max_wait_ms,
            only_now,
            known_tokens: is_length_known.then_some(arrival.length_tokens),
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
                    let Some(request) = self.by_permit_request.get(&ask.0).copied() else {
                        continue;
                    };
                    let permit = permit_bits(permit);
                    let grant = Event::Granted {
                        home,
                        request,
                        permit_request: ask.0,
                        permit,
                        priority,
                    };
                    self.after(PEER_LATENCY_US, grant);
                }
                Outcome::Refused { ask, .. } => {
                    if let Some(request) = self.by_permit_request.get(&ask.0).copied() {
                        self.after(
                            PEER_LATENCY_US,
                            Event::Refused {
                                request,
                                permit_request: ask.0,
                            },
                        );
                    }
                }
                Outcome::Move { permit, .. } => self.requested_moves.push((home, permit)),
            }
        }
    }

    pub(super) fn receive_grant(
        &mut self,
        home: usize,
        request: usize,
        permit_request: u64,
        permit: u64,
        priority: i32,
    ) {
        let engine = self.engine_of(home);
        let is_open = self.requests[request]
            .permit_requests
            .iter()
            .any(|(id, _)| *id == permit_request);
        if !is_open || self.requests[request].has_ended || self.is_lost[engine] {
            self.after(PEER_LATENCY_US, Event::Released { home, permit });
            return;
        }
        self.requests[request].second_choice = None;
        let others: Vec<(u64, usize)> = self.requests[request].permit_requests.drain(..).collect();
        for (other, other_home) in others {
            if other != permit_request {
                let withdraw = Event::Withdraw {
                    home: other_home,
                    permit_request: other,
                };
                self.after(PEER_LATENCY_US, withdraw);
            }
        }
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.priority = priority;
        let attempt = state.attempt;
        let before = state.held.replace((home, permit));
        let was_moving = std::mem::take(&mut state.is_moving);
        self.by_permit.insert((home, permit), request);
        if let Some((old, old_permit)) = before {
            debug_assert!(was_moving, "only a move replaces a permit");
            self.by_permit.remove(&(old, old_permit));
            let old_engine = self.engine_of(old);
            self.engines[old_engine].cancel(request as u64);
            self.stats.moves += 1;
            self.after(
                PEER_LATENCY_US,
                Event::Released {
                    home: old,
                    permit: old_permit,
                },
            );
        }
        self.after(
            PEER_LATENCY_US,
            Event::Submit {
                engine,
                request,
                attempt,
            },
        );
    }

    pub(super) fn receive_refusal(&mut self, request: usize, permit_request: u64) {
        let state = &mut self.requests[request];
        let before = state.permit_requests.len();
        state
            .permit_requests
            .retain(|(other, _)| *other != permit_request);
        if state.permit_requests.len() == before
            || !state.permit_requests.is_empty()
            || state.has_ended
        {
            return;
        }
        if let Some(engine) = state.second_choice.take() {
            let only_now = state.is_moving;
            self.send_permit_request(request, engine, only_now);
            return;
        }
        if state.is_moving {
            state.is_moving = false;
            return;
        }
        if state.held.is_some() {
            return;
        }
        if state.out_tokens > 0 || state.was_retried {
            self.after(RESUMPTION_RETRY_DELAY_US, Event::RetryRequest(request));
            return;
        }
        state.has_ended = true;
        let waited_us = self.now_us - state.arrival.at_us;
        let stall = StatsCollector::open_stall_us(true, waited_us);
        let organisation = state.arrival.organisation;
        self.stats.refused += 1;
        self.stats.record_end(organisation, stall);
    }
}
