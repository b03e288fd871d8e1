//! Outcome of one request of a caller, over all its attempts.

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallerOutcome {
    pub(super) is_long: bool,
    pub(super) organisation: usize,
    pub(super) prompt_tokens: u32,
    pub(super) length_tokens: u32,
    pub(super) is_complete: bool,
    /// Number of attempts that were refused.
    pub(super) refusals: u8,
    pub(super) first_ms: f64,
    /// Time from the first event to the last.
    pub(super) stream_ms: f64,
    pub(super) is_first_event_late: bool,
    /// Whether a pause was longer than allowed.
    pub(super) has_long_pause: bool,
    /// The step factor of its engine, unless it ran on several.
    pub(super) step_factor: Option<f64>,
}

impl CallerOutcome {
    pub(super) fn is_on_time(&self) -> bool {
        self.is_complete && !self.is_first_event_late && !self.has_long_pause
    }

    pub(super) fn is_late_by_first_event(&self) -> bool {
        self.is_complete && self.is_first_event_late
    }

    /// Whether it would have been on time without its longest pause.
    pub(super) fn is_late_by_pause(&self) -> bool {
        self.is_complete && !self.is_first_event_late && self.has_long_pause
    }

    pub(super) fn was_refused(&self) -> bool {
        self.refusals > 0
    }
}

pub(super) fn share(outcomes: &[&CallerOutcome], counts: impl Fn(&CallerOutcome) -> bool) -> f64 {
    let count = outcomes.iter().filter(|outcome| counts(outcome)).count();
    count as f64 / outcomes.len().max(1) as f64
}

/// Organisations with fewer requests are left out of the worst tenth, as their share is noise.
const MIN_REQUESTS: usize = 10;

/// On-time share of the worst-served tenth of the organisations in a number range.
pub(super) fn worst_tenth_on_time_share<'a>(
    outcomes: &[&'a CallerOutcome],
    organisations: impl Iterator<Item = usize>,
) -> f64 {
    let requests_of = |index: usize| -> Vec<&'a CallerOutcome> {
        let all = outcomes.iter().copied();
        all.filter(|outcome| outcome.organisation == index)
            .collect()
    };
    let mut shares: Vec<f64> = organisations
        .map(requests_of)
        .filter(|requests| requests.len() >= MIN_REQUESTS)
        .map(|requests| share(&requests, CallerOutcome::is_on_time))
        .collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len().div_ceil(10)];
    worst.iter().sum::<f64>() / worst.len().max(1) as f64
}
