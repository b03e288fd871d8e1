//! What one host knows of one upstream: its load, its pace and its failures.
//!
//! Many hosts send to the same upstream and none sees the others' requests. An answer that states
//! the upstream's own load is the freshest word there is; what this host has sent and heard since
//! is added to it, and it fades within [`REPORT_MS`]. Failures and slowness count as load, so a
//! sick upstream gets less work without ever being shut out, and is tried again as they fade.
//! (Load by peak latency and requests in flight: Finagle's "peak EWMA" balancer.)

use serde::{Deserialize, Serialize};

use crate::failures::Failures;
use crate::key::Millis;

/// A statement of load older than this tells nothing: several times the work of a small request.
const REPORT_MS: Millis = 1_500;
/// How much one answer changes the smoothed latency: about the last eight count.
const GAIN: f32 = 0.12;
/// How much a failure share of 1 multiplies an upstream's cost: one that fails half of what it gets is
/// chosen only where the others are many times as busy.
const FAILURE_WEIGHT: f32 = 24.0;
/// The latency assumed before the first answer.
const UNKNOWN_LATENCY_MS: f32 = 30.0;

/// An upstream's own statement of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it works on at most.
    pub slots: u32,
}

/// How an exchange with an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A whole answer that isn't the upstream's own failure.
    Good,
    /// The upstream failed, broke off or stayed silent.
    Failed,
    /// The upstream said that it had not run the request.
    Shed,
    /// Nothing can be said: the caller left.
    Unheard,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    load: ReportedLoad,
    at_ms: Millis,
    /// Requests of this host since: started less ended.
    since: i32,
}

/// What one host knows of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamStats {
    in_flight: Vec<(u64, Millis)>,
    next_id: u64,
    statement: Option<Statement>,
    latency_ms: Option<f32>,
    failures: Failures,
    shed_until_ms: Millis,
}

/// A request in flight, by which its end is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightId(u64);

impl UpstreamStats {
    /// A request goes out.
    pub fn start(&mut self, now_ms: Millis) -> InFlightId {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.push((id, now_ms));
        if let Some(statement) = &mut self.statement {
            statement.since += 1;
        }
        InFlightId(id)
    }

    /// A request is over.
    pub fn end(&mut self, now_ms: Millis, flight: InFlightId, verdict: Verdict) {
        let place = self.in_flight.iter().position(|(id, _)| *id == flight.0);
        let Some(place) = place else { return };
        self.in_flight.swap_remove(place);
        if let Some(statement) = &mut self.statement {
            statement.since -= 1;
        }
        match verdict {
            Verdict::Good => self.failures.learn(now_ms, 0.0),
            Verdict::Failed => self.failures.learn(now_ms, 1.0),
            Verdict::Shed => self.failures.learn(now_ms, 0.5),
            Verdict::Unheard => {}
        }
    }

    /// The first byte of an answer came after `latency_ms`.
    pub fn record_latency(&mut self, latency_ms: Millis) {
        let latency_ms = latency_ms as f32;
        let held = self.latency_ms.unwrap_or(latency_ms);
        // A slower answer counts at once, a faster one bit by bit.
        let gain = if latency_ms > held { 2.0 * GAIN } else { GAIN };
        self.latency_ms = Some(held + (latency_ms - held) * gain);
    }

    /// The upstream stated its load.
    pub fn record_load(&mut self, now_ms: Millis, load: ReportedLoad) {
        self.statement = Some(Statement {
            load,
            at_ms: now_ms,
            since: 0,
        });
    }

    /// No connection could be made.
    pub fn record_unreachable(&mut self, now_ms: Millis) {
        self.failures.fail_all(now_ms);
    }

    /// The upstream is full or about to leave: it had better be spared until then.
    pub fn penalise_until(&mut self, until_ms: Millis) {
        self.shed_until_ms = self.shed_until_ms.max(until_ms);
    }

    /// Requests of this host in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The share of requests that failed lately.
    pub fn failure_share(&self, now_ms: Millis) -> f32 {
        self.failures.share(now_ms)
    }

    /// What one more request costs there, for comparison between upstreams of one service.
    pub fn cost(&self, now_ms: Millis) -> f32 {
        let sick = 1.0 + FAILURE_WEIGHT * self.failure_share(now_ms);
        let spared = if now_ms < self.shed_until_ms {
            4.0
        } else {
            1.0
        };
        (1.0 + self.occupancy(now_ms)) * self.pace_ms(now_ms) * sick * spared
    }

    /// Requests there, as far as this host can tell.
    pub fn occupancy(&self, now_ms: Millis) -> f32 {
        let own = self.in_flight.len() as f32;
        let Some(statement) = self.statement else {
            return own;
        };
        let age_ms = now_ms.saturating_sub(statement.at_ms);
        if age_ms >= REPORT_MS {
            return own;
        }
        let stated = (statement.load.running + statement.load.waiting) as f32;
        let likely = (stated + statement.since as f32).max(own);
        let trust = 1.0 - age_ms as f32 / REPORT_MS as f32;
        own + (likely - own) * trust
    }

    /// The smoothed latency, or the age of the oldest request without an answer where that is
    /// more: an upstream that hangs answers nothing that could be smoothed.
    fn pace_ms(&self, now_ms: Millis) -> f32 {
        let oldest_ms = self.in_flight.iter().map(|(_, at_ms)| *at_ms).min();
        let pending_ms = oldest_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let smoothed = self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS);
        smoothed.max(pending_ms as f32).max(1.0)
    }
}
