//! Simulated engine: continuous batching, chunked prefill, and preemption when memory runs out.

use std::collections::VecDeque;

use fulmarpath_policy::EngineCapacity;

use super::cells::CellIndex;
use super::machine::Machine;

const STEP_BASE_MS: f64 = 7.0;
const STEP_MS_PER_SEQUENCE: f64 = 0.12;
const PREFILL_TOKENS_PER_MS: f64 = 14.0;
const PREFILL_CHUNK_TOKENS: u32 = 112;

/// A generation on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) run: usize,
    pub(super) prompt_tokens: u32,
    pub(super) out_tokens: u32,
    pub(super) length_tokens: u32,
    /// Tokens that are still to be prefilled before decoding starts or resumes.
    pub(super) prefill_tokens_left: u32,
    pub(super) is_long: bool,
}

impl Job {
    pub(super) fn held_tokens(&self) -> u32 {
        self.prompt_tokens + self.out_tokens
    }
}

/// Result of one step for one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepOutput {
    Token(usize),
    Done(usize),
    /// Its memory was freed; this many tokens have to be prefilled again.
    Preempted(usize, u32),
}

/// Where an engine is and what it can hold. Its replacement has the same.
#[derive(Debug, Clone, Copy)]
pub(super) struct Site {
    pub(super) data_centre: u64,
    pub(super) cell: CellIndex,
    pub(super) capacity: EngineCapacity,
    /// Duration of a step relative to the usual one.
    pub(super) step_factor: f64,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) site: Site,
    machine: Machine,
    pub(super) epoch: u32,
    pub(super) is_stepping: bool,
    pub(super) stops_at_us: Option<u64>,
    pub(super) is_gone: bool,
    /// When the link has finished the transfers queued on it.
    pub(super) link_free_us: u64,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    /// Copies of generations of other engines: run, tokens, expiry in µs.
    copies: Vec<(usize, u32, u64)>,
}

impl Engine {
    pub(super) fn new(site: Site, machine: Machine) -> Self {
        Self {
            site,
            machine,
            epoch: 0,
            is_stepping: false,
            stops_at_us: None,
            is_gone: false,
            link_free_us: 0,
            queue: VecDeque::new(),
            batch: Vec::new(),
            copies: Vec::new(),
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Resumes a generation from its copy, ahead of the queue.
    pub(super) fn resume(&mut self, job: Job) {
        self.drop_copy(job.run);
        self.batch.push(job);
    }

    pub(super) fn put_copy(&mut self, run: usize, tokens: u32, until_us: u64) {
        self.drop_copy(run);
        self.copies.push((run, tokens, until_us));
    }

    pub(super) fn drop_copy(&mut self, run: usize) {
        self.copies.retain(|(held, _, _)| *held != run);
    }

    pub(super) fn grow_copy(&mut self, run: usize, tokens: u32) {
        let copy = self.copies.iter_mut().find(|(held, _, _)| *held == run);
        if let Some(copy) = copy {
            copy.1 = tokens;
        }
    }

    /// Tokens of this engine's copy of a run; 0 without one.
    pub(super) fn copied_tokens(&self, run: usize) -> u32 {
        let copy = self.copies.iter().find(|(held, _, _)| *held == run);
        copy.map_or(0, |(_, tokens, _)| *tokens)
    }

    /// Removes a generation from the batch with its progress.
    pub(super) fn remove(&mut self, run: usize) -> Option<Job> {
        let index = self.batch.iter().position(|job| job.run == run)?;
        Some(self.batch.remove(index))
    }

    pub(super) fn find(&self, run: usize) -> Option<&Job> {
        self.batch.iter().find(|job| job.run == run)
    }

    /// Removes all generations and copies, and returns the runs of the generations.
    pub(super) fn drain_runs(&mut self) -> Vec<usize> {
        self.copies.clear();
        let all = self.queue.drain(..).chain(self.batch.drain(..));
        all.map(|job| job.run).collect()
    }

    pub(super) fn used_tokens(&self) -> u32 {
        let held: u32 = self.batch.iter().map(Job::held_tokens).sum();
        held + self.copies.iter().map(|(_, tokens, _)| tokens).sum::<u32>()
    }

    pub(super) fn has_memory(&self, tokens: u32) -> bool {
        self.used_tokens() + tokens <= self.site.capacity.memory_tokens
    }

    /// Admits queued generations that fit and returns the duration of the next step in ms, or
    /// `None` if the batch is empty.
    pub(super) fn begin_step(&mut self, now_us: u64) -> Option<f64> {
        self.copies.retain(|(_, _, until_us)| *until_us > now_us);
        while self.batch.len() < self.site.capacity.slots as usize {
            let fits = |job: &Job| self.has_memory(job.held_tokens());
            if !self.queue.front().is_some_and(fits) {
                break;
            }
            self.batch.extend(self.queue.pop_front());
        }
        if self.batch.is_empty() {
            return None;
        }
        let prefilling = self.batch.iter().find(|job| job.prefill_tokens_left > 0);
        let chunk = prefilling.map_or(0, |job| job.prefill_tokens_left.min(PREFILL_CHUNK_TOKENS));
        let batch_ms = STEP_BASE_MS + STEP_MS_PER_SEQUENCE * self.batch.len() as f64;
        let chunk_ms = f64::from(chunk) / PREFILL_TOKENS_PER_MS;
        Some((batch_ms + chunk_ms) * self.machine.step_factor_at(now_us))
    }

    /// Advances prefill by one chunk and each decoding generation by one token.
    pub(super) fn end_step(&mut self) -> Vec<StepOutput> {
        let mut outputs = Vec::new();
        let prefilling = self
            .batch
            .iter()
            .position(|job| job.prefill_tokens_left > 0);
        for (index, job) in self.batch.iter_mut().enumerate() {
            if job.prefill_tokens_left > 0 {
                if Some(index) == prefilling {
                    job.prefill_tokens_left -= job.prefill_tokens_left.min(PREFILL_CHUNK_TOKENS);
                }
                continue;
            }
            job.out_tokens += 1;
            outputs.push(match job.out_tokens >= job.length_tokens {
                true => StepOutput::Done(job.run),
                false => StepOutput::Token(job.run),
            });
        }
        self.batch.retain(|job| job.out_tokens < job.length_tokens);
        self.preempt(&mut outputs);
        outputs
    }

    /// Preempts the newest long generation, or else the newest, while memory is exceeded.
    fn preempt(&mut self, outputs: &mut Vec<StepOutput>) {
        while self.used_tokens() > self.site.capacity.memory_tokens && self.batch.len() > 1 {
            let newest_long = self.batch.iter().rposition(|job| job.is_long);
            let index = newest_long.unwrap_or(self.batch.len() - 1);
            let mut job = self.batch.remove(index);
            job.prefill_tokens_left = job.held_tokens();
            outputs.push(StepOutput::Preempted(job.run, job.held_tokens()));
            self.queue.push_front(job);
        }
    }
}
