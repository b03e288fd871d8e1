//! One dispatch of a request to one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::{Connection, HttpError};
use fulmarpath_policy::{Millis, Verdict};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::crashes::BrokenRun;
use crate::gateway::Gateway;
use crate::head::{Continuation, Outbound, ResponseHead};
use crate::instance::Chosen;
use crate::intake::Inquiry;
use crate::journey::{ANSWERED, Flight, Journey};
use crate::problem::Problem;
use crate::record::Dispatch;

/// Time to connect: some ways there and back between data centres, and an upstream's handshake.
/// A lost opening packet is sent again only after a second, by when another upstream has answered.
const CONNECT_MS: Millis = 250;
/// How long an upstream that says it is full is spared.
const FULL_MS: Millis = 200;
/// How long an upstream that closes its connection, perhaps because it leaves, is spared.
const CLOSING_MS: Millis = 400;

/// An upstream's answer whose body is still to come.
pub(crate) struct Answer {
    pub(crate) head: ResponseHead,
    pub(crate) response: Response<Incoming>,
    pub(crate) flight: Flight,
    /// Closed when dropped, whereupon the upstream gives the request up.
    pub(crate) connection: Connection,
}

/// What a dispatch is sent with, beside the caller's own request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Terms {
    /// Until when the head of the answer is waited for.
    pub(crate) until_ms: Millis,
    /// The engine that keeps a running copy.
    pub(crate) backup: Option<SocketAddr>,
    /// Set where the generation goes on from a copy of its memory.
    pub(crate) continuation: Option<Continuation>,
    /// The event behind which a stream that began elsewhere goes on.
    pub(crate) last_event: Option<u64>,
}

/// Why a dispatch has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request was never sent: no connection was made.
    Unsent,
    /// The upstream states that it has not run it and never will.
    Shed,
    /// It was sent, and what became of it is unknown.
    Unknown,
    /// It was sent, and the time ran out.
    Overdue,
}

impl Failure {
    /// Whether it is certain that the request has not run.
    pub(crate) fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Shed)
    }

    /// What its caller is told.
    pub(crate) fn problem(self) -> Problem {
        match self {
            Self::Unsent => Problem::Unreachable,
            Self::Shed => Problem::AllRefused,
            Self::Unknown => Problem::Broken,
            Self::Overdue => Problem::Timeout,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Shed => "shed",
            Self::Unknown => "unknown",
            Self::Overdue => "overdue",
        }
    }
}

impl Gateway {
    /// Sends a request to the chosen upstream and waits for the head of its answer.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        journey: &mut Journey,
        chosen: Chosen,
        terms: Terms,
    ) -> Result<Answer, Failure> {
        journey.dispatched(Dispatch {
            instance: chosen.instance.clone(),
            at_ms: self.clock.now_ms().saturating_sub(journey.arrived_ms),
            outcome: "sent".to_owned(),
        });
        let answer = self.exchange(inquiry, chosen, terms, &journey.id).await;
        match &answer {
            Ok(answer) => journey.dispatch_ended(if answer.response.status().is_success() {
                ANSWERED
            } else {
                "failed"
            }),
            Err(failure) => journey.dispatch_ended(failure.name()),
        }
        answer
    }

    async fn exchange(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        chosen: Chosen,
        terms: Terms,
        id: &str,
    ) -> Result<Answer, Failure> {
        let (address, key) = (chosen.address, chosen.key);
        let mut flight = Flight::new(self.clone(), chosen);
        let started_ms = self.clock.now_ms();
        let connect_ms = terms.until_ms.saturating_sub(started_ms).min(CONNECT_MS);
        let opened = Connection::open(address, Duration::from_millis(connect_ms)).await;
        let Ok(mut connection) = opened else {
            self.instances.unreachable(self.clock.now_ms(), key);
            return Err(Failure::Unsent);
        };
        let request = self.outbound(inquiry, &flight.chosen, &terms);
        let left_ms = terms.until_ms.saturating_sub(self.clock.now_ms());
        let lost = flight.chosen.lost.clone();
        let exchange = timeout(Duration::from_millis(left_ms), connection.exchange(request));
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = lost.cancelled() => {
                flight.note(Verdict::Unheard);
                self.note_broken(BrokenRun::new(&flight.chosen, inquiry, id, None));
                return Err(Failure::Unknown);
            }
        };
        let response = match exchanged {
            Ok(Ok(response)) => response,
            Ok(Err(HttpError::Unreachable { .. })) => {
                flight.note(Verdict::Failed);
                return Err(Failure::Unsent);
            }
            Ok(Err(_)) => {
                flight.note(Verdict::Failed);
                self.note_broken(BrokenRun::new(&flight.chosen, inquiry, id, None));
                return Err(Failure::Unknown);
            }
            Err(_) => {
                flight.note(Verdict::Failed);
                return Err(Failure::Overdue);
            }
        };
        let head = self
            .dialect
            .read_response(response.status(), response.headers());
        let now_ms = self.clock.now_ms();
        let is_stray = !head.is_not_run && head.id.as_deref() != Some(id);
        let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if !is_stray && !is_other {
            self.hear_signals(&flight.chosen, head.signals);
        }
        if head.is_not_run {
            flight.note(Verdict::Shed);
            self.instances.spare_until(now_ms + FULL_MS, key);
            if is_other {
                self.instances.leave(key);
            }
            return Err(Failure::Shed);
        }
        // An upstream may send one answer too many; its id tells which request it belongs to.
        if is_stray {
            flight.note(Verdict::Failed);
            return Err(Failure::Unknown);
        }
        if head.is_closing {
            self.instances.spare_until(now_ms + CLOSING_MS, key);
        }
        let latency_ms = now_ms.saturating_sub(started_ms);
        self.instances.answered(now_ms, key, latency_ms, head.load);
        self.metrics.first_byte_ms.observe(latency_ms as f64);
        Ok(Answer {
            head,
            response,
            flight,
            connection,
        })
    }

    fn outbound(
        &self,
        inquiry: &Inquiry,
        chosen: &Chosen,
        terms: &Terms,
    ) -> Request<Full<bytes::Bytes>> {
        let outbound = Outbound {
            time_left_ms: inquiry.deadline_ms.saturating_sub(self.clock.now_ms()),
            instance: chosen.instance.clone(),
            organisation: inquiry.organisation.clone(),
            backup: terms.backup,
            continuation: terms.continuation.clone(),
            last_event: terms.last_event,
        };
        let mut request = Request::new(Full::new(inquiry.body.clone()));
        *request.method_mut() = inquiry.method.clone();
        *request.uri_mut() = inquiry.uri.clone();
        *request.headers_mut() = inquiry.headers.clone();
        self.dialect
            .write_outbound(request.headers_mut(), &outbound);
        request
    }
}
