//! Generations: placed by their cell's home, and run at most once unless their streams may be
//! resumed.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_http::{Reply, full_body, stream_body};
use fulmarpath_policy::{Millis, Playout};
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use crate::gateway::Gateway;
use crate::hop;
use crate::inbound::InboundRequest;
use crate::key::run_key;
use crate::relay::stream_buffer::BufferWriter;
use crate::relay::{Relay, RunGuard};
use crate::start::{Attempts, StartedGeneration};
use crate::tracker::RequestTracker;

impl Gateway {
    /// Starts a generation and relays its events.
    pub(crate) async fn stream(
        self: Arc<Self>,
        inbound: InboundRequest,
        mut tracker: RequestTracker,
    ) -> Reply {
        let run_guard = RunGuard::new(self.clone(), &inbound, &tracker.id);
        let mut attempts = Attempts::default();
        let started = self
            .start_generation(&inbound, &run_guard, &mut tracker, &mut attempts)
            .await;
        let started = match started {
            Ok(started) => started,
            Err(problem) => return self.reject(tracker, problem),
        };
        if !started.response.http.status().is_success() {
            return self.forward_failure(inbound, tracker, started).await;
        }
        let mut reply = Response::new(full_body(Bytes::new()));
        *reply.status_mut() = started.response.http.status();
        *reply.headers_mut() = started.response.http.headers().clone();
        hop::strip(reply.headers_mut());
        // Another engine may finish the stream, with another length.
        reply.headers_mut().remove(CONTENT_LENGTH);
        let playout = self.playout(&inbound);
        let relay = Relay::new(inbound, tracker, run_guard, attempts, started);
        let (writer, chunks) = self.stream_buffers.open(playout);
        tokio::spawn(relay_into(relay, writer));
        *reply.body_mut() = stream_body(chunks);
        reply
    }

    /// How a stream's events are held, if its route bounds pauses and the operator the delay of
    /// events.
    fn playout(&self, inbound: &InboundRequest) -> Option<Playout> {
        let gap_target_ms = inbound.route.gap_target_ms?;
        let delay_bound_ms = self.settings.event_delay_bound_ms?;
        Some(Playout::new(gap_target_ms, delay_bound_ms))
    }

    /// The longest pause of an engine that is on time for the caller of a stream, if its route bounds
    /// pauses.
    pub(crate) fn engine_pause_bound_ms(&self, inbound: &InboundRequest) -> Option<Millis> {
        match self.playout(inbound) {
            Some(playout) => Some(playout.max_engine_pause_ms()),
            None => inbound.route.gap_target_ms,
        }
    }

    /// Forwards an engine's own error response, which is short and not a stream.
    async fn forward_failure(
        self: &Arc<Self>,
        inbound: InboundRequest,
        tracker: RequestTracker,
        started: StartedGeneration,
    ) -> Reply {
        match self.read_response(&inbound, started.response).await {
            Ok(response) => self.pass_on(inbound, tracker, response),
            Err(failure) => self.reject(tracker, failure.problem()),
        }
    }
}

/// Relays a generation into its caller's buffer until it ends or the caller leaves.
async fn relay_into(mut relay: Relay, writer: BufferWriter) {
    loop {
        let chunk = tokio::select! {
            () = writer.caller_gone() => return,
            chunk = relay.next() => chunk,
        };
        let Some(chunk) = chunk else {
            return writer.finish();
        };
        let is_last = chunk.is_err();
        if writer.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}

impl RunGuard {
    fn new(gateway: Arc<Gateway>, inbound: &InboundRequest, id: &str) -> Self {
        let data_centre = &gateway.settings.host.data_centre;
        let run = run_key(id);
        Self {
            cell: gateway.cells.cell_for(&inbound.service, data_centre, run),
            run,
            is_complete: false,
            first_ms: None,
            gateway,
        }
    }
}
