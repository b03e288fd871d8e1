//! Retry budgets: retries are a share of first tries, so that they never grow a storm.

/// Retries that an upstream's first tries have earned.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f32,
    saved: f32,
    most: f32,
}

impl RetryBudget {
    /// A budget that earns `share` of a retry for each first try and saves at most `most`.
    pub fn new(share: f32, most: f32) -> Self {
        Self {
            share,
            saved: most,
            most,
        }
    }

    /// A first try was made.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Whether a retry may be made; takes it from the budget.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
