//! Relays a generation's tokens from its engine, and reconnects when a connection fails.

use std::time::Duration;

use fulmarpath_cluster::{Permit, Safeguard};
use fulmarpath_policy::Millis;
use fulmarpath_upstream::{Finish, StreamItem, TokenStream};

use crate::driver::Driver;
use crate::metrics::ServiceLabel;

/// Time to the first token beyond this counts as stall time.
const FIRST_TOKEN_STALL_MS: Millis = 1_500;
/// Time between two tokens beyond this counts as stall time.
const TOKEN_GAP_STALL_MS: Millis = 250;
/// New connections tried to an engine, without a new token, before the generation continues on
/// another engine.
const MAX_RESUMES: u32 = 2;

/// How relaying from one stream ended.
pub(crate) enum RelayOutcome {
    Complete(Finish),
    /// The stream failed, went silent or skipped a token.
    Interrupted,
    /// The home requested a move, and a permit on another engine has been acquired.
    Moved(Permit),
    /// The caller has abandoned the generation.
    CallerLeft,
}

impl Driver {
    /// Relays from one engine, and reconnects when a connection fails.
    ///
    /// A connection can go silent for good while new ones work. Waiting on it would stall the
    /// caller for ever; switching to another engine at once would recompute the prompt needlessly.
    pub(crate) async fn relay_with_reconnects(
        &mut self,
        stream: Box<dyn TokenStream>,
        permit: &Permit,
    ) -> RelayOutcome {
        let mut stream = stream;
        let mut resumes = 0;
        loop {
            let start_index = self.job.generation.next_index();
            match self.relay_stream(&mut *stream, permit).await {
                RelayOutcome::Interrupted => {}
                other => return other,
            }
            if self.job.generation.next_index() > start_index {
                resumes = 0;
            }
            resumes += 1;
            if resumes > MAX_RESUMES {
                return RelayOutcome::Interrupted;
            }
            match self.resume(permit).await {
                Some(resumed) => stream = resumed,
                None => return RelayOutcome::Interrupted,
            }
            self.context.metrics.record_recovery("new_connection");
        }
    }

    fn silence_timeout(&self) -> Duration {
        if self.context.node.has(Safeguard::Silence) {
            self.context.silence_timeout
        } else {
            Duration::MAX
        }
    }

    async fn relay_stream(
        &mut self,
        stream: &mut dyn TokenStream,
        permit: &Permit,
    ) -> RelayOutcome {
        loop {
            let next = tokio::select! {
                next = stream.next(self.silence_timeout()) => next,
                () = self.caller_left() => return RelayOutcome::CallerLeft,
            };
            let Ok(Some(item)) = next else {
                return RelayOutcome::Interrupted;
            };
            match item {
                StreamItem::Heartbeat => {}
                StreamItem::Token {
                    generation,
                    attempt,
                    index,
                    text,
                } => {
                    if !self.is_from_this_attempt(&generation, attempt) {
                        continue;
                    }
                    let expected = self.job.generation.next_index();
                    // An engine that resumes too early repeats tokens already relayed: drop them.
                    if index < expected && self.context.node.has(Safeguard::TokenIndex) {
                        continue;
                    }
                    // The tokens in the gap are lost on this stream: resume from the expected
                    // index.
                    if index > expected {
                        return RelayOutcome::Interrupted;
                    }
                    self.record_token(expected, &text);
                    permit.advance(expected + 1);
                }
                StreamItem::Done {
                    generation,
                    attempt,
                    total_tokens,
                    finish,
                } => {
                    if !self.is_from_this_attempt(&generation, attempt) {
                        continue;
                    }
                    if total_tokens != self.job.generation.next_index() {
                        return RelayOutcome::Interrupted;
                    }
                    let answers = &self.context.metrics.answers;
                    answers.get_or_create(&self.job.labels).inc();
                    return RelayOutcome::Complete(finish);
                }
            }
            if permit.take_move_request()
                && let Some(other) = self.acquire_move_permit(permit).await
            {
                return RelayOutcome::Moved(other);
            }
        }
    }

    /// Whether an item belongs to this generation and to its current attempt. Without this check, a
    /// late token of an older attempt or of another request would reach this caller.
    fn is_from_this_attempt(&self, generation: &str, attempt: u32) -> bool {
        let is_from_this_attempt =
            generation == self.job.generation.name() && attempt == self.attempt;
        is_from_this_attempt || !self.context.node.has(Safeguard::TokenOwner)
    }

    fn record_token(&mut self, index: u32, text: &str) {
        self.job.generation.push(index, text);
        let now_ms = self.clock.now_ms();
        self.first_engine_token_ms.get_or_insert(now_ms);
        let metrics = &self.context.metrics;
        let service = ServiceLabel {
            service: self.job.labels.service.clone(),
        };
        metrics.tokens.get_or_create(&self.job.labels).inc();
        let stall_ms = match self.last_token_ms.replace(now_ms) {
            None => {
                let first_ms = now_ms.saturating_sub(self.job.received_at_ms);
                let histogram = metrics.first_token_ms.get_or_create(&service);
                histogram.observe(first_ms as f64);
                first_ms.saturating_sub(FIRST_TOKEN_STALL_MS)
            }
            Some(last_ms) => {
                let gap_ms = now_ms.saturating_sub(last_ms);
                let histogram = metrics.between_tokens_ms.get_or_create(&service);
                histogram.observe(gap_ms as f64);
                gap_ms.saturating_sub(TOKEN_GAP_STALL_MS)
            }
        };
        if stall_ms > 0 {
            let stalls = metrics.stall_ms.get_or_create(&self.job.labels);
            stalls.inc_by(stall_ms);
        }
    }
}
