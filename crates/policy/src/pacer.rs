//! Starts that are handed out at a rate, by the generic cell rate algorithm (ITU-T I.371).

use crate::key::Millis;

/// What comes due within so long may start at once: callers come in bursts, and an upstream's queue
/// takes those of half a second.
const BURST_MS: f64 = 500.0;
/// The longest time between two starts. An upstream that takes next to nothing still gets a request now
/// and then, since its answers alone tell that the limit is over.
const LONGEST_MS: f64 = 5_000.0;

/// The starts that were handed out of one rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    /// When all that has started would have been due, one after the other.
    due_ms: f64,
}

impl Pacer {
    /// How long it is until the next start, in ms; 0 where it may be now.
    pub fn wait_ms(&self, now_ms: Millis) -> Millis {
        let wait_ms = self.due_ms - BURST_MS - now_ms as f64;
        wait_ms.max(0.0).ceil() as Millis
    }

    /// Counts a start at a rate.
    pub fn record(&mut self, now_ms: Millis, per_s: f32) {
        self.due_ms = self.due_ms.max(now_ms as f64) + interval_ms(per_s);
    }

    /// Hands out a start.
    ///
    /// # Errors
    /// How long to wait for the next one, in ms.
    pub fn grant(&mut self, now_ms: Millis, per_s: f32) -> Result<(), Millis> {
        match self.wait_ms(now_ms) {
            0 => {
                self.record(now_ms, per_s);
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Hands out a start of a rate that so many others share, none of which knows of the rest.
    ///
    /// The first comes after a part of the time between two of this one's, which `draw` (0 to 1) decides:
    /// were it free, all would begin with one each.
    ///
    /// # Errors
    /// How long to wait for the next one, in ms.
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

    /// Whether nothing of what has started counts any more.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        self.due_ms <= now_ms as f64
    }
}

fn interval_ms(per_s: f32) -> f64 {
    (1_000.0 / f64::from(per_s)).min(LONGEST_MS)
}
