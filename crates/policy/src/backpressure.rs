//! Backpressure that an upstream signals in its response heads.
//!
//! An overloaded upstream knows its capacity sooner than the hosts do. Its signals apply until the
//! upstream restarts, even if its registration changes.

use crate::key::Millis;

/// Generations that may continue at an upstream during one backoff period. Each would be lost
/// otherwise, and an upstream can be expected to take one while it asks for backoff.
const CONTINUATIONS_PER_BACKOFF: u32 = 1;

/// The signals of one response head.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Requests per second that the upstream accepts from all hosts together; `None` for no limit.
    pub limit_per_s: Option<f32>,
    /// The upstream is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Requests that the upstream can turn away within a second before it falls over; `None` if it
    /// stays up however many these are.
    pub brittle_at: Option<u32>,
    /// The upstream rejected the request and asks this host to send nothing for this long.
    pub backoff_ms: Option<Millis>,
}

/// Backpressure state of one upstream, as this host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backpressure {
    limit_per_s: Option<f32>,
    /// When the limit, or its absence, was last reported.
    updated_ms: Millis,
    /// Until when the limit allows no request of this host.
    throttled_until_ms: Millis,
    is_leaving: bool,
    brittle_at: Option<u32>,
    /// Until when this host must send nothing.
    backoff_until_ms: Millis,
    /// Generations that have continued there in the current backoff period.
    continued: u32,
}

impl Backpressure {
    /// Applies the signals of a response. A limit or brittleness that is missing from them ends. An upstream that
    /// is leaving stays so.
    pub fn update(&mut self, now_ms: Millis, signals: Signals) {
        self.limit_per_s = signals.limit_per_s;
        self.updated_ms = now_ms;
        self.is_leaving |= signals.is_leaving;
        self.brittle_at = signals.brittle_at;
        if let Some(backoff_ms) = signals.backoff_ms {
            if !self.is_backing_off(now_ms) {
                self.continued = 0;
            }
            self.backoff_until_ms = self.backoff_until_ms.max(now_ms.saturating_add(backoff_ms));
        }
        if self.limit_per_s.is_none() {
            self.throttled_until_ms = 0;
        }
    }

    /// Adopts a limit that another host received at `updated_ms`, unless a later one is known.
    pub fn merge_limit(&mut self, per_s: f32, updated_ms: Millis) {
        if updated_ms > self.updated_ms {
            self.limit_per_s = Some(per_s);
            self.updated_ms = updated_ms;
        }
    }

    /// Adopts the end of a limit that another host noticed at `ended_ms`, unless later news are
    /// known.
    pub fn merge_limit_end(&mut self, ended_ms: Millis) {
        if ended_ms > self.updated_ms {
            self.limit_per_s = None;
            self.throttled_until_ms = 0;
            self.updated_ms = ended_ms;
        }
    }

    /// Blocks new requests to the upstream until `until_ms`, because of its limit.
    pub fn throttle_until(&mut self, until_ms: Millis) {
        self.throttled_until_ms = until_ms;
    }

    /// Requests per second that the upstream accepts from all hosts together.
    pub fn limit_per_s(&self) -> Option<f32> {
        self.limit_per_s
    }

    /// Whether the upstream has signalled that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Requests that the upstream can turn away within a second, if it is brittle.
    pub fn brittle_at(&self) -> Option<u32> {
        self.brittle_at
    }

    /// Whether the upstream has asked this host to back off.
    pub fn is_backing_off(&self, now_ms: Millis) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Whether a generation may continue at the upstream. Counted during a backoff period.
    pub fn may_continue(&mut self, now_ms: Millis) -> bool {
        if !self.is_backing_off(now_ms) {
            return true;
        }
        self.continued += 1;
        self.continued <= CONTINUATIONS_PER_BACKOFF
    }

    /// Whether this host must not send new requests to the upstream now.
    pub fn is_blocked(&self, now_ms: Millis) -> bool {
        self.is_leaving || now_ms < self.blocked_until_ms()
    }

    /// When the limit was last reported.
    pub fn updated_ms(&self) -> Millis {
        self.updated_ms
    }

    /// When this host may send again, unless the upstream is leaving. Not later than the current
    /// time if it may send now.
    pub fn blocked_until_ms(&self) -> Millis {
        self.throttled_until_ms.max(self.backoff_until_ms)
    }
}
