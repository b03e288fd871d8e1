//! Requests whose response is buffered and which are retried on another upstream where that is
//! safe.

use std::sync::Arc;

use fulmarpath_http::Reply;
use fulmarpath_policy::Millis;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};

use crate::attempt::{DispatchOptions, Failure};
use crate::configuration::RouteKind;
use crate::crashes::InterruptedRun;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::poison::mark_sent;
use crate::problem::{Problem, reply};
use crate::relay::response::ReadResponse;
use crate::tracker::RequestTracker;
use crate::upstreams::instance::ChosenUpstream;

/// Maximum number of dispatches of one request that were not run, in addition to the attempts that
/// the route allows. Each costs a round trip; after three the service is full or gone.
const MAX_NOT_RUN_DISPATCHES: u32 = 3;
/// Fraction of the route's target after which an idempotent request is retried on another upstream:
/// an upstream that hangs returns no error, and the remaining time suffices for another one.
const ATTEMPT_FRACTION: f32 = 0.6;
/// Fraction of the route's target for which a request waits for a start at a cold upstream; the
/// rest is for its response.
const START_WAIT_FRACTION: f32 = 0.5;

impl Gateway {
    /// Handles a caller's request.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let arrived_ms = self.clock.now_ms();
        let mut tracker = RequestTracker::new(self.clone(), arrived_ms);
        let inbound = match self.accept(request, &mut tracker).await {
            Ok(inbound) => inbound,
            Err(problem) => return self.reject(tracker, problem),
        };
        if let Err(problem) = self.refuse_if_open(&inbound) {
            return self.reject(tracker, problem);
        }
        self.count_request(arrived_ms, &inbound.service);
        let id = tracker.id.clone();
        let mut reply = match inbound.route.kind {
            RouteKind::Streaming => self.clone().stream(inbound, tracker).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                self.serve_buffered(inbound, tracker).await
            }
        };
        self.dialect.write_own_response(reply.headers_mut(), &id);
        self.close_if_draining(&mut reply);
        reply
    }

    /// Responds with a problem.
    pub(crate) fn reject(&self, mut tracker: RequestTracker, problem: Problem) -> Reply {
        tracker.end_with_problem(problem);
        let mut reply = reply(problem);
        self.dialect
            .write_own_response(reply.headers_mut(), &tracker.id);
        self.close_if_draining(&mut reply);
        reply
    }

    fn close_if_draining(&self, reply: &mut Reply) {
        if self.is_draining() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
    }

    async fn serve_buffered(
        self: &Arc<Self>,
        inbound: InboundRequest,
        mut tracker: RequestTracker,
    ) -> Reply {
        if !self.can_finish(&inbound) {
            return self.reject(tracker, Problem::Stopping);
        }
        let result = tokio::select! {
            biased;
            result = self.try_upstreams(&inbound, &mut tracker) => result,
            () = self.last_responses.cancelled() => Err(tracker.problem_at_stop()),
        };
        match result {
            Ok(response) => self.pass_on(inbound, tracker, response),
            Err(problem) => self.reject(tracker, problem),
        }
    }

    async fn try_upstreams(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        tracker: &mut RequestTracker,
    ) -> Result<ReadResponse, Problem> {
        let mut tried = Vec::new();
        let mut runs = 0;
        let mut not_run_count = 0;
        let mut failed_response = None;
        let mut admitted = None;
        let mut has_arrived = false;
        let mut problem = Problem::NoUpstream;
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= inbound.deadline_ms {
                let may_have_run = runs > 0;
                problem = if may_have_run {
                    Problem::Timeout
                } else {
                    Problem::TooLateToSend
                };
                break;
            }
            if has_arrived && !self.may_retry(now_ms, &inbound.service) {
                break;
            }
            if admitted.is_none() {
                match self.admit(inbound).await {
                    Ok(granted) => admitted = Some(granted),
                    Err(refused) => {
                        problem = refused;
                        break;
                    }
                }
            }
            let wait_ms = (inbound.route.target_ms as f32 * START_WAIT_FRACTION) as Millis;
            let until_ms = inbound.deadline_ms.min(tracker.arrived_ms + wait_ms);
            let found = self.find_upstream(&inbound.service, &tried, until_ms);
            let chosen = match found.await {
                Ok(Some(chosen)) => chosen,
                Ok(None) => break,
                Err(refused) => {
                    problem = refused;
                    break;
                }
            };
            let now_ms = self.clock.now_ms();
            tried.push(chosen.key);
            let may_run_again = inbound.may_run_again(runs + 1);
            let until_ms = self.attempt_deadline_ms(inbound, now_ms, may_run_again);
            let outcome = self.try_once(inbound, tracker, chosen, until_ms).await;
            has_arrived |= !matches!(outcome, Err(Failure::Unsent));
            let failure = match outcome {
                Ok(response) if response.status.is_server_error() && may_run_again => {
                    failed_response = Some(response);
                    runs += 1;
                    mark_sent(&mut admitted);
                    continue;
                }
                Ok(response) => {
                    mark_sent(&mut admitted);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if failure.is_not_run() {
                not_run_count += 1;
                problem = failure.problem();
                if not_run_count >= MAX_NOT_RUN_DISPATCHES {
                    break;
                }
                continue;
            }
            runs += 1;
            mark_sent(&mut admitted);
            problem = failure.problem();
            if !inbound.may_run_again(runs) {
                break;
            }
        }
        match failed_response {
            Some(response) => Ok(response),
            // The response must never claim that a request has not run if it may have run.
            None if runs > 0 && problem.guarantees_not_run() => Err(Problem::Broken),
            None => Err(self.refine_refusal(problem, &inbound.service)),
        }
    }

    /// The deadline for the response head of one upstream.
    fn attempt_deadline_ms(
        &self,
        inbound: &InboundRequest,
        now_ms: Millis,
        may_run_again: bool,
    ) -> Millis {
        if !may_run_again {
            return inbound.deadline_ms;
        }
        let attempt_ms = (inbound.route.target_ms as f32 * ATTEMPT_FRACTION) as Millis;
        inbound.deadline_ms.min(now_ms + attempt_ms)
    }

    async fn try_once(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        tracker: &mut RequestTracker,
        chosen: ChosenUpstream,
        until_ms: Millis,
    ) -> Result<ReadResponse, Failure> {
        let options = DispatchOptions {
            until_ms,
            ..DispatchOptions::default()
        };
        let response = self.dispatch(inbound, tracker, chosen, options).await?;
        let sent_to = response.in_flight.chosen.clone();
        let outcome = self.read_response(inbound, response).await;
        if outcome
            .as_ref()
            .is_err_and(|failure| *failure == Failure::Unknown)
        {
            self.check_for_crash(InterruptedRun::new(&sent_to, inbound, tracker, None));
        }
        if outcome.is_err() {
            tracker.end_dispatch("broken");
        }
        outcome
    }
}
