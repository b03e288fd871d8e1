//! Runs one generation from its request to its end, and continues it on another engine after a
//! failure.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::{Clock, Node, NotGranted, Permit, PermitRequest, Safeguard};
use fulmarpath_policy::{ContentKey, Millis, RetryBudget, UpstreamKey};
use fulmarpath_upstream::{EngineError, GenerateRequest, ResumeRequest, TokenStream};
use parking_lot::Mutex;
use spdlog::{info, warn};
use tracing::{Instrument, info_span};

use crate::generation::Generation;
use crate::metrics::{CallerLabels, Metrics};
use crate::outcome::{End, NotRun, NotRunProof, NotRunReason};
use crate::relay::RelayOutcome;
use crate::trace::RequestTrace;

/// How long a generation that was sent to an engine keeps trying to get a permit after a failure.
const RECOVERY_TIMEOUT_MS: Millis = 60_000;
const RECOVERY_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Retries that each attempt sent to an upstream adds to its budget.
const RETRY_RATIO: f32 = 0.1;
/// Limit on the retries saved up in the budget of an upstream.
const MAX_SAVED_RETRIES: f32 = 10.0;

/// State shared by the drivers of a host.
pub(crate) struct DriverContext {
    pub(crate) node: Arc<Node>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) silence_timeout: Duration,
    pub(crate) reconnect_grace_ms: Millis,
    retry_budgets: Mutex<HashMap<UpstreamKey, RetryBudget>>,
}

impl DriverContext {
    pub(crate) fn new(
        node: Arc<Node>,
        metrics: Arc<Metrics>,
        silence_timeout: Duration,
        reconnect_grace_ms: Millis,
    ) -> Self {
        Self {
            node,
            metrics,
            silence_timeout,
            reconnect_grace_ms,
            retry_budgets: Mutex::default(),
        }
    }

    fn with_retry_budget<T>(
        &self,
        upstream: UpstreamKey,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets
            .entry(upstream)
            .or_insert_with(|| RetryBudget::new(RETRY_RATIO, MAX_SAVED_RETRIES));
        action(budget)
    }
}

/// A generation to be run.
pub(crate) struct Job {
    pub(crate) generation: Arc<Generation>,
    pub(crate) content: ContentKey,
    pub(crate) request: PermitRequest,
    pub(crate) prompt: String,
    pub(crate) labels: CallerLabels,
    pub(crate) received_at_ms: Millis,
    pub(crate) trace: RequestTrace,
}

/// Result of sending a generation to an engine.
enum StartOutcome {
    Streams(Box<dyn TokenStream>),
    /// The engine certainly did not run it.
    NotRun,
    /// The connection failed and the engine could not resume the generation.
    EngineLost,
}

/// Runs a generation to its end and records how it ended.
pub(crate) async fn drive(context: Arc<DriverContext>, job: Job, proof: NotRunProof) {
    let generation = job.generation.clone();
    let mut driver = Driver {
        clock: context.node.clock(),
        context,
        last_token_ms: None,
        first_engine_token_ms: None,
        crashed_engines: 0,
        attempt: 0,
        job,
    };
    let end = driver.run(proof).await;
    if let End::NotRun(not_run) = end {
        let kind = crate::problem::Problem::NotRun(not_run).kind();
        driver.context.metrics.record_refusal(kind);
    }
    generation.finish(driver.clock.now_ms(), end);
}

pub(crate) struct Driver {
    pub(crate) context: Arc<DriverContext>,
    pub(crate) clock: Clock,
    pub(crate) job: Job,
    pub(crate) last_token_ms: Option<Millis>,
    /// When the first token of the current engine arrived.
    pub(crate) first_engine_token_ms: Option<Millis>,
    /// Engines that crashed shortly after this generation began to run on them.
    pub(crate) crashed_engines: u32,
    pub(crate) attempt: u32,
}

impl Driver {
    async fn run(&mut self, proof: NotRunProof) -> End {
        let mut proof = Some(proof);
        let mut excluded: Vec<UpstreamKey> = Vec::new();
        let mut move_permit = None;
        let mut is_admitted = false;
        loop {
            if !std::mem::replace(&mut is_admitted, true)
                && let Err(end) = self.admit(&mut proof).await
            {
                return end;
            }
            let permit = match move_permit.take() {
                Some(permit) => permit,
                None => match self.acquire_permit(&mut proof, &mut excluded).await {
                    Ok(permit) => permit,
                    Err(end) => return end,
                },
            };
            let upstream = permit.upstream;
            let started = self.start(&permit, &mut proof).await;
            if matches!(started, StartOutcome::EngineLost) {
                is_admitted = false;
                if !self.may_continue(&permit).await {
                    return End::OutcomeUnknown;
                }
            }
            let StartOutcome::Streams(stream) = started else {
                excluded.push(upstream);
                if proof.is_some()
                    && !self
                        .context
                        .with_retry_budget(upstream, RetryBudget::try_retry)
                {
                    let proof = proof
                        .take()
                        .unwrap_or_else(NotRunProof::refused_by_upstream);
                    return End::NotRun(NotRun::new(proof, NotRunReason::RefusedByUpstream));
                }
                continue;
            };
            match self.relay_with_reconnects(stream, &permit).await {
                RelayOutcome::Complete(finish) => {
                    let content = self.job.content;
                    self.context.node.note_success(content);
                    permit.finish();
                    return End::Complete(finish);
                }
                RelayOutcome::CallerLeft => {
                    self.cancel(&permit).await;
                    return End::Abandoned;
                }
                RelayOutcome::Moved(other) => {
                    self.context.metrics.record_recovery("move");
                    self.cancel(&permit).await;
                    move_permit = Some(other);
                }
                RelayOutcome::Interrupted => {
                    is_admitted = false;
                    if !self.may_continue(&permit).await {
                        return End::OutcomeUnknown;
                    }
                    self.context.metrics.record_recovery("other_engine");
                    warn!(
                        "relay: {} lost engine {} after {} tokens and continues on another",
                        self.job.generation.name(),
                        self.context.node.upstream_name(upstream),
                        self.job.generation.next_index()
                    );
                    self.spawn_cancel(permit);
                    excluded = vec![upstream];
                }
            }
        }
    }

    /// Acquires a permit. A generation that has been sent before keeps trying for
    /// [`RECOVERY_TIMEOUT_MS`].
    async fn acquire_permit(
        &self,
        proof: &mut Option<NotRunProof>,
        excluded: &mut Vec<UpstreamKey>,
    ) -> Result<Permit, End> {
        let started_ms = self.clock.now_ms();
        loop {
            let mut request = self.job.request.clone();
            request.excluded = excluded.clone();
            request.out_tokens = self.job.generation.next_index();
            let result = tokio::select! {
                result = self
                    .context
                    .node
                    .acquire_permit(&request)
                    .instrument(info_span!("home.permit")) => result,
                () = self.caller_left() => return Err(self.end_after_caller_left(proof)),
            };
            let error = match result {
                Ok(permit) => return Ok(permit),
                Err(error) => error,
            };
            if error == NotGranted::NoEngine && !excluded.is_empty() {
                excluded.clear();
                tokio::time::sleep(RECOVERY_RETRY_PAUSE).await;
                if proof.is_none() {
                    continue;
                }
            }
            if let Some(proof) = proof.take() {
                return Err(End::NotRun(NotRun::new(
                    proof,
                    NotRunReason::NotGranted(error),
                )));
            }
            if self.clock.now_ms().saturating_sub(started_ms) > RECOVERY_TIMEOUT_MS {
                return Err(End::OutcomeUnknown);
            }
            tokio::time::sleep(RECOVERY_RETRY_PAUSE).await;
        }
    }

    fn end_after_caller_left(&self, proof: &mut Option<NotRunProof>) -> End {
        match proof.take() {
            Some(proof) => End::NotRun(NotRun::new(proof, NotRunReason::HostClosed)),
            None => End::Abandoned,
        }
    }

    /// Sends the generation to the engine of the permit.
    async fn start(&mut self, permit: &Permit, proof: &mut Option<NotRunProof>) -> StartOutcome {
        self.attempt += 1;
        self.first_engine_token_ms = None;
        self.context
            .with_retry_budget(permit.upstream, RetryBudget::record_first_attempt);
        let span = info_span!("engine.generate", attempt = self.attempt);
        let request = GenerateRequest {
            traceparent: self.job.trace.traceparent(&span),
            generation: self.job.generation.name().to_owned(),
            attempt: self.attempt,
            model: self.job.request.model.clone(),
            prompt: self.job.prompt.clone(),
            already_out: self.job.generation.texts(),
            output_limit_tokens: self.job.request.output_limit_tokens,
            priority: permit.priority,
        };
        let had_proof = proof.take().is_some();
        let sent = permit.engine.generate(&request);
        match sent.instrument(span).await {
            Ok(stream) => StartOutcome::Streams(stream),
            Err(EngineError::NotRun(_)) => {
                if had_proof {
                    *proof = Some(NotRunProof::refused_by_upstream());
                }
                StartOutcome::NotRun
            }
            Err(EngineError::UnknownGeneration | EngineError::OutcomeUnknown(_)) => {
                if !self.context.node.has(Safeguard::NotRunProof) {
                    *proof = Some(NotRunProof::refused_by_upstream());
                }
                match self.resume(permit).await {
                    Some(stream) => StartOutcome::Streams(stream),
                    None => StartOutcome::EngineLost,
                }
            }
        }
    }

    /// Resumes the stream over a new connection; `None` if the engine doesn't answer or doesn't
    /// have the generation any more.
    pub(crate) async fn resume(&mut self, permit: &Permit) -> Option<Box<dyn TokenStream>> {
        self.attempt += 1;
        let request = ResumeRequest {
            generation: self.job.generation.name().to_owned(),
            attempt: self.attempt,
            next_index: self.job.generation.next_index(),
        };
        permit.engine.resume(&request).await.ok()
    }

    /// Acquires a permit on another engine, without waiting in its queue.
    pub(crate) async fn acquire_move_permit(&self, permit: &Permit) -> Option<Permit> {
        let mut request = self.job.request.clone();
        request.excluded = vec![permit.upstream];
        request.out_tokens = self.job.generation.next_index();
        request.only_now = true;
        let other = self.context.node.acquire_permit(&request).await.ok()?;
        info!(
            "relay: {} moves from engine {} to {}",
            self.job.generation.name(),
            self.context.node.upstream_name(permit.upstream),
            self.context.node.upstream_name(other.upstream)
        );
        Some(other)
    }

    /// Resolves once the caller has abandoned the generation. A keyed generation is never
    /// abandoned, since a repeated submission with its key may still request it.
    pub(crate) async fn caller_left(&self) {
        const POLL_PERIOD: Duration = Duration::from_millis(250);
        if self.job.generation.is_keyed() {
            std::future::pending::<()>().await;
        }
        loop {
            let now_ms = self.clock.now_ms();
            if self
                .job
                .generation
                .is_abandoned(now_ms, self.context.reconnect_grace_ms)
            {
                return;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    async fn cancel(&self, permit: &Permit) {
        let _ = permit.engine.cancel(self.job.generation.name()).await;
    }

    /// Cancels the generation on an engine that may be dead, without waiting for the answer.
    fn spawn_cancel(&self, permit: Permit) {
        let name = self.job.generation.name().to_owned();
        let engine = permit.engine.clone();
        drop(permit);
        tokio::spawn(async move {
            let _ = engine.cancel(&name).await;
        });
    }
}
