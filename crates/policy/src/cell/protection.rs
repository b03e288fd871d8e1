//! Room that is kept for more urgent requests.
//!
//! When engines are full, memory that becomes free goes to whoever waits, and urgent short requests
//! that arrive a moment later find none. Less urgent requests therefore leave some memory free: the
//! part that the more urgent ones are likely to need beyond what they hold now.
//!
//! The size follows Littlewood's rule (K. Littlewood, "Forecasting and control of passenger
//! bookings", 1972): room is kept for the urgent class as long as the probability that the class
//! needs it exceeds the ratio of the classes' value for the room that they take. The demand of a
//! class is learned from the memory that its generations have held over the last seconds. Where
//! only one class exists, nothing is kept.

use std::collections::BTreeMap;

use super::Cell;
use crate::key::Millis;

/// Interval between two samples of the memory held by each class. A short answer takes some
/// hundred milliseconds.
const SAMPLE_PERIOD_MS: Millis = 100;
/// Time over which the memory held by a class is averaged: long enough to cover its usual
/// variation, short enough to follow a surge of some seconds.
const AVERAGE_MS: f32 = 5_000.0;
/// A class without requests for this long is forgotten.
const CLASS_EXPIRY_MS: Millis = 60_000;
/// Weight of one request in the average cost of its class: about the last fifty requests count.
const COST_GAIN: f32 = 0.02;
/// Upper bound on the room kept from a request, as a share of the open engines' memory. After a
/// surge of urgent requests has ended, the others wait for no more than this.
const MAX_PROTECTED_SHARE: f32 = 0.06;

/// Recent demand of one class of urgency.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Memory held at the last sample.
    held_tokens: f32,
    mean_tokens: f32,
    variance: f32,
    /// Average cost of its requests to others, relative to their benefit.
    cost: f32,
    last_request_ms: Millis,
}

/// Recent demand of all classes, by priority.
#[derive(Debug, Default)]
pub(super) struct Protection {
    classes: BTreeMap<u8, Class>,
    sampled_ms: Millis,
}

impl Protection {
    /// Records a new request and its cost relative to its benefit.
    pub(super) fn record_request(&mut self, now_ms: Millis, priority: u8, cost: f32) {
        let class = self.classes.entry(priority).or_insert(Class {
            held_tokens: 0.0,
            mean_tokens: 0.0,
            variance: 0.0,
            cost,
            last_request_ms: now_ms,
        });
        class.cost += (cost - class.cost) * COST_GAIN;
        class.last_request_ms = now_ms;
    }

    /// Whether a sample of the memory held by each class is due.
    fn is_sample_due(&self, now_ms: Millis) -> bool {
        self.classes.len() > 1 && now_ms >= self.sampled_ms + SAMPLE_PERIOD_MS
    }

    /// Records the memory that each class holds now.
    fn sample(&mut self, now_ms: Millis, held_tokens: &BTreeMap<u8, f32>) {
        let since_ms = now_ms.saturating_sub(self.sampled_ms) as f32;
        let gain = 1.0 - (-since_ms / AVERAGE_MS).exp();
        self.sampled_ms = now_ms;
        self.classes
            .retain(|_, class| now_ms < class.last_request_ms + CLASS_EXPIRY_MS);
        for (priority, class) in &mut self.classes {
            class.held_tokens = held_tokens.get(priority).copied().unwrap_or_default();
            let difference = class.held_tokens - class.mean_tokens;
            class.mean_tokens += difference * gain;
            class.variance = (1.0 - gain) * (class.variance + gain * difference * difference);
        }
    }

    /// Memory to leave free for requests that are more urgent than `priority`, as a share of the
    /// open engines' memory.
    pub(super) fn protected_share(&self, priority: u8, open_tokens: f32) -> f32 {
        let Some(own) = self.classes.get(&priority) else {
            return 0.0;
        };
        let more_urgent = self.classes.range(..priority);
        let needed: f32 = more_urgent.map(|(_, class)| class.needed_tokens(own)).sum();
        (needed / open_tokens.max(1.0)).min(MAX_PROTECTED_SHARE)
    }
}

impl Class {
    /// Memory to keep for this class against a less urgent one, beyond what it holds.
    fn needed_tokens(&self, less_urgent: &Self) -> f32 {
        let value_ratio = self.cost / less_urgent.cost.max(f32::MIN_POSITIVE);
        let level = self.mean_tokens + upper_quantile(value_ratio) * self.variance.sqrt();
        (level - self.held_tokens).max(0.0)
    }
}

impl Cell {
    /// Samples the memory held by each class, if that is due.
    pub(super) fn sample_classes(&mut self, now_ms: Millis) {
        if !self.protection.is_sample_due(now_ms) {
            return;
        }
        let mut held: BTreeMap<u8, f32> = BTreeMap::new();
        for run in self.runs.values() {
            *held.entry(run.priority).or_default() += run.held_tokens(now_ms);
        }
        self.protection.sample(now_ms, &held);
    }
}

/// The value that a standard normal variable exceeds with this probability; negative infinity from
/// a probability of one on. (Abramowitz and Stegun, "Handbook of Mathematical Functions", 26.2.23.)
fn upper_quantile(probability: f32) -> f32 {
    if probability >= 1.0 {
        return f32::NEG_INFINITY;
    }
    let tail = probability.min(1.0 - probability).max(1e-6);
    let t = (-2.0 * tail.ln()).sqrt();
    let numerator = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let denominator = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    let quantile = t - numerator / denominator;
    match probability <= 0.5 {
        true => quantile,
        false => -quantile,
    }
}
