//! Results of one run under one policy.

use serde::Serialize;

use super::figures::Figures;
use super::outcome::{CallerOutcome, share, worst_tenth_on_time_share};
use super::world::Settings;
use crate::sim::UnknownName;

/// Policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyName {
    /// Exact length hints, and transfers that take no time on links: the upper bound.
    Oracle,
    /// No migration.
    Stay,
    /// Migration without running copies.
    Move,
    /// Migration, and a running copy of each long generation on the emptiest other engine.
    CopyAll,
    /// Migration, and running copies of the largest fifth of the long generations.
    CopyLargest,
    /// The gateway as it is, except that all callers belong to one organisation.
    Unfair,
    /// The gateway as it is, with all engines in one cell.
    OneCell,
    /// The gateway as it is, except that a migrating generation is stopped right after an event.
    StopAtEvent,
    /// The gateway as it is.
    Kept,
}

impl PolicyName {
    const ALL: [Self; 9] = [
        Self::Oracle,
        Self::Stay,
        Self::Move,
        Self::CopyAll,
        Self::CopyLargest,
        Self::Unfair,
        Self::OneCell,
        Self::StopAtEvent,
        Self::Kept,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Oracle => "oracle",
            Self::Stay => "stay",
            Self::Move => "move",
            Self::CopyAll => "copy_all",
            Self::CopyLargest => "copy_largest",
            Self::Unfair => "unfair",
            Self::OneCell => "one_cell",
            Self::StopAtEvent => "stop_at_event",
            Self::Kept => "kept",
        }
    }

    /// Whether the gateway's own code decides about running copies.
    pub(super) fn can_back_up(self) -> bool {
        matches!(
            self,
            Self::Kept | Self::OneCell | Self::StopAtEvent | Self::Unfair
        )
    }
}

impl std::str::FromStr for PolicyName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let known = Self::ALL.into_iter().find(|policy| policy.name() == name);
        known.ok_or(UnknownName)
    }
}

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) policy: &'static str,
    pub(crate) load: f64,
    pub(crate) seed: u64,
    pub(crate) organisations: Organisations,
    /// Figures over all requests.
    pub(crate) figures: Figures,
    pub(crate) asked: usize,
    /// Of the long requests: complete, complete and on time, complete and late.
    pub(crate) whole_share: f64,
    pub(crate) on_time_share: f64,
    pub(crate) late_share: f64,
    /// Of the short requests: complete and on time.
    pub(crate) short_on_time_share: f64,
    /// Of the tenth of the long requests with the largest prompts: complete and on time.
    pub(crate) largest_on_time_share: f64,
    /// Of the tenth of the long requests with the longest answers: complete and on time.
    pub(crate) longest_on_time_share: f64,
    /// Benefit of the long requests as a share of the possible benefit. The benefit of a request
    /// grows with its size; a late answer has `LATE_BENEFIT` of it.
    pub(crate) benefit_share: f64,
    /// Long requests that were refused and also not served on their retry.
    pub(crate) refused_for_good: usize,
    /// Time to the first event of the long requests that were served.
    pub(crate) first_ms_p50: f64,
    pub(crate) first_ms_p99: f64,
    /// The same of the short requests.
    pub(crate) short_first_ms_p90: f64,
    pub(crate) short_first_ms_p99: f64,
    /// Mean time per output token.
    pub(crate) token_ms: f64,
    /// Mean duration of the long requests that were served, weighted by size. The loss when all
    /// hosts crash at once grows with it.
    pub(crate) life_ms: f64,
    pub(crate) refused: usize,
    pub(crate) lost: usize,
    pub(crate) preemptions: u32,
    pub(crate) moves: u32,
    /// Generations that were ordered to migrate between engines that stay.
    pub(crate) rebalanced: u32,
    pub(crate) wasted_prompt_tokens: u64,
    /// Pauses in streams whose generation was migrated.
    pub(crate) pause_ms_p50: f64,
    pub(crate) pause_ms_p90: f64,
    pub(crate) pause_ms_p99: f64,
}

/// Benefit of a late answer relative to one on time, from the users' workload specification.
const LATE_BENEFIT: f64 = 0.15;
/// An output token weighs as much as this many prompt tokens.
const OUT_TOKEN_WEIGHT: u32 = 10;
/// Share of a request's benefit that doesn't depend on its size.
const FIXED_BENEFIT: f64 = 0.3;

impl CallerOutcome {
    /// Size in prompt tokens, the weight of a generation in the users' workload specification.
    fn size(&self) -> f64 {
        f64::from(self.prompt_tokens + OUT_TOKEN_WEIGHT * self.length_tokens)
    }

    fn benefit_factor(&self) -> f64 {
        match (self.is_complete, self.is_on_time()) {
            (_, true) => 1.0,
            (true, false) => LATE_BENEFIT,
            (false, false) => 0.0,
        }
    }
}

/// Benefit obtained as a share of the possible benefit.
fn benefit_share(outcomes: &[&CallerOutcome]) -> f64 {
    let mean =
        outcomes.iter().map(|outcome| outcome.size()).sum::<f64>() / outcomes.len().max(1) as f64;
    let possible =
        |outcome: &CallerOutcome| FIXED_BENEFIT + (1.0 - FIXED_BENEFIT) * outcome.size() / mean;
    let obtained: f64 = outcomes
        .iter()
        .map(|outcome| possible(outcome) * outcome.benefit_factor())
        .sum();
    obtained
        / outcomes
            .iter()
            .map(|outcome| possible(outcome))
            .sum::<f64>()
}

/// Mean duration, weighted by size.
fn life_ms(outcomes: &[&&CallerOutcome]) -> f64 {
    let sizes: f64 = outcomes.iter().map(|outcome| outcome.size()).sum();
    let durations = outcomes
        .iter()
        .map(|outcome| outcome.size() * (outcome.first_ms + outcome.stream_ms));
    durations.sum::<f64>() / sizes.max(1.0)
}

/// The value below which this share of the sorted values lies; 0 if there are none.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Shares of requests on time or refused, of the flooding organisation and of the others. Without a
/// flood the largest organisation takes the place of the flooding one.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Organisations {
    /// Of the flooding organisation's requests: complete and on time.
    pub(crate) flooder_on_time_share: f64,
    /// Of the other organisations' requests: complete and on time.
    pub(crate) others_on_time_share: f64,
    /// The same share, as the mean over the worst-served tenth of the other organisations.
    pub(crate) worst_on_time_share: f64,
    /// Of the other organisations' requests: refused, and also not served on their retry.
    pub(crate) others_refused_share: f64,
}

impl Organisations {
    fn of(settings: &Settings, outcomes: &[CallerOutcome]) -> Self {
        let flooder = settings.flood.map_or(0, |flood| flood.organisation);
        let on_time = |outcomes: &[&CallerOutcome]| share(outcomes, CallerOutcome::is_on_time);
        let (flooder_outcomes, others): (Vec<&CallerOutcome>, Vec<&CallerOutcome>) = outcomes
            .iter()
            .partition(|outcome| outcome.organisation == flooder);
        let organisations = 0..settings.organisations;
        let other_organisations = organisations.filter(|index| *index != flooder);
        Self {
            flooder_on_time_share: on_time(&flooder_outcomes),
            others_on_time_share: on_time(&others),
            worst_on_time_share: worst_tenth_on_time_share(&others, other_organisations),
            others_refused_share: share(&others, |outcome| {
                outcome.was_refused() && !outcome.is_complete
            }),
        }
    }
}

/// Counters of a run in progress.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) refused: usize,
    pub(super) lost: usize,
    pub(super) preemptions: u32,
    pub(super) moves: u32,
    pub(super) rebalanced: u32,
    pub(super) wasted_prompt_tokens: u64,
    pub(super) pauses_ms: Vec<f64>,
}

impl Tally {
    pub(super) fn into_row(mut self, settings: &Settings, outcomes: &[CallerOutcome]) -> Row {
        let mut long: Vec<&CallerOutcome> =
            outcomes.iter().filter(|outcome| outcome.is_long).collect();
        let short: Vec<&CallerOutcome> =
            outcomes.iter().filter(|outcome| !outcome.is_long).collect();
        let mut longest = long.clone();
        longest.sort_by_key(|outcome| outcome.length_tokens);
        let longest = &longest[long.len() - long.len() / 10..];
        long.sort_by_key(|outcome| outcome.prompt_tokens);
        let largest = &long[long.len() - long.len() / 10..];
        let complete: Vec<&&CallerOutcome> =
            long.iter().filter(|outcome| outcome.is_complete).collect();
        let mut first_ms: Vec<f64> = complete.iter().map(|outcome| outcome.first_ms).collect();
        first_ms.sort_by(f64::total_cmp);
        let mut short_first_ms: Vec<f64> = short
            .iter()
            .filter(|outcome| outcome.is_complete)
            .map(|outcome| outcome.first_ms)
            .collect();
        short_first_ms.sort_by(f64::total_cmp);
        let stream_ms: f64 = complete.iter().map(|outcome| outcome.stream_ms).sum();
        let tokens: f64 = complete
            .iter()
            .map(|outcome| f64::from(outcome.length_tokens))
            .sum();
        let was_refused_for_good =
            |outcome: &&&CallerOutcome| outcome.was_refused() && !outcome.is_complete;
        self.pauses_ms.sort_by(f64::total_cmp);
        Row {
            policy: settings.policy.name(),
            load: settings.load,
            seed: settings.seed,
            organisations: Organisations::of(settings, outcomes),
            figures: Figures::of(settings, outcomes),
            asked: outcomes.len(),
            whole_share: share(&long, |outcome| outcome.is_complete),
            on_time_share: share(&long, |outcome| outcome.is_on_time()),
            late_share: share(&long, |outcome| {
                outcome.is_complete && !outcome.is_on_time()
            }),
            short_on_time_share: share(&short, |outcome| outcome.is_on_time()),
            largest_on_time_share: share(largest, |outcome| outcome.is_on_time()),
            longest_on_time_share: share(longest, |outcome| outcome.is_on_time()),
            benefit_share: benefit_share(&long),
            refused_for_good: long.iter().filter(was_refused_for_good).count(),
            first_ms_p50: percentile(&first_ms, 0.5),
            first_ms_p99: percentile(&first_ms, 0.99),
            short_first_ms_p90: percentile(&short_first_ms, 0.9),
            short_first_ms_p99: percentile(&short_first_ms, 0.99),
            token_ms: stream_ms / tokens.max(1.0),
            life_ms: life_ms(&complete),
            refused: self.refused,
            lost: self.lost,
            preemptions: self.preemptions,
            moves: self.moves,
            rebalanced: self.rebalanced,
            wasted_prompt_tokens: self.wasted_prompt_tokens,
            pause_ms_p50: percentile(&self.pauses_ms, 0.5),
            pause_ms_p90: percentile(&self.pauses_ms, 0.9),
            pause_ms_p99: percentile(&self.pauses_ms, 0.99),
        }
    }
}
