//! What the home of crash reports knows of one suspected content.

use crate::cell::RunKey;
use crate::circuit::{Circuit, CircuitState, Companions};
use crate::key::{ContentKey, Millis, UpstreamKey};

/// Delay between the first report of a crash and the decision on it. The reports of one crash come
/// from several hosts, some after a connection that times out (250 ms) instead of being refused. A
/// decision at the first report could take a content for the cause only because it was reported
/// first. Each crash settles independently; otherwise a caller that retries faster than this could
/// postpone the decision indefinitely.
const SETTLE_MS: Millis = 300;
/// How long the crashes of a content count after the latest report of one. A caller that returns
/// later is treated as new.
pub(super) const CRASH_EXPIRY_MS: Millis = 600_000;
/// Maximum number of crashes recorded per content. A circuit lists fewer, but the other suspects of
/// a crash that is not recorded any more would not be cleared of it.
const MAX_RECORDED_CRASHES: usize = 32;

/// What a content stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ContentKind {
    /// A request as a whole.
    Whole,
    /// A part of prompts for one model.
    PartInModel,
    /// A part of prompts for any model.
    PartInAnyModel,
}

/// The crash of an upstream, as reported for one content.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    pub(super) upstream: UpstreamKey,
    /// The run that had the content; `None` if the crash is known from a circuit.
    pub(super) run: Option<RunKey>,
    /// When the request had been sent to the upstream.
    pub(super) sent_ms: Millis,
    pub(super) reported_ms: Millis,
    pub(super) is_evaluated: bool,
    /// Another content that is taken for the cause.
    pub(super) cause: Option<ContentKey>,
}

impl Crash {
    fn is_settled(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.reported_ms) >= SETTLE_MS
    }
}

/// A content that had just started on upstreams when they crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub(super) kind: ContentKind,
    pub(super) crashes: Vec<Crash>,
    /// The same part with or without the model.
    pub(super) sibling: Option<ContentKey>,
    /// What an earlier home knew to have come with it.
    pub(super) inherited: Option<Companions>,
    pub(super) reported_ms: Millis,
    /// Since when its circuit has not been closed.
    pub(super) suspected_ms: Option<Millis>,
    /// When to decide on it again without a new report.
    pub(super) wake_ms: Option<Millis>,
    /// The version of its circuit whose crashes are included here.
    merged_version: u32,
}

impl Suspect {
    pub(super) fn new(kind: ContentKind, sibling: Option<ContentKey>) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            sibling,
            inherited: None,
            reported_ms: 0,
            suspected_ms: None,
            wake_ms: None,
            merged_version: 0,
        }
    }

    /// Drops the crashes if the latest report of one has expired.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.reported_ms) >= CRASH_EXPIRY_MS {
            *self = Self::new(self.kind, self.sibling);
        }
    }

    pub(super) fn crash_on(&self, upstream: UpstreamKey) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.upstream == upstream)
    }

    /// The crashes of which it may be the cause.
    pub(super) fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.cause.is_none())
    }

    /// The same, without those of which reports may still arrive.
    pub(super) fn settled(&self, now_ms: Millis) -> Vec<Crash> {
        let settled = self.unexplained().filter(|crash| crash.is_settled(now_ms));
        settled.copied().collect()
    }

    /// Adds a crash; false if it was known.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        if self.crash_on(crash.upstream).is_some() {
            return false;
        }
        if self.crashes.len() >= MAX_RECORDED_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Drops the crashes that were reported before a run with this content began to be answered.
    /// Returns the upstreams of the dropped ones.
    pub(super) fn forget_before(&mut self, began_ms: Millis) -> Vec<UpstreamKey> {
        let (dropped, kept) = self
            .crashes
            .iter()
            .partition::<Vec<Crash>, _>(|crash| crash.reported_ms < began_ms);
        self.crashes = kept;
        if self.crashes.is_empty() {
            self.inherited = None;
        }
        dropped.iter().map(|crash| crash.upstream).collect()
    }

    /// Includes the crashes that its circuit lists, from which a new home learns of earlier ones.
    pub(super) fn merge(&mut self, now_ms: Millis, circuit: &Circuit) {
        if circuit.state == CircuitState::Closed || circuit.version <= self.merged_version {
            return;
        }
        self.merged_version = circuit.version;
        let decided_ms = now_ms.saturating_sub(circuit.age_ms);
        self.suspected_ms.get_or_insert(decided_ms);
        let mut is_new = false;
        for upstream in &circuit.crashes {
            is_new |= self.add(Crash {
                upstream: *upstream,
                run: None,
                sent_ms: 0,
                reported_ms: decided_ms,
                is_evaluated: true,
                cause: None,
            });
        }
        if is_new {
            self.inherited = Some(circuit.companions.clone());
        }
    }

    /// Whether any settled crash has not been evaluated yet, or a decision is due by time. Marks
    /// both as done.
    pub(super) fn take_due(&mut self, now_ms: Millis) -> bool {
        let mut is_due = self.wake_ms.take_if(|wake_ms| now_ms >= *wake_ms).is_some();
        for crash in &mut self.crashes {
            if !crash.is_evaluated && crash.is_settled(now_ms) {
                crash.is_evaluated = true;
                is_due = true;
            }
        }
        is_due
    }

    /// Remembers since when it is suspected, and when to decide on a suspected part.
    pub(super) fn note_decision(&mut self, now_ms: Millis, state: CircuitState) {
        self.suspected_ms.get_or_insert(now_ms);
        let is_suspicion = state == CircuitState::Suspected;
        self.wake_ms = is_suspicion.then_some(now_ms);
    }

    /// Starts anew, as if it had not been suspected.
    pub(super) fn end_suspicion(&mut self) {
        self.suspected_ms = None;
        self.wake_ms = None;
    }

    pub(super) fn is_pending(&self) -> bool {
        self.wake_ms.is_some() || self.crashes.iter().any(|crash| !crash.is_evaluated)
    }

    /// Which of its crashes are weighed to find its companions. Other suspects of crashes that an
    /// earlier home recorded are not known here.
    pub(super) fn weighed(&self, crashes: &[Crash]) -> Vec<bool> {
        let has_other_causes = self
            .inherited
            .as_ref()
            .is_some_and(Companions::has_other_causes);
        let weighed = crashes
            .iter()
            .map(|crash| crash.run.is_some() || !has_other_causes);
        weighed.collect()
    }

    /// On which of the upstreams it was that crashed with another content.
    pub(super) fn is_on(&self, crashes: &[Crash]) -> Vec<bool> {
        let is_on = crashes
            .iter()
            .map(|crash| self.crash_on(crash.upstream).is_some());
        is_on.collect()
    }

    /// Whether this content was in the same runs as another one, as far as the runs are known;
    /// `None` if it was not on all upstreams that crashed with the other one.
    pub(super) fn came_with(&self, other: &[Crash]) -> Option<bool> {
        let mut is_same_run = true;
        for crash in other {
            let own = self.crash_on(crash.upstream)?;
            if let (Some(own), Some(other)) = (own.run, crash.run) {
                is_same_run &= own == other;
            }
        }
        Some(is_same_run)
    }
}
