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

use crate::engine_stream::{EngineStream, StreamRead};
use crate::events::{EventBuffer, split};
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::instance::Destination;
use crate::migration::{Migration, Step};
use crate::runs::MigrationOrder;
use crate::start::{Attempts, StartedGeneration};
use crate::tracker::RequestTracker;

/// The part of the longest pause that is on time after which a silent engine is left for the running
/// copy elsewhere; the rest is for the other engine to go on. Engines that go dark reset nothing, and their
/// streams would be lost for want of a word, though copies stand.
const SILENCE_SHARE: f32 = 0.6;

/// How long a host that has just woken takes to read what had come meanwhile.
const LISTEN_MS: Millis = 4;

/// Counts a generation at its cell's home until it is dropped.
pub(crate) struct RunGuard {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) cell: CellKey,
    pub(crate) run: RunKey,
    /// Its answer has reached the caller to the end.
    pub(crate) is_whole: bool,
    /// From its placement to its first event.
    pub(crate) first_ms: Option<Millis>,
}

impl Drop for RunGuard {
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
    pub(crate) inbound: InboundRequest,
    pub(crate) tracker: RequestTracker,
    pub(crate) run_guard: RunGuard,
    pub(crate) attempts: Attempts,
    pub(crate) stream: EngineStream,
    pub(crate) events: EventBuffer,
    /// The last event that has reached the caller.
    pub(crate) last_event: Option<u64>,
    event_tokens: u32,
    orders: mpsc::Receiver<MigrationOrder>,
    pub(crate) handover: Handover,
    pub(crate) migration: Option<Migration>,
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
        inbound: InboundRequest,
        tracker: RequestTracker,
        run_guard: RunGuard,
        attempts: Attempts,
        started: StartedGeneration,
    ) -> Self {
        let StartedGeneration { answer, backup } = started;
        let gateway = run_guard.gateway.clone();
        let traits = gateway.engine_traits(&inbound.service);
        Self {
            orders: gateway.runs.begin(run_guard.run),
            event_tokens: traits.map_or(1, |traits| traits.event_tokens),
            status: answer.response.status().as_u16(),
            stream: EngineStream::new(gateway.clock.now_ms(), answer),
            events: EventBuffer::default(),
            last_event: inbound.last_event,
            handover: Handover::default(),
            migration: None,
            stopped: None,
            recoveries: 0,
            has_just_moved: false,
            is_whole: false,
            gateway,
            inbound,
            tracker,
            run_guard,
            attempts,
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
                Err(broken) => return Some(Err(self.fail("stream_gap", broken))),
            }
            let Some(next) = self.step().await else {
                return Some(Err(self.fail("stream_overdue", BodyBroken)));
            };
            let continues = match next {
                Next::Read | Next::AwaitCarry => true,
                Next::Finish => {
                    self.is_whole = true;
                    true
                }
                Next::GoOn => self.continue_after_stop().await || self.recover().await,
                Next::Recover => self.recover().await,
            };
            if !continues {
                return Some(Err(self.fail("stream_broken", BodyBroken)));
            }
        }
    }

    /// Waits for whatever comes first; `None` where the caller's time ran out.
    async fn step(&mut self) -> Option<Next> {
        let until_ms = self.inbound.deadline_ms;
        let left_ms = until_ms.saturating_sub(self.gateway.clock.now_ms());
        let reads = self.handover.reads();
        let lost = self.stream.in_flight.chosen.lost.clone();
        let silence = self.silence_left();
        let read = tokio::select! {
            biased;
            read = self.stream.read(&mut self.events, until_ms, &self.gateway), if reads => read,
            () = sleep(Duration::from_millis(left_ms)), if !reads => StreamRead::Overdue,
            () = lost.cancelled(), if reads => StreamRead::Broken,
            () = sleep(silence.unwrap_or_default()), if silence.is_some() => self.confirm_silence().await,
            Some(order) = self.orders.recv(), if self.handover.may_begin() => {
                self.begin(order);
                StreamRead::Bytes
            }
            step = Migration::step(&mut self.migration), if self.migration.is_some() => {
                return Some(self.advance(step));
            }
        };
        match read {
            StreamRead::Bytes => Some(Next::Read),
            StreamRead::End => Some(self.handover.end(StreamEnd::Whole)),
            StreamRead::Broken => Some(self.handover.end(StreamEnd::Broken)),
            StreamRead::Overdue => None,
        }
    }

    /// How long the engine may still be silent before its generation goes on from the running copy.
    fn silence_left(&self) -> Option<Duration> {
        let may_leave = self.backup.is_some() && self.handover.may_begin();
        let target_ms = self.inbound.route.gap_target_ms?;
        // What the engine before took, for a last copy or in silence, isn't this one's silence.
        let since_ms = self.tracker.last_event_ms()?.max(self.stream.since_ms);
        let until_ms = since_ms + (target_ms as f32 * SILENCE_SHARE) as Millis;
        let left_ms = until_ms.saturating_sub(self.gateway.clock.now_ms());
        may_leave.then(|| Duration::from_millis(left_ms))
    }

    /// Leaves a silent engine, unless it was this host that stood still: what had come meanwhile is read
    /// first, which takes the reader of the connection a moment.
    async fn confirm_silence(&mut self) -> StreamRead {
        let until_ms = self.gateway.clock.now_ms() + LISTEN_MS;
        let read = self.stream.read(&mut self.events, until_ms, &self.gateway);
        match read.await {
            StreamRead::Overdue => {
                self.leave_silent_engine().await;
                StreamRead::Bytes
            }
            read => read,
        }
    }

    fn fail(&mut self, outcome: &'static str, broken: BodyBroken) -> BodyBroken {
        self.stream.in_flight.note(Verdict::Failed);
        self.tracker.end(outcome, self.status);
        broken
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        if let Some(rest) = self.events.take_remainder() {
            return Some(Ok(rest));
        }
        self.stream.in_flight.note(Verdict::Good);
        if self.tracker.events > 0 {
            self.gateway.note_success(&self.inbound);
        }
        self.run_guard.is_whole = self.tracker.events > 0 && self.inbound.last_event.is_none();
        self.run_guard.first_ms = self.tracker.first_after_placed_ms();
        self.tracker.end("answered", self.status);
        None
    }

    /// CompleteAnswer events that the caller doesn't have yet.
    ///
    /// An engine that goes on with a generation may begin with events that are out already; passed
    /// on they would come twice. One that begins too late would leave a hole, and a stream that is
    /// visibly broken is better than that.
    fn take_events(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        let Some(piece) = self.events.take_complete() else {
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
        if let Some(pause_ms) = self.tracker.record_events(now_ms, events) {
            let metrics = &self.gateway.metrics;
            metrics.pause_ms.observe(pause_ms as f64);
            let target_ms = self.inbound.route.gap_target_ms;
            let is_stall = target_ms.is_some_and(|target_ms| pause_ms > target_ms);
            if is_stall && !std::mem::take(&mut self.has_just_moved) {
                metrics.stalls.inc();
            }
        }
        let out_tokens = self.tracker.events * self.event_tokens;
        let runs = &self.gateway.runs;
        runs.update(self.run_guard.run, |statement| {
            statement.out_tokens = out_tokens
        });
    }

    fn begin(&mut self, order: MigrationOrder) {
        let control = self.gateway.control.clone();
        let source = self.stream.address();
        let id = self.tracker.id.clone();
        self.handover.begin();
        self.migration = Some(Migration::begin(control, source, id, order));
    }

    /// Takes what a migration has come to.
    fn advance(&mut self, step: Step) -> Next {
        let answer = match step {
            Step::Copied => return self.handover.step(CarryStep::Copied),
            Step::Stopped { to, copy } => {
                self.stopped = Some(Stopped { to: Some(to), copy });
                return self.handover.step(CarryStep::Stopped);
            }
            Step::StoppedAtSource { copy } => {
                self.stopped = Some(Stopped { to: None, copy });
                return self.handover.step(CarryStep::Stopped);
            }
            Step::Stayed => MigrationAnswer::Stayed,
            Step::Refused => MigrationAnswer::Refused,
            // Before the first event it still waits inside its engine, and there is no copy.
            Step::NotFound if self.tracker.events == 0 => MigrationAnswer::Stayed,
            Step::NotFound | Step::Orphaned => MigrationAnswer::LeftBehind,
        };
        let next = self.handover.step(CarryStep::NotStopped);
        let has_copy = self.migration.as_ref().is_some_and(Migration::has_copy);
        // An engine that was lost before it could stop the generation leaves the first copy, and
        // there may be no other.
        if next != Next::Recover || !has_copy {
            self.end_migration(answer);
        }
        next
    }

    pub(crate) fn end_migration(&mut self, answer: MigrationAnswer) {
        if let Some(migration) = self.migration.take() {
            info!(
                "moves: request {} to {}: {answer:?}",
                self.tracker.id,
                migration.destination()
            );
            migration.answer(answer);
        }
    }
}

impl Drop for Relay {
    /// The generation is over, or its caller has left, while a copy of it is made.
    fn drop(&mut self) {
        if let Some(migration) = self.migration.take() {
            migration.discard(MigrationAnswer::Over);
        }
    }
}
