//! The state of the quarantine of poison requests on one host: crash reports where it is a home,
//! and circuits on any host.

use std::collections::HashSet;
use std::time::Duration;

use fulmarpath_policy::{
    Admission, Circuit, CircuitState, Circuits, ContentKey, CrashRecord, CrashedRun, Millis,
    RecentSuccesses, RequestContents, SoundContent, SuspectPart,
};
use parking_lot::Mutex;

/// Number of hosts that record crashes. If a single home failed, its reports would be lost, and
/// three more upstreams would crash before the circuit opens.
pub const CRASH_HOMES: usize = 2;
/// Period in which a home evaluates its reports; those that arrive together are decided together.
pub(crate) const EVALUATION_PERIOD: Duration = Duration::from_millis(100);
/// When to retry while another request of the same content runs as the probe: about the duration of
/// a short request.
pub(crate) const PROBE_RETRY_MS: Millis = 500;
/// Maximum number of parts of one prompt that are reported as suspects of a crash.
const MAX_SUSPECT_PARTS: usize = 64;

/// The crash reports, circuits and recent successes that one host holds.
///
/// Lock order: crashes, circuits, successes.
#[derive(Debug, Default)]
pub struct CircuitBreakers {
    crashes: Mutex<Crashes>,
    circuits: Mutex<Circuits>,
    successes: Mutex<Successes>,
}

/// Crash reports received as a home.
#[derive(Debug, Default)]
struct Crashes {
    record: CrashRecord,
    is_evaluating: bool,
}

/// What was answered on this host.
#[derive(Debug, Default)]
struct Successes {
    whole: RecentSuccesses,
    /// Apart from whole contents, since there are several parts per request.
    parts: RecentSuccesses,
    /// Suspected contents for which a report that they are sound is scheduled.
    scheduled: HashSet<ContentKey>,
}

/// The result of a home's evaluation of its reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evaluation {
    /// Circuits that have to be announced to all hosts.
    pub decided: Vec<Circuit>,
    /// Whether no report is pending.
    pub is_over: bool,
}

/// What the homes have to be told after a request was answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoundContents {
    /// Contents whose circuit restricts requests.
    pub restricted: Vec<SoundContent>,
    /// Contents that are only suspected.
    pub suspected: Vec<ContentKey>,
}

impl CircuitBreakers {
    /// Records a crash as a home; true where the caller has to schedule
    /// [`evaluate`](Self::evaluate).
    pub fn report(&self, now_ms: Millis, run: &CrashedRun) -> bool {
        let mut crashes = self.crashes.lock();
        crashes.record.report(now_ms, run);
        !std::mem::replace(&mut crashes.is_evaluating, true)
    }

    /// Decides as a home on the reports that are due.
    pub fn evaluate(&self, now_ms: Millis) -> Evaluation {
        let mut crashes = self.crashes.lock();
        let decided = crashes.record.evaluate(now_ms, &mut self.circuits.lock());
        crashes.is_evaluating = crashes.record.is_pending();
        Evaluation {
            decided,
            is_over: !crashes.is_evaluating,
        }
    }

    /// Clears a content as a home, which makes a decision on the other suspects of its crashes due.
    /// Returns the circuit to announce to all hosts, and whether the caller has to schedule
    /// [`evaluate`](Self::evaluate).
    pub fn clear(&self, now_ms: Millis, sound: SoundContent) -> (Option<Circuit>, bool) {
        let mut crashes = self.crashes.lock();
        let closed = crashes
            .record
            .clear(now_ms, sound, &mut self.circuits.lock());
        let must_evaluate = crashes.record.is_pending();
        let was_evaluating = crashes.is_evaluating;
        crashes.is_evaluating |= must_evaluate;
        (closed, must_evaluate && !was_evaluating)
    }

    /// Decides as a home whether a request with these restricted contents may run as the probe.
    pub fn grant_probe(&self, now_ms: Millis, contents: &[ContentKey]) -> bool {
        self.crashes.lock().record.grant_probe(now_ms, contents)
    }

    /// Lets another request be the probe of these contents, as a home.
    pub fn release_probe(&self, contents: &[ContentKey]) {
        self.crashes.lock().record.release_probe(contents);
    }

    /// Whether a request with these contents may be sent.
    pub fn admit(&self, now_ms: Millis, contents: &RequestContents) -> Admission {
        self.circuits.lock().admit(now_ms, contents)
    }

    /// Whether any content of a request is suspected or restricted.
    pub fn is_suspected(&self, now_ms: Millis, contents: &RequestContents) -> bool {
        self.circuits.lock().is_suspected(now_ms, contents)
    }

    /// The contents of a request that have this admission.
    pub fn with_admission(
        &self,
        now_ms: Millis,
        contents: &RequestContents,
        admission: Admission,
    ) -> Vec<ContentKey> {
        let circuits = self.circuits.lock();
        circuits.with_admission(now_ms, contents, admission)
    }

    /// Adopts a circuit decided by a home; true where it was an update.
    pub fn adopt(&self, now_ms: Millis, circuit: Circuit) -> bool {
        self.circuits.lock().adopt(now_ms, circuit)
    }

    /// Whether the circuit of a content restricts its requests.
    pub fn restricts(&self, content: ContentKey) -> bool {
        let circuits = self.circuits.lock();
        circuits.find(content).is_some_and(Circuit::restricts)
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

    /// Records that an upstream which began to answer a request at `began_ms` did not crash with
    /// it. Returns what the homes have to be told.
    pub fn note_success(
        &self,
        now_ms: Millis,
        contents: &RequestContents,
        began_ms: Millis,
    ) -> SoundContents {
        let circuits = self.circuits.lock();
        self.successes.lock().record(now_ms, contents, began_ms);
        let mut sound = SoundContents::default();
        for content in contents.keys() {
            match circuits.find(content).map(|known| known.state) {
                None | Some(CircuitState::Closed) => {}
                Some(CircuitState::Suspected) => sound.suspected.push(content),
                Some(CircuitState::HalfOpen | CircuitState::Open) => {
                    sound.restricted.push(SoundContent {
                        content,
                        began_ms_ago: now_ms.saturating_sub(began_ms),
                    });
                }
            }
        }
        sound
    }

    /// The contents of a request that may have crashed an upstream: those that were not answered
    /// on this host recently.
    pub fn suspects(
        &self,
        now_ms: Millis,
        contents: &RequestContents,
    ) -> (Option<ContentKey>, Vec<SuspectPart>) {
        let mut successes = self.successes.lock();
        let is_sound = successes.whole.contains(now_ms, contents.whole);
        let whole = (!is_sound).then_some(contents.whole);
        let mut ms_ago = |content| {
            let latest_ms = successes.parts.latest_ms(now_ms, content)?;
            Some(now_ms.saturating_sub(latest_ms))
        };
        let parts = contents.parts.iter().map(|part| SuspectPart {
            part: *part,
            sound_any_model_ms_ago: ms_ago(part.any_model),
            sound_in_model_ms_ago: ms_ago(part.in_model),
        });
        let suspected = parts.filter(|suspect| !suspect.is_cleared());
        (whole, suspected.take(MAX_SUSPECT_PARTS).collect())
    }

    /// Those of the given suspected contents for which a report that they are sound has to be
    /// scheduled, because they were answered here and none is scheduled yet.
    pub fn schedule_reports(&self, now_ms: Millis, contents: Vec<ContentKey>) -> Vec<ContentKey> {
        let mut successes = self.successes.lock();
        let mut to_report = contents;
        to_report.retain(|content| {
            let is_sound = successes.parts.contains(now_ms, *content);
            is_sound && successes.scheduled.insert(*content)
        });
        to_report
    }

    /// Takes the scheduled reports of contents that are still suspected.
    pub fn take_reports(&self, now_ms: Millis, scheduled: &[ContentKey]) -> Vec<SoundContent> {
        let circuits = self.circuits.lock();
        let mut successes = self.successes.lock();
        let mut reports = Vec::new();
        for content in scheduled {
            successes.scheduled.remove(content);
            if circuits.find_active(now_ms, *content).is_none() {
                continue;
            }
            if let Some(began_ms) = successes.parts.latest_ms(now_ms, *content) {
                reports.push(SoundContent {
                    content: *content,
                    began_ms_ago: now_ms.saturating_sub(began_ms),
                });
            }
        }
        reports
    }
}

impl Successes {
    fn record(&mut self, now_ms: Millis, contents: &RequestContents, began_ms: Millis) {
        self.whole.record(now_ms, contents.whole, began_ms);
        for content in contents.keys().skip(1) {
            self.parts.record(now_ms, content, began_ms);
        }
    }
}
