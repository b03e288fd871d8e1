//! Rate limit for requests to cold upstreams.
//!
//! An upstream that has just started, or that returns after the evacuation of its data centre,
//! handles only a limited request rate for a while and crashes well above it. Many hosts send to
//! it and none sees the others' requests, so one host, its home, grants the request starts. Hosts
//! may briefly disagree about which host that is, so each grants only a part of the limit.

use std::collections::VecDeque;

use crate::key::Millis;

/// Hosts that may act as the home of an upstream at the same time: one that is stopping or
/// partitioned, and its successor.
const CONCURRENT_HOMES: f32 = 2.0;
/// Window over which starts are counted.
const WINDOW_MS: Millis = 1_000;

/// How far the operator allows a service's cold rate to be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub overage: f32,
    /// Additional requests per second.
    pub slack: f32,
}

impl ColdBound {
    /// Starts that one host grants in any one second, for an upstream with a cold rate of
    /// `per_second`.
    pub fn starts_per_host(self, per_second: f32) -> u32 {
        let all = per_second * self.overage + self.slack;
        ((all / CONCURRENT_HOMES) as u32).max(1)
    }
}

/// Limit that applies to an upstream while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    /// When the limit ends.
    pub until_ms: Millis,
    /// Starts that one host may grant in any one second.
    pub starts: u32,
}

/// The recent starts that one host has granted for one cold upstream.
#[derive(Debug, Clone, Default)]
pub struct ColdStarts {
    at_ms: VecDeque<Millis>,
}

impl ColdStarts {
    /// When the next request may start. Not later than the current time if it may start now.
    pub fn next_ms(&self, max_starts: u32) -> Millis {
        let max_starts = max_starts as usize;
        match self.at_ms.len() < max_starts {
            true => 0,
            false => self.at_ms[self.at_ms.len() - max_starts] + WINDOW_MS,
        }
    }

    /// Counts a request that starts now.
    pub fn record(&mut self, now_ms: Millis) {
        self.at_ms
            .retain(|at_ms| now_ms.saturating_sub(*at_ms) < WINDOW_MS);
        self.at_ms.push_back(now_ms);
    }

    /// Whether no request has started within the window.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        let last_ms = self.at_ms.back();
        last_ms.is_none_or(|last_ms| now_ms.saturating_sub(*last_ms) >= WINDOW_MS)
    }

    /// Grants a start.
    ///
    /// # Errors
    /// The time until the next start, in ms.
    pub fn grant(&mut self, now_ms: Millis, max_starts: u32) -> Result<(), Millis> {
        let next_ms = self.next_ms(max_starts);
        if now_ms < next_ms {
            return Err(next_ms - now_ms);
        }
        self.record(now_ms);
        Ok(())
    }
}
