//! Service rate of a home's queue, and requests in it that can't start in time.

use crate::key::Millis;
use crate::permit_request::PermitRequestId;
use crate::queue::{OrderRule, Rank, Waiting, rank};

/// Time over which the rate is averaged.
const WINDOW_MS: f32 = 5_000.0;
/// Minimum busy time before the rate is used.
const MIN_BUSY_MS: f32 = 1_000.0;
/// Factor by which each request that times out raises the wait correction.
const WAIT_FACTOR_STEP: f32 = 1.05;
const MAX_WAIT_FACTOR: f32 = 4.0;
const WAIT_FACTOR_HALF_LIFE_MS: f32 = 5_000.0;

/// Rate at which requests are served while the queue is not empty.
#[derive(Debug)]
pub(crate) struct Backlog {
    /// Footprints of the requests served, decaying over [`WINDOW_MS`].
    tokens: f32,
    /// Time with a non-empty queue, decaying over [`WINDOW_MS`].
    busy_ms: f32,
    at_ms: Millis,
    /// Factor on predicted waits, because small requests that arrive later overtake large ones. It
    /// grows with each request that times out although it was predicted to start, and decays.
    wait_factor: f32,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            busy_ms: 0.0,
            at_ms: 0,
            wait_factor: 1.0,
        }
    }
}

impl Backlog {
    /// Accounts for the time since the last call, with the queue idle or busy.
    pub(crate) fn advance(&mut self, now_ms: Millis, is_idle: bool) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f32;
        self.at_ms = now_ms;
        self.wait_factor =
            1.0 + (self.wait_factor - 1.0) * (-passed_ms / WAIT_FACTOR_HALF_LIFE_MS).exp2();
        if is_idle {
            return;
        }
        let decay = (-passed_ms / WINDOW_MS).exp();
        self.tokens *= decay;
        self.busy_ms = self.busy_ms * decay + passed_ms;
    }

    /// Counts a request of this footprint as served.
    pub(crate) fn record_served(&mut self, now_ms: Millis, footprint_tokens: f32) {
        self.at_ms = self.at_ms.max(now_ms);
        self.tokens += footprint_tokens;
    }

    /// Counts a request that exceeded its maximum wait.
    pub(crate) fn record_timeout(&mut self) {
        self.wait_factor = (self.wait_factor * WAIT_FACTOR_STEP).min(MAX_WAIT_FACTOR);
    }

    fn tokens_per_ms(&self) -> Option<f32> {
        (self.busy_ms >= MIN_BUSY_MS && self.tokens > 0.0).then(|| self.tokens / self.busy_ms)
    }

    /// The requests whose predicted wait exceeds `factor` times their remaining maximum wait.
    pub(crate) fn unservable(
        &self,
        queue: &[Waiting],
        now_ms: Millis,
        order: OrderRule,
        factor: f32,
    ) -> Vec<PermitRequestId> {
        let Some(rate) = self.tokens_per_ms() else {
            return Vec::new();
        };
        let mut ranked: Vec<(&Waiting, Rank)> = queue
            .iter()
            .map(|waiting| (waiting, rank(waiting, now_ms, order)))
            .collect();
        ranked.sort_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let mut ahead_tokens = 0.0;
        let mut unservable = Vec::new();
        for (waiting, _) in ranked {
            let wait_ms = ahead_tokens / rate * self.wait_factor;
            let waited_ms = now_ms.saturating_sub(waiting.since_ms);
            let left_ms = waiting.request.max_wait_ms.saturating_sub(waited_ms) as f32;
            if !waiting.request.is_resumption() && wait_ms > left_ms * factor {
                unservable.push(waiting.request.id);
                continue;
            }
            ahead_tokens += waiting.footprint_tokens;
        }
        unservable
    }

    /// Estimated time to serve the current queue.
    pub(crate) fn drain_ms(&self, queue: &[Waiting]) -> Millis {
        const MIN_DRAIN_MS: f32 = 500.0;
        const MAX_DRAIN_MS: f32 = 30_000.0;
        let waiting: f32 = queue.iter().map(|waiting| waiting.footprint_tokens).sum();
        let rate = self.tokens_per_ms().unwrap_or(1.0);
        (waiting / rate).clamp(MIN_DRAIN_MS, MAX_DRAIN_MS) as Millis
    }
}
