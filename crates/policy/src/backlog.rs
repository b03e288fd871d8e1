//! How fast a home's queue is served, and who in it can't start in time.

use crate::key::Millis;
use crate::permit_request::PermitRequestId;
use crate::queue::{OrderRule, Rank, Waiting, rank};

/// Time over which the rate is averaged.
const WINDOW_MS: f32 = 5_000.0;
/// Served time before the rate is trusted.
const LEAST_MS: f32 = 1_000.0;
/// How much one ask that ran out of patience raises the doubt, and time lowers it.
const DOUBT_STEP: f32 = 1.05;
const DOUBT_MOST: f32 = 4.0;
const DOUBT_HALF_LIFE_MS: f32 = 5_000.0;

/// The rate at which asks are served while some wait.
#[derive(Debug)]
pub(crate) struct Backlog {
    tokens: f32,
    busy_ms: f32,
    at_ms: Millis,
    /// Small asks still to come will overtake large ones: predictions are multiplied by this. It
    /// grows with each ask that ran out of patience although it was predicted to start.
    doubt: f32,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            busy_ms: 0.0,
            at_ms: 0,
            doubt: 1.0,
        }
    }
}

impl Backlog {
    /// Time has passed with the queue in this state.
    pub(crate) fn pass(&mut self, now_ms: Millis, is_idle: bool) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f32;
        self.at_ms = now_ms;
        self.doubt = 1.0 + (self.doubt - 1.0) * (-passed_ms / DOUBT_HALF_LIFE_MS).exp2();
        if is_idle {
            return;
        }
        let keep = (-passed_ms / WINDOW_MS).exp();
        self.tokens *= keep;
        self.busy_ms = self.busy_ms * keep + passed_ms;
    }

    /// An ask of this footprint was served.
    pub(crate) fn served(&mut self, now_ms: Millis, footprint_tokens: f32) {
        self.at_ms = self.at_ms.max(now_ms);
        self.tokens += footprint_tokens;
    }

    /// An ask ran out of patience.
    pub(crate) fn too_late(&mut self) {
        self.doubt = (self.doubt * DOUBT_STEP).min(DOUBT_MOST);
    }

    fn tokens_per_ms(&self) -> Option<f32> {
        (self.busy_ms >= LEAST_MS && self.tokens > 0.0).then(|| self.tokens / self.busy_ms)
    }

    /// The asks whose predicted wait exceeds `early` times the patience left.
    pub(crate) fn hopeless(
        &self,
        queue: &[Waiting],
        now_ms: Millis,
        order: OrderRule,
        early: f32,
    ) -> Vec<PermitRequestId> {
        let Some(rate) = self.tokens_per_ms() else {
            return Vec::new();
        };
        let mut ranked: Vec<(&Waiting, Rank)> = queue
            .iter()
            .map(|waiting| (waiting, rank(waiting, now_ms, order)))
            .collect();
        ranked.sort_by(|(_, one), (_, other)| one.partial_cmp(other).expect("ranks are numbers"));
        let mut ahead_tokens = 0.0;
        let mut hopeless = Vec::new();
        for (waiting, _) in ranked {
            let wait_ms = ahead_tokens / rate * self.doubt;
            let waited_ms = now_ms.saturating_sub(waiting.since_ms);
            let left_ms = waiting.ask.max_wait_ms.saturating_sub(waited_ms) as f32;
            if !waiting.ask.is_resumption() && wait_ms > left_ms * early {
                hopeless.push(waiting.ask.id);
                continue;
            }
            ahead_tokens += waiting.footprint_tokens;
        }
        hopeless
    }

    /// The time in which the queue as it stands would be served.
    pub(crate) fn drain_ms(&self, queue: &[Waiting]) -> Millis {
        const LEAST_MS: f32 = 500.0;
        const MOST_MS: f32 = 30_000.0;
        let waiting: f32 = queue.iter().map(|one| one.footprint_tokens).sum();
        let rate = self.tokens_per_ms().unwrap_or(1.0);
        (waiting / rate).clamp(LEAST_MS, MOST_MS) as Millis
    }
}
