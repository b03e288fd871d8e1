//! The times of a migration's steps, and the pause that it causes, for log lines.

use std::fmt;

use fulmarpath_policy::Millis;

/// When the steps of a migration ended, up to the stop of its generation; 0 for those to come.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CopyTimes {
    pub(crate) began_ms: Millis,
    /// The first copy was complete.
    pub(crate) copied_ms: Millis,
    /// The engine was asked to stop the generation.
    pub(crate) asked_ms: Millis,
    /// The engine answered, after the final copy.
    pub(crate) stopped_ms: Millis,
}

impl fmt::Display for CopyTimes {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = [
            ("first copy", self.began_ms, self.copied_ms),
            ("wait for an event", self.copied_ms, self.asked_ms),
            ("final copy", self.asked_ms, self.stopped_ms),
        ];
        for (step, since_ms, end_ms) in steps.into_iter().filter(|(.., end_ms)| *end_ms > 0) {
            write!(out, ", {step} {} ms", end_ms.saturating_sub(since_ms))?;
        }
        Ok(())
    }
}

/// The pause of a migration, from the last event before it. A step that was repeated counts up to
/// its last end.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pause {
    times: CopyTimes,
    /// The stopped engine's stream had been read.
    pub(crate) drained_ms: Millis,
    /// A start at the next engine had been reserved.
    pub(crate) reserved_ms: Millis,
    /// The connection to the next engine was open.
    pub(crate) connected_ms: Millis,
    /// The head of its response had arrived; 0 while the generation has not resumed.
    pub(crate) resumed_ms: Millis,
}

impl Pause {
    pub(crate) fn new(times: CopyTimes) -> Self {
        Self {
            times,
            ..Self::default()
        }
    }

    /// Whether the next engine responds.
    pub(crate) fn has_resumed(&self) -> bool {
        self.resumed_ms > 0
    }

    /// Its steps between the event before it and the one that has arrived now.
    pub(crate) fn steps(&self, event_ms: Millis, now_ms: Millis) -> PauseSteps {
        let ends_ms = [
            ("until the stop", self.times.asked_ms),
            ("final copy", self.times.stopped_ms),
            ("rest of the stream", self.drained_ms),
            ("reservation", self.reserved_ms),
            ("connection", self.connected_ms),
            ("response head", self.resumed_ms),
            ("next event", now_ms),
        ];
        PauseSteps { event_ms, ends_ms }
    }
}

/// The duration of each step of a pause.
pub(crate) struct PauseSteps {
    event_ms: Millis,
    ends_ms: [(&'static str, Millis); 7],
}

impl fmt::Display for PauseSteps {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut since_ms = self.event_ms;
        for (index, (step, end_ms)) in self.ends_ms.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            // A step may have ended before the last event, which was in transit at the stop.
            let step_ms = end_ms.saturating_sub(since_ms);
            write!(out, "{separator}{step} {step_ms} ms")?;
            since_ms = since_ms.max(*end_ms);
        }
        Ok(())
    }
}
