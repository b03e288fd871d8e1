//! What an upstream asks of its callers in the heads of its answers.
//!
//! An upstream in need knows sooner than the hosts what it bears. What it asks for holds for its start,
//! whatever becomes of its registration meanwhile.

/// What the head of one answer asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that the upstream takes from all hosts together; `None` where it bears
    /// whatever comes.
    pub limit_per_s: Option<f32>,
}

/// What one upstream asks of its callers, as far as this host has heard.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backpressure {
    limit_per_s: Option<f32>,
}

impl Backpressure {
    /// Takes what an answer asks for; what it doesn't ask for any more is over.
    pub fn hear(&mut self, signals: Signals) {
        self.limit_per_s = signals.limit_per_s;
    }

    /// Requests a second that it takes from all hosts together.
    pub fn limit_per_s(&self) -> Option<f32> {
        self.limit_per_s
    }
}
