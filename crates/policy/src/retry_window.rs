//! This host's share of the fleet-wide retry limit of a service.
//!
//! In any window of a given length all hosts together may make `ratio` retries per request plus a
//! fixed extra. A host uses `ratio` of its own requests, which adds up for any balance between the
//! hosts, and an equal part of the extra. This needs no coordination, and a partitioned host stays
//! within the limit.

use std::collections::VecDeque;

use crate::key::Millis;

/// Share of the limit that is used. Hosts may temporarily disagree on their number, and an upstream
/// counts a request slightly later than this host.
const SAFETY_FACTOR: f32 = 0.7;

/// The operator's limit on retries of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f32,
    /// Additional retries for the whole fleet.
    pub extra: f32,
    /// Length of the window.
    pub window_ms: Millis,
}

/// Requests and retries of one service at this host within the window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    bound: RetryBound,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the limit. Recorded requests and retries are kept.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: Millis) {
        self.prune(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Whether a request may be retried. If so, the retry is recorded.
    pub fn try_retry(&mut self, now_ms: Millis, hosts: usize) -> bool {
        if self.remaining(now_ms, hosts) < 1.0 {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// Records a generation that continues at another engine from a copy of its memory. It is
    /// always allowed, because no output is generated again, but it reaches the service like a
    /// retry and therefore leaves fewer retries.
    pub fn record_continuation(&mut self, now_ms: Millis) {
        self.prune(now_ms);
        self.retries.push_back(now_ms);
    }

    /// Retries left within the window.
    pub fn remaining(&mut self, now_ms: Millis, hosts: usize) -> f32 {
        self.prune(now_ms);
        let own = self.bound.ratio * self.requests.len() as f32;
        let extra = self.bound.extra / hosts.max(1) as f32;
        let allowed = (own + extra) * SAFETY_FACTOR;
        allowed - self.retries.len() as f32
    }

    fn prune(&mut self, now_ms: Millis) {
        let since_ms = now_ms.saturating_sub(self.bound.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at_ms| *at_ms < since_ms) {
                times.pop_front();
            }
        }
    }
}
