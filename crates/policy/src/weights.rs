//! Weights of the three service quality measures in a preset, and the memory reserve that follows.

use serde::{Deserialize, Serialize};

/// Relative weights of the three measures, as declared in a preset.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of stall time.
    pub stall: f32,
    /// Weight of preemptions.
    pub preemptions: f32,
    /// Weight of the tail latency between tokens.
    pub between_tokens: f32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            stall: 1.0,
            preemptions: 1.0,
            between_tokens: 1.0,
        }
    }
}

const HIGH_RESERVE_Z: f32 = 2.4;
const LOW_RESERVE_Z: f32 = 1.2;

impl Weights {
    /// Number of standard deviations of the predicted peak memory to keep free.
    ///
    /// Queueing increases stall time, while a full engine increases preemptions and tail latency.
    /// So the more stall weighs, the less is kept free. docs/POLICY.md has the figures for both
    /// ends.
    pub fn reserve_deviations(&self) -> f32 {
        let others = (self.preemptions + self.between_tokens) / 2.0;
        let total = self.stall + others;
        if total <= 0.0 {
            return (HIGH_RESERVE_Z + LOW_RESERVE_Z) / 2.0;
        }
        LOW_RESERVE_Z + (HIGH_RESERVE_Z - LOW_RESERVE_Z) * (others / total)
    }
}
