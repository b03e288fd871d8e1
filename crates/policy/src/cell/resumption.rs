//! The pause of a migration, as stated by the host that relays the generation.

use super::run::Run;
use crate::key::Millis;

/// A statement this long after a migration includes its pause.
const RESUMPTION_STATED_MS: Millis = 400;

/// A generation that has just resumed after a migration.
#[derive(Debug, Clone, Copy)]
pub(super) struct Resumption {
    at_ms: Millis,
    /// Expected time to the next event.
    pub(super) event_ms: f32,
    /// Longest pause that was stated since.
    pub(super) longest_pause_ms: Millis,
}

impl Run {
    /// Records that it has resumed on another engine, where an event was expected within `event_ms`.
    pub(super) fn record_resumption(&mut self, now_ms: Millis, event_ms: f32) {
        self.resumption = Some(Resumption {
            at_ms: now_ms,
            event_ms,
            longest_pause_ms: 0,
        });
    }

    /// The pause of its migration, once it has been stated.
    pub(super) fn take_resumption(
        &mut self,
        now_ms: Millis,
        longest_pause_ms: Millis,
    ) -> Option<Resumption> {
        let resumption = self.resumption.as_mut()?;
        resumption.longest_pause_ms = resumption.longest_pause_ms.max(longest_pause_ms);
        let is_stated = now_ms >= resumption.at_ms + RESUMPTION_STATED_MS;
        self.resumption.take_if(|_| is_stated)
    }
}
