//! A step-based engine model: continuous batching, limited memory, priorities, a prefix cache.
//!
//! It has no clock; each step returns its duration. docs/STANDIN-engine.md states the rules.

use std::collections::VecDeque;

/// Capacity and timing of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// KV cache capacity for prompts and generated tokens.
    pub memory_tokens: u32,
    /// Maximum number of generations in a batch.
    pub batch_limit: usize,
    /// Base time of a step.
    pub step_ms: f64,
    /// Additional time per step for each generation in the batch.
    pub sequence_ms: f64,
    /// Additional time for each prompt token that is prefilled.
    pub prompt_ms_per_token: f64,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub prompt_chunk_tokens: u32,
    /// Capacity of the prefix cache, in prefixes.
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
    /// Identifier that the events of this job carry.
    pub id: u64,
    /// Hash of the shared prefix of the prompt.
    pub prefix: u64,
    /// Number of tokens in the shared prefix.
    pub prefix_tokens: u32,
    /// Number of prompt tokens, including the shared prefix.
    pub prompt_tokens: u32,
    /// Number of tokens generated so far.
    pub out_tokens: u32,
    /// Length of the complete answer.
    pub length_tokens: u32,
    /// Jobs of higher priority are admitted first and preempted last.
    pub priority: i32,
}

/// An event of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// The job.
        id: u64,
        /// Index of the token in the answer.
        index: u32,
    },
    /// The answer is complete.
    Done {
        /// The job.
        id: u64,
    },
    /// The job was preempted because memory was full. Its KV cache will be recomputed.
    Preempted {
        /// The job.
        id: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct RunningJob {
    job: Job,
    remaining_prompt_tokens: u32,
}

impl RunningJob {
    fn used_tokens(&self) -> u32 {
        self.job.prompt_tokens + self.job.out_tokens
    }
}

/// The engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    running: Vec<RunningJob>,
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

    /// Capacity and timing of the engine.
    pub fn spec(&self) -> EngineSpec {
        self.spec
    }

    /// Queues a job, which is admitted to the batch once memory is free.
    pub fn submit(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Removes a job; returns whether it was running or waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(index) = self.running.iter().position(|entry| entry.job.id == id) {
            self.used_tokens -= self.running.remove(index).used_tokens();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|job| job.id != id);
        self.waiting.len() < before
    }

    /// Number of jobs in the batch.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of queued jobs.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// KV cache usage.
    pub fn used_tokens(&self) -> u32 {
        self.used_tokens
    }

    /// Number of preemptions since the start.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Whether a prefix is cached.
    pub fn is_cached(&self, prefix: u64) -> bool {
        self.cache.contains(&prefix)
    }

    /// Runs one step and returns its duration in milliseconds; 0 if there are no jobs.
    pub fn step(&mut self, events: &mut Vec<EngineEvent>) -> f64 {
        self.admit();
        if self.running.is_empty() {
            return 0.0;
        }
        let computed = self.prefill();
        self.preempt(events);
        let batch = self.running.len();
        self.decode(events);
        self.spec.step_ms
            + self.spec.sequence_ms * batch as f64
            + self.spec.prompt_ms_per_token * f64::from(computed)
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.batch_limit {
            let next = self
                .waiting
                .iter()
                .enumerate()
                .max_by_key(|(index, job)| (job.priority, std::cmp::Reverse(*index)));
            let Some((index, job)) = next.map(|(index, job)| (index, *job)) else {
                break;
            };
            let used_tokens = job.prompt_tokens + job.out_tokens;
            let needed = self.used_tokens + used_tokens + self.running.len() as u32 + 1;
            if needed > self.spec.memory_tokens && !self.running.is_empty() {
                break;
            }
            self.waiting.remove(index);
            self.used_tokens += used_tokens;
            let cached = if self.touch_prefix(job.prefix) {
                job.prefix_tokens
            } else {
                0
            };
            self.running.push(RunningJob {
                job,
                remaining_prompt_tokens: (used_tokens - cached.min(used_tokens)).max(1),
            });
        }
    }

    /// Moves a prefix to the front of the LRU cache; returns whether it was cached.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let position = self.cache.iter().position(|entry| *entry == prefix);
        if let Some(index) = position {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.spec.cached_prefixes);
        position.is_some()
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.spec.prompt_chunk_tokens;
        for running in &mut self.running {
            let chunk = running.remaining_prompt_tokens.min(budget);
            running.remaining_prompt_tokens -= chunk;
            budget -= chunk;
        }
        self.spec.prompt_chunk_tokens - budget
    }

    /// Preempts jobs of the lowest priority until the others have memory for their next tokens.
    fn preempt(&mut self, events: &mut Vec<EngineEvent>) {
        while self.used_tokens + self.running.len() as u32 > self.spec.memory_tokens
            && self.running.len() > 1
        {
            let lowest = self
                .running
                .iter()
                .enumerate()
                .min_by_key(|(index, entry)| (entry.job.priority, std::cmp::Reverse(*index)))
                .map_or(0, |(index, _)| index);
            let preempted = self.running.remove(lowest);
            self.used_tokens -= preempted.used_tokens();
            self.preemptions += 1;
            events.push(EngineEvent::Preempted {
                id: preempted.job.id,
            });
            self.waiting.push_front(preempted.job);
        }
    }

    fn decode(&mut self, events: &mut Vec<EngineEvent>) {
        let used = &mut self.used_tokens;
        self.running.retain_mut(|running| {
            if running.remaining_prompt_tokens > 0 {
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
            *used -= running.used_tokens();
            false
        });
    }
}
