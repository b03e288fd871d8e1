//! Selects the engine on which a generation starts, and retries it on other engines.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Millis, Placement, PlacementRequest, RunStatement, UpstreamKey, Verdict};
use hyper::body::Body;
use tokio::time::{sleep, timeout};

use crate::attempt::{DispatchOptions, Failure, UpstreamResponse};
use crate::configuration::EngineTraits;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::key::data_centre_key;
use crate::poison::mark_sent;
use crate::problem::Problem;
use crate::record::Shortage;
use crate::relay::RunGuard;
use crate::tracker::RequestTracker;
use crate::upstreams::instance::{ChosenUpstream, Destination};

/// Maximum number of engines that one generation is sent to.
const MAX_DISPATCHES: usize = 4;
/// Fraction of the first-event target for which a generation waits for capacity. The remainder must
/// suffice for the prefill.
const CAPACITY_WAIT_FRACTION: f32 = 0.55;
/// An engine whose response has not begun after this multiple of the first-event target is reported
/// as failing. After the target alone, a loaded engine would merely be late.
const SILENCE_TARGET_MULTIPLE: Millis = 2;
/// Interval between two placement requests while the cell is full.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// An engine selected for a generation, with the request counted there.
struct SelectedEngine {
    chosen: ChosenUpstream,
    backup: Option<Destination>,
}

/// A generation whose response has begun.
pub(crate) struct StartedGeneration {
    pub(crate) response: UpstreamResponse,
    /// The engine that keeps a running copy of the generation's KV cache.
    pub(crate) backup: Option<Destination>,
}

/// The engines that one request has been sent to.
#[derive(Default)]
pub(crate) struct Attempts {
    tried: Vec<ChosenUpstream>,
    /// Whether one of them may have received it, so that sending it again is a retry.
    has_arrived: bool,
    /// Number of engines on which it may have run.
    runs: u32,
    /// When the last engine was lost, if its stream had begun.
    lost_ms: Option<Millis>,
    /// The last engine's own error response, returned to the caller if no other engine answers.
    failed_response: Option<StartedGeneration>,
}

impl Attempts {
    /// Records that the stream of the last engine broke off.
    pub(crate) fn mark_lost(&mut self, now_ms: Millis) {
        self.lost_ms = Some(now_ms);
    }

    /// The problem to report: one that guarantees that the request has not run is replaced if it
    /// may have run.
    fn problem_after_runs(&self, problem: Problem) -> Problem {
        match self.runs > 0 && problem.guarantees_not_run() {
            true => Problem::Broken,
            false => problem,
        }
    }
}

impl Gateway {
    /// Sends a generation to an engine, and to further engines where a retry is safe, until one
    /// answers.
    pub(crate) async fn start_generation(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        tracker: &mut RequestTracker,
        attempts: &mut Attempts,
    ) -> Result<StartedGeneration, Problem> {
        if !self.can_finish(inbound) {
            return Err(Problem::Stopping);
        }
        let started = self.start_on_any(inbound, run_guard, tracker, attempts, inbound.last_event);
        let started = tokio::select! {
            biased;
            started = started => started,
            () = self.last_responses.cancelled() => Err(tracker.problem_at_stop()),
        };
        match started {
            Ok(started) => Ok(started),
            Err(problem) => {
                let problem =
                    self.refine_refusal(attempts.problem_after_runs(problem), &inbound.service);
                attempts.failed_response.take().ok_or(problem)
            }
        }
    }

    /// Sends a stream that broke off to another engine, which resumes after `last_event`. Returns
    /// `None` if the generation may not run again or no engine accepts it.
    pub(crate) async fn restart_generation(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        tracker: &mut RequestTracker,
        attempts: &mut Attempts,
        last_event: Option<u64>,
    ) -> Option<StartedGeneration> {
        if !inbound.may_run_again(attempts.runs) || !self.can_finish(inbound) {
            return None;
        }
        let started = self.start_on_any(inbound, run_guard, tracker, attempts, last_event);
        let started = started.await.ok()?;
        let is_stream = started.response.http.status().is_success();
        is_stream.then_some(started)
    }

    async fn start_on_any(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        tracker: &mut RequestTracker,
        attempts: &mut Attempts,
        last_event: Option<u64>,
    ) -> Result<StartedGeneration, Problem> {
        let mut problem = Problem::NoUpstream;
        let runs_before = attempts.runs;
        let mut admitted = None;
        while attempts.tried.len() < MAX_DISPATCHES {
            let now_ms = self.clock.now_ms();
            if now_ms >= inbound.deadline_ms {
                return Err(Problem::TooLateToSend);
            }
            if attempts.has_arrived && !self.may_retry(now_ms, &inbound.service) {
                break;
            }
            let has_run_here = attempts.runs > runs_before;
            if has_run_here && self.is_suspected(inbound) {
                break;
            }
            if admitted.is_none() {
                admitted = Some(self.admit(inbound).await?);
            }
            let found = self
                .find_engine(inbound, run_guard, tracker, attempts)
                .await?;
            let Some(selected) = found else { break };
            // The circuit may have opened while the request waited for capacity.
            if let Err(refused) = self.refuse_if_open(inbound) {
                self.release(selected.chosen);
                return Err(refused);
            }
            attempts.tried.push(selected.chosen.clone());
            let attempt = self.start_on(inbound, run_guard, tracker, selected, last_event);
            let started = attempt.await;
            attempts.has_arrived |= !matches!(started, Err(Failure::Unsent));
            let failure = match started {
                Ok(started) => {
                    attempts.runs += 1;
                    mark_sent(&mut admitted);
                    let has_failed = started.response.http.status().is_server_error();
                    if !has_failed || !inbound.may_run_again(attempts.runs) {
                        return Ok(started);
                    }
                    attempts.failed_response = Some(started);
                    continue;
                }
                Err(failure) => failure,
            };
            attempts.runs += u32::from(!failure.is_not_run());
            if !failure.is_not_run() {
                mark_sent(&mut admitted);
            }
            problem = failure.problem();
            let is_last = match failure {
                Failure::Unsent | Failure::Shed => false,
                Failure::Unknown | Failure::Unconfirmed => !inbound.may_run_again(attempts.runs),
                Failure::TimedOut => true,
            };
            if is_last {
                break;
            }
            if failure == Failure::Unknown
                && let Some(tried) = attempts.tried.last()
            {
                let engine = tried.destination();
                self.stop_abandoned(&inbound.service, &tracker.id, engine, None);
            }
        }
        Err(problem)
    }

    /// Sends a generation to one engine.
    async fn start_on(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        tracker: &mut RequestTracker,
        selected: SelectedEngine,
        last_event: Option<u64>,
    ) -> Result<StartedGeneration, Failure> {
        if selected.backup.is_some() {
            self.metrics.running_copies.inc();
        }
        tracker.mark_placed(self.clock.now_ms());
        let statement = run_statement(inbound, run_guard, &selected);
        let cell = self.cells.cell_of_engine(statement.engine);
        self.runs
            .record_dispatch(cell.unwrap_or(run_guard.cell), statement);
        let options = DispatchOptions {
            until_ms: inbound.deadline_ms,
            backup: selected.backup.as_ref().map(|backup| backup.address),
            last_event,
            ..DispatchOptions::default()
        };
        let engine = selected.chosen.upstream;
        let dispatch = self.dispatch(inbound, tracker, selected.chosen, options);
        let result = self
            .report_silence(inbound, run_guard, engine, dispatch)
            .await;
        let may_be_empty = last_event.is_some() || inbound.may_have_no_events();
        let result = result.and_then(|response| match is_usable(&response, may_be_empty) {
            true => Ok(response),
            false => Err(Failure::Unknown),
        });
        if let Some(verdict) = engine_verdict(&result) {
            self.report_engine_failure(run_guard.cell, engine, verdict);
        }
        Ok(StartedGeneration {
            response: result?,
            backup: selected.backup,
        })
    }

    /// Waits for an engine's response and reports the engine to the home if it stays silent: an
    /// engine that hangs returns no errors and appears idle.
    async fn report_silence(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        engine: UpstreamKey,
        dispatch: impl Future<Output = Result<UpstreamResponse, Failure>>,
    ) -> Result<UpstreamResponse, Failure> {
        let mut dispatch = pin!(dispatch);
        let silence_timeout =
            Duration::from_millis(inbound.route.target_ms * SILENCE_TARGET_MULTIPLE);
        if let Ok(result) = timeout(silence_timeout, dispatch.as_mut()).await {
            return result;
        }
        self.report_engine_failure(run_guard.cell, engine, Verdict::Failed);
        dispatch.await
    }

    /// Requests a placement from the cell's home until there is capacity. Returns `None` if no
    /// engine is left to try.
    async fn find_engine(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        tracker: &mut RequestTracker,
        attempts: &Attempts,
    ) -> Result<Option<SelectedEngine>, Problem> {
        let tried = &attempts.tried;
        let mut refused_by: Vec<UpstreamKey> = tried.iter().map(|chosen| chosen.upstream).collect();
        let wait_ms = (inbound.route.target_ms as f32 * CAPACITY_WAIT_FRACTION) as Millis;
        let since_ms = attempts.lost_ms.unwrap_or(tracker.arrived_ms);
        let until_ms = inbound.deadline_ms.min(since_ms + wait_ms);
        loop {
            let requested_ms = self.clock.now_ms();
            let is_final_attempt = requested_ms >= until_ms;
            let mut excluded = refused_by.clone();
            excluded.extend(self.instances.throttled(requested_ms));
            let mut request = self.placement_request(inbound, run_guard, excluded);
            if let Some(request) = &mut request {
                let waited_ms = requested_ms.saturating_sub(tracker.arrived_ms);
                request.max_wait_ms = inbound.route.target_ms.saturating_sub(waited_ms);
                request.is_final_attempt = is_final_attempt;
            }
            // The cells may have changed since the request arrived.
            let data_centre = &self.settings.host.data_centre;
            let cell = self
                .cells
                .cell_for(&inbound.service, data_centre, run_guard.run);
            let placement = match &request {
                Some(request) => self.place(cell, request.clone()).await,
                None => Placement::NoEngine,
            };
            match placement {
                Placement::On {
                    engine,
                    backup,
                    seen,
                } => {
                    tracker.set_engine_snapshot(seen);
                    let taken_by = self.cells.cell_of_engine(engine);
                    tracker.set_taken_by(taken_by.filter(|taken_by| *taken_by != cell));
                    if self.is_start_refused(engine).await {
                        // Other hosts may take every start of this engine, and this request has no
                        // time left to retry.
                        refused_by.extend(is_final_attempt.then_some(engine));
                        continue;
                    }
                    let now_ms = self.clock.now_ms();
                    if let Some(chosen) = self.instances.reserve(now_ms, engine) {
                        let backup =
                            backup.and_then(|backup| self.instances.destination(now_ms, backup));
                        return Ok(Some(SelectedEngine { chosen, backup }));
                    }
                    refused_by.push(engine);
                }
                Placement::Full {
                    retry_after_ms,
                    is_refused,
                    lacks_protected_room,
                } => {
                    let is_early = is_refused && !is_final_attempt;
                    self.record_shortage(tracker, is_early, lacks_protected_room);
                    if is_refused || is_final_attempt {
                        return Err(Problem::Full { retry_after_ms });
                    }
                    sleep(PLACEMENT_RETRY_INTERVAL).await;
                }
                Placement::TooLarge => return Err(Problem::TooLarge),
                Placement::NoEngine => {
                    let tried: Vec<_> = tried.iter().map(|chosen| chosen.key).collect();
                    let chosen = self
                        .find_upstream(&inbound.service, &tried, until_ms)
                        .await?;
                    return Ok(chosen.map(|chosen| SelectedEngine {
                        chosen,
                        backup: None,
                    }));
                }
            }
        }
    }

    /// Records why a generation found no room, once for each request.
    fn record_shortage(
        &self,
        tracker: &mut RequestTracker,
        is_early_refusal: bool,
        lacks_protected_room: bool,
    ) {
        if is_early_refusal && tracker.add_shortage(Shortage::RefusedEarly) {
            self.metrics.early_refusals.inc();
        }
        if lacks_protected_room && tracker.add_shortage(Shortage::ProtectedRoom) {
            self.metrics.protected_room_waits.inc();
        }
    }

    /// Builds the placement request for the cell's home. Returns `None` for a stream that is not a
    /// generation.
    fn placement_request(
        &self,
        inbound: &InboundRequest,
        run_guard: &RunGuard,
        excluded: Vec<UpstreamKey>,
    ) -> Option<PlacementRequest> {
        let generation = inbound.generation.as_ref()?;
        // Engines that do not report their memory are selected by load alone.
        let traits = self.engine_traits(&inbound.service)?;
        if traits.memory_tokens == 0 {
            return None;
        }
        Some(PlacementRequest {
            run: run_guard.run,
            host: self.host_key(),
            organisation: inbound.organisation_key(),
            data_centre: data_centre_key(&self.settings.host.data_centre),
            prompt_tokens: generation.prompt_tokens,
            limit_tokens: generation.output_limit_tokens,
            hint_tokens: generation.length_hint_tokens,
            retry_key: inbound.retry_key(),
            priority: inbound.priority,
            gap_target_ms: self.engine_pause_bound_ms(inbound),
            max_wait_ms: inbound.route.target_ms,
            left_ms: inbound.deadline_ms.saturating_sub(self.clock.now_ms()),
            is_final_attempt: false,
            excluded,
            can_back_up: traits.can_back_up,
        })
    }

    /// Capabilities of a service's engines; `None` if its upstreams are not engines.
    pub(crate) fn engine_traits(&self, service: &str) -> Option<EngineTraits> {
        let active = self.active_configuration()?;
        active.service(service)?.engine.clone()
    }
}

/// The verdict to report about an engine after a response or a failed dispatch; `None` if there is
/// nothing to report.
fn engine_verdict(result: &Result<UpstreamResponse, Failure>) -> Option<Verdict> {
    match result {
        Ok(response) if response.http.status().is_server_error() => Some(Verdict::Failed),
        Ok(response) if response.head.is_closing || response.head.signals.is_leaving => {
            Some(Verdict::Unheard)
        }
        Ok(_) => None,
        Err(Failure::Unsent) => Some(Verdict::Unheard),
        Err(Failure::Shed) => Some(Verdict::Shed),
        Err(Failure::Unknown | Failure::Unconfirmed | Failure::TimedOut) => Some(Verdict::Failed),
    }
}

fn run_statement(
    inbound: &InboundRequest,
    run_guard: &RunGuard,
    selected: &SelectedEngine,
) -> RunStatement {
    let generation = inbound.generation.clone().unwrap_or_default();
    RunStatement {
        run: run_guard.run,
        organisation: inbound.organisation_key(),
        engine: selected.chosen.upstream,
        backup: selected.backup.as_ref().map(|backup| backup.upstream),
        prompt_tokens: generation.prompt_tokens,
        out_tokens: 0,
        limit_tokens: generation.output_limit_tokens,
        hint_tokens: generation.length_hint_tokens,
        gap_target_ms: run_guard.gateway.engine_pause_bound_ms(inbound),
        longest_pause_ms: 0,
        priority: inbound.priority,
    }
}

/// Whether a response is an error of the engine, or a stream that may be passed on. A success
/// without a signature does not come from the engine itself, and each generation has an event.
fn is_usable(response: &UpstreamResponse, may_be_empty: bool) -> bool {
    if !response.http.status().is_success() {
        return true;
    }
    let is_empty = response.http.body().is_end_stream();
    response.head.is_signed && (may_be_empty || !is_empty)
}
