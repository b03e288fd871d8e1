//! Checks the responses that callers received against what upstreams recorded.

use std::collections::{BTreeMap, HashSet};

use fulmarpath::dev::Deployment;
use fulmarpath::dev::caller::{CallerResponse, expected};
use fulmarpath_standin::answer_token;
use serde::Serialize;

use super::callers::{CallKind, Outcome};

/// Time for which a leaving engine may receive requests.
const LEAVING_BOUND_MS: u64 = 3_000;

/// The counts of a run. Those up to `late_in_force` are violations.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Verdict {
    /// Responses that ended without a permitted result, or lack tokens.
    pub(crate) lost: u64,
    /// Responses with repeated tokens.
    pub(crate) doubled: u64,
    /// Responses with tokens of another request.
    pub(crate) crossed: u64,
    /// Responses with all tokens, but in another order or with tokens past the end.
    pub(crate) out_of_order: u64,
    /// Requests reported as not run that an upstream ran.
    pub(crate) false_not_run: u64,
    /// Non-repeatable requests that upstreams ran more than once.
    pub(crate) ran_twice: u64,
    /// Streams that a stopping host interrupted.
    pub(crate) cut_by_stop: u64,
    /// Engines that received requests too long after they announced leaving.
    pub(crate) late_to_leaving: u64,
    /// Rounds in which the active revision of a host decreased.
    pub(crate) reverted: u64,
    /// Accepted changes that were not active on every host in time.
    pub(crate) late_in_force: u64,
    pub(crate) rounds: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) refused_not_run: u64,
    pub(crate) outcome_unknown: u64,
    /// Requests without a response in a round where a host was killed.
    #[serde(rename = "unheard")]
    pub(crate) no_response: u64,
    pub(crate) in_force_ms_max: u64,
    pub(crate) faults_injected: BTreeMap<&'static str, u64>,
}

impl Verdict {
    pub(crate) fn violations(&self) -> u64 {
        self.lost
            + self.doubled
            + self.crossed
            + self.out_of_order
            + self.false_not_run
            + self.ran_twice
            + self.cut_by_stop
            + self.late_to_leaving
            + self.reverted
            + self.late_in_force
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.crossed += other.crossed;
        self.out_of_order += other.out_of_order;
        self.false_not_run += other.false_not_run;
        self.ran_twice += other.ran_twice;
        self.cut_by_stop += other.cut_by_stop;
        self.late_to_leaving += other.late_to_leaving;
        self.reverted += other.reverted;
        self.late_in_force += other.late_in_force;
        self.rounds += other.rounds;
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused_not_run += other.refused_not_run;
        self.outcome_unknown += other.outcome_unknown;
        self.no_response += other.no_response;
        self.in_force_ms_max = self.in_force_ms_max.max(other.in_force_ms_max);
        for (kind, count) in &other.faults_injected {
            *self.faults_injected.entry(kind).or_default() += count;
        }
    }

    /// Checks one caller. A caller may receive no response only if a host was killed in the round.
    pub(crate) fn check(
        &mut self,
        deployment: &Deployment,
        outcome: &Outcome,
        was_host_killed: bool,
    ) {
        for response in &outcome.responses {
            self.requests += 1;
            let problem = response.problem.as_deref().unwrap_or_default();
            if is_answered(outcome, response) {
                self.answered += 1;
                self.check_tokens(outcome, response);
            } else if problem.starts_with("not-run") {
                self.refused_not_run += 1;
                if has_run(deployment, outcome) && outcome.plan.kind != CallKind::Keyed {
                    self.false_not_run += 1;
                }
            } else if problem == "outcome-unknown" || problem == "not-found" && was_host_killed {
                self.outcome_unknown += 1;
            } else if was_host_killed && response.status == 0 {
                self.no_response += 1;
            } else {
                self.lost += 1;
                println!(
                    "lost: no permitted result for {:?}: {response:?}",
                    outcome.plan
                );
            }
        }
        // A keyed submission whose callers were all told that it was not run.
        let all_refused = outcome.responses.iter().all(|response| {
            let problem = response.problem.as_deref().unwrap_or_default();
            problem.starts_with("not-run")
        });
        if outcome.plan.kind == CallKind::Keyed && all_refused && has_run(deployment, outcome) {
            self.false_not_run += 1;
        }
        if runs(deployment, outcome) > max_runs(outcome) {
            self.ran_twice += 1;
        }
    }

    fn check_tokens(&mut self, outcome: &Outcome, response: &CallerResponse) {
        if matches!(outcome.plan.kind, CallKind::Get | CallKind::Post) {
            return;
        }
        let expected_text = expected(&outcome.plan.prompt());
        if response.text() == expected_text {
            return;
        }
        let expected_count = expected_text.split_inclusive(' ').count();
        let distinct: HashSet<&String> = response.tokens.iter().collect();
        let prompt = outcome.plan.prompt();
        if response.tokens.iter().any(|text| !is_own(&prompt, text)) {
            self.crossed += 1;
        } else if distinct.len() < response.tokens.len() {
            self.doubled += 1;
        } else if distinct.len() < expected_count {
            self.lost += 1;
        } else {
            self.out_of_order += 1;
        }
    }

    pub(crate) fn check_leaving(&mut self, deployment: &Deployment) {
        for engine in &deployment.engines {
            if engine.record().last_start_after_leaving_ms > LEAVING_BOUND_MS {
                self.late_to_leaving += 1;
            }
        }
    }
}

/// Whether a token belongs to the answer to a prompt, at any index.
fn is_own(prompt: &str, text: &str) -> bool {
    let index = text.trim_end().trim_start_matches(char::is_alphabetic);
    let index = index.parse().ok();
    index.is_some_and(|index| answer_token(prompt, index) == text)
}

fn is_answered(outcome: &Outcome, response: &CallerResponse) -> bool {
    match outcome.plan.kind {
        CallKind::Unkeyed | CallKind::Keyed => response.is_complete,
        CallKind::Get | CallKind::Post => response.status == 200,
    }
}

/// How often upstreams ran the request: distinct generations, or calls.
fn runs(deployment: &Deployment, outcome: &Outcome) -> usize {
    match outcome.plan.kind {
        CallKind::Unkeyed | CallKind::Keyed => {
            let prompt = outcome.plan.prompt();
            let mut generations = HashSet::new();
            for engine in &deployment.engines {
                let mut record = engine.record();
                generations.extend(record.generations.remove(&prompt).unwrap_or_default());
            }
            generations.len()
        }
        CallKind::Get | CallKind::Post => deployment.plain.runs_of(&outcome.plan.path()) as usize,
    }
}

fn has_run(deployment: &Deployment, outcome: &Outcome) -> bool {
    runs(deployment, outcome) > 0
}

/// The most runs that the request allows; unlimited if it may be repeated.
fn max_runs(outcome: &Outcome) -> usize {
    match outcome.plan.kind {
        CallKind::Get => usize::MAX,
        CallKind::Unkeyed | CallKind::Keyed | CallKind::Post => 1,
    }
}
