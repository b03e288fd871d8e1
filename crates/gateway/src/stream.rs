//! Generations: placed by their cell's home, run once at most.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{Reply, streamed, whole};
use fulmarpath_policy::{Millis, Placement, PlacementRequest, RunStatement, UpstreamKey};
use futures::stream::unfold;
use hyper::Response;
use tokio::time::sleep;

use crate::attempt::{Answer, Failure, Terms};
use crate::configuration::EngineTraits;
use crate::drain::can_finish;
use crate::gateway::Gateway;
use crate::hop;
use crate::instances::{Chosen, Destination};
use crate::intake::Inquiry;
use crate::journey::Journey;
use crate::key::{centre_of, run_of};
use crate::problem::Problem;
use crate::relay::{Relay, Ticket};

/// Upstreams asked for one generation until one takes it.
const DISPATCHES: usize = 4;
/// The part of the time to a first event for which a generation waits for room. What is left has
/// to be enough for its prompt to be read.
const WAIT_SHARE: f32 = 0.55;
/// Between two questions for room.
const WAIT_PERIOD: Duration = Duration::from_millis(60);

/// Where a generation starts.
struct Start {
    chosen: Chosen,
    backup: Option<Destination>,
}

impl Gateway {
    /// Starts a generation and passes its events on.
    pub(crate) async fn stream(self: Arc<Self>, inquiry: Inquiry, mut journey: Journey) -> Reply {
        let ticket = Ticket::new(self.clone(), &inquiry, &journey.id);
        let started = self.start(&inquiry, &ticket, &mut journey).await;
        let (answer, backup) = match started {
            Ok(started) => started,
            Err(problem) => return self.decline(journey, problem),
        };
        let mut reply = Response::new(whole(Bytes::new()));
        *reply.status_mut() = answer.response.status();
        *reply.headers_mut() = answer.response.headers().clone();
        hop::strip(reply.headers_mut());
        let relay = Relay::new(inquiry, journey, ticket, answer, backup);
        let chunks = unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            let chunk = relay.next().await?;
            let goes_on = chunk.is_ok().then_some(relay);
            Some((chunk, goes_on))
        });
        *reply.body_mut() = streamed(chunks);
        reply
    }

    async fn start(
        self: &Arc<Self>,
        inquiry: &Inquiry,
        ticket: &Ticket,
        journey: &mut Journey,
    ) -> Result<(Answer, Option<Destination>), Problem> {
        if !self.can_finish(inquiry) {
            return Err(Problem::Stopping);
        }
        let mut tried: Vec<Chosen> = Vec::new();
        let mut problem = Problem::NoUpstream;
        while tried.len() < DISPATCHES {
            let now_ms = self.clock.now_ms();
            if now_ms >= inquiry.deadline_ms {
                return Err(Problem::TooLateToSend);
            }
            if !tried.is_empty() && !self.may_retry(now_ms, &inquiry.service) {
                break;
            }
            let Some(start) = self.find_start(inquiry, ticket, journey, &tried).await? else {
                break;
            };
            if start.backup.is_some() {
                self.metrics.running_copies.inc();
            }
            tried.push(start.chosen.clone());
            journey.placed(self.clock.now_ms());
            self.runs
                .place(ticket.cell, statement(inquiry, ticket, &start));
            let engine = start.chosen.upstream;
            let terms = Terms {
                until_ms: inquiry.deadline_ms,
                backup: start.backup.as_ref().map(|backup| backup.address),
                continuation: None,
            };
            match self.dispatch(inquiry, journey, start.chosen, terms).await {
                Ok(answer) if answer.response.status().is_success() && !answer.head.is_signed => {
                    return Err(Problem::Broken);
                }
                Ok(answer) => {
                    if answer.head.is_closing {
                        self.doubt(ticket.cell, engine);
                    }
                    return Ok((answer, start.backup));
                }
                Err(Failure::Unsent) => {
                    self.doubt(ticket.cell, engine);
                    problem = Problem::Unreachable;
                }
                Err(Failure::Shed) => problem = Problem::AllRefused,
                Err(Failure::Unknown) => return Err(Problem::Broken),
                Err(Failure::Overdue) => return Err(Problem::Timeout),
            }
        }
        Err(problem)
    }

    /// Whether this host, if it stops, stops after the generation has surely ended.
    fn can_finish(&self, inquiry: &Inquiry) -> bool {
        let (Some(ends_ms), Some(generation)) = (self.ends_ms(), &inquiry.generation) else {
            return true;
        };
        can_finish(self.clock.now_ms(), ends_ms, generation.output_limit_tokens)
    }

    /// Asks the cell's home until there is room; `None` where no engine is left to try.
    async fn find_start(
        &self,
        inquiry: &Inquiry,
        ticket: &Ticket,
        journey: &mut Journey,
        tried: &[Chosen],
    ) -> Result<Option<Start>, Problem> {
        let mut without: Vec<UpstreamKey> = tried.iter().map(|one| one.upstream).collect();
        let wait_ms = (inquiry.route.target_ms as f32 * WAIT_SHARE) as Millis;
        let until_ms = inquiry.deadline_ms.min(journey.arrived_ms + wait_ms);
        loop {
            let asked_ms = self.clock.now_ms();
            let is_last_call = asked_ms >= until_ms;
            let mut request = self.placement_request(inquiry, ticket, without.clone());
            if let Some(request) = &mut request {
                let waited_ms = asked_ms.saturating_sub(journey.arrived_ms);
                request.patience_ms = inquiry.route.target_ms.saturating_sub(waited_ms);
                request.is_last_call = is_last_call;
            }
            let placement = match &request {
                Some(request) => self.place(ticket.cell, request.clone()).await,
                None => Placement::NoEngine,
            };
            let now_ms = self.clock.now_ms();
            match placement {
                Placement::On {
                    engine,
                    backup,
                    seen,
                } => {
                    journey.seen(seen);
                    if let Some(chosen) = self.instances.take(now_ms, engine) {
                        let backup = backup.and_then(|backup| self.instances.find(backup));
                        return Ok(Some(Start { chosen, backup }));
                    }
                    without.push(engine);
                }
                Placement::Full { retry_after_ms } if is_last_call => {
                    return Err(Problem::Full { retry_after_ms });
                }
                Placement::Full { .. } => sleep(WAIT_PERIOD).await,
                Placement::TooLarge => return Err(Problem::TooLarge),
                Placement::NoEngine => {
                    let tried: Vec<_> = tried.iter().map(|one| one.key).collect();
                    let draw = rand::random();
                    let chosen = self
                        .instances
                        .choose(now_ms, &inquiry.service, &tried, draw);
                    return Ok(chosen.map(|chosen| Start {
                        chosen,
                        backup: None,
                    }));
                }
            }
        }
    }

    /// What the cell's home must know; `None` for a stream that isn't a generation.
    fn placement_request(
        &self,
        inquiry: &Inquiry,
        ticket: &Ticket,
        without: Vec<UpstreamKey>,
    ) -> Option<PlacementRequest> {
        let generation = inquiry.generation.as_ref()?;
        // Engines that don't state their memory are chosen by their load alone.
        let traits = self.engine_traits(&inquiry.service)?;
        if traits.memory_tokens == 0 {
            return None;
        }
        Some(PlacementRequest {
            run: ticket.run,
            host: self.host_key(),
            data_centre: centre_of(&self.settings.host.data_centre),
            prompt_tokens: generation.prompt_tokens,
            limit_tokens: generation.output_limit_tokens,
            hint_tokens: generation.length_hint_tokens,
            likeness: inquiry.likeness(),
            priority: inquiry.priority,
            patience_ms: inquiry.route.target_ms,
            is_last_call: false,
            without,
            can_back_up: traits.can_back_up,
        })
    }

    /// What engines of a service can do; `None` where its upstreams aren't engines.
    pub(crate) fn engine_traits(&self, service: &str) -> Option<EngineTraits> {
        let in_force = self.in_force()?;
        in_force.service(service)?.engine.clone()
    }
}

fn statement(inquiry: &Inquiry, ticket: &Ticket, start: &Start) -> RunStatement {
    let generation = inquiry.generation.clone().unwrap_or_default();
    RunStatement {
        run: ticket.run,
        engine: start.chosen.upstream,
        backup: start.backup.as_ref().map(|backup| backup.upstream),
        prompt_tokens: generation.prompt_tokens,
        out_tokens: 0,
        limit_tokens: generation.output_limit_tokens,
        hint_tokens: generation.length_hint_tokens,
    }
}

impl Ticket {
    fn new(gateway: Arc<Gateway>, inquiry: &Inquiry, id: &str) -> Self {
        let data_centre = &gateway.settings.host.data_centre;
        let run = run_of(id);
        Self {
            cell: gateway.cells.cell_for(&inquiry.service, data_centre, run),
            run,
            gateway,
        }
    }
}
