//! Reads an upstream's response that is not a stream of events.
//!
//! A response is buffered, so that a request can be retried if its response breaks off. One that is
//! too long is passed on while it arrives, at the pace of its caller, and can no longer be retried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{BodyInterrupted, Connection, Reply, ResponseBody, full_body, stream_body};
use fulmarpath_policy::{Millis, Verdict};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::{sleep, timeout};

use crate::attempt::{Failure, UpstreamResponse};
use crate::crashes::InterruptedRun;
use crate::gateway::Gateway;
use crate::hop;
use crate::inbound::InboundRequest;
use crate::relay::framing::{Framing, SURPLUS_WAIT, is_made_of_chunks};
use crate::relay::response_buffer::ResponseBuffer;
use crate::relay::stream_buffer::BufferWriter;
use crate::tracker::{InFlightRequest, RequestTracker};

/// A response of an upstream that can be passed on.
pub(crate) struct ReadResponse {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: ReadBody,
}

enum ReadBody {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of a body that is too long to be buffered.
    Partial(Box<PartialBody>),
}

struct PartialBody {
    buffered: Bytes,
    /// The piece for which there was no room.
    next: Bytes,
    rest: BodyReader,
}

/// The unread rest of a response's body.
struct BodyReader {
    body: ResponseBody,
    framing: Framing,
    status: StatusCode,
    is_empty: bool,
    in_flight: InFlightRequest,
    /// Closed when dropped, which makes the upstream cancel the request.
    connection: Connection,
}

impl BodyReader {
    /// The next piece; `None` after the last one of a body that is complete.
    async fn next(
        &mut self,
        gateway: &Arc<Gateway>,
        service: &str,
        deadline_ms: Millis,
    ) -> Result<Option<Bytes>, Failure> {
        let piece = self.read(gateway, service, deadline_ms).await;
        match &piece {
            Ok(Some(_)) => {}
            Ok(None) if self.status.is_server_error() => {
                self.in_flight.set_verdict(Verdict::Failed);
            }
            Ok(None) => self.in_flight.set_verdict(Verdict::Good),
            Err(_) if self.in_flight.chosen.lost.is_cancelled() => {}
            Err(_) => self.in_flight.set_verdict(Verdict::Failed),
        }
        piece
    }

    async fn read(
        &mut self,
        gateway: &Arc<Gateway>,
        service: &str,
        deadline_ms: Millis,
    ) -> Result<Option<Bytes>, Failure> {
        let lost = self.in_flight.chosen.lost.clone();
        loop {
            let left_ms = deadline_ms.saturating_sub(gateway.clock.now_ms());
            let frame = tokio::select! {
                frame = timeout(Duration::from_millis(left_ms), self.body.frame()) => frame,
                () = lost.cancelled() => return Err(Failure::Unknown),
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let piece = frame.into_data().unwrap_or_default();
                    if !piece.is_empty() {
                        self.is_empty = false;
                        return Ok(Some(piece));
                    }
                }
                Ok(None) if self.framing == Framing::Close => break,
                Ok(None) if self.connection.has_surplus(SURPLUS_WAIT).await => {
                    return Err(Failure::Unknown);
                }
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(Failure::Unknown),
                Err(_) => return Err(Failure::TimedOut),
            }
        }
        if self.is_empty && self.status.is_success() {
            return Err(Failure::Unknown);
        }
        // A process that ends closes its connections as if their responses were complete. This one
        // may be, so that its content is not suspected of a crash.
        let upstream = &self.in_flight.chosen;
        match gateway.is_upstream_running(service, upstream).await {
            true => Ok(None),
            false => Err(Failure::Unconfirmed),
        }
    }
}

impl Gateway {
    /// Reads the rest of a response, or as much of it as can be buffered.
    pub(crate) async fn read_response(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        response: UpstreamResponse,
    ) -> Result<ReadResponse, Failure> {
        let UpstreamResponse {
            head,
            http,
            mut in_flight,
            connection,
            ..
        } = response;
        let framing = Framing::of(&http);
        let (parts, body) = http.into_parts();
        // A successful response without a signature does not come from the upstream itself.
        if parts.status.is_success() && !head.is_signed {
            in_flight.set_verdict(Verdict::Failed);
            return Err(Failure::Unknown);
        }
        let mut rest = BodyReader {
            body,
            framing,
            status: parts.status,
            is_empty: true,
            in_flight,
            connection,
        };
        let mut buffer = ResponseBuffer::new(self.resources.response_bodies.clone());
        let (service, deadline_ms) = (&inbound.service, inbound.deadline_ms);
        let mut unbuffered = None;
        while let Some(piece) = rest.next(self, service, deadline_ms).await? {
            if !buffer.append(&piece) {
                unbuffered = Some(piece);
                break;
            }
        }
        let buffered = buffer.into_bytes();
        let is_whole = unbuffered.is_none();
        if framing == Framing::Close && is_whole && is_made_of_chunks(&buffered) {
            rest.in_flight.set_verdict(Verdict::Failed);
            return Err(Failure::Unknown);
        }
        let body = match unbuffered {
            None => ReadBody::Whole(buffered),
            Some(next) => ReadBody::Partial(Box::new(PartialBody {
                buffered,
                next,
                rest,
            })),
        };
        Ok(ReadResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Passes a response on to the caller.
    pub(crate) fn pass_on(
        self: &Arc<Self>,
        inbound: InboundRequest,
        mut tracker: RequestTracker,
        response: ReadResponse,
    ) -> Reply {
        let status = response.status;
        let body = match response.body {
            ReadBody::Whole(body) => {
                self.end_answered(&inbound, &mut tracker, status);
                full_body(body)
            }
            ReadBody::Partial(partial) => {
                self.metrics.long_responses.inc();
                let (writer, chunks) = self.stream_buffers.open(None);
                let passing = PassedResponse {
                    gateway: self.clone(),
                    inbound,
                    tracker,
                    status,
                };
                tokio::spawn(passing.run(*partial, writer));
                stream_body(chunks)
            }
        };
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        *reply.headers_mut() = response.headers;
        hop::strip(reply.headers_mut());
        reply
    }

    fn end_answered(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        tracker: &mut RequestTracker,
        status: StatusCode,
    ) {
        if status.is_success() {
            self.note_success(inbound, self.clock.now_ms());
        }
        tracker.end("answered", status.as_u16());
    }
}

/// A response that is passed on while it arrives.
struct PassedResponse {
    gateway: Arc<Gateway>,
    inbound: InboundRequest,
    tracker: RequestTracker,
    status: StatusCode,
}

impl PassedResponse {
    /// Passes on the body until it ends, its deadline passes or the caller leaves.
    async fn run(mut self, partial: PartialBody, writer: BufferWriter) {
        let left_ms = self.inbound.deadline_ms;
        let left_ms = left_ms.saturating_sub(self.gateway.clock.now_ms());
        let chosen = partial.rest.in_flight.chosen.clone();
        let passed = tokio::select! {
            () = writer.caller_gone() => return,
            () = sleep(Duration::from_millis(left_ms)) => Err(Failure::TimedOut),
            passed = self.send_all(partial, &writer) => passed,
        };
        let Err(failure) = passed else {
            self.gateway
                .end_answered(&self.inbound, &mut self.tracker, self.status);
            return writer.finish();
        };
        if failure == Failure::Unknown {
            let run = InterruptedRun::new(&chosen, &self.inbound, &self.tracker, None);
            self.gateway.check_for_crash(run);
        }
        self.tracker.end_dispatch("broken");
        let outcome = match failure {
            Failure::TimedOut => "response_overdue",
            _ => "response_broken",
        };
        self.tracker.end(outcome, self.status.as_u16());
        let _ = writer.send(Err(BodyInterrupted)).await;
    }

    async fn send_all(&self, partial: PartialBody, writer: &BufferWriter) -> Result<(), Failure> {
        let PartialBody {
            buffered,
            next,
            mut rest,
        } = partial;
        let (service, deadline_ms) = (&self.inbound.service, self.inbound.deadline_ms);
        let mut piece = buffered;
        let mut following = Some(next);
        loop {
            if writer.send(Ok(piece)).await.is_err() {
                // The caller has left, which ends the task.
                return std::future::pending().await;
            }
            let next = match following.take() {
                Some(next) => Some(next),
                None => rest.next(&self.gateway, service, deadline_ms).await?,
            };
            match next {
                Some(next) => piece = next,
                None => return Ok(()),
            }
        }
    }
}
