//! Throttles log lines whose rate is determined from outside.

use fulmarpath_policy::Millis;
use parking_lot::Mutex;

/// Time of the last log line of one kind.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
    logged_ms: Mutex<Option<Millis>>,
}

impl LogThrottle {
    /// Whether a line may be logged at `now_ms`; further lines are suppressed for `period_ms`.
    pub(crate) fn allows(&self, now_ms: Millis, period_ms: Millis) -> bool {
        let mut logged_ms = self.logged_ms.lock();
        let is_allowed =
            logged_ms.is_none_or(|logged_ms| now_ms.saturating_sub(logged_ms) >= period_ms);
        if is_allowed {
            *logged_ms = Some(now_ms);
        }
        is_allowed
    }
}
