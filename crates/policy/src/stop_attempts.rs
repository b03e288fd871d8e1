//! How often an engine is asked to stop a generation that continues on another one.
//!
//! An engine whose connection was reset may generate on, and the loss of one request or response
//! must not leave two engines at work on the same generation.

use crate::key::Millis;

/// Time between two attempts. An engine that refuses connections while its queue is long, or is
/// still busy with an earlier copy of the generation, is free within some of them.
const RETRY_INTERVAL_MS: Millis = 60;
/// After this time no more attempts are made: most of what an engine still generates is done.
const STOP_TIMEOUT_MS: Millis = 2_500;

/// The outcome of one attempt to stop a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The engine has stopped it.
    Stopped,
    /// The engine does not run it.
    NotRunning,
    /// No connection to the engine can be made.
    Unreachable,
    /// The engine may still run it.
    Undecided,
}

/// The attempts to stop one generation on one engine.
#[derive(Debug, Clone, Copy)]
pub struct StopAttempts {
    began_ms: Millis,
}

impl StopAttempts {
    /// Begins with the first attempt.
    pub fn new(now_ms: Millis) -> Self {
        Self { began_ms: now_ms }
    }

    /// Time until the next attempt, in ms; `None` if there is none.
    pub fn retry_after_ms(self, now_ms: Millis, reply: StopReply) -> Option<Millis> {
        let is_overdue = now_ms.saturating_sub(self.began_ms) >= STOP_TIMEOUT_MS;
        let is_open = reply == StopReply::Undecided && !is_overdue;
        is_open.then_some(RETRY_INTERVAL_MS)
    }
}
