//! Statistics that one host keeps of one upstream: load, latency and failures.
//!
//! Many hosts send to the same upstream and none sees the others' requests. A load report in a
//! response is the most recent information available. Requests that this host has started or
//! finished since are added to it, and its weight falls to zero within [`REPORT_TTL_MS`]. Failures
//! and latency count as load, so a failing upstream gets less work without being excluded, and is
//! tried again as they decay. (Load by peak latency and requests in flight: Finagle's "peak EWMA"
//! balancer.)

use serde::{Deserialize, Serialize};

use crate::failures::Failures;
use crate::key::Millis;

/// Age at which a load report is ignored: several times the duration of a small request.
const REPORT_TTL_MS: Millis = 1_500;
/// Age at which a reported slowdown is ignored: the duration of a phase in which other work on the
/// upstream's machine slows it down.
const SLOWDOWN_TTL_MS: Millis = 300;
/// Bound on a reported slowdown: an upstream that reports more is avoided already.
const MAX_SLOWDOWN: f32 = 10.0;
/// Weight of one response in the smoothed latency: about the last eight count.
const GAIN: f32 = 0.12;
/// Factor on the cost at a failure share of 1. An upstream that fails half of its requests is
/// chosen only if the others are many times as busy.
const FAILURE_WEIGHT: f32 = 24.0;
/// Age of the last response at which nothing is known of the upstream's latency any more.
const STALE_MS: Millis = 500;
/// Time without a response after which an upstream is tried whatever its cost.
const UNTRIED_MS: Millis = 200;
/// A latency over this multiple of the lowest one of a service is slow.
const SLOW_FACTOR: f32 = 2.0;
/// Time to the next trial of an upstream that is still slow, and its maximum: it doubles with each
/// trial.
const SLOW_TRIAL_WAIT_MS: std::ops::RangeInclusive<Millis> = 250..=4_000;
/// Share of failures above which an upstream is tried again only as the share decays.
const MAX_TRIAL_FAILURES: f32 = 0.1;
/// Latency assumed before the first response.
const UNKNOWN_LATENCY_MS: f32 = 30.0;

/// Load that an upstream reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// How long work takes on its machine at the moment, in percent of the usual time; `None` if it
    /// does not say.
    pub work_time_percent: Option<u32>,
}

impl ReportedLoad {
    /// How much slower than usual its machine is; 1 is usual.
    fn slowdown(&self) -> f32 {
        let percent = self.work_time_percent.unwrap_or(100);
        (percent as f32 / 100.0).clamp(1.0, MAX_SLOWDOWN)
    }
}

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A complete response that is not a failure of the upstream.
    Good,
    /// The upstream failed, interrupted the response or did not answer.
    Failed,
    /// The upstream reported that it has not run the request.
    Shed,
    /// The outcome is unknown, because the caller disconnected.
    Unheard,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: ReportedLoad,
    at_ms: Millis,
    /// Requests of this host since the report: started minus ended.
    net_started: i32,
}

/// When an upstream is tried that its cost would keep from being chosen.
#[derive(Debug, Clone, Copy, Default)]
struct Trial {
    next_ms: Millis,
    wait_ms: Millis,
}

/// Statistics that one host keeps of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamStats {
    in_flight: Vec<(u64, Millis)>,
    next_id: u64,
    report: Option<LoadReport>,
    latency_ms: Option<f32>,
    /// When the last response arrived; 0 for none.
    responded_ms: Millis,
    trial: Trial,
    failures: Failures,
    penalised_until_ms: Millis,
}

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightId(u64);

impl UpstreamStats {
    /// Records that a request is sent.
    pub fn start(&mut self, now_ms: Millis) -> InFlightId {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.push((id, now_ms));
        if let Some(report) = &mut self.report {
            report.net_started += 1;
        }
        InFlightId(id)
    }

    /// Records that a request has ended.
    pub fn end(&mut self, now_ms: Millis, request: InFlightId, verdict: Verdict) {
        let position = self.in_flight.iter().position(|(id, _)| *id == request.0);
        let Some(position) = position else { return };
        self.in_flight.swap_remove(position);
        if let Some(report) = &mut self.report {
            report.net_started -= 1;
        }
        match verdict {
            Verdict::Good => self.failures.record(now_ms, 0.0),
            Verdict::Failed => self.failures.record(now_ms, 1.0),
            Verdict::Shed => self.failures.record(now_ms, 0.5),
            Verdict::Unheard => {}
        }
    }

    /// Records the time to the first byte of a response. After a while without any, it replaces what
    /// was known.
    pub fn record_latency(&mut self, now_ms: Millis, latency_ms: Millis) {
        let latency_ms = latency_ms as f32;
        let is_stale = now_ms.saturating_sub(self.responded_ms) >= STALE_MS;
        self.responded_ms = now_ms;
        if is_stale {
            self.latency_ms = Some(latency_ms);
            return;
        }
        let smoothed = self.latency_ms.unwrap_or(latency_ms);
        // Increases of the latency are adopted faster than decreases.
        let gain = if latency_ms > smoothed {
            2.0 * GAIN
        } else {
            GAIN
        };
        self.latency_ms = Some(smoothed + (latency_ms - smoothed) * gain);
    }

    /// Records a load report of the upstream.
    pub fn record_load(&mut self, now_ms: Millis, load: ReportedLoad) {
        self.report = Some(LoadReport {
            load,
            at_ms: now_ms,
            net_started: 0,
        });
    }

    /// Records that no connection could be established.
    pub fn record_unreachable(&mut self, now_ms: Millis) {
        self.failures.record_unreachable(now_ms);
    }

    /// Raises the cost until `until_ms`, because the upstream is full or about to leave.
    pub fn penalise_until(&mut self, until_ms: Millis) {
        self.penalised_until_ms = self.penalised_until_ms.max(until_ms);
    }

    /// Number of requests of this host in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Share of recent requests that failed.
    pub fn failure_share(&self, now_ms: Millis) -> f32 {
        self.failures.share(now_ms)
    }

    /// The time to the first byte of a response.
    pub fn expected_latency_ms(&self) -> f32 {
        self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS)
    }

    /// Whether to try the upstream whatever its cost: it has not responded for a while, and nothing
    /// else speaks against it. One that has returned, or was never used, would otherwise be judged
    /// by what is no longer true, or lose to equals by chance.
    pub fn needs_trial(&self, now_ms: Millis) -> bool {
        let is_untried = now_ms.saturating_sub(self.responded_ms) >= UNTRIED_MS;
        let is_well = self.failure_share(now_ms) <= MAX_TRIAL_FAILURES;
        let is_due = now_ms >= self.trial.next_ms.max(self.penalised_until_ms);
        is_untried && is_well && is_due && self.in_flight.is_empty()
    }

    /// Records a trial. `lowest_ms` is the lowest latency among the upstreams of the service: one
    /// that stays slow is tried less and less often.
    pub fn begin_trial(&mut self, now_ms: Millis, lowest_ms: f32) {
        let is_slow = self.expected_latency_ms() > lowest_ms * SLOW_FACTOR;
        let (first_ms, last_ms) = SLOW_TRIAL_WAIT_MS.into_inner();
        self.trial.wait_ms = match is_slow {
            true => (self.trial.wait_ms * 2).clamp(first_ms, last_ms),
            false => 0,
        };
        self.trial.next_ms = now_ms + self.trial.wait_ms;
    }

    /// Cost of one more request, for comparison between upstreams of one service.
    pub fn cost(&self, now_ms: Millis) -> f32 {
        self.cost_with_slowdown(now_ms, 0.0)
    }

    /// Like [`UpstreamStats::cost`], with a share (0 to 1) of the slowdown that the upstream reports.
    pub fn cost_with_slowdown(&self, now_ms: Millis, share: f32) -> f32 {
        let failure_factor = 1.0 + FAILURE_WEIGHT * self.failure_share(now_ms);
        let penalty = if now_ms < self.penalised_until_ms {
            4.0
        } else {
            1.0
        };
        let slowdown = 1.0 + (self.slowdown(now_ms) - 1.0) * share;
        let latency_ms = self.latency_or_age_ms(now_ms) * slowdown;
        (1.0 + self.occupancy(now_ms)) * latency_ms * failure_factor * penalty
    }

    /// How much slower than usual the upstream is by its report, weighted by the age of that; 1 is
    /// usual.
    pub fn slowdown(&self, now_ms: Millis) -> f32 {
        let Some(report) = self.report else {
            return 1.0;
        };
        let age_ms = now_ms.saturating_sub(report.at_ms);
        let weight = 1.0 - age_ms as f32 / SLOWDOWN_TTL_MS as f32;
        1.0 + (report.load.slowdown() - 1.0) * weight.max(0.0)
    }

    /// Estimated number of requests at the upstream, from all hosts.
    pub fn occupancy(&self, now_ms: Millis) -> f32 {
        let own = self.in_flight.len() as f32;
        let Some(report) = self.report else {
            return own;
        };
        let age_ms = now_ms.saturating_sub(report.at_ms);
        if age_ms >= REPORT_TTL_MS {
            return own;
        }
        let reported = report.load.running as f32 + report.load.waiting as f32;
        let estimated = (reported + report.net_started as f32).max(own);
        let weight = 1.0 - age_ms as f32 / REPORT_TTL_MS as f32;
        own + (estimated - own) * weight
    }

    /// The smoothed latency, or the age of the oldest request in flight if that is greater. An
    /// upstream that hangs sends no response whose latency could be smoothed.
    fn latency_or_age_ms(&self, now_ms: Millis) -> f32 {
        let oldest_ms = self.in_flight.iter().map(|(_, at_ms)| *at_ms).min();
        let pending_ms = oldest_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        self.expected_latency_ms().max(pending_ms as f32).max(1.0)
    }
}
