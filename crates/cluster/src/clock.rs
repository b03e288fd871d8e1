//! The clock: the monotonic time of the process, and the wall time.

use std::time::SystemTime;

use fulmarpath_policy::Millis;
use tokio::time::Instant;

/// A monotonic clock in milliseconds; it stops while tokio's time is paused.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start of the clock, offset by one second so that it is never 0.
    pub fn now_ms(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis + 1_000
    }

    /// Wall time in Unix milliseconds, for records that people read and that outlive a process.
    pub fn wall_ms() -> u64 {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
