//! Whether what callers got agrees with what upstreams saw.

use std::collections::{BTreeMap, HashSet};

use fulmarpath::dev::Deployment;
use fulmarpath::dev::caller::{CallerResponse, expected};
use fulmarpath_standin::answer_token;
use serde::Serialize;

use super::session::{Kind, Outcome};

/// A leaving engine may be asked for so long.
const LEAVING_BOUND_MS: u64 = 3_000;

/// The counts of a run; all of the first group must be zero.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Verdict {
    pub(crate) lost: u64,
    pub(crate) doubled: u64,
    pub(crate) crossed: u64,
    pub(crate) out_of_order: u64,
    pub(crate) false_not_run: u64,
    pub(crate) ran_twice: u64,
    pub(crate) cut_by_stop: u64,
    pub(crate) late_to_leaving: u64,
    pub(crate) reverted: u64,
    pub(crate) late_in_force: u64,
    pub(crate) rounds: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) refused_not_run: u64,
    pub(crate) outcome_unknown: u64,
    pub(crate) unheard: u64,
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
        self.unheard += other.unheard;
        self.in_force_ms_max = self.in_force_ms_max.max(other.in_force_ms_max);
        for (kind, count) in &other.faults_injected {
            *self.faults_injected.entry(kind).or_default() += count;
        }
    }

    /// Judges one caller. `host_died` where a host was killed in the round: only then may a
    /// caller hear nothing at all.
    pub(crate) fn judge(&mut self, deployment: &Deployment, outcome: &Outcome, host_died: bool) {
        for got in &outcome.answers {
            self.requests += 1;
            let problem = got.problem.as_deref().unwrap_or_default();
            if is_answered(outcome, got) {
                self.answered += 1;
                self.judge_tokens(outcome, got);
            } else if problem.starts_with("not-run") {
                self.refused_not_run += 1;
                if has_run(deployment, outcome) && outcome.part.kind != Kind::Keyed {
                    self.false_not_run += 1;
                }
            } else if problem == "outcome-unknown" || problem == "not-found" && host_died {
                self.outcome_unknown += 1;
            } else if host_died && got.status == 0 {
                self.unheard += 1;
            } else {
                self.lost += 1;
                println!("lost: {:?} {got:?}", outcome.part);
            }
        }
        // A keyed submission that every asker was told was not run.
        let all_refused = outcome.answers.iter().all(|got| {
            let problem = got.problem.as_deref().unwrap_or_default();
            problem.starts_with("not-run")
        });
        if outcome.part.kind == Kind::Keyed && all_refused && has_run(deployment, outcome) {
            self.false_not_run += 1;
        }
        if runs(deployment, outcome) > most_runs(outcome) {
            self.ran_twice += 1;
        }
    }

    fn judge_tokens(&mut self, outcome: &Outcome, got: &CallerResponse) {
        if matches!(outcome.part.kind, Kind::Get | Kind::Post) {
            return;
        }
        let wanted = expected(&outcome.part.prompt());
        if got.text() == wanted {
            return;
        }
        let wanted = wanted.split_inclusive(' ').count();
        let distinct: HashSet<&String> = got.tokens.iter().collect();
        let prompt = outcome.part.prompt();
        if got.tokens.iter().any(|text| !is_own(&prompt, text)) {
            self.crossed += 1;
        } else if distinct.len() < got.tokens.len() {
            self.doubled += 1;
        } else if distinct.len() < wanted {
            self.lost += 1;
        } else {
            self.out_of_order += 1;
        }
    }

    pub(crate) fn judge_leaving(&mut self, deployment: &Deployment) {
        for engine in &deployment.engines {
            if engine.record().last_start_after_leaving_ms > LEAVING_BOUND_MS {
                self.late_to_leaving += 1;
            }
        }
    }
}

/// Whether a token belongs to the answer to a prompt, at whatever place.
fn is_own(prompt: &str, text: &str) -> bool {
    let index = text.trim_end().trim_start_matches(char::is_alphabetic);
    let index = index.parse().ok();
    index.is_some_and(|index| answer_token(prompt, index) == text)
}

fn is_answered(outcome: &Outcome, got: &CallerResponse) -> bool {
    match outcome.part.kind {
        Kind::Plain | Kind::Keyed => got.is_complete,
        Kind::Get | Kind::Post => got.status == 200,
    }
}

/// How often an upstream ran the request: distinct generations, or calls.
fn runs(deployment: &Deployment, outcome: &Outcome) -> usize {
    match outcome.part.kind {
        Kind::Plain | Kind::Keyed => {
            let prompt = outcome.part.prompt();
            let mut generations = HashSet::new();
            for engine in &deployment.engines {
                let mut record = engine.record();
                generations.extend(record.generations.remove(&prompt).unwrap_or_default());
            }
            generations.len()
        }
        Kind::Get | Kind::Post => deployment.plain.runs_of(&outcome.part.path()) as usize,
    }
}

fn has_run(deployment: &Deployment, outcome: &Outcome) -> bool {
    runs(deployment, outcome) > 0
}

/// Requests that may be repeated have no bound of their own.
fn most_runs(outcome: &Outcome) -> usize {
    match outcome.part.kind {
        Kind::Get => usize::MAX,
        Kind::Plain | Kind::Keyed | Kind::Post => 1,
    }
}
