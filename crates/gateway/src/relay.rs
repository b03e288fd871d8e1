//! One generation on its way to its caller, on one engine after another if need be.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarpath_http::BodyBroken;
use fulmarpath_policy::{CarryStep, Handover, Millis, Next, RunEnd, RunKey, StreamEnd, Verdict};
use fulmarpath_wire::{CellKey, MigrationAnswer};
use spdlog::info;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::carry::{Carrying, Step};
use crate::events::{Events, split};
use crate::gateway::Gateway;
use crate::instance::Destination;
use crate::intake::Inquiry;
use crate::journey::Journey;
use crate::runs::CarryOrder;
use crate::source::{Heard, Source};
use crate::start::{Started, Tries};

/// The part of the longest pause that is on time after which a silent engine is left for the running
/// copy elsewhere; the rest is for the other engine to go on. Engines that go dark reset nothing, and their
/// streams would be lost for want of a word, though copies stand.
const SILENCE_SHARE: f32 = 0.6;

/// How long a host that has just woken takes to read what had come meanwhile.
const LISTEN_MS: Millis = 4;

/// Counts a generation at its cell's home until it is dropped.
pub(crate) struct Ticket {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) cell: CellKey,
    pub(crate) run: RunKey,
    /// Its answer has reached the caller to the end.
    pub(crate) is_whole: bool,
    /// From its placement to its first event.
    pub(crate) first_ms: Option<Millis>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let out_tokens = self.gateway.runs.remove(self.run);
        let end = RunEnd {
            out_tokens: out_tokens.unwrap_or_default(),
            is_whole: self.is_whole,
            first_ms: self.first_ms,
        };
        self.gateway.tell_end(self.cell, self.run, end);
    }
}

/// A generation that its engine has stopped.
pub(crate) struct Stopped {
    /// The engine that holds its memory; `None` where that is still its own.
    pub(crate) to: Option<Destination>,
    /// Names the memory.
    pub(crate) copy: String,
}

/// One generation on its way to its caller.
pub(crate) struct Relay {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) inquiry: Inquiry,
    pub(crate) journey: Journey,
    pub(crate) ticket: Ticket,
    pub(crate) tries: Tries,
    pub(crate) source: Source,
    pub(crate) events: Events,
    /// The last event that has reached the caller.
    pub(crate) last_event: Option<u64>,
    event_tokens: u32,
    orders: mpsc::Receiver<CarryOrder>,
    pub(crate) handover: Handover,
    pub(crate) carrying: Option<Carrying>,
    /// Set between a stop and the continuation after it.
    pub(crate) stopped: Option<Stopped>,
    pub(crate) backup: Option<Destination>,
    pub(crate) recoveries: u32,
    /// The next event is the first from another engine.
    pub(crate) has_just_moved: bool,
    /// The engine has ended its answer as it should.
    is_whole: bool,
    status: u16,
}

impl Relay {
    pub(crate) fn new(
        inquiry: Inquiry,
        journey: Journey,
        ticket: Ticket,
        tries: Tries,
        started: Started,
    ) -> Self {
        let Started { answer, backup } = started;
        let gateway = ticket.gateway.clone();
        let traits = gateway.engine_traits(&inquiry.service);
        Self {
            orders: gateway.runs.begin(ticket.run),
            event_tokens: traits.map_or(1, |traits| traits.event_tokens),
            status: answer.response.status().as_u16(),
            source: Source::new(gateway.clock.now_ms(), answer),
            events: Events::default(),
            last_event: inquiry.last_event,
            handover: Handover::default(),
            carrying: None,
            stopped: None,
            recoveries: 0,
            has_just_moved: false,
            is_whole: false,
            gateway,
            inquiry,
            journey,
            ticket,
            tries,
            backup,
        }
    }

    /// The next whole events; `None` behind the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        loop {
            match self.take_events() {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) if self.is_whole => return self.finish(),
                Ok(None) => {}
                Err(broken) => return Some(Err(self.give_up("stream_gap", broken))),
            }
            let Some(next) = self.step().await else {
                return Some(Err(self.give_up("stream_overdue", BodyBroken)));
            };
            let goes_on = match next {
                Next::Read | Next::AwaitCarry => true,
                Next::Finish => {
                    self.is_whole = true;
                    true
                }
                Next::GoOn => self.go_on_after_stop().await || self.recover().await,
                Next::Recover => self.recover().await,
            };
            if !goes_on {
                return Some(Err(self.give_up("stream_broken", BodyBroken)));
            }
        }
    }

    /// Waits for whatever comes first; `None` where the caller's time ran out.
    async fn step(&mut self) -> Option<Next> {
        let until_ms = self.inquiry.deadline_ms;
        let left_ms = until_ms.saturating_sub(self.gateway.clock.now_ms());
        let reads = self.handover.reads();
        let lost = self.source.flight.chosen.lost.clone();
        let silence = self.silence_left();
        let heard = tokio::select! {
            biased;
            heard = self.source.hear(&mut self.events, until_ms, &self.gateway), if reads => heard,
            () = sleep(Duration::from_millis(left_ms)), if !reads => Heard::Overdue,
            () = lost.cancelled(), if reads => Heard::Broken,
            () = sleep(silence.unwrap_or_default()), if silence.is_some() => self.hear_once_more().await,
            Some(order) = self.orders.recv(), if self.handover.may_begin() => {
                self.begin(order);
                Heard::Bytes
            }
            step = Carrying::step(&mut self.carrying), if self.carrying.is_some() => {
                return Some(self.advance(step));
            }
        };
        match heard {
            Heard::Bytes => Some(Next::Read),
            Heard::End => Some(self.handover.end(StreamEnd::Whole)),
            Heard::Broken => Some(self.handover.end(StreamEnd::Broken)),
            Heard::Overdue => None,
        }
    }

    /// How long the engine may still be silent before its generation goes on from the running copy.
    fn silence_left(&self) -> Option<Duration> {
        let may_leave = self.backup.is_some() && self.handover.may_begin();
        let target_ms = self.inquiry.route.gap_target_ms?;
        // What the engine before took, for a last copy or in silence, isn't this one's silence.
        let since_ms = self.journey.last_event_ms()?.max(self.source.since_ms);
        let until_ms = since_ms + (target_ms as f32 * SILENCE_SHARE) as Millis;
        let left_ms = until_ms.saturating_sub(self.gateway.clock.now_ms());
        may_leave.then(|| Duration::from_millis(left_ms))
    }

    /// Leaves a silent engine, unless it was this host that stood still: what had come meanwhile is read
    /// first, which takes the reader of the connection a moment.
    async fn hear_once_more(&mut self) -> Heard {
        let until_ms = self.gateway.clock.now_ms() + LISTEN_MS;
        let heard = self.source.hear(&mut self.events, until_ms, &self.gateway);
        match heard.await {
            Heard::Overdue => {
                self.leave_silent().await;
                Heard::Bytes
            }
            heard => heard,
        }
    }

    fn give_up(&mut self, outcome: &'static str, broken: BodyBroken) -> BodyBroken {
        self.source.flight.note(Verdict::Failed);
        self.journey.end(outcome, self.status);
        broken
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        if let Some(rest) = self.events.take_rest() {
            return Some(Ok(rest));
        }
        self.source.flight.note(Verdict::Good);
        if self.journey.events > 0 {
            self.gateway.note_success(&self.inquiry);
        }
        self.ticket.is_whole = self.journey.events > 0 && self.inquiry.last_event.is_none();
        self.ticket.first_ms = self.journey.first_after_placed_ms();
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
        self.handover.begin();
        self.carrying = Some(Carrying::begin(control, source, id, order));
    }

    /// Takes what a carry has come to.
    fn advance(&mut self, step: Step) -> Next {
        let answer = match step {
            Step::Copied => return self.handover.step(CarryStep::Copied),
            Step::Stopped { to, copy } => {
                self.stopped = Some(Stopped { to: Some(to), copy });
                return self.handover.step(CarryStep::Stopped);
            }
            Step::StoppedHere { copy } => {
                self.stopped = Some(Stopped { to: None, copy });
                return self.handover.step(CarryStep::Stopped);
            }
            Step::Stayed => MigrationAnswer::Stayed,
            Step::Refused => MigrationAnswer::Refused,
            // Before the first event it still waits inside its engine, and there is no copy.
            Step::NotThere if self.journey.events == 0 => MigrationAnswer::Stayed,
            Step::NotThere | Step::LeftBehind => MigrationAnswer::LeftBehind,
        };
        let next = self.handover.step(CarryStep::NotStopped);
        let has_copy = self.carrying.as_ref().is_some_and(Carrying::has_copy);
        // An engine that was lost before it could stop the generation leaves the first copy, and
        // there may be no other.
        if next != Next::Recover || !has_copy {
            self.end_carry(answer);
        }
        next
    }

    pub(crate) fn end_carry(&mut self, answer: MigrationAnswer) {
        if let Some(carrying) = self.carrying.take() {
            info!(
                "moves: request {} to {}: {answer:?}",
                self.journey.id,
                carrying.destination()
            );
            carrying.answer(answer);
        }
    }
}

impl Drop for Relay {
    /// The generation is over, or its caller has left, while a copy of it is made.
    fn drop(&mut self) {
        if let Some(carrying) = self.carrying.take() {
            carrying.abandon(MigrationAnswer::Over);
        }
    }
}
