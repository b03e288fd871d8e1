//! Retry budgets: retries are limited to a share of first attempts, which prevents retry storms.

/// Retry budget earned by first attempts at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f32,
    available: f32,
    max: f32,
}

impl RetryBudget {
    /// Creates a full budget that earns `share` of a retry per first attempt and holds up to `max`.
    pub fn new(share: f32, max: f32) -> Self {
        Self {
            share,
            available: max,
            max,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.share).min(self.max);
    }

    /// Whether a retry may be made. If so, it is deducted from the budget.
    pub fn try_retry(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
