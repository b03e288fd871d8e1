//! Figures about uneven capacity and demand.

use serde::Serialize;

use super::outcome::{CallerOutcome, share, worst_tenth_on_time_share};
use super::scenario::RequestKind;
use super::world::Settings;

/// Figures of one run, over all requests.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Figures {
    pub(crate) all: Counts,
    pub(crate) long: Counts,
    pub(crate) short: Counts,
    /// On-time share of the kind that is served worst.
    pub(crate) worst_kind_on_time_share: f64,
    /// On-time share of the worst-served tenth of the organisations.
    pub(crate) worst_organisations_on_time_share: f64,
    /// Value obtained as a share of the value if all requests were on time.
    pub(crate) benefit_share: f64,
    /// Long answers that ran on one engine only, by its speed.
    pub(crate) fast_engines: PlaceFigures,
    pub(crate) slow_engines: PlaceFigures,
    /// Long answers that ran on several engines.
    pub(crate) migrated: PlaceFigures,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Counts {
    pub(crate) asked: usize,
    pub(crate) on_time: usize,
    /// Late only because of a pause.
    pub(crate) late_by_pause: usize,
    pub(crate) late_by_first_event: usize,
    /// Refused at least once. Such a request may have been served on its retry.
    pub(crate) refused: usize,
    pub(crate) refused_twice: usize,
    /// Neither complete nor refused on the last attempt.
    pub(crate) lost: usize,
}

/// Complete answers of one class of engines.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct PlaceFigures {
    pub(crate) answers: usize,
    /// Answers with a pause over the bound.
    pub(crate) with_long_pause: usize,
    /// Mean time per token after the first event.
    pub(crate) token_ms: f64,
}

impl Figures {
    pub(super) fn of(settings: &Settings, outcomes: &[CallerOutcome]) -> Self {
        let all: Vec<&CallerOutcome> = outcomes.iter().collect();
        let (long, short): (Vec<_>, Vec<_>) = outcomes.iter().partition(|outcome| outcome.is_long);
        let by_kind = [&long, &short].map(|kind| share(kind, CallerOutcome::is_on_time));
        let on_engine = |counts: &dyn Fn(Option<f64>) -> bool| {
            let on_engine = long.iter().filter(|outcome| counts(outcome.step_factor));
            PlaceFigures::of(on_engine.filter(|outcome| outcome.is_complete).copied())
        };
        Self {
            all: Counts::of(&all),
            long: Counts::of(&long),
            short: Counts::of(&short),
            worst_kind_on_time_share: by_kind[0].min(by_kind[1]),
            worst_organisations_on_time_share: worst_tenth_on_time_share(
                &all,
                0..settings.organisations,
            ),
            benefit_share: benefit_share(settings, outcomes),
            fast_engines: on_engine(&|factor| factor.is_some_and(|factor| factor < 1.0)),
            slow_engines: on_engine(&|factor| factor.is_some_and(|factor| factor >= 1.0)),
            migrated: on_engine(&|factor| factor.is_none()),
        }
    }
}

impl Counts {
    fn of(outcomes: &[&CallerOutcome]) -> Self {
        let count = |counts: fn(&CallerOutcome) -> bool| {
            let counted = outcomes.iter().filter(|outcome| counts(outcome));
            counted.count()
        };
        Self {
            asked: outcomes.len(),
            on_time: count(CallerOutcome::is_on_time),
            late_by_pause: count(CallerOutcome::is_late_by_pause),
            late_by_first_event: count(CallerOutcome::is_late_by_first_event),
            refused: count(CallerOutcome::was_refused),
            refused_twice: count(|outcome| outcome.refusals > 1),
            lost: count(|outcome| !outcome.is_complete && outcome.refusals < 2),
        }
    }
}

impl PlaceFigures {
    fn of<'a>(complete: impl Iterator<Item = &'a CallerOutcome> + Clone) -> Self {
        let stream_ms: f64 = complete.clone().map(|outcome| outcome.stream_ms).sum();
        let tokens: u32 = complete.clone().map(|outcome| outcome.length_tokens).sum();
        Self {
            answers: complete.clone().count(),
            with_long_pause: complete.filter(|outcome| outcome.has_long_pause).count(),
            token_ms: stream_ms / f64::from(tokens.max(1)),
        }
    }
}

fn benefit_share(settings: &Settings, outcomes: &[CallerOutcome]) -> f64 {
    let kind = |outcome: &CallerOutcome| settings.scenario.kind(outcome.is_long);
    let possible: f64 = outcomes.iter().map(|outcome| kind(outcome).value).sum();
    let obtained = outcomes
        .iter()
        .map(|outcome| value(kind(outcome), outcome))
        .sum::<f64>();
    obtained / possible
}

fn value(kind: &RequestKind, outcome: &CallerOutcome) -> f64 {
    match (outcome.is_complete, outcome.is_on_time()) {
        (_, true) => kind.value,
        (true, false) => kind.value * kind.late_share,
        (false, false) => 0.0,
    }
}
