//! How many requests a cold upstream is sent.
//!
//! An upstream that has just started, or comes back after its data centre was evacuated, bears only so
//! many requests a second for a while and crashes well above that. Many hosts send to it and none sees
//! the others' requests, so one host hands out its starts. Hosts may differ for a moment in who that
//! is, so each hands out a part of the bound only.

use std::collections::VecDeque;

use crate::key::Millis;

/// Hosts that may take themselves for the one that hands out an upstream's starts at the same time:
/// one that is just gone or cut off, and its successor.
const HOMES: f32 = 2.0;
/// The time over which starts are counted.
const WINDOW_MS: Millis = 1_000;

/// What the operator allows beyond a service's own rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Times the rate.
    pub overage: f32,
    /// Requests more in a second.
    pub slack: f32,
}

impl ColdBound {
    /// Starts that one host hands out in any one second, at an upstream that bears `per_second`.
    pub fn starts_per_host(self, per_second: f32) -> u32 {
        let all = per_second * self.overage + self.slack;
        ((all / HOMES) as u32).max(1)
    }
}

/// An upstream that is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    /// Until when.
    pub until_ms: Millis,
    /// Starts that one host may hand out in any one second.
    pub starts: u32,
}

/// The starts that one host has handed out lately for one cold upstream.
#[derive(Debug, Clone, Default)]
pub struct ColdStarts {
    at_ms: VecDeque<Millis>,
}

impl ColdStarts {
    /// When the next request may start; now or before where it may at once.
    pub fn next_ms(&self, most: u32) -> Millis {
        let most = most as usize;
        match self.at_ms.len() < most {
            true => 0,
            false => self.at_ms[self.at_ms.len() - most] + WINDOW_MS,
        }
    }

    /// Counts a request that starts now.
    pub fn record(&mut self, now_ms: Millis) {
        self.at_ms
            .retain(|at_ms| now_ms.saturating_sub(*at_ms) < WINDOW_MS);
        self.at_ms.push_back(now_ms);
    }

    /// Whether nothing has started lately.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        let last_ms = self.at_ms.back();
        last_ms.is_none_or(|last_ms| now_ms.saturating_sub(*last_ms) >= WINDOW_MS)
    }

    /// Hands out a start.
    ///
    /// # Errors
    /// How long to wait for the next one, in ms.
    pub fn grant(&mut self, now_ms: Millis, most: u32) -> Result<(), Millis> {
        let next_ms = self.next_ms(most);
        if now_ms < next_ms {
            return Err(next_ms - now_ms);
        }
        self.record(now_ms);
        Ok(())
    }
}
