//! Starts that are handed out at a rate, by the generic cell rate algorithm (ITU-T I.371).

use crate::key::Millis;

/// What comes due within so long may start at once: callers come in bursts, and an upstream's queue
/// takes those of half a second.
const BURST_MS: f64 = 500.0;
/// The least rate. An upstream that names a lower one still gets a request now and then, since its
/// answers alone tell that the limit is over.
const LEAST_PER_S: f32 = 0.2;

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
    pub fn note(&mut self, now_ms: Millis, per_s: f32) {
        let interval_ms = 1_000.0 / f64::from(per_s.max(LEAST_PER_S));
        self.due_ms = self.due_ms.max(now_ms as f64) + interval_ms;
    }

    /// Hands out a start.
    ///
    /// # Errors
    /// How long to wait for the next one, in ms.
    pub fn grant(&mut self, now_ms: Millis, per_s: f32) -> Result<(), Millis> {
        match self.wait_ms(now_ms) {
            0 => {
                self.note(now_ms, per_s);
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
