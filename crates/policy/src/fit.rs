//! Whether one more generation fits into an engine's memory.
//!
//! Generations in one batch advance together, a token a step, so the batch's memory `h` steps from
//! now is the sum of what each holds then, if it still runs. The peak over `h` is what has to stay
//! under the engine's memory. (Peak of future memory over estimated remaining lengths: Gong et al.,
//! "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.)

use crate::lengths::SurvivalCurve;

/// The steps ahead at which the batch's memory is predicted.
const HORIZONS_TOKENS: [f32; 12] = [
    1.0, 16.0, 32.0, 64.0, 128.0, 256.0, 384.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0,
];

/// How an engine's memory is kept from filling up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FitRule {
    /// No admission: everything starts at once.
    Open,
    /// At most so many generations.
    Cap {
        /// The bound.
        running: u32,
    },
    /// Mean and deviation of the predicted memory at several horizons.
    Normal {
        /// Standard deviations to keep free.
        z: f32,
        /// Share of the memory to use.
        share: f32,
    },
    /// The peak over sorted remaining lengths, one draw for each generation.
    Sampled {
        /// Share of the memory to use.
        share: f32,
    },
}

/// One generation as the prediction sees it.
#[derive(Debug, Clone, Copy)]
pub struct Footprint<'a> {
    /// Prompt tokens.
    pub prompt_tokens: f32,
    /// Tokens that are out.
    pub out_tokens: f32,
    /// The answer's bound.
    pub limit_tokens: f32,
    /// How long such answers are.
    pub curve: &'a SurvivalCurve,
    /// The whole length, where it is known (the bench's oracle).
    pub known_tokens: Option<f32>,
    /// This generation's own draw between 0 and 1, for [`FitRule::Sampled`].
    pub draw: f32,
}

impl Footprint<'_> {
    /// The chance of having reached the tokens that are out.
    fn reached(&self) -> f32 {
        self.curve.survival(self.out_tokens).max(1e-6)
    }

    /// The chance of still running `ahead_tokens` later, given the chance of having come so far.
    fn still_runs(&self, ahead_tokens: f32, reached: f32) -> f32 {
        let then = self.out_tokens + ahead_tokens;
        if then > self.limit_tokens {
            return 0.0;
        }
        match self.known_tokens {
            Some(known) => f32::from(u8::from(then <= known)),
            None => (self.curve.survival(then) / reached).min(1.0),
        }
    }

    fn whole_length(&self) -> f32 {
        let length = match self.known_tokens {
            Some(known) => known,
            None => self.curve.length_at(self.out_tokens, self.draw),
        };
        length.min(self.limit_tokens).max(self.out_tokens)
    }
}

/// Predicted memory of a batch, to which candidates are tried.
#[derive(Debug, Default, Clone)]
pub(crate) struct Forecast {
    mean: [f32; HORIZONS_TOKENS.len()],
    variance: [f32; HORIZONS_TOKENS.len()],
    remaining: Vec<(f32, f32)>,
    count: u32,
}

impl Forecast {
    /// Adds a generation.
    pub(crate) fn add(&mut self, footprint: &Footprint<'_>, rule: FitRule) {
        self.count += 1;
        match rule {
            FitRule::Open | FitRule::Cap { .. } => {}
            FitRule::Normal { .. } => {
                let reached = footprint.reached();
                for (index, ahead) in HORIZONS_TOKENS.into_iter().enumerate() {
                    let (mean, variance) = moments(footprint, ahead, reached);
                    self.mean[index] += mean;
                    self.variance[index] += variance;
                }
            }
            FitRule::Sampled { .. } => {
                let entry = sampled(footprint);
                let at = self.remaining.partition_point(|other| other.0 > entry.0);
                self.remaining.insert(at, entry);
            }
        }
    }

    /// Whether the batch with `footprint` stays within `memory_tokens`.
    pub(crate) fn fits(
        &self,
        footprint: &Footprint<'_>,
        rule: FitRule,
        memory_tokens: f32,
    ) -> bool {
        match rule {
            FitRule::Open => true,
            FitRule::Cap { running } => self.count < running,
            FitRule::Normal { z, share } => self.peak_with(footprint, z) <= memory_tokens * share,
            FitRule::Sampled { share } => {
                let entry = sampled(footprint);
                let at = self.remaining.partition_point(|other| other.0 > entry.0);
                let mut with = self.remaining.clone();
                with.insert(at, entry);
                sorted_peak(&with) <= memory_tokens * share
            }
        }
    }

    fn peak_with(&self, footprint: &Footprint<'_>, z: f32) -> f32 {
        let mut peak = 0.0f32;
        let reached = footprint.reached();
        for (index, ahead) in HORIZONS_TOKENS.into_iter().enumerate() {
            let (mean, variance) = moments(footprint, ahead, reached);
            let spread = (self.variance[index] + variance).sqrt();
            peak = peak.max(self.mean[index] + mean + z * spread);
        }
        peak
    }
}

fn moments(footprint: &Footprint<'_>, ahead_tokens: f32, reached: f32) -> (f32, f32) {
    let chance = footprint.still_runs(ahead_tokens, reached);
    let size = footprint.prompt_tokens + footprint.out_tokens + ahead_tokens;
    (chance * size, chance * (1.0 - chance) * size * size)
}

/// Remaining tokens and memory at the end.
fn sampled(footprint: &Footprint<'_>) -> (f32, f32) {
    let length = footprint.whole_length();
    (
        length - footprint.out_tokens,
        footprint.prompt_tokens + length,
    )
}

/// The peak of a batch whose remaining lengths are sorted, longest first.
///
/// When the generation at place `i` ends, those before it still run, each short of its end by the
/// difference of remaining lengths.
fn sorted_peak(remaining: &[(f32, f32)]) -> f32 {
    let mut peak = 0.0f32;
    let mut at_end = 0.0f32;
    for (index, (left, whole)) in remaining.iter().enumerate() {
        at_end += whole - left;
        peak = peak.max(at_end + left * (index as f32 + 1.0));
    }
    peak
}
