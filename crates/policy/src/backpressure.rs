//! What an upstream asks of its callers in the heads of its answers.
//!
//! An upstream in need knows sooner than the hosts what it bears. What it asks for holds for its start,
//! whatever becomes of its registration meanwhile.

use crate::key::Millis;

/// Generations that may go on in one rest: each is lost otherwise, and an upstream that rests can be
/// expected to bear one.
const CONTINUATIONS_A_REST: u32 = 1;

/// What the head of one answer asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that the upstream takes from all hosts together; `None` where it bears
    /// whatever comes.
    pub limit_per_s: Option<f32>,
    /// It leaves, and wants nothing new.
    pub is_leaving: bool,
    /// It has turned this host away, and wants nothing from it for so long.
    pub backoff_ms: Option<Millis>,
}

/// What one upstream asks of its callers, as far as this host has heard.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backpressure {
    limit_per_s: Option<f32>,
    /// When it was heard that it names this limit, or none.
    heard_ms: Millis,
    /// Until when its limit leaves no start for this host.
    held_until_ms: Millis,
    is_leaving: bool,
    /// Until when it wants nothing from this host.
    rest_until_ms: Millis,
    /// Generations that went on there since it asked for rest.
    continued: u32,
}

impl Backpressure {
    /// Takes what an answer asks for. A limit that it doesn't name any more is over; one that leaves
    /// doesn't come back.
    pub fn update(&mut self, now_ms: Millis, signals: Signals) {
        self.limit_per_s = signals.limit_per_s;
        self.heard_ms = now_ms;
        self.is_leaving |= signals.is_leaving;
        if let Some(rest_ms) = signals.backoff_ms {
            if !self.is_backing_off(now_ms) {
                self.continued = 0;
            }
            self.rest_until_ms = self.rest_until_ms.max(now_ms.saturating_add(rest_ms));
        }
        if self.limit_per_s.is_none() {
            self.held_until_ms = 0;
        }
    }

    /// Takes a limit that another host was told at a moment, unless more has been heard since.
    pub fn merge_limit(&mut self, per_s: f32, heard_ms: Millis) {
        if heard_ms > self.heard_ms {
            self.limit_per_s = Some(per_s);
            self.heard_ms = heard_ms;
        }
    }

    /// Its limit leaves no start for this host before `until_ms`.
    pub fn throttle_until(&mut self, until_ms: Millis) {
        self.held_until_ms = until_ms;
    }

    /// Requests a second that it takes from all hosts together.
    pub fn limit_per_s(&self) -> Option<f32> {
        self.limit_per_s
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether it wants nothing from this host now.
    pub fn is_backing_off(&self, now_ms: Millis) -> bool {
        now_ms < self.rest_until_ms
    }

    /// Whether a generation may go on there; counted where it rests.
    pub fn may_continue(&mut self, now_ms: Millis) -> bool {
        if !self.is_backing_off(now_ms) {
            return true;
        }
        self.continued += 1;
        self.continued <= CONTINUATIONS_A_REST
    }

    /// Whether it wants nothing new of this host now.
    pub fn is_blocked(&self, now_ms: Millis) -> bool {
        self.is_leaving || now_ms < self.blocked_until_ms()
    }

    /// When it was last heard.
    pub fn updated_ms(&self) -> Millis {
        self.heard_ms
    }

    /// From when on this host may send to it, unless it leaves; now or before where it may at once.
    pub fn blocked_until_ms(&self) -> Millis {
        self.held_until_ms.max(self.rest_until_ms)
    }
}
