//! What a day came to under one way of deciding.

use serde::Serialize;

use super::world::Settings;
use crate::sim::UnknownName;

/// A way of deciding that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowName {
    /// Callers' guesses are exact, and its transfers take no time on links.
    Oracle,
    /// Carries nothing off.
    Stay,
    /// Carries off, without running copies.
    Move,
    /// The same, and a running copy of each long generation on the emptiest other engine.
    CopyAll,
    /// The same for the largest fifth alone.
    CopyLargest,
    /// The gateway as it is, but for the organisations: all callers are one's.
    Unfair,
    /// The gateway as it is.
    Kept,
}

impl RowName {
    pub(crate) const ALL: [Self; 7] = [
        Self::Oracle,
        Self::Stay,
        Self::Move,
        Self::CopyAll,
        Self::CopyLargest,
        Self::Unfair,
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
            Self::Kept => "kept",
        }
    }
}

impl std::str::FromStr for RowName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let known = Self::ALL.into_iter().find(|row| row.name() == name);
        known.ok_or(UnknownName)
    }
}

/// What a day came to.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) policy: &'static str,
    pub(crate) load: f64,
    pub(crate) seed: u64,
    pub(crate) organisations: Organisations,
    pub(crate) asked: usize,
    /// Of the long ones: whole, whole and on time, whole and late.
    pub(crate) whole_share: f64,
    pub(crate) on_time_share: f64,
    pub(crate) late_share: f64,
    /// Of the short ones: whole and on time.
    pub(crate) short_on_time_share: f64,
    /// Of the tenth of the long ones with the largest prompts: whole and on time.
    pub(crate) largest_on_time_share: f64,
    /// Of the tenth of the long ones with the longest answers: whole and on time.
    pub(crate) longest_on_time_share: f64,
    /// Benefit of the long ones, of what was owed: by size, a seventh of it where they are late.
    pub(crate) benefit_share: f64,
    /// Callers of long ones that were refused and got nothing after it either.
    pub(crate) refused_for_good: usize,
    /// Time to the first event of the long ones that were served.
    pub(crate) first_ms_p50: f64,
    pub(crate) first_ms_p99: f64,
    /// The same of the short ones.
    pub(crate) short_first_ms_p90: f64,
    pub(crate) short_first_ms_p99: f64,
    /// Time for a token of an answer, on average.
    pub(crate) token_ms: f64,
    /// Life of the long ones that were served, by their benefit: what is lost where all hosts end at
    /// once grows with it.
    pub(crate) life_ms: f64,
    pub(crate) refused: usize,
    pub(crate) lost: usize,
    pub(crate) preemptions: u32,
    pub(crate) moves: u32,
    pub(crate) wasted_prompt_tokens: u64,
    /// Pauses of generations that were carried.
    pub(crate) pause_ms_p50: f64,
    pub(crate) pause_ms_p99: f64,
}

/// How one caller fared.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fared {
    pub(super) is_long: bool,
    pub(super) organisation: usize,
    pub(super) prompt_tokens: u32,
    pub(super) length_tokens: u32,
    pub(super) is_whole: bool,
    pub(super) is_on_time: bool,
    pub(super) was_refused: bool,
    pub(super) first_ms: f64,
    /// From the first event to the last.
    pub(super) stream_ms: f64,
}

/// What a late answer is worth of one on time, by the users' sheets.
const LATE_BENEFIT: f64 = 0.15;
/// A token out weighs as much as so many of the prompt.
const OUT_WEIGHT: u32 = 10;
/// The part of a request's benefit that doesn't grow with its size.
const LEAST_BENEFIT: f64 = 0.3;

impl Fared {
    /// Its size, as the users weigh generations.
    fn size(&self) -> f64 {
        f64::from(self.prompt_tokens + OUT_WEIGHT * self.length_tokens)
    }

    fn got(&self) -> f64 {
        match (self.is_whole, self.is_on_time) {
            (_, true) => 1.0,
            (true, false) => LATE_BENEFIT,
            (false, false) => 0.0,
        }
    }
}

/// Benefit of what was owed.
fn benefit_share(of: &[&Fared]) -> f64 {
    let mean = of.iter().map(|one| one.size()).sum::<f64>() / of.len().max(1) as f64;
    let owed = |one: &Fared| LEAST_BENEFIT + (1.0 - LEAST_BENEFIT) * one.size() / mean;
    let got: f64 = of.iter().map(|one| owed(one) * one.got()).sum();
    got / of.iter().map(|one| owed(one)).sum::<f64>()
}

/// Mean life, by benefit.
fn life_ms(of: &[&&Fared]) -> f64 {
    let sizes: f64 = of.iter().map(|one| one.size()).sum();
    let lives = of
        .iter()
        .map(|one| one.size() * (one.first_ms + one.stream_ms));
    lives.sum::<f64>() / sizes.max(1.0)
}

fn share(of: &[&Fared], counts: impl Fn(&Fared) -> bool) -> f64 {
    let count = of.iter().filter(|one| counts(one)).count();
    count as f64 / of.len().max(1) as f64
}

/// The value below which this share of sorted values lies; 0 for none.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share) as usize;
    sorted.get(place).copied().unwrap_or_default()
}

/// How organisations fared beside one that floods, or beside the largest.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Organisations {
    /// Of the requests of the one that floods.
    pub(crate) flooder_on_time_share: f64,
    /// Of all others' requests.
    pub(crate) others_on_time_share: f64,
    /// Of the worst-served tenth of the others.
    pub(crate) worst_on_time_share: f64,
    /// Others' tries that were refused and never served, of their requests.
    pub(crate) others_refused_share: f64,
}

/// Organisations with fewer requests say little about how they are served.
const COUNTED_REQUESTS: usize = 10;

impl Organisations {
    fn of(settings: &Settings, fared: &[Fared]) -> Self {
        let flooder = settings.flood.map_or(0, |flood| flood.organisation);
        let on_time = |of: &[&Fared]| share(of, |one| one.is_on_time);
        let (own, others): (Vec<&Fared>, Vec<&Fared>) =
            fared.iter().partition(|one| one.organisation == flooder);
        let mut each: Vec<f64> = (0..settings.organisations)
            .filter(|place| *place != flooder)
            .map(|place| {
                others
                    .iter()
                    .copied()
                    .filter(move |one| one.organisation == place)
            })
            .map(Iterator::collect::<Vec<&Fared>>)
            .filter(|of| of.len() >= COUNTED_REQUESTS)
            .map(|of| on_time(&of))
            .collect();
        each.sort_by(f64::total_cmp);
        let worst = &each[..each.len().div_ceil(10)];
        Self {
            flooder_on_time_share: on_time(&own),
            others_on_time_share: on_time(&others),
            worst_on_time_share: worst.iter().sum::<f64>() / worst.len().max(1) as f64,
            others_refused_share: share(&others, |one| one.was_refused && !one.is_whole),
        }
    }
}

/// The counts of a day while it runs.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) refused: usize,
    pub(super) lost: usize,
    pub(super) preemptions: u32,
    pub(super) moves: u32,
    pub(super) wasted_prompt_tokens: u64,
    pub(super) pauses_ms: Vec<f64>,
}

impl Tally {
    pub(super) fn row(mut self, settings: &Settings, fared: &[Fared]) -> Row {
        let mut long: Vec<&Fared> = fared.iter().filter(|one| one.is_long).collect();
        let short: Vec<&Fared> = fared.iter().filter(|one| !one.is_long).collect();
        let mut longest = long.clone();
        longest.sort_by_key(|one| one.length_tokens);
        let longest = &longest[long.len() - long.len() / 10..];
        long.sort_by_key(|one| one.prompt_tokens);
        let largest = &long[long.len() - long.len() / 10..];
        let whole: Vec<&&Fared> = long.iter().filter(|one| one.is_whole).collect();
        let mut first_ms: Vec<f64> = whole.iter().map(|one| one.first_ms).collect();
        first_ms.sort_by(f64::total_cmp);
        let mut short_first_ms: Vec<f64> = short
            .iter()
            .filter(|one| one.is_whole)
            .map(|one| one.first_ms)
            .collect();
        short_first_ms.sort_by(f64::total_cmp);
        let stream_ms: f64 = whole.iter().map(|one| one.stream_ms).sum();
        let tokens: f64 = whole.iter().map(|one| f64::from(one.length_tokens)).sum();
        let is_given_up = |one: &&&Fared| one.was_refused && !one.is_whole;
        self.pauses_ms.sort_by(f64::total_cmp);
        Row {
            policy: settings.row.name(),
            load: settings.load,
            seed: settings.seed,
            organisations: Organisations::of(settings, fared),
            asked: fared.len(),
            whole_share: share(&long, |one| one.is_whole),
            on_time_share: share(&long, |one| one.is_on_time),
            late_share: share(&long, |one| one.is_whole && !one.is_on_time),
            short_on_time_share: share(&short, |one| one.is_on_time),
            largest_on_time_share: share(largest, |one| one.is_on_time),
            longest_on_time_share: share(longest, |one| one.is_on_time),
            benefit_share: benefit_share(&long),
            refused_for_good: long.iter().filter(is_given_up).count(),
            first_ms_p50: percentile(&first_ms, 0.5),
            first_ms_p99: percentile(&first_ms, 0.99),
            short_first_ms_p90: percentile(&short_first_ms, 0.9),
            short_first_ms_p99: percentile(&short_first_ms, 0.99),
            token_ms: stream_ms / tokens.max(1.0),
            life_ms: life_ms(&whole),
            refused: self.refused,
            lost: self.lost,
            preemptions: self.preemptions,
            moves: self.moves,
            wasted_prompt_tokens: self.wasted_prompt_tokens,
            pause_ms_p50: percentile(&self.pauses_ms, 0.5),
            pause_ms_p99: percentile(&self.pauses_ms, 0.99),
        }
    }
}
