//! Small requests: answered whole, and sent once more where that is safe.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{Reply, whole};
use fulmarpath_policy::{Millis, Verdict};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::attempt::{Answer, Failure, Terms};
use crate::configuration::RouteKind;
use crate::crashes::BrokenRun;
use crate::gateway::Gateway;
use crate::hop;
use crate::instance::Chosen;
use crate::intake::Inquiry;
use crate::journey::Journey;
use crate::problem::{Problem, reply};

/// Dispatches of one request that did not run anywhere, beside those that the route allows to run.
/// Each costs a way there and back; after three the service is full or gone.
const UNRUN_DISPATCHES: u32 = 3;
/// The part of the time for an on-time answer after which an idempotent request is sent to another
/// upstream: an upstream that hangs shows nothing but silence, and the rest of the time is enough
/// for another one.
const PATIENCE_SHARE: f32 = 0.6;
/// The part of the same time for which a request waits for a start at a cold upstream; the rest is for
/// its answer.
const WAIT_SHARE: f32 = 0.5;

/// A whole answer of an upstream.
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Gateway {
    /// Answers a caller's request.
    pub(crate) async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let arrived_ms = self.clock.now_ms();
        let mut journey = Journey::new(self.clone(), arrived_ms);
        let inquiry = match self.take_in(request, &mut journey).await {
            Ok(inquiry) => inquiry,
            Err(problem) => return self.decline(journey, problem),
        };
        if let Err(problem) = self.refuse_if_open(&inquiry) {
            return self.decline(journey, problem);
        }
        self.count_request(arrived_ms, &inquiry.service);
        let id = journey.id.clone();
        let mut reply = match inquiry.route.kind {
            RouteKind::Streaming => self.clone().stream(inquiry, journey).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                self.answer_whole(inquiry, journey).await
            }
        };
        self.dialect.write_own_response(reply.headers_mut(), &id);
        self.tell_to_leave(&mut reply);
        reply
    }

    /// Answers with a problem.
    pub(crate) fn decline(&self, mut journey: Journey, problem: Problem) -> Reply {
        journey.problem(problem);
        let mut reply = reply(problem);
        self.dialect
            .write_own_response(reply.headers_mut(), &journey.id);
        self.tell_to_leave(&mut reply);
        reply
    }

    fn tell_to_leave(&self, reply: &mut Reply) {
        if self.is_draining() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
    }

    async fn answer_whole(self: &Arc<Self>, inquiry: Inquiry, mut journey: Journey) -> Reply {
        let answer = self.try_upstreams(&inquiry, &mut journey).await;
        match answer {
            Ok(whole) => {
                if whole.status.is_success() {
                    self.note_success(&inquiry);
                }
                journey.end("answered", whole.status.as_u16());
                pass_on(whole)
            }
            Err(problem) => self.decline(journey, problem),
        }
    }

    async fn try_upstreams(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        journey: &mut Journey,
    ) -> Result<Whole, Problem> {
        let mut tried = Vec::new();
        let mut runs = 0;
        let mut unrun = 0;
        let mut failed_answer = None;
        let mut is_admitted = false;
        let mut problem = Problem::NoUpstream;
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= inquiry.deadline_ms {
                let may_have_run = runs > 0;
                problem = if may_have_run {
                    Problem::Timeout
                } else {
                    Problem::TooLateToSend
                };
                break;
            }
            if !tried.is_empty() && !self.may_retry(now_ms, &inquiry.service) {
                break;
            }
            if !std::mem::replace(&mut is_admitted, true)
                && let Err(refused) = self.admit(inquiry).await
            {
                problem = refused;
                break;
            }
            let wait_ms = (inquiry.route.target_ms as f32 * WAIT_SHARE) as Millis;
            let until_ms = inquiry.deadline_ms.min(journey.arrived_ms + wait_ms);
            let found = self.find_upstream(&inquiry.service, &tried, until_ms);
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
            let may_run_again = inquiry.may_run_again(runs + 1);
            let until_ms = self.until_ms(inquiry, now_ms, may_run_again);
            let outcome = self.try_once(inquiry, journey, chosen, until_ms).await;
            let failure = match outcome {
                Ok(whole) if whole.status.is_server_error() && may_run_again => {
                    failed_answer = Some(whole);
                    runs += 1;
                    is_admitted = false;
                    continue;
                }
                Ok(whole) => return Ok(whole),
                Err(failure) => failure,
            };
            if failure.is_not_run() {
                unrun += 1;
                problem = failure.problem();
                if unrun >= UNRUN_DISPATCHES {
                    break;
                }
                continue;
            }
            runs += 1;
            is_admitted = false;
            problem = failure.problem();
            if !inquiry.may_run_again(runs) {
                break;
            }
        }
        match failed_answer {
            Some(whole) => Ok(whole),
            // A request that may have run must never be said not to have run.
            None if runs > 0 && problem.guarantees_not_run() => Err(Problem::Broken),
            None => Err(self.when_refused(problem, &inquiry.service)),
        }
    }

    /// How long one upstream has.
    fn until_ms(&self, inquiry: &Inquiry, now_ms: Millis, may_run_again: bool) -> Millis {
        if !may_run_again {
            return inquiry.deadline_ms;
        }
        let patience_ms = (inquiry.route.target_ms as f32 * PATIENCE_SHARE) as Millis;
        inquiry.deadline_ms.min(now_ms + patience_ms)
    }

    async fn try_once(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        journey: &mut Journey,
        chosen: Chosen,
        until_ms: Millis,
    ) -> Result<Whole, Failure> {
        let terms = Terms {
            until_ms,
            ..Terms::default()
        };
        let answer = self.dispatch(inquiry, journey, chosen, terms).await?;
        let sent = answer.flight.chosen.clone();
        let outcome = self.read_whole(answer, inquiry.deadline_ms).await;
        if outcome
            .as_ref()
            .is_err_and(|failure| *failure == Failure::Unknown)
        {
            self.note_broken(BrokenRun::new(&sent, inquiry, &journey.id, None));
        }
        if outcome.is_err() {
            journey.dispatch_ended("broken");
        }
        outcome
    }

    pub(crate) async fn read_whole(
        &self,
        answer: Answer,
        deadline_ms: Millis,
    ) -> Result<Whole, Failure> {
        let Answer {
            head,
            response,
            mut flight,
            connection,
        } = answer;
        let (parts, body) = response.into_parts();
        let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let lost = flight.chosen.lost.clone();
        let collected = tokio::select! {
            collected = timeout(Duration::from_millis(left_ms), body.collect()) => collected,
            () = lost.cancelled() => return Err(Failure::Unknown),
        };
        drop(connection);
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                flight.note(Verdict::Failed);
                return Err(Failure::Unknown);
            }
            Err(_) => {
                flight.note(Verdict::Failed);
                return Err(Failure::Overdue);
            }
        };
        // Without a signature a success isn't the upstream's own.
        if parts.status.is_success() && !head.is_signed {
            flight.note(Verdict::Failed);
            return Err(Failure::Unknown);
        }
        let is_failure = parts.status.is_server_error();
        flight.note(if is_failure {
            Verdict::Failed
        } else {
            Verdict::Good
        });
        Ok(Whole {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

pub(crate) fn pass_on(answer: Whole) -> Reply {
    let mut reply = Response::new(whole(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    hop::strip(reply.headers_mut());
    reply
}
