//! Distribution of output lengths: a decaying histogram for each organisation and service.
//!
//! A short history is blended with that of the service, and this with that of all services
//! (shrinkage towards the parent), so that new organisations start with a sensible estimate.
//!
//! For each length the histogram counts how many outputs reached it and how many ended there
//! (Kaplan-Meier estimator). Complete outputs alone would bias the estimate of a host that has
//! just started: short outputs complete first, and long ones are more often cut by an engine
//! failure.

use std::collections::HashMap;

use crate::key::{Millis, OrganisationKey, ServiceKey};

const BUCKETS: usize = 64;
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Number of observations at which a histogram's own history weighs as much as the parent's.
const PARENT_WEIGHT: f32 = 24.0;
/// History above this weight decays, so that a shift shows within about as many outputs.
const MAX_WEIGHT: f32 = 400.0;
const HALF_LIFE_MS: f32 = 120_000.0;
/// Decay over time stops at this weight, so that an idle night does not erase the history.
const MIN_DECAYED_WEIGHT: f32 = 60.0;
/// Lower bound for probabilities used as a divisor.
pub(crate) const MIN_PROBABILITY: f32 = 1e-6;

/// Probability that an output reaches a length, as a survival function.
#[derive(Debug, Clone)]
pub struct SurvivalCurve {
    /// `survival[i]` is the probability of at least `2^(i/4)` tokens.
    survival: [f32; BUCKETS + 1],
    /// `remaining_tokens[i]` is the expected number of further tokens after `2^(i/4)` tokens.
    remaining_tokens: [f32; BUCKETS + 1],
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

/// Expected remaining tokens at the start of each bucket: the integral of the survival beyond it,
/// divided by the survival at it.
fn expected_remaining_by_bucket(survival: &[f32; BUCKETS + 1]) -> [f32; BUCKETS + 1] {
    let mut remaining_tokens = [0.0; BUCKETS + 1];
    let mut beyond = 0.0;
    for index in (0..BUCKETS).rev() {
        let width_tokens = bucket_start_tokens(index + 1) - bucket_start_tokens(index);
        beyond += width_tokens * (survival[index] + survival[index + 1]) / 2.0;
        remaining_tokens[index] = beyond / survival[index].max(MIN_PROBABILITY);
    }
    remaining_tokens
}

impl SurvivalCurve {
    /// The prior without observations: each doubling from 4 to 4,096 tokens is equally likely.
    pub(crate) fn prior() -> Self {
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

    /// Builds the curve from the hazard of each bucket: the probability of ending in it, given that
    /// it was reached.
    fn from_hazard(hazard: impl Fn(usize) -> f32) -> Self {
        let mut survival = [1.0; BUCKETS + 1];
        for index in 0..BUCKETS {
            survival[index + 1] = survival[index] * (1.0 - hazard(index));
        }
        survival[BUCKETS] = 0.0;
        Self::from_survival(survival)
    }

    fn from_survival(survival: [f32; BUCKETS + 1]) -> Self {
        let remaining_tokens = expected_remaining_by_bucket(&survival);
        Self {
            survival,
            remaining_tokens,
        }
    }

    fn density(&self) -> [f32; BUCKETS] {
        std::array::from_fn(|index| self.survival[index] - self.survival[index + 1])
    }

    /// Probability of an output of at least `length_tokens`.
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

    /// Expected number of further tokens of an output that has reached `out_tokens`.
    pub fn expected_remaining(&self, out_tokens: f32) -> f32 {
        let at = position(out_tokens);
        let index = at as usize;
        let part = at - index as f32;
        let below = self.remaining_tokens[index];
        below + (self.remaining_tokens[index + 1] - below) * part
    }

    /// The total length that a share `chance` of the outputs exceed, counting only those that have
    /// reached `out_tokens`.
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

    /// Expected total length of an output that has reached `out_tokens`.
    pub fn expected(&self, out_tokens: f32) -> f32 {
        const SLICES: usize = 8;
        let sum: f32 = (0..SLICES)
            .map(|slice| self.length_at(out_tokens, (slice as f32 + 0.5) / SLICES as f32))
            .sum();
        sum / SLICES as f32
    }
}

/// Decaying counts of observed output lengths.
#[derive(Debug)]
pub(crate) struct Histogram {
    /// Outputs that were observed through each bucket: they ended in it or passed beyond it.
    reached: [f32; BUCKETS],
    /// Outputs that ended in each bucket.
    ended: [f32; BUCKETS],
    weight: f32,
    decayed_at_ms: Millis,
    curve: SurvivalCurve,
    expected_tokens: f32,
    since_refresh: u32,
}

impl Histogram {
    pub(crate) fn new(now_ms: Millis, parent: &SurvivalCurve) -> Self {
        Self {
            reached: [0.0; BUCKETS],
            ended: [0.0; BUCKETS],
            weight: 0.0,
            decayed_at_ms: now_ms,
            curve: parent.clone(),
            expected_tokens: parent.expected(0.0),
            since_refresh: 0,
        }
    }

    /// The estimate from this history and its parent's.
    pub(crate) fn curve(&self) -> &SurvivalCurve {
        &self.curve
    }

    fn decay(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.decayed_at_ms) as f32;
        self.decayed_at_ms = now_ms;
        let by_time = (-age_ms / HALF_LIFE_MS).exp2();
        let floor = (MIN_DECAYED_WEIGHT / self.weight.max(MIN_DECAYED_WEIGHT)).min(1.0);
        let by_count = 1.0 - 1.0 / MAX_WEIGHT;
        let keep = by_time.max(floor).min(by_count);
        let counts = self.reached.iter_mut().chain(&mut self.ended);
        counts.for_each(|count| *count *= keep);
        self.weight *= keep;
    }

    /// Records that a running output has advanced from `from_tokens` to `to_tokens`.
    pub(crate) fn advance(&mut self, from_tokens: u32, to_tokens: u32) {
        let passed = bucket(from_tokens)..bucket(to_tokens);
        for count in self.reached.get_mut(passed).into_iter().flatten() {
            *count += 1.0;
        }
    }

    /// Records that an output last seen at `from_tokens` has ended at `length_tokens`.
    pub(crate) fn end(
        &mut self,
        now_ms: Millis,
        from_tokens: u32,
        length_tokens: u32,
        parent: &SurvivalCurve,
    ) {
        self.decay(now_ms);
        self.advance(from_tokens, length_tokens);
        let last = bucket(length_tokens);
        self.reached[last] += 1.0;
        self.ended[last] += 1.0;
        self.weight += 1.0;
        self.since_refresh += 1;
        let refresh_interval = (self.weight / 32.0) as u32;
        if self.since_refresh > refresh_interval {
            self.refresh(parent);
        }
    }

    fn refresh(&mut self, parent: &SurvivalCurve) {
        let of_parent = parent.density();
        self.curve = SurvivalCurve::from_hazard(|index| {
            let ended = self.ended[index] + PARENT_WEIGHT * of_parent[index];
            let reached = self.reached[index] + PARENT_WEIGHT * parent.survival[index];
            (ended / reached.max(MIN_PROBABILITY)).min(1.0)
        });
        self.expected_tokens = self.curve.expected(0.0);
        self.since_refresh = 0;
    }
}

/// Output lengths that a home has observed.
#[derive(Debug)]
pub struct Lengths {
    all: Histogram,
    by_service: HashMap<ServiceKey, Histogram>,
    by_organisation: HashMap<(OrganisationKey, ServiceKey), Histogram>,
    prior: SurvivalCurve,
}

impl Default for Lengths {
    fn default() -> Self {
        Self::new()
    }
}

impl Lengths {
    /// Creates an empty history.
    pub fn new() -> Self {
        let prior = SurvivalCurve::prior();
        Self {
            all: Histogram::new(0, &prior),
            by_service: HashMap::new(),
            by_organisation: HashMap::new(),
            prior,
        }
    }

    /// Records the length of a completed output.
    pub fn record(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        service: ServiceKey,
        length_tokens: u32,
    ) {
        self.all.end(now_ms, 0, length_tokens, &self.prior);
        let of_service = self
            .by_service
            .entry(service)
            .or_insert_with(|| Histogram::new(now_ms, &self.all.curve));
        of_service.end(now_ms, 0, length_tokens, &self.all.curve);
        let own = self
            .by_organisation
            .entry((organisation, service))
            .or_insert_with(|| Histogram::new(now_ms, &of_service.curve));
        own.end(now_ms, 0, length_tokens, &of_service.curve);
    }

    /// The most specific curve available for an organisation and a service.
    pub fn curve(&self, organisation: OrganisationKey, service: ServiceKey) -> &SurvivalCurve {
        &self.histogram(organisation, service).curve
    }

    /// The expected length of a new output.
    pub fn expected(&self, organisation: OrganisationKey, service: ServiceKey) -> f32 {
        self.histogram(organisation, service).expected_tokens
    }

    fn histogram(&self, organisation: OrganisationKey, service: ServiceKey) -> &Histogram {
        self.by_organisation
            .get(&(organisation, service))
            .or_else(|| self.by_service.get(&service))
            .unwrap_or(&self.all)
    }
}
