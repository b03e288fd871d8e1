//! An engine: a batch that steps together, prompts read in chunks, memory that runs out.

use std::collections::VecDeque;

use fulmarpath_policy::EngineCapacity;

/// The users' figures of an engine of the grown deployments.
pub(super) const FIGURES: EngineCapacity = EngineCapacity {
    memory_tokens: 21_874,
    slots: 24,
    token_bytes: 18_432,
    link_mbps: 2_700.0,
    copy_ttl_ms: 5_000,
};
const STEP_MS: f64 = 7.0;
const STEP_MS_EACH: f64 = 0.12;
const STEP_MS_EACH_1000: f64 = 0.004;
const PREFILL_TOKENS_PER_MS: f64 = 14.0;
const CHUNK_TOKENS: u32 = 112;

/// A generation on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) run: usize,
    pub(super) prompt_tokens: u32,
    pub(super) out_tokens: u32,
    pub(super) length_tokens: u32,
    /// Tokens that are still to be read before it goes on.
    pub(super) unread_tokens: u32,
    pub(super) is_long: bool,
}

impl Job {
    pub(super) fn held_tokens(&self) -> u32 {
        self.prompt_tokens + self.out_tokens
    }
}

/// What a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Made {
    Token(usize),
    Done(usize),
    /// Its memory was taken; so many tokens are read again.
    Preempted(usize, u32),
}

/// One engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    pub(super) data_centre: u64,
    pub(super) series: u32,
    pub(super) is_stepping: bool,
    pub(super) gone_at_us: Option<u64>,
    pub(super) is_gone: bool,
    /// When its link has done what was given to it.
    pub(super) link_free_us: u64,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    /// Copies of others' memory: which run's, how much, until when at the most.
    copies: Vec<(usize, u32, u64)>,
}

impl Engine {
    pub(super) fn new(data_centre: u64) -> Self {
        Self {
            data_centre,
            ..Self::default()
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// A generation goes on from a copy: it is let in first.
    pub(super) fn resume(&mut self, job: Job) {
        self.drop_copy(job.run);
        self.batch.push(job);
    }

    pub(super) fn copy(&mut self, run: usize, tokens: u32, until_us: u64) {
        self.drop_copy(run);
        self.copies.push((run, tokens, until_us));
    }

    pub(super) fn drop_copy(&mut self, run: usize) {
        self.copies.retain(|(one, _, _)| *one != run);
    }

    pub(super) fn grow_copy(&mut self, run: usize, tokens: u32) {
        let copy = self.copies.iter_mut().find(|(one, _, _)| *one == run);
        if let Some(copy) = copy {
            copy.1 = tokens;
        }
    }

    /// What a copy holds here.
    pub(super) fn copied_tokens(&self, run: usize) -> u32 {
        let copy = self.copies.iter().find(|(one, _, _)| *one == run);
        copy.map_or(0, |(_, tokens, _)| *tokens)
    }

    /// Takes a generation off it, with what it has.
    pub(super) fn take(&mut self, run: usize) -> Option<Job> {
        let place = self.batch.iter().position(|job| job.run == run)?;
        Some(self.batch.remove(place))
    }

    pub(super) fn find(&self, run: usize) -> Option<&Job> {
        self.batch.iter().find(|job| job.run == run)
    }

    /// Everything that is on it, as it ends.
    pub(super) fn clear(&mut self) -> Vec<usize> {
        self.copies.clear();
        let all = self.queue.drain(..).chain(self.batch.drain(..));
        all.map(|job| job.run).collect()
    }

    pub(super) fn used_tokens(&self) -> u32 {
        let held: u32 = self.batch.iter().map(Job::held_tokens).sum();
        held + self.copies.iter().map(|(_, tokens, _)| tokens).sum::<u32>()
    }

    pub(super) fn has_room(&self, tokens: u32) -> bool {
        self.used_tokens() + tokens <= FIGURES.memory_tokens
    }

    /// Lets in what fits; how long the next step takes, or `None` where there is nothing to do.
    pub(super) fn begin_step(&mut self, now_us: u64) -> Option<f64> {
        self.copies.retain(|(_, _, until_us)| *until_us > now_us);
        while self.batch.len() < FIGURES.slots as usize {
            let fits = |job: &Job| self.has_room(job.held_tokens());
            if !self.queue.front().is_some_and(fits) {
                break;
            }
            self.batch.extend(self.queue.pop_front());
        }
        if self.batch.is_empty() {
            return None;
        }
        let context: u32 = self.batch.iter().map(Job::held_tokens).sum();
        let unread = self.batch.iter().find(|job| job.unread_tokens > 0);
        let chunk = unread.map_or(0, |job| job.unread_tokens.min(CHUNK_TOKENS));
        let batch_ms = STEP_MS + STEP_MS_EACH * self.batch.len() as f64;
        let context_ms = STEP_MS_EACH_1000 * f64::from(context) / 1_000.0;
        Some(batch_ms + context_ms + f64::from(chunk) / PREFILL_TOKENS_PER_MS)
    }

    /// The step is over.
    pub(super) fn end_step(&mut self) -> Vec<Made> {
        let mut made = Vec::new();
        let reading = self.batch.iter().position(|job| job.unread_tokens > 0);
        for (place, job) in self.batch.iter_mut().enumerate() {
            if job.unread_tokens > 0 {
                if Some(place) == reading {
                    job.unread_tokens -= job.unread_tokens.min(CHUNK_TOKENS);
                }
                continue;
            }
            job.out_tokens += 1;
            made.push(match job.out_tokens >= job.length_tokens {
                true => Made::Done(job.run),
                false => Made::Token(job.run),
            });
        }
        self.batch.retain(|job| job.out_tokens < job.length_tokens);
        self.preempt(&mut made);
        made
    }

    /// Where memory has run out the newest of the less urgent gives its own up.
    fn preempt(&mut self, made: &mut Vec<Made>) {
        while self.used_tokens() > FIGURES.memory_tokens && self.batch.len() > 1 {
            let newest_long = self.batch.iter().rposition(|job| job.is_long);
            let place = newest_long.unwrap_or(self.batch.len() - 1);
            let mut job = self.batch.remove(place);
            job.unread_tokens = job.held_tokens();
            made.push(Made::Preempted(job.run, job.held_tokens()));
            self.queue.push_front(job);
        }
    }
}
