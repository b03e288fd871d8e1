//! Admission by predicted engine memory.
//!
//! All generations of a batch advance by one token per step, so the memory of the batch `h` steps
//! ahead is the sum over the generations that still run then. The peak over `h` must stay below
//! the engine's memory. (Peak of future memory over estimated remaining lengths: Gong et al.,
//! "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.)

use crate::lengths::SurvivalCurve;

/// Steps ahead at which the memory of the batch is predicted.
const HORIZONS_TOKENS: [f32; 12] = [
    1.0, 16.0, 32.0, 64.0, 128.0, 256.0, 384.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0,
];

/// Admission rule for an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FitRule {
    /// No admission control: everything starts at once.
    Open,
    /// A fixed limit on concurrent generations.
    Cap {
        /// Maximum number of running generations.
        running: u32,
    },
    /// Mean and standard deviation of the predicted memory at several horizons.
    Normal {
        /// Number of standard deviations to keep free.
        z: f32,
        /// Share of the memory to use.
        share: f32,
    },
    /// The peak over sorted remaining lengths, sampled once for each generation.
    Sampled {
        /// Share of the memory to use.
        share: f32,
    },
}

/// One generation as input to the memory prediction.
#[derive(Debug, Clone, Copy)]
pub struct Footprint<'a> {
    /// Prompt tokens.
    pub prompt_tokens: f32,
    /// Tokens produced so far.
    pub out_tokens: f32,
    /// Maximum number of output tokens.
    pub limit_tokens: f32,
    /// Distribution of the output length.
    pub curve: &'a SurvivalCurve,
    /// The final output length, if known (only in the benchmark's oracle policy).
    pub known_tokens: Option<f32>,
    /// Random draw of this generation between 0 and 1, for [`FitRule::Sampled`].
    pub draw: f32,
}

impl Footprint<'_> {
    /// Probability of an output at least as long as what has been produced.
    fn reached_probability(&self) -> f32 {
        self.curve.survival(self.out_tokens).max(1e-6)
    }

    /// Probability of still running `ahead_tokens` later, where `reached` is
    /// [`Self::reached_probability`].
    fn running_probability(&self, ahead_tokens: f32, reached: f32) -> f32 {
        let then = self.out_tokens + ahead_tokens;
        if then > self.limit_tokens {
            return 0.0;
        }
        match self.known_tokens {
            Some(known) => f32::from(u8::from(then <= known)),
            None => (self.curve.survival(then) / reached).min(1.0),
        }
    }

    fn total_length(&self) -> f32 {
        let length = match self.known_tokens {
            Some(known) => known,
            None => self.curve.length_at(self.out_tokens, self.draw),
        };
        length.min(self.limit_tokens).max(self.out_tokens)
    }
}

/// Predicted memory of a batch, against which candidates are checked.
#[derive(Debug, Default, Clone)]
pub(crate) struct Forecast {
    mean: [f32; HORIZONS_TOKENS.len()],
    variance: [f32; HORIZONS_TOKENS.len()],
    /// Sampled remaining tokens and final memory of each generation, longest remaining first.
    remaining: Vec<(f32, f32)>,
    count: u32,
}

impl Forecast {
    /// Adds a generation to the batch.
    pub(crate) fn add(&mut self, footprint: &Footprint<'_>, rule: FitRule) {
        self.count += 1;
        match rule {
            FitRule::Open | FitRule::Cap { .. } => {}
            FitRule::Normal { .. } => {
                let reached = footprint.reached_probability();
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

    /// Whether the batch including `footprint` stays within `memory_tokens`.
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
        let reached = footprint.reached_probability();
        for (index, ahead) in HORIZONS_TOKENS.into_iter().enumerate() {
            let (mean, variance) = moments(footprint, ahead, reached);
            let spread = (self.variance[index] + variance).sqrt();
            peak = peak.max(self.mean[index] + mean + z * spread);
        }
        peak
    }
}

fn moments(footprint: &Footprint<'_>, ahead_tokens: f32, reached: f32) -> (f32, f32) {
    let chance = footprint.running_probability(ahead_tokens, reached);
    let size = footprint.prompt_tokens + footprint.out_tokens + ahead_tokens;
    (chance * size, chance * (1.0 - chance) * size * size)
}

/// Sampled remaining tokens, and memory at the end of the generation.
fn sampled(footprint: &Footprint<'_>) -> (f32, f32) {
    let length = footprint.total_length();
    (
        length - footprint.out_tokens,
        footprint.prompt_tokens + length,
    )
}

/// Peak memory of a batch whose remaining lengths are sorted, longest first.
///
/// When the generation at index `i` ends, those before it still run, each short of its end by the
/// difference between the remaining lengths.
fn sorted_peak(remaining: &[(f32, f32)]) -> f32 {
    let mut peak = 0.0f32;
    let mut at_end = 0.0f32;
    for (index, (left, total)) in remaining.iter().enumerate() {
        at_end += total - left;
        peak = peak.max(at_end + left * (index as f32 + 1.0));
    }
    peak
}
