//! What a preset says of the three measures, and the risk that follows from it.

use serde::{Deserialize, Serialize};

/// The worth of the three measures against each other, as a preset declares them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of stall time.
    pub stall: f32,
    /// Weight of preemptions.
    pub preemptions: f32,
    /// Weight of the tail between tokens.
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

const CAUTIOUS_Z: f32 = 2.4;
const DARING_Z: f32 = 1.2;

impl Weights {
    /// How many standard deviations of the predicted peak to keep free.
    ///
    /// Waiting costs stall, filling up costs preemptions and the tail: the more stall weighs, the
    /// less is kept free. The two ends were measured; docs/POLICY.md has the figures.
    pub fn reserve_deviations(&self) -> f32 {
        let others = (self.preemptions + self.between_tokens) / 2.0;
        let total = self.stall + others;
        if total <= 0.0 {
            return (CAUTIOUS_Z + DARING_Z) / 2.0;
        }
        DARING_Z + (CAUTIOUS_Z - DARING_Z) * (others / total)
    }
}
