//! A small engine in steps: continuous batching, limited memory, priorities, a prefix cache.
//!
//! It has no clock. Each step says how long it takes; docs/STANDIN-engine.md states the rules.

use std::collections::VecDeque;

/// What an engine is like.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Generations in one batch.
    pub batch_limit: usize,
    /// Time of a step, whatever it does.
    pub step_ms: f64,
    /// More for each generation in the batch.
    pub sequence_ms: f64,
    /// More for each prompt token computed.
    pub prompt_ms_per_token: f64,
    /// Prompt tokens computed in one step.
    pub prompt_chunk_tokens: u32,
    /// Cached prefixes.
    pub cached_prefixes: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            memory_tokens: 30_000,
            batch_limit: 64,
            step_ms: 12.0,
            sequence_ms: 0.35,
            prompt_ms_per_token: 0.08,
            prompt_chunk_tokens: 2_048,
            cached_prefixes: 32,
        }
    }
}

/// One generation on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// Names it to whoever drives the engine.
    pub id: u64,
    /// Hash of the prompt's shared beginning.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub prefix_tokens: u32,
    /// Prompt tokens, the beginning with them.
    pub prompt_tokens: u32,
    /// Tokens that are out already.
    pub out_tokens: u32,
    /// The whole answer's length.
    pub length_tokens: u32,
    /// Higher starts first and is paused last.
    pub priority: i32,
}

/// What a step did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token is out.
    Token {
        /// The job.
        id: u64,
        /// Its place in the answer.
        index: u32,
    },
    /// The answer is whole.
    Done {
        /// The job.
        id: u64,
    },
    /// Memory was full: the job was paused and will be computed anew.
    Preempted {
        /// The job.
        id: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Running {
    job: Job,
    prompt_left: u32,
}

impl Running {
    fn held(&self) -> u32 {
        self.job.prompt_tokens + self.job.out_tokens
    }
}

/// The engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    cache: VecDeque<u64>,
    used_tokens: u32,
    preemptions: u64,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            used_tokens: 0,
            preemptions: 0,
        }
    }

    /// What the engine is like.
    pub fn spec(&self) -> EngineSpec {
        self.spec
    }

    /// Takes a job; it waits inside the engine until memory is free.
    pub fn submit(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Drops a job; true where it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(index) = self.running.iter().position(|one| one.job.id == id) {
            self.used_tokens -= self.running.remove(index).held();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|job| job.id != id);
        self.waiting.len() < before
    }

    /// Jobs in the batch.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Jobs that wait inside the engine.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Memory in use.
    pub fn used_tokens(&self) -> u32 {
        self.used_tokens
    }

    /// Pauses since the start.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Whether a prefix is cached.
    pub fn is_cached(&self, prefix: u64) -> bool {
        self.cache.contains(&prefix)
    }

    /// Does one step and says how long it took; 0 where there is nothing to do.
    pub fn step(&mut self, events: &mut Vec<EngineEvent>) -> f64 {
        self.admit();
        if self.running.is_empty() {
            return 0.0;
        }
        let computed = self.compute_prompts();
        self.make_room(events);
        let batch = self.running.len();
        self.decode(events);
        self.spec.step_ms
            + self.spec.sequence_ms * batch as f64
            + self.spec.prompt_ms_per_token * f64::from(computed)
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.batch_limit {
            let best = self
                .waiting
                .iter()
                .enumerate()
                .max_by_key(|(index, job)| (job.priority, std::cmp::Reverse(*index)));
            let Some((index, job)) = best.map(|(index, job)| (index, *job)) else {
                break;
            };
            let held = job.prompt_tokens + job.out_tokens;
            let after = self.used_tokens + held + self.running.len() as u32 + 1;
            if after > self.spec.memory_tokens && !self.running.is_empty() {
                break;
            }
            self.waiting.remove(index);
            self.used_tokens += held;
            let cached = if self.touch(job.prefix) {
                job.prefix_tokens
            } else {
                0
            };
            self.running.push(Running {
                job,
                prompt_left: (held - cached.min(held)).max(1),
            });
        }
    }

    /// Notes the use of a prefix; true where it was cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let known = self.cache.iter().position(|one| *one == prefix);
        if let Some(index) = known {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.spec.cached_prefixes);
        known.is_some()
    }

    fn compute_prompts(&mut self) -> u32 {
        let mut budget = self.spec.prompt_chunk_tokens;
        for running in &mut self.running {
            let part = running.prompt_left.min(budget);
            running.prompt_left -= part;
            budget -= part;
        }
        self.spec.prompt_chunk_tokens - budget
    }

    /// Pauses the least important jobs until each other one has memory for its next token.
    fn make_room(&mut self, events: &mut Vec<EngineEvent>) {
        while self.used_tokens + self.running.len() as u32 > self.spec.memory_tokens
            && self.running.len() > 1
        {
            let last = self
                .running
                .iter()
                .enumerate()
                .min_by_key(|(index, one)| (one.job.priority, std::cmp::Reverse(*index)))
                .map_or(0, |(index, _)| index);
            let paused = self.running.remove(last);
            self.used_tokens -= paused.held();
            self.preemptions += 1;
            events.push(EngineEvent::Preempted { id: paused.job.id });
            self.waiting.push_front(paused.job);
        }
    }

    fn decode(&mut self, events: &mut Vec<EngineEvent>) {
        let used = &mut self.used_tokens;
        self.running.retain_mut(|running| {
            if running.prompt_left > 0 {
                return true;
            }
            let job = &mut running.job;
            events.push(EngineEvent::Token {
                id: job.id,
                index: job.out_tokens,
            });
            job.out_tokens += 1;
            *used += 1;
            if job.out_tokens < job.length_tokens {
                return true;
            }
            events.push(EngineEvent::Done { id: job.id });
            *used -= running.held();
            false
        });
    }
}
