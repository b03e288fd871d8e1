//! Engines: steps, load reports, progress and loss.

use fulmarpath_policy::EngineLoad;
use fulmarpath_standin::{EngineEvent, Job};

use super::super::policies::PolicyName;
use super::event::Event;
use super::{LOSS_DETECTION_US, PEER_LATENCY_US, World, permit_bits, permit_key};

impl World<'_> {
    pub(super) fn submit(&mut self, engine: usize, request: usize, attempt: u32) {
        let state = &self.requests[request];
        if state.attempt != attempt || state.has_ended {
            return;
        }
        if self.is_lost[engine] {
            self.after(LOSS_DETECTION_US, Event::RetryRequest(request));
            return;
        }
        let priority = if self.settings.policy == PolicyName::Fulmarpath {
            state.priority
        } else {
            0
        };
        let arrival = state.arrival;
        self.engines[engine].submit(Job {
            id: request as u64,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
            prompt_tokens: arrival.prompt_tokens,
            out_tokens: state.out_tokens,
            length_tokens: arrival.length_tokens,
            priority,
        });
        if !self.settings.policy.admits() {
            self.requests[request].held = Some((engine, 0));
        }
        if !self.is_stepping[engine] {
            self.start_step(engine);
        }
    }

    pub(super) fn start_step(&mut self, engine: usize) {
        let mut events = std::mem::take(&mut self.step_events[engine]);
        events.clear();
        let step_ms = self.engines[engine].step(&mut events);
        self.step_events[engine] = events;
        self.is_stepping[engine] = step_ms > 0.0;
        if step_ms > 0.0 {
            self.after((step_ms * 1_000.0) as u64, Event::StepDone(engine));
        }
    }

    pub(super) fn finish_step(&mut self, engine: usize) {
        if self.is_lost[engine] {
            return;
        }
        let events = std::mem::take(&mut self.step_events[engine]);
        for event in &events {
            match *event {
                EngineEvent::Token { id, index } => self.record_token(engine, id as usize, index),
                EngineEvent::Done { id } => self.complete(engine, id as usize),
                EngineEvent::Preempted { id } => {
                    let organisation = self.requests[id as usize].arrival.organisation;
                    self.stats.record_preemption(organisation);
                }
            }
        }
        self.step_events[engine] = events;
        self.start_step(engine);
    }

    pub(super) fn runs_on(&self, engine: usize, request: usize) -> bool {
        let state = &self.requests[request];
        !state.has_ended
            && state
                .held
                .is_some_and(|(held, _)| self.engine_of(held) == engine)
    }

    pub(super) fn record_token(&mut self, engine: usize, request: usize, index: u32) {
        if !self.runs_on(engine, request) {
            return;
        }
        let now_us = self.now_us;
        let state = &mut self.requests[request];
        if index < state.out_tokens {
            return;
        }
        assert_eq!(index, state.out_tokens, "a token must be the next one");
        state.out_tokens += 1;
        let stall = match state.last_token_us.replace(now_us) {
            None => self.stats.record_first_token(now_us - state.arrival.at_us),
            Some(last_token_us) => self
                .stats
                .record_gap(state.arrival.organisation, now_us - last_token_us),
        };
        state.stall_us += stall;
    }

    pub(super) fn complete(&mut self, engine: usize, request: usize) {
        if !self.runs_on(engine, request) {
            return;
        }
        let state = &mut self.requests[request];
        state.has_ended = true;
        let (organisation, stall, length) = (
            state.arrival.organisation,
            state.stall_us,
            state.arrival.length_tokens,
        );
        let held = state.held.take();
        self.stats.done += 1;
        self.stats.tokens_done += u64::from(length);
        self.stats.record_end(organisation, stall);
        if let Some((home, permit)) = held.filter(|_| self.settings.policy.admits()) {
            self.by_permit.remove(&(home, permit));
            self.after(
                PEER_LATENCY_US,
                Event::Finished {
                    home,
                    permit,
                    length,
                },
            );
        }
    }

    pub(super) fn receive_report(&mut self, engine: usize, used: u32, running: u32, waiting: u32) {
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

    /// Entry hosts report the progress of their permits and start the moves that homes request.
    pub(super) fn report_progress(&mut self) {
        self.after(
            self.settings.tuning.progress_ms * 1_000,
            Event::ReportProgress,
        );
        if !self.settings.policy.admits() {
            return;
        }
        let now_ms = self.now_ms();
        for index in 0..self.requests.len() {
            let state = &self.requests[index];
            if let Some((home, permit)) = state.held.filter(|_| !state.has_ended) {
                self.homes[home].progress(now_ms, permit_key(permit), state.out_tokens);
            }
        }
        for (home, permit) in std::mem::take(&mut self.requested_moves) {
            let held = (home, permit_bits(permit));
            let Some(request) = self.by_permit.get(&held).copied() else {
                continue;
            };
            let state = &mut self.requests[request];
            if !state.is_moving && state.out_tokens > 0 && !state.has_ended {
                state.is_moving = true;
                self.request_permit(request, true);
            }
        }
    }

    pub(super) fn lose_engine(&mut self, engine: usize) {
        self.is_lost[engine] = true;
        self.is_stepping[engine] = false;
        for index in 0..self.requests.len() {
            if !self.runs_on(engine, index) {
                continue;
            }
            let state = &mut self.requests[index];
            let held = state.held.take();
            state.attempt += 1;
            state.was_retried = true;
            if let Some((home, permit)) = held.filter(|_| self.settings.policy.admits()) {
                self.by_permit.remove(&(home, permit));
                self.after(LOSS_DETECTION_US, Event::Released { home, permit });
            }
            self.after(LOSS_DETECTION_US, Event::RetryRequest(index));
        }
    }
}
