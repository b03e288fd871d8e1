//! When the final copy of a live migration stops its generation.
//!
//! The final copy discards what the engine has computed of the next event, and the destination
//! computes it again. A stop in the middle of an event therefore adds up to one event to the pause
//! that the caller sees. So the stop waits for the next event, while the generation continues. The
//! wait is short, because the engine is leaving and a host does not know how much time it has left.

use crate::key::Millis;

/// Weight of one interval in the usual one: about the last four count, as the speed of an engine
/// on a shared machine changes within some hundred ms.
const GAIN: f32 = 0.25;
/// Multiple of the mean deviation within which nearly all events of a steady stream arrive, as in
/// TCP's retransmission timeout (RFC 6298) with half of its margin, since a late event costs less
/// here than a lost packet there.
const DEVIATIONS: f32 = 2.0;
/// Longest wait, as a share of the bound on pauses: 90 ms for a bound of 180 ms, which is about a
/// twentieth of the notice that engines give. The rest of the bound is for the pause itself, so a
/// stream whose events take longer gains nothing from a wait.
const MAX_WAIT_SHARE: f32 = 0.5;
/// An event that arrived at most this long ago has just arrived: engines take longer than that for
/// one step, and an event consists of several.
const JUST_ARRIVED_MS: Millis = 3;

/// When to stop a generation for its final copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopMoment {
    /// At once.
    Now,
    /// After its next event.
    AfterEvent {
        /// When to stop if the event has not arrived, in ms.
        until_ms: Millis,
    },
}

/// The usual time between the events of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventIntervals {
    last_ms: Option<Millis>,
    usual_ms: Option<f32>,
    deviation_ms: f32,
}

impl EventIntervals {
    /// Records events that arrived together.
    pub fn record(&mut self, now_ms: Millis, events: u32) {
        let Some(last_ms) = self.last_ms.replace(now_ms) else {
            return;
        };
        let interval_ms = now_ms.saturating_sub(last_ms) as f32 / events.max(1) as f32;
        let Some(usual_ms) = self.usual_ms else {
            self.usual_ms = Some(interval_ms);
            self.deviation_ms = interval_ms / 2.0;
            return;
        };
        let difference_ms = interval_ms - usual_ms;
        self.usual_ms = Some(usual_ms + GAIN * difference_ms);
        self.deviation_ms += GAIN * (difference_ms.abs() - self.deviation_ms);
    }

    /// Records that another engine continues the stream. The interval up to its first event is not
    /// that between two events.
    pub fn switch_engine(&mut self) {
        self.last_ms = None;
    }

    /// When to stop the generation, if its first copy is complete now. `gap_target_ms` is the bound
    /// on the pauses of its route; without one, nothing is gained by a wait.
    pub fn stop_moment(&self, now_ms: Millis, gap_target_ms: Option<Millis>) -> StopMoment {
        let (Some(last_ms), Some(usual_ms)) = (self.last_ms, self.usual_ms) else {
            return StopMoment::Now;
        };
        let Some(gap_target_ms) = gap_target_ms else {
            return StopMoment::Now;
        };
        let age_ms = now_ms.saturating_sub(last_ms);
        let max_wait_ms = gap_target_ms as f32 * MAX_WAIT_SHARE;
        let is_due_in_time = usual_ms - age_ms as f32 <= max_wait_ms;
        if age_ms <= JUST_ARRIVED_MS || !is_due_in_time {
            return StopMoment::Now;
        }
        let wait_ms = usual_ms + DEVIATIONS * self.deviation_ms;
        StopMoment::AfterEvent {
            until_ms: now_ms + wait_ms.min(max_wait_ms) as Millis,
        }
    }
}
