//! The engine's side of a relay: the response stream of the engine that currently generates.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::{Connection, ResponseBody};
use fulmarpath_policy::Millis;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Bytes, Frame};
use hyper::header::CONTENT_TYPE;
use tokio::time::timeout;

use crate::attempt::UpstreamResponse;
use crate::gateway::Gateway;
use crate::relay::events::{EventBuffer, EventTooLong};
use crate::relay::framing::{EVENT_SURPLUS_WAIT, Framing, SURPLUS_WAIT, begins_with_chunk_size};
use crate::tracker::InFlightRequest;
use crate::upstreams::instance::Destination;

const EVENT_STREAM: &str = "text/event-stream";

/// The outcome of reading from an engine.
pub(crate) enum StreamRead {
    Bytes,
    End,
    /// The stream ended in the middle of an event: its engine broke it off. A stream that is framed
    /// only by the end of its connection shows a break in no other way.
    EndInEvent,
    Broken,
    /// An event is too long to be buffered.
    EventTooLong,
    /// The generation was stopped, and can resume.
    Stopped,
    TimedOut,
}

/// The response stream of the engine that currently generates.
pub(crate) struct EngineStream {
    pub(crate) in_flight: InFlightRequest,
    /// When the head of its response arrived.
    pub(crate) response_at_ms: Millis,
    /// When the first bytes of its body arrived.
    pub(crate) first_bytes_ms: Option<Millis>,
    has_events: bool,
    framing: Framing,
    body: ResponseBody,
    connection: Connection,
}

impl EngineStream {
    pub(crate) fn new(now_ms: Millis, response: UpstreamResponse) -> Self {
        Self {
            response_at_ms: now_ms,
            first_bytes_ms: None,
            has_events: has_events(response.http.headers()),
            framing: Framing::of(&response.http),
            in_flight: response.in_flight,
            body: response.http.into_body(),
            connection: response.connection,
        }
    }

    /// Time since the first bytes of its body; `None` if none have arrived.
    pub(crate) fn ran_ms(&self, now_ms: Millis) -> Option<Millis> {
        let first_bytes_ms = self.first_bytes_ms?;
        Some(now_ms.saturating_sub(first_bytes_ms))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.in_flight.chosen.address
    }

    /// The engine, as a destination on which the generation may resume.
    pub(crate) fn engine(&self) -> Destination {
        self.in_flight.chosen.destination()
    }

    /// Whether its end is only that of its connection, which a process that ends closes as well.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Whether an event begins with the size of a chunk, although the head states no chunks.
    pub(crate) fn is_chunk_size(&self, event: &[u8]) -> bool {
        self.has_events && self.ends_with_connection() && begins_with_chunk_size(event)
    }

    fn surplus_wait(&self) -> Duration {
        match self.framing {
            Framing::Length if self.has_events => EVENT_SURPLUS_WAIT,
            _ => SURPLUS_WAIT,
        }
    }

    /// Waits for more data of the stream.
    pub(crate) async fn read(
        &mut self,
        events: &mut EventBuffer,
        until_ms: Millis,
        gateway: &Gateway,
    ) -> StreamRead {
        let left_ms = until_ms.saturating_sub(gateway.clock.now_ms());
        let frame = timeout(Duration::from_millis(left_ms), self.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                self.first_bytes_ms
                    .get_or_insert_with(|| gateway.clock.now_ms());
                match push(events, &frame) {
                    Ok(()) => StreamRead::Bytes,
                    Err(EventTooLong) if self.has_events => StreamRead::EventTooLong,
                    Err(EventTooLong) => {
                        events.split_event();
                        StreamRead::Bytes
                    }
                }
            }
            Ok(None) if self.has_events && events.is_in_event() => StreamRead::EndInEvent,
            Ok(None) if self.connection.has_surplus(self.surplus_wait()).await => {
                StreamRead::Broken
            }
            Ok(None) => StreamRead::End,
            Ok(Some(Err(_))) => StreamRead::Broken,
            Err(_) => StreamRead::TimedOut,
        }
    }
}

/// Whether a response is a series of events; engines may leave the type out.
fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

fn push(events: &mut EventBuffer, frame: &Frame<Bytes>) -> Result<(), EventTooLong> {
    frame.data_ref().map_or(Ok(()), |data| events.push(data))
}
