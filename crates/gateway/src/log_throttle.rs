//! Spaces lines of the log whose number others decide.

use fulmarpath_policy::Millis;
use parking_lot::Mutex;

/// When the log was last told of one thing.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
    told_ms: Mutex<Option<Millis>>,
}

impl LogThrottle {
    /// Whether to tell now, which is not said again before `period_ms` have passed.
    pub(crate) fn allows(&self, now_ms: Millis, period_ms: Millis) -> bool {
        let mut told_ms = self.told_ms.lock();
        let may = told_ms.is_none_or(|told_ms| now_ms.saturating_sub(told_ms) >= period_ms);
        if may {
            *told_ms = Some(now_ms);
        }
        may
    }
}
