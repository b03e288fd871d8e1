//! Relays a generation from the engine that makes it, over new connections where one breaks.

use std::time::Duration;

use fulmarpath_cluster::{Permit, Safeguard};
use fulmarpath_policy::Millis;
use fulmarpath_upstream::{Finish, StreamItem, TokenStream};

use crate::drive::Driver;
use crate::metrics::ServiceLabel;

/// A first token later than this is a stall.
const FIRST_TOKEN_BOUND_MS: Millis = 1_500;
/// A gap between two tokens longer than this is a stall.
const GAP_BOUND_MS: Millis = 250;
/// New connections tried to an engine before the generation goes elsewhere.
const RESUMES: u32 = 2;

/// How relaying from one stream ended.
pub(crate) enum Relayed {
    Complete(Finish),
    /// The stream broke, went silent or skipped a token.
    Interrupted,
    /// The home wants the generation moved, and another engine has given a permit.
    Moved(Permit),
    /// The caller has left.
    CallerLeft,
}

impl Driver {
    /// Relays from one engine, over new connections where one breaks.
    ///
    /// A connection can go silent for good while new ones work. Waiting on would stall the caller
    /// for ever; going to another engine at once would compute the prompt anew for nothing.
    pub(crate) async fn stay(&mut self, stream: Box<dyn TokenStream>, permit: &Permit) -> Relayed {
        let mut stream = stream;
        let mut resumes = 0;
        loop {
            let before = self.job.generation.next_index();
            match self.relay(&mut *stream, permit).await {
                Relayed::Interrupted => {}
                other => return other,
            }
            if self.job.generation.next_index() > before {
                resumes = 0;
            }
            resumes += 1;
            if resumes > RESUMES {
                return Relayed::Interrupted;
            }
            match self.resume(permit).await {
                Some(again) => stream = again,
                None => return Relayed::Interrupted,
            }
            self.drivers.metrics.recover("new_connection");
        }
    }

    fn silence_timeout(&self) -> Duration {
        if self.drivers.node.has(Safeguard::Silence) {
            self.drivers.silence_timeout
        } else {
            Duration::MAX
        }
    }

    async fn relay(&mut self, stream: &mut dyn TokenStream, permit: &Permit) -> Relayed {
        loop {
            let next = tokio::select! {
                next = stream.next(self.silence_timeout()) => next,
                () = self.left() => return Relayed::CallerLeft,
            };
            let Ok(Some(item)) = next else {
                return Relayed::Interrupted;
            };
            match item {
                StreamItem::Heartbeat => {}
                StreamItem::Token {
                    generation,
                    attempt,
                    index,
                    text,
                } => {
                    if !self.is_mine(&generation, attempt) {
                        continue;
                    }
                    let wanted = self.job.generation.next_index();
                    // An engine that resumes too early repeats tokens that are out: drop them.
                    if index < wanted && self.drivers.node.has(Safeguard::TokenIndex) {
                        continue;
                    }
                    // A gap: the tokens between are lost on this stream, so read on from there.
                    if index > wanted {
                        return Relayed::Interrupted;
                    }
                    self.take(wanted, &text);
                    permit.advance(wanted + 1);
                }
                StreamItem::Done {
                    generation,
                    attempt,
                    total_tokens,
                    finish,
                } => {
                    if !self.is_mine(&generation, attempt) {
                        continue;
                    }
                    if total_tokens != self.job.generation.next_index() {
                        return Relayed::Interrupted;
                    }
                    let answers = &self.drivers.metrics.answers;
                    answers.get_or_create(&self.job.labels).inc();
                    return Relayed::Complete(finish);
                }
            }
            if permit.take_move_request()
                && let Some(other) = self.other_engine(permit).await
            {
                return Relayed::Moved(other);
            }
        }
    }

    /// Whether an item belongs to this generation and this dispatch of it. Without this check a
    /// late token of an older attempt, or of another request, would reach this caller.
    fn is_mine(&self, generation: &str, attempt: u32) -> bool {
        let is_mine = generation == self.job.generation.name() && attempt == self.attempt;
        is_mine || !self.drivers.node.has(Safeguard::TokenOwner)
    }

    fn take(&mut self, index: u32, text: &str) {
        self.job.generation.push(index, text);
        let now_ms = self.clock.now_ms();
        self.begun_ms.get_or_insert(now_ms);
        let metrics = &self.drivers.metrics;
        let service = ServiceLabel {
            service: self.job.labels.service.clone(),
        };
        metrics.tokens.get_or_create(&self.job.labels).inc();
        let stall_ms = match self.last_token_ms.replace(now_ms) {
            None => {
                let first_ms = now_ms.saturating_sub(self.job.since_ms);
                let histogram = metrics.first_token_ms.get_or_create(&service);
                histogram.observe(first_ms as f64);
                first_ms.saturating_sub(FIRST_TOKEN_BOUND_MS)
            }
            Some(last_ms) => {
                let gap_ms = now_ms.saturating_sub(last_ms);
                let histogram = metrics.between_tokens_ms.get_or_create(&service);
                histogram.observe(gap_ms as f64);
                gap_ms.saturating_sub(GAP_BOUND_MS)
            }
        };
        if stall_ms > 0 {
            let stalls = metrics.stall_ms.get_or_create(&self.job.labels);
            stalls.inc_by(stall_ms);
        }
    }
}
