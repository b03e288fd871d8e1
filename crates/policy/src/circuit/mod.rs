//! Quarantine of poison requests, which crash every upstream that starts them. They are identified
//! by their content, and each content has a circuit breaker.
//!
//! Such a request terminates everything running on an upstream each time its caller retries, on any
//! host. No single host sees enough: the retries are new requests, each on another host and another
//! upstream. So all hosts report to the home of a service which requests had just started on a
//! crashed upstream, the home decides on the circuit of each content, and every host keeps the
//! circuits.
//!
//! Requests that started at the same time are suspects too, so two crashes do not open a circuit
//! but half-open it: one request of the content runs at a time, as a probe. A harmless content
//! completes and closes the circuit; a third crash opens it.

mod circuits;
mod recent_successes;
mod record;
mod restoration;

use serde::{Deserialize, Serialize};

use crate::key::{ContentKey, Millis, UpstreamKey};

pub use circuits::Circuits;
pub use recent_successes::RecentSuccesses;
pub use record::CrashRecord;
pub use restoration::Restoration;

/// How requests of one content may run, ordered by severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CircuitState {
    /// Without restriction.
    Closed,
    /// One at a time in the whole fleet, as a probe granted by the home.
    HalfOpen,
    /// Not at all for a time, then one at a time.
    Open,
}

impl CircuitState {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::HalfOpen => "half-open",
            Self::Open => "open",
        }
    }
}

/// The circuit of a content, as decided by a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Circuit {
    /// The content.
    pub content: ContentKey,
    /// Number of decisions on this content; a higher version replaces a lower one.
    pub version: u32,
    /// How its requests may run.
    pub state: CircuitState,
    /// How often the circuit has opened since it was last closed. A closed circuit keeps the number
    /// from before.
    pub openings: u32,
    /// The latest upstreams that crashed with this content.
    pub crashes: Vec<UpstreamKey>,
    /// Time since the decision.
    pub age_ms: Millis,
}

impl Circuit {
    /// Whether it is so old that no host keeps it.
    pub fn is_expired(&self) -> bool {
        self.age_ms >= CIRCUIT_EXPIRY_MS
    }

    /// How long the circuit stays open in total; 0 if it is not open.
    fn open_ms(&self) -> Millis {
        if self.state != CircuitState::Open {
            return 0;
        }
        let last_index = OPEN_MS.len() - 1;
        let before = (self.openings as usize).saturating_sub(1);
        OPEN_MS[before.min(last_index)]
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It may be sent if the home grants it as the probe.
    NeedsProbe,
    /// It may not be sent.
    Refused {
        /// Time until the circuit is half-open.
        retry_after_ms: Millis,
    },
}

/// A run that has lasted longer did not crash its upstream. Poison requests crash it as they start,
/// and a tenth of the duration of a long generation is enough to tell them from those that merely
/// ran on the same upstream.
const MAX_SUSPECT_RUN_MS: Millis = 1_000;

/// Whether a run may have crashed its upstream, given how long it ran there; `None` if no part of
/// its answer had arrived.
pub fn is_crash_suspect(ran_ms: Option<Millis>) -> bool {
    ran_ms.is_none_or(|ran_ms| ran_ms < MAX_SUSPECT_RUN_MS)
}

/// Crashes that half-open a circuit. Two may be a coincidence, for example when a caller's retry
/// meets the same fault as its first attempt.
const HALF_OPEN_CRASHES: usize = 2;
/// Crashes that open a circuit: the third one happened while no other request of its content was
/// running. Each crash terminates everything on the upstream, one or two generations at usual load
/// and up to all slots at full load.
const OPEN_CRASHES: usize = 3;
/// Open time after the first, second and later openings. After each, one request probes whether
/// upstreams can run the content again, for example with a new version. The probe crashes an
/// upstream if they cannot, so at most three are lost per day.
const OPEN_MS: [Millis; 3] = [300_000, 3_600_000, 86_400_000];
/// Circuits are dropped at this age, which is the longest open time.
const CIRCUIT_EXPIRY_MS: Millis = 86_400_000;
/// Maximum number of crashes kept per content. Three open a circuit; further ones only help to
/// clear other suspects.
const MAX_CRASHES: usize = 8;
