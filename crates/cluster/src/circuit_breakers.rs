//! The state of the quarantine of poison requests on one host: crash reports where it is a home,
//! and circuits on any host.

use std::time::Duration;

use fulmarpath_policy::{
    Admission, Circuit, CircuitState, Circuits, ContentKey, CrashRecord, Millis, RecentSuccesses,
    UpstreamKey,
};
use parking_lot::Mutex;

/// Number of hosts that record a service's crashes. If a single home failed, its reports would be
/// lost, and three more upstreams would crash before the circuit opens.
pub const CRASH_HOMES: usize = 2;
/// Period in which a home evaluates its reports; those that arrive together are decided together.
pub(crate) const EVALUATION_PERIOD: Duration = Duration::from_millis(100);
/// When to retry while another request of the same content runs as the probe: about the duration of
/// a short request.
pub(crate) const PROBE_RETRY_MS: Millis = 500;

/// The crash reports, circuits and recent successes that one host holds.
///
/// Lock order: crashes, circuits; successes alone.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    crashes: Mutex<Crashes>,
    circuits: Mutex<Circuits>,
    successes: Mutex<RecentSuccesses>,
}

/// Crash reports received as a home.
#[derive(Debug, Default)]
struct Crashes {
    record: CrashRecord,
    is_evaluating: bool,
}

/// The result of a home's evaluation of its reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evaluation {
    /// Circuits that have to be announced to all hosts.
    pub decided: Vec<Circuit>,
    /// Whether no report is pending.
    pub is_over: bool,
}

impl CircuitBreakers {
    /// Records a crash as a home; true where the caller has to schedule
    /// [`evaluate`](Self::evaluate).
    pub fn report(&self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) -> bool {
        let mut crashes = self.crashes.lock();
        crashes.record.report(now_ms, content, upstream);
        !std::mem::replace(&mut crashes.is_evaluating, true)
    }

    /// Decides as a home on the reports that are due.
    pub fn evaluate(&self, now_ms: Millis) -> Evaluation {
        let mut crashes = self.crashes.lock();
        let decided = crashes.record.evaluate(now_ms, &mut self.circuits.lock());
        crashes.is_evaluating = crashes.record.has_unevaluated();
        Evaluation {
            decided,
            is_over: !crashes.is_evaluating,
        }
    }

    /// Closes a content's circuit as a home, which makes a decision on the other suspects of its
    /// crashes due. Returns the circuit to announce to all hosts, and whether the caller has to
    /// schedule [`evaluate`](Self::evaluate).
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

    /// Decides as a home whether a request of this content may run as the circuit's probe.
    pub fn grant_probe(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.crashes.lock().record.grant_probe(now_ms, content)
    }

    /// Whether a request of this content may be sent.
    pub fn admit(&self, now_ms: Millis, content: ContentKey) -> Admission {
        self.circuits.lock().admit(now_ms, content)
    }

    /// Adopts a circuit decided by a home; true where it was an update.
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

    /// All circuits at the given time.
    pub fn circuits(&self, now_ms: Millis) -> Vec<Circuit> {
        self.circuits.lock().all(now_ms)
    }

    /// A digest of the circuits.
    pub fn digest(&self, now_ms: Millis) -> u64 {
        self.circuits.lock().digest(now_ms)
    }

    /// Number of contents whose circuit restricts their requests.
    pub fn restricted(&self) -> usize {
        self.circuits.lock().restricted()
    }

    /// Records a completely answered request of this content; true where its homes have to be
    /// notified.
    pub fn note_success(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.successes.lock().record(now_ms, content);
        let circuits = self.circuits.lock();
        let known = circuits.find(content);
        known.is_some_and(|known| known.state != CircuitState::Closed)
    }

    /// Whether a request of this content succeeded on this host recently.
    pub fn has_succeeded(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.successes.lock().contains(now_ms, content)
    }
}
