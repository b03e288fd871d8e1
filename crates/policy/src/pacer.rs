//! Rate limiter for request starts, by the generic cell rate algorithm (ITU-T I.371).

use crate::key::Millis;

/// Burst tolerance: starts due within this time may happen at once. Callers arrive in bursts, and
/// the queue of an upstream can absorb half a second of them.
const BURST_MS: f64 = 500.0;
/// Maximum interval between two starts. An upstream with a very low limit still gets occasional
/// requests, because only its responses show when the limit ends.
const MAX_INTERVAL_MS: f64 = 5_000.0;

/// The starts granted from one rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    /// Theoretical arrival time: when the next start is due if all starts had been evenly spaced.
    due_ms: f64,
}

impl Pacer {
    /// Time until the next start, in ms; 0 if a request may start now.
    pub fn wait_ms(&self, now_ms: Millis) -> Millis {
        let wait_ms = self.due_ms - BURST_MS - now_ms as f64;
        wait_ms.max(0.0).ceil() as Millis
    }

    /// Counts a start at `per_s`.
    pub fn record(&mut self, now_ms: Millis, per_s: f32) {
        self.due_ms = self.due_ms.max(now_ms as f64) + interval_ms(per_s);
    }

    /// Grants a start.
    ///
    /// # Errors
    /// The time until the next start, in ms.
    pub fn grant(&mut self, now_ms: Millis, per_s: f32) -> Result<(), Millis> {
        match self.wait_ms(now_ms) {
            0 => {
                self.record(now_ms, per_s);
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Grants a start from a rate that is split evenly between `sharers` hosts without
    /// coordination.
    ///
    /// The first start is delayed by a fraction `draw` (0 to 1) of this host's interval. Otherwise
    /// all hosts would begin with a start at the same time.
    ///
    /// # Errors
    /// The time until the next start, in ms.
    pub fn grant_share(
        &mut self,
        now_ms: Millis,
        per_s: f32,
        sharers: usize,
        draw: f64,
    ) -> Result<(), Millis> {
        let interval_ms = interval_ms(per_s) * sharers as f64;
        if self.is_idle(now_ms) {
            self.due_ms = now_ms as f64 + BURST_MS + interval_ms * draw;
        }
        match self.wait_ms(now_ms) {
            0 => {
                self.due_ms += interval_ms;
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Whether no earlier start affects the next one.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        self.due_ms <= now_ms as f64
    }
}

fn interval_ms(per_s: f32) -> f64 {
    (1_000.0 / f64::from(per_s)).min(MAX_INTERVAL_MS)
}
