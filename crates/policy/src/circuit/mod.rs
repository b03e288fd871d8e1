//! Quarantine of poison requests, which crash every upstream that starts them. They are identified
//! by their content as a whole, or by a part of their prompts, and each such content has a circuit
//! breaker.
//!
//! Such a request terminates everything running on an upstream each time its caller retries, on any
//! host. No single host sees enough: the retries are new requests, each on another host and another
//! upstream. So all hosts report to the homes of crash reports which requests had just started on a
//! crashed upstream, a home decides on the circuit of each content, and every host keeps the
//! circuits.
//!
//! Requests that started at the same time are suspects too, so two crashes do not open a circuit
//! but half-open it: one request of the content runs at a time, as a probe. A harmless content
//! completes and closes the circuit; a third crash opens it.
//!
//! A part of a prompt is shared with requests that crash nothing, and so are the other parts of the
//! same prompt. Two crashes therefore only make a part suspected, which restricts nothing, until the
//! hosts have had time to report that it was answered. An open circuit of a part refuses prompts
//! with the same other parts, and others as well once the other parts can't be the cause; until then
//! prompts with different ones run as probes.

mod circuits;
mod companions;
mod contents;
mod evidence;
mod recent_successes;
mod record;
mod restoration;
mod suspect;
mod suspects;

use serde::{Deserialize, Serialize};

use crate::key::{ContentKey, Millis, UpstreamKey};

pub use circuits::Circuits;
pub use companions::Companions;
pub use contents::{CrashedRun, RequestContents, SharedPart, SoundContent, SuspectPart};
pub use recent_successes::RecentSuccesses;
pub use record::CrashRecord;
pub use restoration::Restoration;

/// How requests of one content may run, ordered by severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CircuitState {
    /// Without restriction.
    Closed,
    /// Without restriction, while hosts report whether it is answered.
    Suspected,
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
            Self::Suspected => "suspected",
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
    /// It stands for a part of prompts, not for a request as a whole.
    pub is_of_part: bool,
    /// Number of decisions on this content; a higher version replaces a lower one.
    pub version: u32,
    /// How its requests may run.
    pub state: CircuitState,
    /// How often the circuit has opened since it was last closed. A closed circuit keeps the number
    /// from before.
    pub openings: u32,
    /// The latest upstreams that crashed with this content.
    pub crashes: Vec<UpstreamKey>,
    /// What else had just begun on them.
    pub companions: Companions,
    /// Time since the decision.
    pub age_ms: Millis,
}

impl Circuit {
    /// Whether it is so old that no host keeps it.
    pub fn is_expired(&self) -> bool {
        self.age_ms >= self.expiry_ms()
    }

    fn expiry_ms(&self) -> Millis {
        match self.state {
            CircuitState::Suspected => UNRESTRICTED_EXPIRY_MS,
            CircuitState::Closed if self.openings == 0 => UNRESTRICTED_EXPIRY_MS,
            CircuitState::Closed | CircuitState::HalfOpen | CircuitState::Open => CIRCUIT_EXPIRY_MS,
        }
    }

    /// Whether requests of the content may be refused.
    pub fn restricts(&self) -> bool {
        matches!(self.state, CircuitState::HalfOpen | CircuitState::Open)
    }

    /// How long the circuit stays open in total; 0 if it is not open.
    fn open_ms(&self) -> Millis {
        if self.state != CircuitState::Open {
            return 0;
        }
        let before = (self.openings as usize).saturating_sub(1);
        let index = match self.is_of_part {
            true if before == 0 => return FIRST_PART_OPEN_MS,
            true => before - 1,
            false => before,
        };
        OPEN_MS[index.min(OPEN_MS.len() - 1)]
    }
}

/// Whether a request may be sent, ordered by severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
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

/// Whether a run that is being answered has lasted so long that its contents crash no upstream.
pub fn has_proved_sound(ran_ms: Millis) -> bool {
    !is_crash_suspect(Some(ran_ms))
}

/// Open time after the first, second and later openings. After each, one request probes whether
/// upstreams can run the content again, for example with a new version. The probe crashes an
/// upstream if they cannot, so at most three are lost per day.
const OPEN_MS: [Millis; 3] = [300_000, 3_600_000, 86_400_000];
/// The first open time of a part of prompts, after which one request probes it. Sound requests share
/// parts, so a part that was blamed by coincidence must not be refused for long.
const FIRST_PART_OPEN_MS: Millis = 10_000;
/// Circuits are dropped at this age, which is the longest open time.
const CIRCUIT_EXPIRY_MS: Millis = 86_400_000;
/// Suspected contents, and those that never had an open circuit and are closed again, are dropped at
/// this age: no host has an older decision on them any more.
const UNRESTRICTED_EXPIRY_MS: Millis = 60_000;
/// Maximum number of crashes kept per content. Three open a circuit; further ones only help to
/// clear other suspects.
const MAX_CRASHES: usize = 8;
