//! One generation on its way to its caller, on one engine after another if need be.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarpath_http::{BodyBroken, Connection};
use fulmarpath_policy::{Millis, RunKey, Verdict};
use fulmarpath_wire::{CarryAnswer, CellKey};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use spdlog::info;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::attempt::{Answer, Terms};
use crate::carry::{Carrying, Step};
use crate::events::{Events, split};
use crate::gateway::Gateway;
use crate::head::Continuation;
use crate::instances::Destination;
use crate::intake::Inquiry;
use crate::journey::{Flight, Journey};
use crate::key::upstream_of;
use crate::runs::CarryOrder;

/// A stopped engine closes its stream just before it answers; what was on its way is there within
/// a way between data centres.
const DRAIN_MS: Millis = 12;
/// How often a generation may break and go on: each costs its caller a pause.
const RECOVERIES: u32 = 3;

/// Counts a generation at its cell's home until it is dropped.
pub(crate) struct Ticket {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) cell: CellKey,
    pub(crate) run: RunKey,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gateway.runs.remove(self.run);
        self.gateway.tell_end(self.cell, self.run);
    }
}

/// The engine's side of a relay.
struct Source {
    flight: Flight,
    body: Incoming,
    _connection: Connection,
    /// Nothing more comes from it.
    is_over: bool,
}

impl Source {
    fn new(answer: Answer) -> Self {
        Self {
            flight: answer.flight,
            body: answer.response.into_body(),
            _connection: answer.connection,
            is_over: false,
        }
    }

    fn address(&self) -> SocketAddr {
        self.flight.chosen.address
    }
}

/// What came from an engine.
enum Heard {
    Bytes,
    End,
    Broken,
    Overdue,
}

/// One generation on its way to its caller.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    inquiry: Inquiry,
    journey: Journey,
    ticket: Ticket,
    source: Source,
    events: Events,
    last_event: Option<u64>,
    event_tokens: u32,
    orders: mpsc::Receiver<CarryOrder>,
    carrying: Option<Carrying>,
    backup: Option<Destination>,
    recoveries: u32,
    /// The next event is the first from another engine.
    has_just_moved: bool,
    status: u16,
}

impl Relay {
    pub(crate) fn new(
        inquiry: Inquiry,
        journey: Journey,
        ticket: Ticket,
        answer: Answer,
        backup: Option<Destination>,
    ) -> Self {
        let gateway = ticket.gateway.clone();
        let traits = gateway.engine_traits(&inquiry.service);
        Self {
            orders: gateway.runs.begin(ticket.run),
            event_tokens: traits.map_or(1, |traits| traits.event_tokens),
            status: answer.response.status().as_u16(),
            source: Source::new(answer),
            events: Events::default(),
            last_event: None,
            carrying: None,
            recoveries: 0,
            has_just_moved: false,
            gateway,
            inquiry,
            journey,
            ticket,
            backup,
        }
    }

    /// The next whole events; `None` behind the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        loop {
            match self.take_events() {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) => {}
                Err(broken) => return Some(Err(self.give_up("stream_gap", broken))),
            }
            let heard = tokio::select! {
                heard = hear(&mut self.source, &mut self.events, self.inquiry.deadline_ms, &self.gateway),
                    if !self.source.is_over => heard,
                Some(order) = self.orders.recv(), if self.carrying.is_none() => {
                    self.begin(order);
                    continue;
                }
                step = Carrying::step(&mut self.carrying), if self.carrying.is_some() => {
                    if self.advance(step).await {
                        continue;
                    }
                    Heard::Broken
                }
            };
            match heard {
                Heard::Bytes => {}
                Heard::End if self.is_stopping() => self.source.is_over = true,
                Heard::End => return self.finish(),
                Heard::Overdue => return Some(Err(self.give_up("stream_overdue", BodyBroken))),
                Heard::Broken if self.is_stopping() => self.source.is_over = true,
                Heard::Broken => {
                    if !self.recover().await {
                        return Some(Err(self.give_up("stream_broken", BodyBroken)));
                    }
                }
            }
        }
    }

    /// Whether the engine has been told to stop the generation, whereupon it ends its stream.
    fn is_stopping(&self) -> bool {
        self.carrying.as_ref().is_some_and(Carrying::is_stopping)
    }

    fn give_up(&mut self, outcome: &'static str, broken: BodyBroken) -> BodyBroken {
        self.source.flight.judge(Verdict::Failed);
        self.journey.end(outcome, self.status);
        broken
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        if let Some(rest) = self.events.take_rest() {
            return Some(Ok(rest));
        }
        self.source.flight.judge(Verdict::Good);
        self.journey.end("answered", self.status);
        None
    }

    /// Whole events that the caller doesn't have yet.
    ///
    /// An engine that goes on with a generation may begin with events that are out already; passed
    /// on they would come twice. One that begins too late would leave a hole, and a stream that is
    /// visibly broken is better than that.
    fn take_events(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        let Some(piece) = self.events.take_whole() else {
            return Ok(None);
        };
        let mut fresh = BytesMut::new();
        let mut count = 0;
        for event in split(&piece) {
            let number = self.gateway.dialect.event_number(&event);
            if let (Some(number), Some(last)) = (number, self.last_event) {
                if number <= last {
                    continue;
                }
                if number > last + 1 {
                    return Err(BodyBroken);
                }
            }
            self.last_event = number.or(self.last_event);
            count += 1;
            fresh.extend_from_slice(&event);
        }
        if fresh.is_empty() {
            return Ok(None);
        }
        self.note_progress(count);
        Ok(Some(fresh.freeze()))
    }

    fn note_progress(&mut self, events: u32) {
        let now_ms = self.gateway.clock.now_ms();
        if let Some(pause_ms) = self.journey.pass_on(now_ms, events) {
            let metrics = &self.gateway.metrics;
            metrics.pause_ms.observe(pause_ms as f64);
            let target_ms = self.inquiry.route.gap_target_ms;
            let is_stall = target_ms.is_some_and(|target_ms| pause_ms > target_ms);
            if is_stall && !std::mem::take(&mut self.has_just_moved) {
                metrics.stalls.inc();
            }
        }
        let out_tokens = self.journey.events * self.event_tokens;
        let runs = &self.gateway.runs;
        runs.update(self.ticket.run, |statement| {
            statement.out_tokens = out_tokens
        });
    }

    fn begin(&mut self, order: CarryOrder) {
        let control = self.gateway.control.clone();
        let source = self.source.address();
        let id = self.journey.id.clone();
        self.carrying = Some(Carrying::begin(control, source, id, order));
    }

    /// Takes a step of a carry; false where the stream is broken by it.
    async fn advance(&mut self, step: Step) -> bool {
        match step {
            Step::Copied => true,
            Step::Stayed => self.end_carry(CarryAnswer::Stayed),
            Step::Refused => self.end_carry(CarryAnswer::Refused),
            Step::LeftBehind => self.end_carry(CarryAnswer::LeftBehind),
            // Before the first event it still waits inside its engine, and there is no copy.
            Step::NotThere if self.last_event.is_none() => self.end_carry(CarryAnswer::Stayed),
            Step::NotThere => self.end_carry(CarryAnswer::LeftBehind),
            Step::Stopped { to, copy } => {
                self.drain().await;
                let here = self.here();
                // The destination has all of it; if it refuses, the source still has its memory.
                let went_on = self.go_on(&to, self.source.address(), &copy).await;
                let answer = match went_on {
                    true => CarryAnswer::Moved,
                    false => CarryAnswer::Stayed,
                };
                let goes_on = went_on || self.go_on(&here, here.address, &copy).await;
                self.end_carry(answer);
                goes_on
            }
            Step::StoppedHere { copy } => {
                self.drain().await;
                let here = self.here();
                let goes_on = self.go_on(&here, here.address, &copy).await;
                self.end_carry(CarryAnswer::Stayed);
                goes_on
            }
        }
    }

    fn end_carry(&mut self, answer: CarryAnswer) -> bool {
        if let Some(carrying) = self.carrying.take() {
            info!(
                "moves: request {} to {}: {answer:?}",
                self.journey.id,
                carrying.destination()
            );
            carrying.answer(answer);
        }
        true
    }

    fn here(&self) -> Destination {
        Destination {
            upstream: upstream_of(&self.source.flight.chosen.instance),
            address: self.source.address(),
        }
    }

    /// Reads what a stopped engine still has on its way.
    async fn drain(&mut self) {
        let until_ms = self.gateway.clock.now_ms() + DRAIN_MS;
        while !self.source.is_over {
            let heard = hear(&mut self.source, &mut self.events, until_ms, &self.gateway).await;
            self.source.is_over = !matches!(heard, Heard::Bytes);
        }
    }

    /// Goes on after an engine was lost: from the running copy of its memory, or from the copy that
    /// a carry had made so far.
    async fn recover(&mut self) -> bool {
        self.source.flight.judge(Verdict::Failed);
        self.recoveries += 1;
        if self.recoveries > RECOVERIES {
            return false;
        }
        let lost = self.here();
        self.gateway.doubt(self.ticket.cell, lost.upstream);
        if let Some(carrying) = self.carrying.take() {
            let went_on = match carrying.copied() {
                Some((to, copy)) => self.go_on(&to, lost.address, &copy).await,
                None => false,
            };
            if went_on {
                carrying.answer(CarryAnswer::Moved);
                return true;
            }
            carrying.abandon(CarryAnswer::Over);
        }
        let Some(backup) = self.backup.take() else {
            return false;
        };
        let id = self.journey.id.clone();
        self.go_on(&backup, backup.address, &id).await
    }

    /// Asks an engine to go on from a copy; true where it does.
    async fn go_on(&mut self, at: &Destination, source: SocketAddr, copy: &str) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let chosen = self.gateway.instances.take_again(now_ms, at.upstream);
        let Some(chosen) = chosen else { return false };
        let backup = self.backup.clone().filter(|backup| backup != at);
        // A part of an event is of no use to the caller: the engine that goes on sends it whole.
        self.events.take_rest();
        let terms = Terms {
            until_ms: self.inquiry.deadline_ms,
            backup: backup.as_ref().map(|backup| backup.address),
            continuation: Some(Continuation {
                source,
                copy: copy.to_owned(),
                last_event: self.last_event,
            }),
        };
        let gateway = self.gateway.clone();
        let sent = gateway.dispatch(&self.inquiry, &mut self.journey, chosen, terms);
        let answer = match sent.await {
            Ok(answer) if answer.response.status().is_success() => answer,
            Ok(_) | Err(_) => {
                gateway.metrics.continuation("no");
                return false;
            }
        };
        gateway.metrics.continuation("yes");
        self.has_just_moved = true;
        info!(
            "moves: request {} goes on at {} after event {:?}, {} ms",
            self.journey.id,
            answer.flight.chosen.instance,
            self.last_event,
            gateway.clock.now_ms().saturating_sub(now_ms)
        );
        self.source = Source::new(answer);
        self.backup = backup;
        let backup = self.backup.as_ref().map(|backup| backup.upstream);
        gateway.runs.update(self.ticket.run, |statement| {
            statement.engine = at.upstream;
            statement.backup = backup;
        });
        true
    }
}

impl Drop for Relay {
    /// The generation is over, or its caller has left, while a copy of it is made.
    fn drop(&mut self) {
        if let Some(carrying) = self.carrying.take() {
            carrying.abandon(CarryAnswer::Over);
        }
    }
}

async fn hear(
    source: &mut Source,
    events: &mut Events,
    until_ms: Millis,
    gateway: &Gateway,
) -> Heard {
    let left_ms = until_ms.saturating_sub(gateway.clock.now_ms());
    let frame = timeout(Duration::from_millis(left_ms), source.body.frame()).await;
    match frame {
        Ok(Some(Ok(frame))) => {
            push(events, &frame);
            Heard::Bytes
        }
        Ok(None) => Heard::End,
        Ok(Some(Err(_))) => Heard::Broken,
        Err(_) => Heard::Overdue,
    }
}

fn push(events: &mut Events, frame: &Frame<Bytes>) {
    if let Some(data) = frame.data_ref() {
        events.push(data);
    }
}
