//! What the home of a service knows of upstreams that ended, and how it decides on circuits.

use std::collections::HashMap;

use crate::circuit::{
    Admission, Circuit, CircuitState, Circuits, HALF_OPEN_CRASHES, MOST_CRASHES, OPEN_CRASHES,
};
use crate::key::{ContentKey, Millis, UpstreamKey};

/// After a crash its home waits so long before it counts it: the reports of one crash come from
/// several hosts, some after a connection that is not refused but unanswered (250 ms). Counted at
/// the first report, whoever is reported first would be taken for the cause of the others. Each crash settles by
/// itself: a caller who comes again sooner than this would put the decision off for as long as he comes.
const SETTLE_MS: Millis = 300;
/// How long a probe keeps others of its content from running: until its first token and what may
/// follow it on a crowded engine. Its end lets the next one run sooner.
const PROBE_MS: Millis = 5_000;
/// A crash counts for so long. A caller that comes back later is like a new one.
const CRASH_MS: Millis = 600_000;
/// Contents that were reported, at most: some 1 MB. The oldest reports yield.
const MOST_SUSPECTS: usize = 4_096;
/// Crashes whose cause is known, at most. Reports of a crash come within seconds of it.
const MOST_EXPLAINED: usize = 1_024;

/// An upstream's end, as it was reported for one content.
#[derive(Debug, Clone, Copy)]
struct Crash {
    upstream: UpstreamKey,
    reported_ms: Millis,
    is_evaluated: bool,
}

impl Crash {
    fn is_settled(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.reported_ms) >= SETTLE_MS
    }
}

/// A content that had just begun on upstreams as they ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    reported_ms: Millis,
}

impl Suspect {
    fn was_on(&self, upstream: UpstreamKey) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }

    fn add(&mut self, crash: Crash) {
        if self.was_on(crash.upstream) {
            return;
        }
        if self.crashes.len() >= MOST_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Whether a crash has settled that was not decided on; it counts as decided on from then on.
    fn take_due(&mut self, now_ms: Millis) -> bool {
        let mut is_due = false;
        for crash in &mut self.crashes {
            if !crash.is_evaluated && crash.is_settled(now_ms) {
                crash.is_evaluated = true;
                is_due = true;
            }
        }
        is_due
    }
}

/// What the home of a service knows of upstreams that ended.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord {
    suspects: HashMap<ContentKey, Suspect>,
    /// Who ended an upstream, where that is known.
    explained: HashMap<UpstreamKey, ContentKey>,
    /// Until when one request of a content may be running.
    probes: HashMap<ContentKey, Millis>,
}

impl CrashRecord {
    /// A request of this content had just begun on an upstream that ended.
    pub fn report(&mut self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) {
        let cause = self.explained.get(&upstream);
        if cause.is_some_and(|cause| *cause != content) {
            return;
        }
        self.make_room(now_ms);
        let suspect = self.suspects.entry(content).or_default();
        if now_ms.saturating_sub(suspect.reported_ms) >= CRASH_MS {
            suspect.crashes.clear();
        }
        if suspect.was_on(upstream) {
            return;
        }
        suspect.add(Crash {
            upstream,
            reported_ms: now_ms,
            is_evaluated: false,
        });
        suspect.reported_ms = now_ms;
    }

    /// Decides on the contents whose reports have come; `circuits` has taken each of them.
    pub fn evaluate(&mut self, now_ms: Millis, circuits: &mut Circuits) -> Vec<Circuit> {
        let suspects = self.suspects.iter_mut();
        let due = suspects.filter_map(|(content, suspect)| {
            let is_due = suspect.take_due(now_ms);
            is_due.then_some(*content)
        });
        let mut due: Vec<ContentKey> = due.collect();
        due.sort_unstable();
        let mut made = Vec::new();
        for content in due {
            self.decide(now_ms, content, circuits, &mut made);
        }
        made
    }

    /// Whether reports wait to be decided on.
    pub fn has_unevaluated(&self) -> bool {
        let crashes = self.suspects.values().flat_map(|one| &one.crashes);
        crashes.into_iter().any(|crash| !crash.is_evaluated)
    }

    /// A request of this content was answered whole: it is not what ends upstreams.
    pub fn clear(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        circuits: &mut Circuits,
    ) -> Option<Circuit> {
        self.probes.remove(&content);
        self.explained.retain(|_, cause| *cause != content);
        if let Some(cleared) = self.suspects.remove(&content) {
            let upstreams = cleared.crashes.iter().map(|crash| crash.upstream);
            self.evaluate_again(&upstreams.collect::<Vec<_>>(), circuits);
        }
        close(now_ms, content, circuits)
    }

    /// Who else was on these upstreams is the likelier cause now. One whose circuit is open was taken
    /// for the cause already: decided on again when it is half-open, it would open for longer for nothing new.
    fn evaluate_again(&mut self, upstreams: &[UpstreamKey], circuits: &Circuits) {
        let others = self.suspects.iter_mut().filter(|(content, _)| {
            let known = circuits.find(**content);
            known.is_none_or(|known| known.state != CircuitState::Open)
        });
        for crash in others.flat_map(|(_, one)| &mut one.crashes) {
            crash.is_evaluated &= !upstreams.contains(&crash.upstream);
        }
    }

    /// Whether a request of a content that runs one at a time may be the probe.
    pub fn grant_probe(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.probes.retain(|_, until_ms| now_ms < *until_ms);
        if self.probes.contains_key(&content) {
            return false;
        }
        self.probes.insert(content, now_ms + PROBE_MS);
        true
    }

    fn decide(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        circuits: &mut Circuits,
        made: &mut Vec<Circuit>,
    ) {
        let Some(crashes) = self.crashes_of(now_ms, content, circuits) else {
            return;
        };
        let known = circuits.find(content).cloned();
        let state = match crashes.len() {
            count if count >= OPEN_CRASHES && !self.may_be_another(content, &crashes) => {
                CircuitState::Open
            }
            count if count >= HALF_OPEN_CRASHES => CircuitState::HalfOpen,
            _ => return,
        };
        let is_open = matches!(circuits.admit(now_ms, content), Admission::Refused { .. });
        if state == CircuitState::Open {
            self.explain(content, &crashes);
        }
        // Requests that were on their way as it opened change nothing.
        if !is_open && (state == CircuitState::Open || known.as_ref().is_none_or(is_closed)) {
            let restricted = known.as_ref().filter(|known| !is_closed(known));
            let openings = restricted.map_or(0, |known| known.openings);
            let circuit = Circuit {
                version: known.map_or(1, |known| known.version + 1),
                openings: openings.saturating_add(u32::from(state == CircuitState::Open)),
                crashes: crashes.clone(),
                age_ms: 0,
                content,
                state,
            };
            circuits.adopt(now_ms, circuit.clone());
            made.push(circuit);
        }
        if state == CircuitState::Open {
            made.extend(self.clear_others(now_ms, content, &crashes, circuits));
        }
    }

    /// The settled, unexplained crashes of a content, with those of its circuit: a home that has just
    /// become one has only that. `None` where nothing is left.
    fn crashes_of(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        circuits: &Circuits,
    ) -> Option<Vec<UpstreamKey>> {
        let suspect = self.suspects.get_mut(&content)?;
        let decided = circuits.find(content).filter(|known| !is_closed(known));
        for upstream in decided.iter().flat_map(|known| &known.crashes) {
            suspect.add(Crash {
                upstream: *upstream,
                reported_ms: 0,
                is_evaluated: true,
            });
        }
        let settled = suspect.crashes.iter().filter(|one| one.is_settled(now_ms));
        Some(settled.map(|crash| crash.upstream).collect())
    }

    /// Whether another content was on all the same upstreams. Either may be the cause then, as where
    /// two are sent on to other upstreams in step. Running one at a time tells which.
    fn may_be_another(&self, content: ContentKey, crashes: &[UpstreamKey]) -> bool {
        self.suspects.iter().any(|(other, suspect)| {
            let shares_all = crashes.iter().all(|crash| suspect.was_on(*crash));
            *other != content && shares_all
        })
    }

    fn explain(&mut self, content: ContentKey, crashes: &[UpstreamKey]) {
        if self.explained.len() + crashes.len() > MOST_EXPLAINED {
            self.explained.clear();
        }
        let causes = crashes.iter().map(|crash| (*crash, content));
        self.explained.extend(causes);
    }

    /// Takes back what others were suspected of in crashes whose cause is known now.
    fn clear_others(
        &mut self,
        now_ms: Millis,
        cause: ContentKey,
        crashes: &[UpstreamKey],
        circuits: &mut Circuits,
    ) -> Vec<Circuit> {
        let mut cleared = Vec::new();
        for (content, suspect) in &mut self.suspects {
            let state = circuits.find(*content).map(|known| known.state);
            if *content == cause || state == Some(CircuitState::Open) {
                continue;
            }
            let before = suspect.crashes.len();
            suspect
                .crashes
                .retain(|crash| !crashes.contains(&crash.upstream));
            let fell = suspect.crashes.len() < before;
            if fell && suspect.crashes.len() < HALF_OPEN_CRASHES {
                cleared.push(*content);
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        cleared.sort_unstable();
        let closed = cleared.into_iter();
        closed
            .filter_map(|content| close(now_ms, content, circuits))
            .collect()
    }

    fn make_room(&mut self, now_ms: Millis) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| now_ms.saturating_sub(suspect.reported_ms) < CRASH_MS);
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, one)| one.reported_ms);
        if let Some((content, _)) = oldest.map(|(content, one)| (*content, one.reported_ms)) {
            self.suspects.remove(&content);
        }
    }
}

/// Closes a content's circuit, where it isn't.
fn close(now_ms: Millis, content: ContentKey, circuits: &mut Circuits) -> Option<Circuit> {
    let known = circuits.find(content).filter(|known| !is_closed(known))?;
    let circuit = Circuit {
        version: known.version + 1,
        state: CircuitState::Closed,
        openings: known.openings,
        crashes: Vec::new(),
        age_ms: 0,
        content,
    };
    circuits.adopt(now_ms, circuit.clone());
    Some(circuit)
}

fn is_closed(circuit: &Circuit) -> bool {
    circuit.state == CircuitState::Closed
}
