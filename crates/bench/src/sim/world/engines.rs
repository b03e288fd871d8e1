//! What engines make, report and lose.

use fulmarpath_policy::EngineLoad;
use fulmarpath_standin::{EngineEvent, Job};

use super::super::policies::PolicyName;
use super::event::Event;
use super::{NOTICE_US, PEER_US, World, permit_bits, permit_key};

impl World<'_> {
    pub(super) fn submit(&mut self, engine: usize, request: usize, attempt: u32) {
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

    pub(super) fn start_step(&mut self, engine: usize) {
        let mut events = std::mem::take(&mut self.pending[engine]);
        events.clear();
        let step_ms = self.engines[engine].step(&mut events);
        self.pending[engine] = events;
        self.stepping[engine] = step_ms > 0.0;
        if step_ms > 0.0 {
            self.after((step_ms * 1_000.0) as u64, Event::StepDone(engine));
        }
    }

    pub(super) fn step_done(&mut self, engine: usize) {
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

    pub(super) fn runs_on(&self, engine: usize, request: usize) -> bool {
        let one = &self.requests[request];
        !one.ended
            && one
                .held
                .is_some_and(|(held, _)| self.engine_of(held) == engine)
    }

    pub(super) fn token(&mut self, engine: usize, request: usize, index: u32) {
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

    pub(super) fn done(&mut self, engine: usize, request: usize) {
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

    pub(super) fn reported(&mut self, engine: usize, used: u32, running: u32, waiting: u32) {
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
    pub(super) fn progress(&mut self) {
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

    pub(super) fn lose(&mut self, engine: usize) {
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
