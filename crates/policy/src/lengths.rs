//! How long answers are: a decaying histogram for each organisation and service.
//!
//! Little history of one's own is filled up with the service's, and that with all services'
//! (shrinkage towards the parent), so that a newcomer starts sensibly.
//!
//! What is kept is, for each length, how many answers have come so far and how many of them ended
//! there (Kaplan and Meier's estimate). Whole answers alone would mislead whoever has just begun to
//! listen: the short ones are over first, and the long ones are those that engines' ends cut.

use std::collections::HashMap;

use crate::key::{Millis, OrganisationKey, ServiceKey};

const BUCKETS: usize = 64;
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Observations after which one's own history weighs as much as the parent's.
const PARENT_WEIGHT: f32 = 24.0;
/// History above this weight fades, so that a shift shows within about so many answers.
const MEMORY_WEIGHT: f32 = 400.0;
const HALF_LIFE_MS: f32 = 120_000.0;
/// Time alone never fades a history below this weight: a quiet night forgets nothing.
const FLOOR_WEIGHT: f32 = 60.0;
/// Chances below this are taken for it where something is divided by them.
pub(crate) const LEAST_CHANCE: f32 = 1e-6;

/// The chance that an answer is at least so long.
#[derive(Debug, Clone)]
pub struct SurvivalCurve {
    /// `survival[i]` is the chance of at least `2^(i/4)` tokens.
    survival: [f32; BUCKETS + 1],
    /// `rest_tokens[i]` is how much longer an answer of `2^(i/4)` tokens is expected to go on.
    rest_tokens: [f32; BUCKETS + 1],
}

fn position(length_tokens: f32) -> f32 {
    (length_tokens.max(1.0).log2() * BUCKETS_PER_DOUBLING).min(BUCKETS as f32 - 0.001)
}

fn bucket(length_tokens: u32) -> usize {
    position(length_tokens as f32) as usize
}

fn bucket_start_tokens(bucket: usize) -> f32 {
    (bucket as f32 / BUCKETS_PER_DOUBLING).exp2()
}

/// The expected rest at each bucket's start: the survival beyond it, added up, against that at it.
fn rests(survival: &[f32; BUCKETS + 1]) -> [f32; BUCKETS + 1] {
    let mut rest_tokens = [0.0; BUCKETS + 1];
    let mut beyond = 0.0;
    for index in (0..BUCKETS).rev() {
        let width_tokens = bucket_start_tokens(index + 1) - bucket_start_tokens(index);
        beyond += width_tokens * (survival[index] + survival[index + 1]) / 2.0;
        rest_tokens[index] = beyond / survival[index].max(LEAST_CHANCE);
    }
    rest_tokens
}

impl SurvivalCurve {
    /// Of answers of which nothing is known: each doubling from 4 to 4,096 tokens is held equally
    /// likely.
    pub(crate) fn unknown() -> Self {
        Self::from_density(&std::array::from_fn(|index| {
            if (8..48).contains(&index) { 1.0 } else { 0.001 }
        }))
    }

    fn from_density(density: &[f32; BUCKETS]) -> Self {
        let total: f32 = density.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut above = 0.0;
        for index in (0..BUCKETS).rev() {
            above += density[index] / total;
            survival[index] = above;
        }
        Self::from_survival(survival)
    }

    /// From the chance of an end in each bucket, for those that reach it.
    fn from_ends(chance: impl Fn(usize) -> f32) -> Self {
        let mut survival = [1.0; BUCKETS + 1];
        for index in 0..BUCKETS {
            survival[index + 1] = survival[index] * (1.0 - chance(index));
        }
        survival[BUCKETS] = 0.0;
        Self::from_survival(survival)
    }

    fn from_survival(survival: [f32; BUCKETS + 1]) -> Self {
        let rest_tokens = rests(&survival);
        Self {
            survival,
            rest_tokens,
        }
    }

    fn density(&self) -> [f32; BUCKETS] {
        std::array::from_fn(|index| self.survival[index] - self.survival[index + 1])
    }

    /// The chance of an answer of at least `length_tokens`.
    pub fn survival(&self, length_tokens: f32) -> f32 {
        if length_tokens <= 1.0 {
            return 1.0;
        }
        let at = position(length_tokens);
        let index = at as usize;
        let part = at - index as f32;
        let below = self.survival[index];
        below + (self.survival[index + 1] - below) * part
    }

    /// How much longer an answer is expected to go on that has reached `out_tokens`.
    pub fn expected_remaining(&self, out_tokens: f32) -> f32 {
        let at = position(out_tokens);
        let index = at as usize;
        let part = at - index as f32;
        let below = self.rest_tokens[index];
        below + (self.rest_tokens[index + 1] - below) * part
    }

    /// The whole length that a share `chance` of the answers exceed, of those that have reached
    /// `out_tokens` already.
    pub fn length_at(&self, out_tokens: f32, chance: f32) -> f32 {
        let target = self.survival(out_tokens) * chance;
        let start = position(out_tokens) as usize;
        for index in start..BUCKETS {
            let (high, low) = (self.survival[index], self.survival[index + 1]);
            if low <= target {
                let part = if high > low {
                    (high - target) / (high - low)
                } else {
                    0.0
                };
                let at = (index as f32 + part.clamp(0.0, 1.0)) / BUCKETS_PER_DOUBLING;
                return at.exp2().max(out_tokens + 1.0);
            }
        }
        (BUCKETS as f32 / BUCKETS_PER_DOUBLING).exp2()
    }

    /// The expected whole length of an answer that has reached `out_tokens`.
    pub fn expected(&self, out_tokens: f32) -> f32 {
        const SLICES: usize = 8;
        let sum: f32 = (0..SLICES)
            .map(|slice| self.length_at(out_tokens, (slice as f32 + 0.5) / SLICES as f32))
            .sum();
        sum / SLICES as f32
    }
}

/// What has been seen of answers' lengths.
#[derive(Debug)]
pub(crate) struct Histogram {
    /// Answers that were seen to come to each bucket and to leave it, ended there or beyond.
    reached: [f32; BUCKETS],
    /// Those that ended in it.
    ended: [f32; BUCKETS],
    weight: f32,
    faded_at_ms: Millis,
    curve: SurvivalCurve,
    expected_tokens: f32,
    unseen: u32,
}

impl Histogram {
    pub(crate) fn new(now_ms: Millis, parent: &SurvivalCurve) -> Self {
        Self {
            reached: [0.0; BUCKETS],
            ended: [0.0; BUCKETS],
            weight: 0.0,
            faded_at_ms: now_ms,
            curve: parent.clone(),
            expected_tokens: parent.expected(0.0),
            unseen: 0,
        }
    }

    /// What is known so far, by itself and by its parent.
    pub(crate) fn curve(&self) -> &SurvivalCurve {
        &self.curve
    }

    fn fade(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.faded_at_ms) as f32;
        self.faded_at_ms = now_ms;
        let by_time = (-age_ms / HALF_LIFE_MS).exp2();
        let floor = (FLOOR_WEIGHT / self.weight.max(FLOOR_WEIGHT)).min(1.0);
        let by_count = 1.0 - 1.0 / MEMORY_WEIGHT;
        let keep = by_time.max(floor).min(by_count);
        let counts = self.reached.iter_mut().chain(&mut self.ended);
        counts.for_each(|count| *count *= keep);
        self.weight *= keep;
    }

    /// An answer that had `from_tokens` when it was last seen has come to `to_tokens` and goes on.
    pub(crate) fn advance(&mut self, from_tokens: u32, to_tokens: u32) {
        let passed = bucket(from_tokens)..bucket(to_tokens);
        for count in self.reached.get_mut(passed).into_iter().flatten() {
            *count += 1.0;
        }
    }

    /// An answer that had `from_tokens` when it was last seen has ended at `length_tokens`.
    pub(crate) fn end(
        &mut self,
        now_ms: Millis,
        from_tokens: u32,
        length_tokens: u32,
        parent: &SurvivalCurve,
    ) {
        self.fade(now_ms);
        self.advance(from_tokens, length_tokens);
        let last = bucket(length_tokens);
        self.reached[last] += 1.0;
        self.ended[last] += 1.0;
        self.weight += 1.0;
        self.unseen += 1;
        let due = (self.weight / 32.0) as u32;
        if self.unseen > due {
            self.refresh(parent);
        }
    }

    fn refresh(&mut self, parent: &SurvivalCurve) {
        let of_parent = parent.density();
        self.curve = SurvivalCurve::from_ends(|index| {
            let ended = self.ended[index] + PARENT_WEIGHT * of_parent[index];
            let reached = self.reached[index] + PARENT_WEIGHT * parent.survival[index];
            (ended / reached.max(LEAST_CHANCE)).min(1.0)
        });
        self.expected_tokens = self.curve.expected(0.0);
        self.unseen = 0;
    }
}

/// The lengths that a home has seen.
#[derive(Debug)]
pub struct Lengths {
    all: Histogram,
    by_service: HashMap<ServiceKey, Histogram>,
    by_caller: HashMap<(OrganisationKey, ServiceKey), Histogram>,
    start: SurvivalCurve,
}

impl Default for Lengths {
    fn default() -> Self {
        Self::new()
    }
}

impl Lengths {
    /// No history.
    pub fn new() -> Self {
        let start = SurvivalCurve::unknown();
        Self {
            all: Histogram::new(0, &start),
            by_service: HashMap::new(),
            by_caller: HashMap::new(),
            start,
        }
    }

    /// Takes in the whole length of a finished answer.
    pub fn record(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        service: ServiceKey,
        length_tokens: u32,
    ) {
        self.all.end(now_ms, 0, length_tokens, &self.start);
        let of_service = self
            .by_service
            .entry(service)
            .or_insert_with(|| Histogram::new(now_ms, &self.all.curve));
        of_service.end(now_ms, 0, length_tokens, &self.all.curve);
        let own = self
            .by_caller
            .entry((organisation, service))
            .or_insert_with(|| Histogram::new(now_ms, &of_service.curve));
        own.end(now_ms, 0, length_tokens, &of_service.curve);
    }

    /// The best known curve for a caller.
    pub fn curve(&self, organisation: OrganisationKey, service: ServiceKey) -> &SurvivalCurve {
        &self.histogram(organisation, service).curve
    }

    /// The expected whole length of a fresh answer.
    pub fn expected(&self, organisation: OrganisationKey, service: ServiceKey) -> f32 {
        self.histogram(organisation, service).expected_tokens
    }

    fn histogram(&self, organisation: OrganisationKey, service: ServiceKey) -> &Histogram {
        self.by_caller
            .get(&(organisation, service))
            .or_else(|| self.by_service.get(&service))
            .unwrap_or(&self.all)
    }
}
