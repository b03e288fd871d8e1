//! Decides when a host passes the events of a stream on to the caller.
//!
//! An engine pauses a stream for some hundred milliseconds while it prefills another prompt on a
//! busy machine, or while the stream is migrated. A playout buffer (as in RFC 3550 receivers) hides
//! such a pause: events are held for a little while as long as they come regularly, and the time
//! held is spent when one is late. The first event is never held.

use crate::key::Millis;

/// Maximum time that an event is held, as a share of the operator's bound on its delay. The rest is
/// for the network, for resending a lost packet, and for a busy host.
const DELAY_SHARE: f32 = 0.4;
/// The same as a share of the longest pause that is on time. Longer pauses are rare, and every
/// event bears the delay.
const MAX_DELAY_OF_PAUSE: f32 = 0.5;
/// A held event is passed on after this share of the longest pause that is on time. The rest is for
/// the variation of the network's latency.
const PAUSE_SHARE: f32 = 0.95;

/// The playout of one stream.
#[derive(Debug, Clone, Copy)]
pub struct Playout {
    gap_target_ms: Millis,
    max_delay_ms: Millis,
    max_pause_ms: Millis,
    /// When the last event arrived and was passed on.
    last: Option<(Millis, Millis)>,
}

/// When an event is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The time, in milliseconds of the stream's clock.
    pub at_ms: Millis,
    /// The pause before it was too long at the engine and is on time for the caller.
    pub hides_pause: bool,
}

impl Playout {
    /// The playout of a stream whose pauses are on time up to `gap_target_ms` and whose events may
    /// be delayed by up to `delay_bound_ms` between the engine and the caller.
    pub fn new(gap_target_ms: Millis, delay_bound_ms: Millis) -> Self {
        let bound_ms = delay_bound_ms as f32 * DELAY_SHARE;
        let of_pause_ms = gap_target_ms as f32 * MAX_DELAY_OF_PAUSE;
        Self {
            gap_target_ms,
            max_delay_ms: bound_ms.min(of_pause_ms) as Millis,
            max_pause_ms: (gap_target_ms as f32 * PAUSE_SHARE) as Millis,
            last: None,
        }
    }

    /// The longest pause of an engine that is on time for the caller.
    pub fn max_engine_pause_ms(&self) -> Millis {
        self.max_pause_ms.saturating_add(self.max_delay_ms)
    }

    /// When to pass on an event that arrived at `arrived_ms`; never earlier.
    pub fn release(&mut self, arrived_ms: Millis) -> Release {
        let Some((last_arrived_ms, last_released_ms)) = self.last else {
            self.last = Some((arrived_ms, arrived_ms));
            return Release {
                at_ms: arrived_ms,
                hides_pause: false,
            };
        };
        let at_ms = arrived_ms
            .saturating_add(self.max_delay_ms)
            .min(last_released_ms.saturating_add(self.max_pause_ms))
            .max(arrived_ms);
        self.last = Some((arrived_ms, at_ms));
        let is_too_long = arrived_ms.saturating_sub(last_arrived_ms) > self.gap_target_ms;
        let is_on_time = at_ms.saturating_sub(last_released_ms) <= self.gap_target_ms;
        Release {
            at_ms,
            hides_pause: is_too_long && is_on_time,
        }
    }
}
