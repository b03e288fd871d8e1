//! The engine's side of a relay: what comes from the engine that makes the generation now.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::Connection;
use fulmarpath_policy::Millis;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Frame, Incoming};
use tokio::time::timeout;

use crate::attempt::Answer;
use crate::events::Events;
use crate::gateway::Gateway;
use crate::instance::Destination;
use crate::journey::Flight;

/// What came from an engine.
pub(crate) enum Heard {
    Bytes,
    End,
    Broken,
    Overdue,
}

/// The stream of the engine that makes the generation now.
pub(crate) struct Source {
    pub(crate) flight: Flight,
    /// When its answer began.
    pub(crate) since_ms: Millis,
    /// When the first bytes of its stream came.
    pub(crate) begun_ms: Option<Millis>,
    body: Incoming,
    _connection: Connection,
}

impl Source {
    pub(crate) fn new(now_ms: Millis, answer: Answer) -> Self {
        Self {
            since_ms: now_ms,
            begun_ms: None,
            flight: answer.flight,
            body: answer.response.into_body(),
            _connection: answer.connection,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.flight.chosen.address
    }

    /// The engine, as one that the generation may go on at.
    pub(crate) fn engine(&self) -> Destination {
        self.flight.chosen.destination()
    }

    /// Waits for more of the stream.
    pub(crate) async fn hear(
        &mut self,
        events: &mut Events,
        until_ms: Millis,
        gateway: &Gateway,
    ) -> Heard {
        let left_ms = until_ms.saturating_sub(gateway.clock.now_ms());
        let frame = timeout(Duration::from_millis(left_ms), self.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                push(events, &frame);
                self.begun_ms.get_or_insert_with(|| gateway.clock.now_ms());
                Heard::Bytes
            }
            Ok(None) => Heard::End,
            Ok(Some(Err(_))) => Heard::Broken,
            Err(_) => Heard::Overdue,
        }
    }
}

fn push(events: &mut Events, frame: &Frame<Bytes>) {
    if let Some(data) = frame.data_ref() {
        events.push(data);
    }
}
