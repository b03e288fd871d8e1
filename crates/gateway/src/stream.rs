//! Generations: placed by their cell's home, run once at most unless their streams may be resumed.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_http::{Reply, streamed, whole};
use futures::stream::unfold;
use hyper::Response;

use crate::forward::pass_on;
use crate::gateway::Gateway;
use crate::hop;
use crate::intake::Inquiry;
use crate::journey::Journey;
use crate::key::run_of;
use crate::relay::{Relay, Ticket};
use crate::start::{Started, Tries};

impl Gateway {
    /// Starts a generation and passes its events on.
    pub(crate) async fn stream(self: Arc<Self>, inquiry: Inquiry, mut journey: Journey) -> Reply {
        let ticket = Ticket::new(self.clone(), &inquiry, &journey.id);
        let mut tries = Tries::default();
        let started = self
            .start(&inquiry, &ticket, &mut journey, &mut tries)
            .await;
        let started = match started {
            Ok(started) => started,
            Err(problem) => return self.decline(journey, problem),
        };
        if !started.answer.response.status().is_success() {
            return self.pass_failure_on(&inquiry, journey, started).await;
        }
        let mut reply = Response::new(whole(Bytes::new()));
        *reply.status_mut() = started.answer.response.status();
        *reply.headers_mut() = started.answer.response.headers().clone();
        hop::strip(reply.headers_mut());
        let relay = Relay::new(inquiry, journey, ticket, tries, started);
        let chunks = unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            let chunk = relay.next().await?;
            let goes_on = chunk.is_ok().then_some(relay);
            Some((chunk, goes_on))
        });
        *reply.body_mut() = streamed(chunks);
        reply
    }

    /// Answers with an engine's own failure, which is short and no stream.
    async fn pass_failure_on(
        &self,
        inquiry: &Inquiry,
        mut journey: Journey,
        started: Started,
    ) -> Reply {
        match self.read_whole(started.answer, inquiry.deadline_ms).await {
            Ok(failure) => {
                journey.end("answered", failure.status.as_u16());
                pass_on(failure)
            }
            Err(failure) => self.decline(journey, failure.problem()),
        }
    }
}

impl Ticket {
    fn new(gateway: Arc<Gateway>, inquiry: &Inquiry, id: &str) -> Self {
        let data_centre = &gateway.settings.host.data_centre;
        let run = run_of(id);
        Self {
            cell: gateway.cells.cell_for(&inquiry.service, data_centre, run),
            run,
            is_whole: false,
            first_ms: None,
            gateway,
        }
    }
}
