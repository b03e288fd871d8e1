//! Drives one generation from its request to its end, over as many engines as it takes.

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
use crate::hop::Hop;
use crate::metrics::{CallerLabels, Metrics};
use crate::outcome::{End, NotRun, NotRunReason, Unsent};
use crate::stay::Relayed;

/// How long a generation with tokens out looks for another engine.
const RECOVERY_BOUND_MS: Millis = 60_000;
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);
const RETRY_SHARE: f32 = 0.1;
const RETRY_MOST: f32 = 10.0;

/// What the drivers of a host share.
pub(crate) struct Drivers {
    pub(crate) node: Arc<Node>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) silence_timeout: Duration,
    pub(crate) reconnect_grace_ms: Millis,
    budgets: Mutex<HashMap<UpstreamKey, RetryBudget>>,
}

impl Drivers {
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
            budgets: Mutex::default(),
        }
    }

    fn budget<T>(&self, upstream: UpstreamKey, use_it: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(upstream)
            .or_insert_with(|| RetryBudget::new(RETRY_SHARE, RETRY_MOST));
        use_it(budget)
    }
}

/// A generation that is to run.
pub(crate) struct Job {
    pub(crate) generation: Arc<Generation>,
    pub(crate) content: ContentKey,
    pub(crate) request: PermitRequest,
    pub(crate) prompt: String,
    pub(crate) labels: CallerLabels,
    pub(crate) since_ms: Millis,
    pub(crate) hop: Hop,
}

/// What became of a generation that was sent to an engine.
enum Started {
    Streams(Box<dyn TokenStream>),
    /// The engine certainly doesn't run it.
    NotRun,
    /// The engine was lost with it.
    Lost,
}

/// Runs a generation to its end and records it there.
pub(crate) async fn drive(drivers: Arc<Drivers>, job: Job, unsent: Unsent) {
    let generation = job.generation.clone();
    let mut driver = Driver {
        clock: drivers.node.clock(),
        drivers,
        last_token_ms: None,
        begun_ms: None,
        ended_engines: 0,
        attempt: 0,
        job,
    };
    let end = driver.run(unsent).await;
    if let End::NotRun(not_run) = end {
        let kind = crate::problem::Problem::NotRun(not_run).kind();
        driver.drivers.metrics.refuse(kind);
    }
    generation.finish(driver.clock.now_ms(), end);
}

pub(crate) struct Driver {
    pub(crate) drivers: Arc<Drivers>,
    pub(crate) clock: Clock,
    pub(crate) job: Job,
    pub(crate) last_token_ms: Option<Millis>,
    /// When the first token of the present engine came.
    pub(crate) begun_ms: Option<Millis>,
    /// Engines that ended when this generation had just begun there.
    pub(crate) ended_engines: u32,
    pub(crate) attempt: u32,
}

impl Driver {
    async fn run(&mut self, unsent: Unsent) -> End {
        let mut unsent = Some(unsent);
        let mut without: Vec<UpstreamKey> = Vec::new();
        let mut moved = None;
        let mut has_leave = false;
        loop {
            if !std::mem::replace(&mut has_leave, true)
                && let Err(end) = self.admit(&mut unsent).await
            {
                return end;
            }
            let permit = match moved.take() {
                Some(permit) => permit,
                None => match self.permit(&mut unsent, &mut without).await {
                    Ok(permit) => permit,
                    Err(end) => return end,
                },
            };
            let upstream = permit.upstream;
            let started = self.start(&permit, &mut unsent).await;
            if matches!(started, Started::Lost) {
                has_leave = false;
                if !self.may_go_on(&permit).await {
                    return End::OutcomeUnknown;
                }
            }
            let Started::Streams(stream) = started else {
                without.push(upstream);
                if unsent.is_some() && !self.drivers.budget(upstream, RetryBudget::try_retry) {
                    let proof = unsent.take().unwrap_or_else(Unsent::refused_by_upstream);
                    return End::NotRun(NotRun::new(proof, NotRunReason::RefusedByUpstream));
                }
                continue;
            };
            match self.stay(stream, &permit).await {
                Relayed::Complete(finish) => {
                    let (service, content) = (self.job.request.service, self.job.content);
                    self.drivers.node.note_success(service, content);
                    permit.finish();
                    return End::Complete(finish);
                }
                Relayed::CallerLeft => {
                    self.cancel(&permit).await;
                    return End::Abandoned;
                }
                Relayed::Moved(other) => {
                    self.drivers.metrics.recover("move");
                    self.cancel(&permit).await;
                    moved = Some(other);
                }
                Relayed::Interrupted => {
                    has_leave = false;
                    if !self.may_go_on(&permit).await {
                        return End::OutcomeUnknown;
                    }
                    self.drivers.metrics.recover("other_engine");
                    warn!("relay: {} leaves an engine", self.job.generation.name());
                    self.spawn_cancel(permit);
                    without = vec![upstream];
                }
            }
        }
    }

    /// Asks for a permit; a generation that was sent once asks until its bound.
    async fn permit(
        &self,
        unsent: &mut Option<Unsent>,
        without: &mut Vec<UpstreamKey>,
    ) -> Result<Permit, End> {
        let since_ms = self.clock.now_ms();
        loop {
            let mut request = self.job.request.clone();
            request.excluded = without.clone();
            request.out_tokens = self.job.generation.next_index();
            let asked = tokio::select! {
                asked = self.drivers.node.acquire_permit(&request).instrument(info_span!("home.permit")) => asked,
                () = self.left() => return Err(self.end_left(unsent)),
            };
            let error = match asked {
                Ok(permit) => return Ok(permit),
                Err(error) => error,
            };
            if error == NotGranted::NoEngine && !without.is_empty() {
                without.clear();
                tokio::time::sleep(RECOVERY_PAUSE).await;
                if unsent.is_none() {
                    continue;
                }
            }
            if let Some(proof) = unsent.take() {
                return Err(End::NotRun(NotRun::new(
                    proof,
                    NotRunReason::NotGranted(error),
                )));
            }
            if self.clock.now_ms().saturating_sub(since_ms) > RECOVERY_BOUND_MS {
                return Err(End::OutcomeUnknown);
            }
            tokio::time::sleep(RECOVERY_PAUSE).await;
        }
    }

    fn end_left(&self, unsent: &mut Option<Unsent>) -> End {
        match unsent.take() {
            Some(proof) => End::NotRun(NotRun::new(proof, NotRunReason::HostClosed)),
            None => End::Abandoned,
        }
    }

    /// Sends the generation to the permit's engine.
    async fn start(&mut self, permit: &Permit, unsent: &mut Option<Unsent>) -> Started {
        self.attempt += 1;
        self.begun_ms = None;
        self.drivers
            .budget(permit.upstream, RetryBudget::record_first_attempt);
        let span = info_span!("engine.generate", attempt = self.attempt);
        let request = GenerateRequest {
            traceparent: self.job.hop.traceparent(&span),
            generation: self.job.generation.name().to_owned(),
            attempt: self.attempt,
            model: self.job.request.model.clone(),
            prompt: self.job.prompt.clone(),
            already_out: self.job.generation.texts(),
            output_limit_tokens: self.job.request.output_limit_tokens,
            priority: permit.priority,
        };
        let first = unsent.take().is_some();
        let sent = permit.engine.generate(&request);
        match sent.instrument(span).await {
            Ok(stream) => Started::Streams(stream),
            Err(EngineError::NotRun(_)) => {
                if first {
                    *unsent = Some(Unsent::refused_by_upstream());
                }
                Started::NotRun
            }
            Err(EngineError::UnknownGeneration | EngineError::OutcomeUnknown(_)) => {
                if !self.drivers.node.has(Safeguard::NotRunProof) {
                    *unsent = Some(Unsent::refused_by_upstream());
                }
                match self.resume(permit).await {
                    Some(stream) => Started::Streams(stream),
                    None => Started::Lost,
                }
            }
        }
    }

    /// Reads on over a new connection; `None` where the engine doesn't answer or has lost it.
    pub(crate) async fn resume(&mut self, permit: &Permit) -> Option<Box<dyn TokenStream>> {
        self.attempt += 1;
        let request = ResumeRequest {
            generation: self.job.generation.name().to_owned(),
            attempt: self.attempt,
            next_index: self.job.generation.next_index(),
        };
        permit.engine.resume(&request).await.ok()
    }

    pub(crate) async fn other_engine(&self, permit: &Permit) -> Option<Permit> {
        let mut request = self.job.request.clone();
        request.excluded = vec![permit.upstream];
        request.out_tokens = self.job.generation.next_index();
        request.only_now = true;
        let other = self.drivers.node.acquire_permit(&request).await.ok()?;
        info!("relay: {} moves", self.job.generation.name());
        Some(other)
    }

    /// Resolves once the caller has left a generation that nobody else may ask for.
    pub(crate) async fn left(&self) {
        const CHECK: Duration = Duration::from_millis(250);
        if self.job.generation.is_keyed() {
            std::future::pending::<()>().await;
        }
        loop {
            let now_ms = self.clock.now_ms();
            if self
                .job
                .generation
                .is_left(now_ms, self.drivers.reconnect_grace_ms)
            {
                return;
            }
            tokio::time::sleep(CHECK).await;
        }
    }

    async fn cancel(&self, permit: &Permit) {
        let _ = permit.engine.cancel(self.job.generation.name()).await;
    }

    /// Cancels on an engine that may be dead, without waiting for it.
    fn spawn_cancel(&self, permit: Permit) {
        let name = self.job.generation.name().to_owned();
        let engine = permit.engine.clone();
        drop(permit);
        tokio::spawn(async move {
            let _ = engine.cancel(&name).await;
        });
    }
}
