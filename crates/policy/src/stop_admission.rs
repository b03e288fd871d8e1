//! Which requests a stopping host still accepts.
//!
//! A request that is cut by the end of the process is lost to its caller, who may not be able to
//! repeat it; one that is refused as not run is served by another host in time.

use std::collections::HashMap;

use crate::key::Millis;

/// Time per output token on a loaded engine: one and a half times that of an engine under normal
/// load.
const TOKEN_MS: Millis = 16;
/// Time to the first token on a loaded engine.
const FIRST_TOKEN_MS: Millis = 1_500;
/// How long the longest response of a route counts, at least.
const WINDOW_MS: Millis = 60_000;
/// Margin over the longest response of late, as a part of it.
const MARGIN_PART: Millis = 4;

/// Whether a generation of at most `limit_tokens` is certain to end before the process does.
pub fn can_finish_generation(now_ms: Millis, ends_ms: Millis, limit_tokens: u32) -> bool {
    let longest_ms = FIRST_TOKEN_MS + Millis::from(limit_tokens) * TOKEN_MS;
    now_ms + longest_ms <= ends_ms
}

/// What a stopping host knows of a request that is no generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateRequest {
    /// Its caller's deadline or its route's time limit, whichever is earlier.
    pub deadline_ms: Millis,
    /// Whether its caller may repeat it after any failure.
    pub is_repeatable: bool,
    /// The longest response of its route of late, if there was one.
    pub longest_ms: Option<Millis>,
}

impl LateRequest {
    /// Whether it may be accepted by a host that sends its last responses at `last_ms`: it ends
    /// before that in any case or, if it may be repeated, probably.
    pub fn can_finish(self, now_ms: Millis, last_ms: Millis) -> bool {
        if self.deadline_ms <= last_ms {
            return true;
        }
        let longest_ms = self.longest_ms.filter(|_| self.is_repeatable);
        longest_ms
            .is_some_and(|longest_ms| now_ms + longest_ms + longest_ms / MARGIN_PART <= last_ms)
    }
}

/// How long requests took of late, by route.
#[derive(Debug, Default)]
pub struct LongestResponses {
    began_ms: Millis,
    current: HashMap<String, Millis>,
    previous: HashMap<String, Millis>,
}

impl LongestResponses {
    /// Records how long a request took.
    pub fn record(&mut self, now_ms: Millis, route: &str, took_ms: Millis) {
        self.rotate(now_ms);
        match self.current.get_mut(route) {
            Some(longest_ms) => *longest_ms = took_ms.max(*longest_ms),
            None => {
                self.current.insert(route.to_owned(), took_ms);
            }
        }
    }

    /// The longest that was recorded in the last one to two minutes; `None` if none was.
    pub fn longest_ms(&mut self, now_ms: Millis, route: &str) -> Option<Millis> {
        self.rotate(now_ms);
        let current = self.current.get(route);
        let previous = self.previous.get(route);
        current.max(previous).copied()
    }

    fn rotate(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        if age_ms < WINDOW_MS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age_ms >= 2 * WINDOW_MS {
            self.previous.clear();
        }
        self.began_ms = now_ms;
    }
}
