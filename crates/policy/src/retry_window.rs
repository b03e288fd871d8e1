//! This host's share of the retries that an operator allows a service over the whole fleet.
//!
//! The bound is `ratio` of the requests plus a fixed extra, in any window of a given length, for
//! all hosts together. A host spends `ratio` of its own requests, which adds up whatever the
//! balance between hosts, and an equal part of the extra. No message between hosts is needed, and
//! a host that can reach none of the others stays within the bound.

use std::collections::VecDeque;

use crate::key::Millis;

/// The part of the bound that is spent: hosts may disagree for a while on how many they are, and a
/// request is counted at the upstream a little after this host counts it.
const CAUTION: f32 = 0.7;

/// The operator's bound on retries of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f32,
    /// Retries beside these, over the whole fleet.
    pub extra: f32,
    /// The window that the bound holds for.
    pub window_ms: Millis,
}

/// Requests and retries of one service at one host within the window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    bound: RetryBound,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryWindow {
    /// An empty window.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the bound; what was spent stays spent.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// A request of a caller came.
    pub fn record_request(&mut self, now_ms: Millis) {
        self.forget(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Whether a request may be sent once more; counted where it may.
    pub fn try_retry(&mut self, now_ms: Millis, hosts: usize) -> bool {
        if self.remaining(now_ms, hosts) < 1.0 {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// A request goes on elsewhere from a copy of its memory: that is not asked about, since nobody makes
    /// again what is there already, but it arrives at the service like a retry, and leaves the fewer.
    pub fn record_continuation(&mut self, now_ms: Millis) {
        self.forget(now_ms);
        self.retries.push_back(now_ms);
    }

    /// Requests that may still be sent once more within the window.
    pub fn remaining(&mut self, now_ms: Millis, hosts: usize) -> f32 {
        self.forget(now_ms);
        let own = self.bound.ratio * self.requests.len() as f32;
        let extra = self.bound.extra / hosts.max(1) as f32;
        let allowed = (own + extra) * CAUTION;
        allowed - self.retries.len() as f32
    }

    fn forget(&mut self, now_ms: Millis) {
        let since_ms = now_ms.saturating_sub(self.bound.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at_ms| *at_ms < since_ms) {
                times.pop_front();
            }
        }
    }
}
