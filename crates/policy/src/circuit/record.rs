//! Crash reports held by the home of a service, and its decisions on circuits.

use std::collections::HashMap;

use crate::circuit::{
    Admission, Circuit, CircuitState, Circuits, HALF_OPEN_CRASHES, MAX_CRASHES, OPEN_CRASHES,
};
use crate::key::{ContentKey, Millis, UpstreamKey};

/// Delay between the first report of a crash and the decision on it. The reports of one crash come
/// from several hosts, some after a connection that times out (250 ms) instead of being refused. A
/// decision at the first report could take a content for the cause only because it was reported
/// first. Each crash settles independently; otherwise a caller that retries faster than this could
/// postpone the decision indefinitely.
const SETTLE_MS: Millis = 300;
/// How long a probe blocks other requests of its content: time for its first token on an overloaded
/// engine. If it completes earlier, the next one may run.
const PROBE_TIMEOUT_MS: Millis = 5_000;
/// How long the crashes of a content count after the latest report of one. A caller that returns
/// later is treated as new.
const CRASH_EXPIRY_MS: Millis = 600_000;
/// Maximum number of suspected contents: about 1 MB. The oldest reports are evicted.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of crashes whose cause is known. Reports of a crash arrive within seconds of it.
const MAX_EXPLAINED: usize = 1_024;

/// The crash of an upstream, as reported for one content.
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

/// A content that had just started on upstreams when they crashed.
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
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Whether any settled crash has not been evaluated yet; marks them as evaluated.
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

/// Crash reports of upstreams, as known to the home of a service.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord {
    suspects: HashMap<ContentKey, Suspect>,
    /// The content that caused a crash, where known.
    explained: HashMap<UpstreamKey, ContentKey>,
    /// Until when a probe of a content may be running.
    probes: HashMap<ContentKey, Millis>,
}

impl CrashRecord {
    /// Records that a request with this content had just started on an upstream that crashed.
    pub fn report(&mut self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) {
        let cause = self.explained.get(&upstream);
        if cause.is_some_and(|cause| *cause != content) {
            return;
        }
        self.evict_oldest(now_ms);
        let suspect = self.suspects.entry(content).or_default();
        if now_ms.saturating_sub(suspect.reported_ms) >= CRASH_EXPIRY_MS {
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

    /// Decides on contents with settled reports, and adds the new circuits to `circuits`.
    pub fn evaluate(&mut self, now_ms: Millis, circuits: &mut Circuits) -> Vec<Circuit> {
        let suspects = self.suspects.iter_mut();
        let due = suspects.filter_map(|(content, suspect)| {
            let is_due = suspect.take_due(now_ms);
            is_due.then_some(*content)
        });
        let mut due: Vec<ContentKey> = due.collect();
        due.sort_unstable();
        let mut decisions = Vec::new();
        for content in due {
            self.decide(now_ms, content, circuits, &mut decisions);
        }
        decisions
    }

    /// Whether any reports have not been evaluated.
    pub fn has_unevaluated(&self) -> bool {
        let crashes = self.suspects.values().flat_map(|suspect| &suspect.crashes);
        crashes.into_iter().any(|crash| !crash.is_evaluated)
    }

    /// Clears a content after one of its requests has completed: it does not crash upstreams.
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
            self.reevaluate(&upstreams.collect::<Vec<_>>(), circuits);
        }
        close(now_ms, content, circuits)
    }

    /// Marks the crashes of these upstreams for evaluation again, because the remaining suspects
    /// are now more likely to be the cause. Contents with an open circuit are skipped: they were
    /// already taken for the cause, and evaluating the same crashes again when half-open would open
    /// their circuit for longer.
    fn reevaluate(&mut self, upstreams: &[UpstreamKey], circuits: &Circuits) {
        let others = self.suspects.iter_mut().filter(|(content, _)| {
            let known = circuits.find(**content);
            known.is_none_or(|known| known.state != CircuitState::Open)
        });
        for crash in others.flat_map(|(_, suspect)| &mut suspect.crashes) {
            crash.is_evaluated &= !upstreams.contains(&crash.upstream);
        }
    }

    /// Grants a request of a restricted content as the probe, unless another one is running.
    pub fn grant_probe(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.probes.retain(|_, until_ms| now_ms < *until_ms);
        if self.probes.contains_key(&content) {
            return false;
        }
        self.probes.insert(content, now_ms + PROBE_TIMEOUT_MS);
        true
    }

    fn decide(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        circuits: &mut Circuits,
        decisions: &mut Vec<Circuit>,
    ) {
        let Some(crashes) = self.crashes_of(now_ms, content, circuits) else {
            return;
        };
        let known = circuits.find(content).cloned();
        let state = match crashes.len() {
            count if count >= OPEN_CRASHES && !self.has_other_suspect(content, &crashes) => {
                CircuitState::Open
            }
            count if count >= HALF_OPEN_CRASHES => CircuitState::HalfOpen,
            _ => return,
        };
        let is_open = matches!(circuits.admit(now_ms, content), Admission::Refused { .. });
        if state == CircuitState::Open {
            self.explain(content, &crashes);
        }
        // Crashes by requests that were in flight when the circuit opened change nothing.
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
            decisions.push(circuit);
        }
        if state == CircuitState::Open {
            decisions.extend(self.clear_others(now_ms, content, &crashes, circuits));
        }
    }

    /// The settled crashes of a suspected content, including those listed in its circuit, from
    /// which a new home learns of earlier ones. `None` if the content is no longer a suspect.
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
        let settled = suspect
            .crashes
            .iter()
            .filter(|crash| crash.is_settled(now_ms));
        Some(settled.map(|crash| crash.upstream).collect())
    }

    /// Whether another content was on all the same upstreams. Either one may then be the cause, as
    /// when two requests are retried on other upstreams together. Running one at a time tells them
    /// apart.
    fn has_other_suspect(&self, content: ContentKey, crashes: &[UpstreamKey]) -> bool {
        self.suspects.iter().any(|(other, suspect)| {
            let is_on_all = crashes.iter().all(|crash| suspect.was_on(*crash));
            *other != content && is_on_all
        })
    }

    fn explain(&mut self, content: ContentKey, crashes: &[UpstreamKey]) {
        if self.explained.len() + crashes.len() > MAX_EXPLAINED {
            self.explained.clear();
        }
        let causes = crashes.iter().map(|crash| (*crash, content));
        self.explained.extend(causes);
    }

    /// Clears other contents of crashes whose cause is now known.
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
            let has_removed = suspect.crashes.len() < before;
            if has_removed && suspect.crashes.len() < HALF_OPEN_CRASHES {
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

    fn evict_oldest(&mut self, now_ms: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| now_ms.saturating_sub(suspect.reported_ms) < CRASH_EXPIRY_MS);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.reported_ms);
        if let Some((content, _)) = oldest.map(|(content, suspect)| (*content, suspect.reported_ms))
        {
            self.suspects.remove(&content);
        }
    }
}

/// Closes a content's circuit unless it is closed.
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
