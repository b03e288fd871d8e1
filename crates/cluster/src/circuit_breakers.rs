//! What one host knows of poison requests: as a home of crashes, and as any host.

use std::time::Duration;

use fulmarpath_policy::{
    Admission, Circuit, CircuitState, Circuits, ContentKey, CrashRecord, Millis, RecentSuccesses,
    UpstreamKey,
};
use parking_lot::Mutex;

/// Hosts that record a service's crashes. With one alone, what it knew would be gone with it, and
/// three more upstreams with that.
pub const CRASH_HOMES: usize = 2;
/// Between two looks of a home at reports that have come: those of one moment are decided on together.
pub(crate) const EVALUATION_PERIOD: Duration = Duration::from_millis(100);
/// When to come back while another request of the same content runs: about the time of a short one.
pub(crate) const PROBE_RUNS_MS: Millis = 500;

/// What one host knows of poison requests.
///
/// Lock order: crashes, circuits; successes alone.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    crashes: Mutex<Crashes>,
    circuits: Mutex<Circuits>,
    successes: Mutex<RecentSuccesses>,
}

/// As a home.
#[derive(Debug, Default)]
struct Crashes {
    record: CrashRecord,
    is_evaluating: bool,
}

/// What came of a home's look at its reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evaluation {
    /// Circuits that all hosts have to hear of.
    pub decided: Vec<Circuit>,
    /// No report waits any more.
    pub is_over: bool,
}

impl CircuitBreakers {
    /// Records a crash as a home; true where nobody is about to [evaluate](Self::evaluate).
    pub fn report(&self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) -> bool {
        let mut crashes = self.crashes.lock();
        crashes.record.report(now_ms, content, upstream);
        !std::mem::replace(&mut crashes.is_evaluating, true)
    }

    /// Decides as a home on what has settled.
    pub fn evaluate(&self, now_ms: Millis) -> Evaluation {
        let mut crashes = self.crashes.lock();
        let decided = crashes.record.evaluate(now_ms, &mut self.circuits.lock());
        crashes.is_evaluating = crashes.record.has_unevaluated();
        Evaluation {
            decided,
            is_over: !crashes.is_evaluating,
        }
    }

    /// Closes a content's circuit as a home, and who was suspected beside it is to be decided on; the circuit that
    /// all hosts have to hear of, and whether nobody is about to evaluate.
    pub fn clear(&self, now_ms: Millis, content: ContentKey) -> (Option<Circuit>, bool) {
        let mut crashes = self.crashes.lock();
        let closed = crashes
            .record
            .clear(now_ms, content, &mut self.circuits.lock());
        let must_evaluate = crashes.record.has_unevaluated();
        let was_evaluating = crashes.is_evaluating;
        crashes.is_evaluating |= must_evaluate;
        (closed, must_evaluate && !was_evaluating)
    }

    /// Answers as a home whether a request of this content may be the one that runs.
    pub fn grant_probe(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.crashes.lock().record.grant_probe(now_ms, content)
    }

    /// Whether a request of this content may be sent.
    pub fn admit(&self, now_ms: Millis, content: ContentKey) -> Admission {
        self.circuits.lock().admit(now_ms, content)
    }

    /// Takes a circuit of a home; true where it is news.
    pub fn adopt(&self, now_ms: Millis, circuit: Circuit) -> bool {
        self.circuits.lock().adopt(now_ms, circuit)
    }

    /// The version of a content's circuit.
    pub fn version(&self, content: ContentKey) -> Option<u32> {
        self.circuits
            .lock()
            .find(content)
            .map(|known| known.version)
    }

    /// All circuits, as of now.
    pub fn circuits(&self, now_ms: Millis) -> Vec<Circuit> {
        self.circuits.lock().all(now_ms)
    }

    /// A hash of the circuits.
    pub fn digest(&self, now_ms: Millis) -> u64 {
        self.circuits.lock().digest(now_ms)
    }

    /// Contents that may not run like any other.
    pub fn restricted(&self) -> usize {
        self.circuits.lock().restricted()
    }

    /// A request of this content was answered whole; true where its homes have to hear of it.
    pub fn note_success(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.successes.lock().record(now_ms, content);
        let circuits = self.circuits.lock();
        let known = circuits.find(content);
        known.is_some_and(|known| known.state != CircuitState::Closed)
    }

    /// Whether a content ended well here lately.
    pub fn has_succeeded(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.successes.lock().contains(now_ms, content)
    }
}
