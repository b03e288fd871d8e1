//! What one host knows of requests that end upstreams: as a home of crashes, and as any host.

use std::time::Duration;

use fulmarpath_policy::{
    Admission, Alibis, ContentKey, CrashRecord, Millis, Ruling, Rulings, Standing, UpstreamKey,
};
use parking_lot::Mutex;

/// Hosts that record a service's crashes. With one alone, what it knew would be gone with it, and
/// three more upstreams with that.
pub const CRASH_HOMES: usize = 2;
/// Between two looks of a home at reports that have come: those of one moment are ruled on together.
pub const JUDGE_PERIOD: Duration = Duration::from_millis(100);
/// When to come back while another request of the same content runs: about the time of a short one.
pub const ANOTHER_RUNS_MS: Millis = 500;

/// What one host knows of requests that end upstreams.
///
/// Lock order: crashes, rulings; alibis alone.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: Mutex<Crashes>,
    rulings: Mutex<Rulings>,
    alibis: Mutex<Alibis>,
}

/// As a home.
#[derive(Debug, Default)]
struct Crashes {
    record: CrashRecord,
    is_judging: bool,
}

/// What came of a home's look at its reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Judgement {
    /// Rulings that all hosts have to hear of.
    pub made: Vec<Ruling>,
    /// No report waits any more.
    pub is_over: bool,
}

impl Quarantine {
    /// Records a crash as a home; true where nobody is about to [judge](Self::judge).
    pub fn strike(&self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) -> bool {
        let mut crashes = self.crashes.lock();
        crashes.record.strike(now_ms, content, upstream);
        !std::mem::replace(&mut crashes.is_judging, true)
    }

    /// Rules as a home on what has settled.
    pub fn judge(&self, now_ms: Millis) -> Judgement {
        let mut crashes = self.crashes.lock();
        let made = crashes.record.judge(now_ms, &mut self.rulings.lock());
        crashes.is_judging = crashes.record.has_unjudged();
        Judgement {
            made,
            is_over: !crashes.is_judging,
        }
    }

    /// Frees a content as a home, and whoever was blamed beside it is to be judged; the ruling that
    /// all hosts have to hear of, and whether nobody is about to judge.
    pub fn clear(&self, now_ms: Millis, content: ContentKey) -> (Option<Ruling>, bool) {
        let mut crashes = self.crashes.lock();
        let freed = crashes
            .record
            .clear(now_ms, content, &mut self.rulings.lock());
        let must_judge = crashes.record.has_unjudged();
        let was_judging = crashes.is_judging;
        crashes.is_judging |= must_judge;
        (freed, must_judge && !was_judging)
    }

    /// Answers as a home whether a request of this content may be the one that runs.
    pub fn grant(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.crashes.lock().record.grant(now_ms, content)
    }

    /// Whether a request of this content may be sent.
    pub fn admit(&self, now_ms: Millis, content: ContentKey) -> Admission {
        self.rulings.lock().admit(now_ms, content)
    }

    /// Takes a ruling of a home; true where it is news.
    pub fn adopt(&self, now_ms: Millis, ruling: Ruling) -> bool {
        self.rulings.lock().adopt(now_ms, ruling)
    }

    /// The turn of the ruling on a content.
    pub fn turn(&self, content: ContentKey) -> Option<u32> {
        self.rulings.lock().find(content).map(|known| known.turn)
    }

    /// All rulings, as of now.
    pub fn rulings(&self, now_ms: Millis) -> Vec<Ruling> {
        self.rulings.lock().all(now_ms)
    }

    /// A hash of the rulings.
    pub fn digest(&self, now_ms: Millis) -> u64 {
        self.rulings.lock().digest(now_ms)
    }

    /// Contents that may not run like any other.
    pub fn restricted(&self) -> usize {
        self.rulings.lock().restricted()
    }

    /// A request of this content was answered whole; true where its homes have to hear of it.
    pub fn note_answer(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.alibis.lock().note(now_ms, content);
        let rulings = self.rulings.lock();
        let known = rulings.find(content);
        known.is_some_and(|known| known.standing != Standing::Free)
    }

    /// Whether a content ended well here lately.
    pub fn has_alibi(&self, now_ms: Millis, content: ContentKey) -> bool {
        self.alibis.lock().has(now_ms, content)
    }
}
