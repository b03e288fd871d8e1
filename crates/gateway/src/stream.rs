//! Generations: run once at most, and passed on event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{BodyBroken, Connection, Reply, streamed, whole};
use fulmarpath_policy::{Millis, Verdict};
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::attempt::{Answer, Failure};
use crate::events::Events;
use crate::gateway::Gateway;
use crate::hop;
use crate::intake::Inquiry;
use crate::journey::{Flight, Journey};
use crate::problem::Problem;

/// Upstreams asked for one generation until one takes it.
const DISPATCHES: u32 = 4;

/// A generation on its way to its caller.
struct Relay {
    gateway: Arc<Gateway>,
    journey: Journey,
    flight: Flight,
    body: Incoming,
    _connection: Connection,
    events: Events,
    status: u16,
    deadline_ms: Millis,
    heard_ms: Millis,
}

impl Gateway {
    /// Starts a generation and passes its events on.
    pub(crate) async fn stream(self: Arc<Self>, inquiry: Inquiry, mut journey: Journey) -> Reply {
        let answer = match self.start(&inquiry, &mut journey).await {
            Ok(answer) => answer,
            Err(problem) => return self.decline(journey, problem),
        };
        let Answer {
            response,
            flight,
            connection,
            ..
        } = answer;
        let (parts, body) = response.into_parts();
        let relay = Relay {
            deadline_ms: inquiry.deadline_ms,
            heard_ms: self.clock.now_ms(),
            status: parts.status.as_u16(),
            gateway: self,
            journey,
            flight,
            body,
            _connection: connection,
            events: Events::default(),
        };
        let chunks = unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            let chunk = relay.next().await?;
            let goes_on = chunk.is_ok().then_some(relay);
            Some((chunk, goes_on))
        });
        let mut reply = Response::new(whole(Bytes::new()));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = parts.headers;
        hop::strip(reply.headers_mut());
        *reply.body_mut() = streamed(chunks);
        reply
    }

    async fn start(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        journey: &mut Journey,
    ) -> Result<Answer, Problem> {
        let mut tried = Vec::new();
        let mut problem = Problem::NoUpstream;
        for dispatch in 0..DISPATCHES {
            let now_ms = self.clock.now_ms();
            if now_ms >= inquiry.deadline_ms {
                return Err(Problem::TooLateToSend);
            }
            if dispatch > 0 && !self.may_retry(now_ms, &inquiry.service) {
                break;
            }
            let draw = rand::random();
            let chosen = self
                .instances
                .choose(now_ms, &inquiry.service, &tried, draw);
            let Some(chosen) = chosen else { break };
            tried.push(chosen.key);
            let sent = self.dispatch(inquiry, journey, chosen, inquiry.deadline_ms, None);
            match sent.await {
                Ok(answer) if answer.response.status().is_success() && !answer.head.is_signed => {
                    return Err(Problem::Broken);
                }
                Ok(answer) => return Ok(answer),
                Err(Failure::Unsent) => problem = Problem::Unreachable,
                Err(Failure::Shed) => problem = Problem::AllRefused,
                Err(Failure::Unknown) => return Err(Problem::Broken),
                Err(Failure::Overdue) => return Err(Problem::Timeout),
            }
        }
        Err(problem)
    }
}

impl Relay {
    /// The next whole events; `None` behind the last.
    async fn next(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        loop {
            if let Some(events) = self.events.take_whole() {
                self.count(&events);
                return Some(Ok(events));
            }
            let now_ms = self.gateway.clock.now_ms();
            let left_ms = self.deadline_ms.saturating_sub(now_ms);
            let frame = timeout(Duration::from_millis(left_ms), self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Ok(None) => return self.finish(),
                Ok(Some(Err(_))) => {
                    self.flight.judge(Verdict::Failed);
                    self.journey.end("stream_broken", self.status);
                    return Some(Err(BodyBroken));
                }
                Err(_) => {
                    self.journey.end("stream_overdue", self.status);
                    return Some(Err(BodyBroken));
                }
            }
        }
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        if let Some(rest) = self.events.take_rest() {
            return Some(Ok(rest));
        }
        self.flight.judge(Verdict::Good);
        self.journey.end("answered", self.status);
        None
    }

    fn count(&mut self, events: &Bytes) {
        let now_ms = self.gateway.clock.now_ms();
        if self.journey.events > 0 {
            let pause_ms = now_ms.saturating_sub(self.heard_ms);
            self.gateway.metrics.pause_ms.observe(pause_ms as f64);
        }
        self.heard_ms = now_ms;
        self.journey.events += crate::events::split(events).len() as u32;
    }
}
