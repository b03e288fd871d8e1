//! Poison requests, which end whatever upstream begins to run them, told by their content and held back
//! by a circuit breaker for each content.
//!
//! Such a request costs all that runs on an upstream each time its caller tries again, at any host.
//! No host sees enough: the tries are new requests, each at another host and another upstream. So all
//! hosts report to the home of a service who had just begun on an upstream that ended, the home decides
//! on each content's circuit, and every host keeps the circuits.
//!
//! Whoever began beside is suspected as well, so two crashes don't open a circuit: they half-open it,
//! and one request of the content runs at a time, as a probe. One that does no harm ends well then and
//! closes it; a third crash opens it.

mod circuits;
mod record;
mod restoration;
mod successes;

use serde::{Deserialize, Serialize};

use crate::key::{ContentKey, Millis, UpstreamKey};

pub use circuits::Circuits;
pub use record::CrashRecord;
pub use restoration::Restoration;
pub use successes::RecentSuccesses;

/// How requests of one content may run, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CircuitState {
    /// Like any other.
    Closed,
    /// One at a time in the whole fleet, as a probe that the home grants.
    HalfOpen,
    /// Not at all for a time, then one at a time.
    Open,
}

impl CircuitState {
    /// What is told of it in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::HalfOpen => "half-open",
            Self::Open => "open",
        }
    }
}

/// The circuit of a content, as a home has decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Circuit {
    /// The content.
    pub content: ContentKey,
    /// Counts the decisions on this content; a later one replaces an earlier one.
    pub version: u32,
    /// How its requests may run.
    pub state: CircuitState,
    /// How often it was opened; a closed one keeps the number.
    pub openings: u32,
    /// The latest upstreams that ended under it.
    pub crashes: Vec<UpstreamKey>,
    /// Since the decision.
    pub age_ms: Millis,
}

impl Circuit {
    /// Whether it is so old that no host keeps it.
    pub fn is_forgotten(&self) -> bool {
        self.age_ms >= FORGET_MS
    }

    /// How long it is open in all; 0 where it isn't.
    fn open_ms(&self) -> Millis {
        if self.state != CircuitState::Open {
            return 0;
        }
        let last = OPEN_MS.len() - 1;
        let before = (self.openings as usize).saturating_sub(1);
        OPEN_MS[before.min(last)]
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It may if the home grants it as the probe.
    NeedsProbe,
    /// It may not.
    Refused {
        /// Until the circuit is half-open.
        retry_after_ms: Millis,
    },
}

/// A run that has lasted for so long is not what ends its upstream. Requests that do end it as they begin;
/// a tenth of a long generation's time is enough to tell those that merely ran beside from them.
const BEGUN_MS: Millis = 1_000;

/// Whether a run may be what ended its upstream, after so long there; `None` where nothing of its
/// answer had come.
pub fn is_crash_suspect(ran_ms: Option<Millis>) -> bool {
    ran_ms.is_none_or(|ran_ms| ran_ms < BEGUN_MS)
}

/// Crashes after which a circuit is half-open: two may be chance, as where a caller's second
/// try meets the same trouble as its first.
const HALF_OPEN_CRASHES: usize = 2;
/// Crashes after which it is open: the third came while its content ran alone of its kind. Each one
/// cuts what runs beside, one or two generations on an ordinary day, up to all slots on a full one.
const OPEN_CRASHES: usize = 3;
/// How long it is open the first, second and later times. After each, one request shows whether upstreams bear
/// the content by now, as with a new version; it costs an upstream where they don't, so three at the
/// most are spent on a day.
const OPEN_MS: [Millis; 3] = [300_000, 3_600_000, 86_400_000];
/// After so long a circuit is forgotten: as long as one is open at the most.
const FORGET_MS: Millis = 86_400_000;
/// Crashes kept of a content. Opening takes three; more only clear more others.
const MOST_CRASHES: usize = 8;
