//! Crash reports held by the home of them, and its decisions on circuits.

use std::collections::HashMap;

use crate::circuit::contents::SOUND_BEFORE_MS;
use crate::circuit::evidence::{Decision, Evidence, HALF_OPEN_CRASHES, OPEN_CRASHES};
use crate::circuit::suspect::{ContentKind, Crash, Suspect};
use crate::circuit::suspects::Suspects;
use crate::circuit::{
    Circuit, CircuitState, Circuits, Companions, CrashedRun, MAX_CRASHES, SoundContent, SuspectPart,
};
use crate::key::{ContentKey, Millis, UpstreamKey};

/// How long a probe blocks other requests of its content: time for its first token on an overloaded
/// engine. If it completes earlier, the next one may run.
const PROBE_TIMEOUT_MS: Millis = 5_000;
/// Maximum number of crashes whose cause is known. Reports of a crash arrive within seconds of it.
const MAX_EXPLAINED: usize = 1_024;
/// Maximum number of parts that become suspected in one evaluation, those with the most crashes
/// first. Each is announced to all hosts, and where many upstreams crash at once, so many parts
/// were on them that the rest has to wait.
const MAX_NEW_SUSPICIONS: usize = 8;

/// Crash reports of upstreams, as known to the home of them.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord {
    suspects: Suspects,
    /// The content that caused a crash, where known.
    explained: HashMap<UpstreamKey, ContentKey>,
    /// Until when a probe of a content may be running.
    probes: HashMap<ContentKey, Millis>,
}

impl CrashRecord {
    /// Records that a request had just started on an upstream that crashed.
    pub fn report(&mut self, now_ms: Millis, run: &CrashedRun) {
        self.suspects.evict(now_ms);
        if let Some(whole) = run.whole {
            let unknown = Suspect::new(ContentKind::Whole, None);
            self.report_content(now_ms, run, whole, unknown, None);
        }
        for suspect in &run.parts {
            let SuspectPart { part, .. } = *suspect;
            let unknown = Suspect::new(ContentKind::PartInAnyModel, Some(part.in_model));
            let sound_ms_ago = suspect.sound_any_model_ms_ago;
            self.report_content(now_ms, run, part.any_model, unknown, sound_ms_ago);
            let unknown = Suspect::new(ContentKind::PartInModel, Some(part.any_model));
            let sound_ms_ago = suspect.sound_in_model_ms_ago;
            self.report_content(now_ms, run, part.in_model, unknown, sound_ms_ago);
        }
    }

    fn report_content(
        &mut self,
        now_ms: Millis,
        run: &CrashedRun,
        content: ContentKey,
        unknown: Suspect,
        sound_ms_ago: Option<Millis>,
    ) {
        let cause = self.explained.get(&run.upstream).copied();
        let suspect = self.suspects.get_or_insert(content, unknown);
        suspect.expire(now_ms);
        if let Some(ms_ago) = sound_ms_ago {
            suspect.forget_before(cleared_until_ms(now_ms, ms_ago));
        }
        let is_new = suspect.add(Crash {
            upstream: run.upstream,
            run: Some(run.run),
            sent_ms: now_ms.saturating_sub(run.sent_ms_ago),
            reported_ms: now_ms,
            is_evaluated: false,
            cause: cause.filter(|cause| *cause != content),
        });
        if is_new {
            suspect.reported_ms = now_ms;
        }
    }

    /// Decides on contents with settled reports, and adds the new circuits to `circuits`.
    pub fn evaluate(&mut self, now_ms: Millis, circuits: &mut Circuits) -> Vec<Circuit> {
        let suspects = self.suspects.iter_mut();
        let due = suspects.filter_map(|(content, suspect)| {
            let is_due = suspect.take_due(now_ms);
            is_due.then_some((content, suspect.unexplained().count()))
        });
        let mut due: Vec<(ContentKey, usize)> = due.collect();
        due.sort_unstable_by_key(|(content, crashes)| (std::cmp::Reverse(*crashes), *content));
        // All are decided on the same evidence: applying a decision clears other contents.
        let decisions: Vec<(ContentKey, Decision)> = due
            .into_iter()
            .map(|(content, _)| (content, self.decide(now_ms, content, circuits)))
            .collect();
        let mut changed = Vec::new();
        let mut suspicions = 0;
        for (content, decision) in decisions {
            match decision {
                Decision::Keep => {}
                Decision::Wait { until_ms } => self.wake(content, until_ms),
                Decision::Set(CircuitState::Suspected) if suspicions >= MAX_NEW_SUSPICIONS => {
                    self.wake(content, now_ms);
                }
                Decision::Set(state) => {
                    suspicions += usize::from(state == CircuitState::Suspected);
                    self.apply(now_ms, content, state, circuits, &mut changed);
                }
            }
        }
        changed
    }

    /// Whether any reports have not been evaluated, or a decision is due later.
    pub fn is_pending(&self) -> bool {
        self.suspects
            .iter()
            .any(|(_, suspect)| suspect.is_pending())
    }

    fn wake(&mut self, content: ContentKey, at_ms: Millis) {
        if let Some(suspect) = self.suspects.get_mut(content) {
            suspect.wake_ms = Some(at_ms);
        }
    }

    /// Clears a content of the crashes before one of its requests began to be answered.
    pub fn clear(
        &mut self,
        now_ms: Millis,
        sound: SoundContent,
        circuits: &mut Circuits,
    ) -> Option<Circuit> {
        let SoundContent {
            content,
            began_ms_ago,
        } = sound;
        let until_ms = cleared_until_ms(now_ms, began_ms_ago);
        let known = circuits.find_active(now_ms, content);
        let crashes = match self.suspects.get_mut(content) {
            Some(suspect) => {
                if let Some(known) = &known {
                    suspect.merge(now_ms, known);
                }
                let cleared = suspect.forget_before(until_ms);
                let left = suspect.unexplained().count();
                self.reevaluate(now_ms, content, &cleared, circuits);
                left
            }
            None => {
                let decided_ms = now_ms.saturating_sub(known.as_ref()?.age_ms);
                HALF_OPEN_CRASHES * usize::from(decided_ms >= until_ms)
            }
        };
        if crashes >= HALF_OPEN_CRASHES {
            return None;
        }
        self.probes.remove(&content);
        self.explained.retain(|_, cause| *cause != content);
        match self.suspects.get_mut(content) {
            Some(suspect) if !suspect.crashes.is_empty() => suspect.end_suspicion(),
            _ => self.suspects.remove(content),
        }
        close(now_ms, content, circuits)
    }

    /// Marks the crashes of these upstreams for evaluation again, because the remaining suspects
    /// are now more likely to be the cause. Of contents with an open circuit only the companions
    /// change: they were already taken for the cause, and evaluating the same crashes again when
    /// half-open would open their circuit for longer.
    fn reevaluate(
        &mut self,
        now_ms: Millis,
        cleared: ContentKey,
        upstreams: &[UpstreamKey],
        circuits: &Circuits,
    ) {
        let was_cause = self.explained.values().any(|cause| *cause == cleared);
        if upstreams.is_empty() && !was_cause {
            return;
        }
        for (content, suspect) in self.suspects.iter_mut() {
            for crash in &mut suspect.crashes {
                crash.cause.take_if(|cause| *cause == cleared);
            }
            let was_with_it = upstreams
                .iter()
                .any(|upstream| suspect.crash_on(*upstream).is_some());
            if !was_with_it {
                continue;
            }
            if circuits.is_open(now_ms, content) {
                suspect.wake_ms = Some(now_ms);
            }
            let known = circuits.find(content);
            if known.is_some_and(|known| known.state == CircuitState::Open) {
                continue;
            }
            for crash in &mut suspect.crashes {
                crash.is_evaluated &= !upstreams.contains(&crash.upstream);
            }
        }
    }

    /// Grants a request with these restricted contents as the probe, unless another one of any of
    /// them is running.
    pub fn grant_probe(&mut self, now_ms: Millis, contents: &[ContentKey]) -> bool {
        self.probes.retain(|_, until_ms| now_ms < *until_ms);
        if contents
            .iter()
            .any(|content| self.probes.contains_key(content))
        {
            return false;
        }
        let until_ms = now_ms + PROBE_TIMEOUT_MS;
        let granted = contents.iter().map(|content| (*content, until_ms));
        self.probes.extend(granted);
        true
    }

    /// Lets another request be the probe of these contents, because the granted one did not run.
    pub fn release_probe(&mut self, contents: &[ContentKey]) {
        self.probes.retain(|content, _| !contents.contains(content));
    }

    fn decide(&mut self, now_ms: Millis, content: ContentKey, circuits: &Circuits) -> Decision {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return Decision::Keep;
        };
        let known = circuits.find_active(now_ms, content);
        match &known {
            Some(known) => suspect.merge(now_ms, known),
            None => suspect.suspected_ms = None,
        }
        let settled = suspect.settled(now_ms);
        let suspected_ms = suspect.suspected_ms;
        let has_later_crash = settled
            .iter()
            .any(|crash| suspected_ms.is_some_and(|suspected_ms| crash.sent_ms >= suspected_ms));
        let kind = suspect.kind;
        let may_open = settled.len() >= OPEN_CRASHES;
        let evidence = Evidence {
            kind,
            crashes: settled.len(),
            state: known.map_or(CircuitState::Closed, |known| known.state),
            suspected_ms,
            has_later_crash,
            is_in_one_model: may_open
                && kind == ContentKind::PartInAnyModel
                && self.suspects.is_in_one_model(content, &settled),
            has_rival: may_open
                && kind == ContentKind::Whole
                && self.suspects.has_rival(content, &settled),
        };
        evidence.decide(now_ms)
    }

    /// Applies a decision, and publishes it if it changes what is known.
    fn apply(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        state: CircuitState,
        circuits: &mut Circuits,
        changed: &mut Vec<Circuit>,
    ) {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return;
        };
        let is_of_part = suspect.kind != ContentKind::Whole;
        let crashes = suspect.settled(now_ms);
        // Another content may just have been taken for the cause of some of them.
        let needed = match state == CircuitState::Open && is_of_part {
            true => OPEN_CRASHES,
            false => HALF_OPEN_CRASHES,
        };
        if crashes.len() < needed {
            return;
        }
        suspect.note_decision(now_ms, state);
        let companions = match state {
            CircuitState::Closed | CircuitState::Suspected => Companions::default(),
            CircuitState::HalfOpen | CircuitState::Open => {
                self.suspects.companions(content, &crashes)
            }
        };
        let circuit = Circuit {
            version: circuits
                .find(content)
                .map_or(1, |known| known.version.saturating_add(1)),
            openings: u32::from(state == CircuitState::Open),
            crashes: latest_upstreams(&crashes),
            age_ms: 0,
            is_of_part,
            companions,
            content,
            state,
        };
        let is_cause = state == CircuitState::Open && circuit.companions.is_sole_cause;
        changed.extend(publish(now_ms, circuit, circuits));
        if is_cause {
            self.explain(content, &crashes);
            changed.extend(self.clear_others(now_ms, content, &crashes, circuits));
        }
    }

    fn explain(&mut self, content: ContentKey, crashes: &[Crash]) {
        if self.explained.len() + crashes.len() > MAX_EXPLAINED {
            self.explained.clear();
        }
        let causes = crashes.iter().map(|crash| (crash.upstream, content));
        self.explained.extend(causes);
    }

    /// Clears other contents of crashes whose cause is now known, except those that were in all the
    /// same requests: one of them may be the cause of more crashes.
    fn clear_others(
        &mut self,
        now_ms: Millis,
        cause: ContentKey,
        crashes: &[Crash],
        circuits: &mut Circuits,
    ) -> Vec<Circuit> {
        let mut cleared = Vec::new();
        let sibling = self.suspects.get(cause).and_then(|cause| cause.sibling);
        for (content, suspect) in self.suspects.iter_mut() {
            let is_sibling = suspect.sibling == Some(cause) || sibling == Some(content);
            let is_same_part = content == cause || is_sibling;
            if is_same_part || suspect.came_with(crashes) == Some(true) {
                continue;
            }
            let mut has_changed = false;
            for crash in &mut suspect.crashes {
                let mut explained = crashes.iter().map(|explained| explained.upstream);
                if crash.cause.is_none() && explained.any(|upstream| upstream == crash.upstream) {
                    crash.cause = Some(cause);
                    has_changed = true;
                }
            }
            if has_changed && suspect.unexplained().count() < HALF_OPEN_CRASHES {
                suspect.end_suspicion();
                cleared.push(content);
            }
        }
        cleared.sort_unstable();
        let closed = cleared.into_iter();
        closed
            .filter_map(|content| close(now_ms, content, circuits))
            .collect()
    }
}

/// Replaces the known circuit of a content by a new one, and returns that if it changes anything.
fn publish(now_ms: Millis, mut circuit: Circuit, circuits: &mut Circuits) -> Option<Circuit> {
    let known = circuits.find_active(now_ms, circuit.content);
    let is_open = circuits.is_open(now_ms, circuit.content);
    let changes = match (&known, circuit.state) {
        (None, _) => true,
        // Crashes by requests that were in flight when the circuit opened change nothing, unless
        // they had other companions.
        (Some(known), CircuitState::Open) => !is_open || known.companions != circuit.companions,
        (Some(known), state) => known.state < state,
    };
    if !changes {
        return None;
    }
    if let Some(known) = known {
        circuit.openings = known
            .openings
            .saturating_add(u32::from(!is_open) * circuit.openings);
        circuit.age_ms = u64::from(is_open) * known.age_ms;
    }
    circuits.adopt(now_ms, circuit.clone());
    Some(circuit)
}

/// The upstreams of the latest crashes, as many as a circuit lists.
fn latest_upstreams(crashes: &[Crash]) -> Vec<UpstreamKey> {
    let latest = &crashes[crashes.len().saturating_sub(MAX_CRASHES)..];
    latest.iter().map(|crash| crash.upstream).collect()
}

/// Crashes reported before this time do not count against a content that began to be answered
/// `began_ms_ago`.
fn cleared_until_ms(now_ms: Millis, began_ms_ago: Millis) -> Millis {
    now_ms.saturating_sub(began_ms_ago) + SOUND_BEFORE_MS
}

/// Closes a content's circuit unless it is closed.
fn close(now_ms: Millis, content: ContentKey, circuits: &mut Circuits) -> Option<Circuit> {
    let known = circuits
        .find(content)
        .filter(|known| known.state != CircuitState::Closed)?;
    let circuit = Circuit {
        version: known.version.saturating_add(1),
        state: CircuitState::Closed,
        openings: known.openings,
        is_of_part: known.is_of_part,
        crashes: Vec::new(),
        companions: Companions::default(),
        age_ms: 0,
        content,
    };
    circuits.adopt(now_ms, circuit.clone());
    Some(circuit)
}
