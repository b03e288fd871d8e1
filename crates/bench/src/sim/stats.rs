//! Measures of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::workload::ORGANISATIONS;

/// Waiting for the first token beyond this is stall time.
const FIRST_TOKEN_BOUND_US: u64 = 1_500_000;
/// The part of a gap between two tokens beyond this is stall time.
const GAP_BOUND_US: u64 = 250_000;

/// The three measures of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Measures {
    pub(crate) stall_ms_mean: f64,
    pub(crate) preemptions_per_1000: f64,
    pub(crate) between_tokens_ms_p99: f64,
}

/// One row of the comparison.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) policy: &'static str,
    pub(crate) offered_load: f64,
    pub(crate) seed: u64,
    pub(crate) tokens_done: u64,
    pub(crate) done: u64,
    pub(crate) refused: u64,
    pub(crate) preemptions: u64,
    pub(crate) moves: u64,
    pub(crate) asks: u64,
    pub(crate) stall_ms_p50: f64,
    pub(crate) stall_ms_p99: f64,
    pub(crate) stall_ms_total: f64,
    pub(crate) first_token_ms_p50: f64,
    pub(crate) first_token_ms_p99: f64,
    pub(crate) between_tokens_ms_p99: f64,
    pub(crate) between_tokens_ms_p999: f64,
    pub(crate) worst_stall_ms_mean: f64,
    pub(crate) worst_preemptions_per_1000: f64,
    pub(crate) worst_between_tokens_ms_p99: f64,
    #[serde(skip)]
    pub(crate) organisations: Vec<Measures>,
}

struct OrganisationStats {
    between_us: Histogram<u64>,
    stall_us: u64,
    preemptions: u64,
    requests: u64,
}

/// Collects the measures during a run.
pub(crate) struct StatsCollector {
    first_us: Histogram<u64>,
    between_us: Histogram<u64>,
    stall_us: Histogram<u64>,
    by_organisation: Vec<OrganisationStats>,
    pub(crate) tokens_done: u64,
    pub(crate) done: u64,
    pub(crate) refused: u64,
    pub(crate) preemptions: u64,
    pub(crate) moves: u64,
    pub(crate) permit_requests: u64,
    stall_total_us: u64,
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("create a histogram with three digits");
    histogram.auto(true);
    histogram
}

impl StatsCollector {
    pub(crate) fn new() -> Self {
        let stats = |_| OrganisationStats {
            between_us: histogram(),
            stall_us: 0,
            preemptions: 0,
            requests: 0,
        };
        Self {
            first_us: histogram(),
            between_us: histogram(),
            stall_us: histogram(),
            by_organisation: (0..ORGANISATIONS).map(stats).collect(),
            tokens_done: 0,
            done: 0,
            refused: 0,
            preemptions: 0,
            moves: 0,
            permit_requests: 0,
            stall_total_us: 0,
        }
    }

    pub(crate) fn record_first_token(&mut self, wait_us: u64) -> u64 {
        let _ = self.first_us.record(wait_us);
        wait_us.saturating_sub(FIRST_TOKEN_BOUND_US)
    }

    pub(crate) fn record_gap(&mut self, organisation: usize, gap_us: u64) -> u64 {
        let _ = self.between_us.record(gap_us);
        let _ = self.by_organisation[organisation].between_us.record(gap_us);
        gap_us.saturating_sub(GAP_BOUND_US)
    }

    pub(crate) fn record_preemption(&mut self, organisation: usize) {
        self.preemptions += 1;
        self.by_organisation[organisation].preemptions += 1;
    }

    /// Records the stall time of a request that has ended, or that is open at the end of the run.
    pub(crate) fn record_end(&mut self, organisation: usize, stall_us: u64) {
        let _ = self.stall_us.record(stall_us);
        self.stall_total_us += stall_us;
        let stats = &mut self.by_organisation[organisation];
        stats.stall_us += stall_us;
        stats.requests += 1;
    }

    /// Stall time so far of a request that still waits for its first or its next token.
    pub(crate) fn open_stall_us(is_first: bool, silent_us: u64) -> u64 {
        let bound = if is_first {
            FIRST_TOKEN_BOUND_US
        } else {
            GAP_BOUND_US
        };
        silent_us.saturating_sub(bound)
    }

    pub(crate) fn row(&self, policy: &'static str, offered_load: f64, seed: u64) -> Row {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let organisations: Vec<Measures> = self
            .by_organisation
            .iter()
            .map(|stats| Measures {
                stall_ms_mean: stats.stall_us as f64 / 1_000.0 / stats.requests.max(1) as f64,
                preemptions_per_1000: stats.preemptions as f64 * 1_000.0
                    / stats.requests.max(1) as f64,
                between_tokens_ms_p99: ms(&stats.between_us, 0.99),
            })
            .collect();
        let worst =
            |measure: fn(&Measures) -> f64| organisations.iter().map(measure).fold(0.0, f64::max);
        Row {
            policy,
            offered_load,
            seed,
            tokens_done: self.tokens_done,
            done: self.done,
            refused: self.refused,
            preemptions: self.preemptions,
            moves: self.moves,
            asks: self.permit_requests,
            stall_ms_p50: ms(&self.stall_us, 0.5),
            stall_ms_p99: ms(&self.stall_us, 0.99),
            stall_ms_total: self.stall_total_us as f64 / 1_000.0,
            first_token_ms_p50: ms(&self.first_us, 0.5),
            first_token_ms_p99: ms(&self.first_us, 0.99),
            between_tokens_ms_p99: ms(&self.between_us, 0.99),
            between_tokens_ms_p999: ms(&self.between_us, 0.999),
            worst_stall_ms_mean: worst(|one| one.stall_ms_mean),
            worst_preemptions_per_1000: worst(|one| one.preemptions_per_1000),
            worst_between_tokens_ms_p99: worst(|one| one.between_tokens_ms_p99),
            organisations,
        }
    }
}
