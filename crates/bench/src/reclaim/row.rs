//! What a day came to under one way of deciding.

use serde::Serialize;

use crate::sim::UnknownName;

/// A way of deciding that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowName {
    /// Knows all lengths, and its transfers take no time on links.
    Oracle,
    /// Carries nothing off.
    Stay,
    /// Carries off, without running copies.
    Move,
    /// The same, and a running copy of each long generation on the emptiest other engine.
    CopyAll,
    /// The same for the largest fifth alone.
    CopyLargest,
    /// The gateway as it is.
    Kept,
}

impl RowName {
    pub(crate) const ALL: [Self; 6] = [
        Self::Oracle,
        Self::Stay,
        Self::Move,
        Self::CopyAll,
        Self::CopyLargest,
        Self::Kept,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Oracle => "oracle",
            Self::Stay => "stay",
            Self::Move => "move",
            Self::CopyAll => "copy_all",
            Self::CopyLargest => "copy_largest",
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
    pub(crate) asked: usize,
    /// Of the long ones: whole, whole and on time, whole and late.
    pub(crate) whole_share: f64,
    pub(crate) on_time_share: f64,
    pub(crate) late_share: f64,
    /// Of the short ones: whole and on time.
    pub(crate) short_on_time_share: f64,
    /// Of the largest tenth of the long ones: whole and on time.
    pub(crate) largest_on_time_share: f64,
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
    pub(super) prompt_tokens: u32,
    pub(super) is_whole: bool,
    pub(super) is_on_time: bool,
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
    pub(super) fn row(mut self, name: RowName, load: f64, seed: u64, fared: &[Fared]) -> Row {
        let mut long: Vec<&Fared> = fared.iter().filter(|one| one.is_long).collect();
        let short: Vec<&Fared> = fared.iter().filter(|one| !one.is_long).collect();
        long.sort_by_key(|one| one.prompt_tokens);
        let largest = &long[long.len() - long.len() / 10..];
        self.pauses_ms.sort_by(f64::total_cmp);
        Row {
            policy: name.name(),
            load,
            seed,
            asked: fared.len(),
            whole_share: share(&long, |one| one.is_whole),
            on_time_share: share(&long, |one| one.is_on_time),
            late_share: share(&long, |one| one.is_whole && !one.is_on_time),
            short_on_time_share: share(&short, |one| one.is_on_time),
            largest_on_time_share: share(largest, |one| one.is_on_time),
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
