//! Relays one generation to its caller, across migrations and failovers between engines.

mod abandoned_run;
pub(crate) mod early_dial;
pub(crate) mod engine_stream;
pub(crate) mod events;
pub(crate) mod framing;
mod migrate;
pub(crate) mod migration;
pub(crate) mod pause;
pub(crate) mod recovery;
pub(crate) mod response;
pub(crate) mod response_buffer;
pub(crate) mod stream;
pub(crate) mod stream_buffer;

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarpath_http::BodyInterrupted;
use fulmarpath_policy::{
    EventIntervals, Handover, Millis, NextStep, RunKey, StreamEnd, Verdict, has_proved_sound,
};
use fulmarpath_wire::CellKey;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::cells::runs::MigrationOrder;
use crate::control::{CompletedCopy, CopyError};
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::relay::abandoned_run::StopHandle;
use crate::relay::engine_stream::{EngineStream, StreamRead};
use crate::relay::events::{EventBuffer, split_events};
use crate::relay::migration::Migration;
use crate::relay::pause::Pause;
use crate::start::{Attempts, StartedGeneration};
use crate::tracker::RequestTracker;
use crate::upstreams::instance::Destination;

/// Fraction of the route's gap target after which a silent engine is abandoned for the running copy
/// on another engine. The remainder is for the other engine to resume. An engine that loses power
/// or its network resets no connection, so without this its streams would be lost although copies
/// of them exist.
const SILENCE_FRACTION: f32 = 0.6;

/// How long after its deadline a stream is still read, for bytes that arrived before.
const LATE_READ_MS: Millis = 200;

/// Time to read the bytes that arrived while this host itself was suspended.
const RESUME_READ_MS: Millis = 4;

/// Reports the end of a generation to its cell's home when dropped.
pub(crate) struct RunGuard {
    pub(crate) gateway: Arc<Gateway>,
    /// The cell in which it arrived.
    pub(crate) cell: CellKey,
    pub(crate) run: RunKey,
    /// The complete response has reached the caller.
    pub(crate) is_complete: bool,
    /// Time from the placement to the first event.
    pub(crate) first_ms: Option<Millis>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.gateway
            .report_end(self.cell, self.run, self.is_complete, self.first_ms);
    }
}

/// A generation that its engine has stopped for a migration.
pub(crate) struct StoppedGeneration {
    /// The engine that holds its KV cache; `None` if that is still the source.
    pub(crate) to: Option<Destination>,
    /// Identifies the copy of the KV cache.
    pub(crate) copy_id: String,
    /// Events that the generation had produced; `None` if that is not known.
    pub(crate) events: Option<u64>,
    /// The engine has not confirmed that it has stopped the generation.
    pub(crate) is_unconfirmed: bool,
    /// Whether what was in transit on its stream has been read.
    pub(crate) is_drained: bool,
}

impl StoppedGeneration {
    pub(crate) fn new(to: Option<Destination>, copy_id: String, events: Option<u64>) -> Self {
        Self {
            to,
            copy_id,
            events,
            is_unconfirmed: false,
            is_drained: false,
        }
    }

    /// The generation if the engine has confirmed that it stopped it for a copy to `to`.
    pub(crate) fn confirmed(
        result: Result<CompletedCopy, CopyError>,
        to: Destination,
    ) -> Option<Self> {
        match result {
            Ok(CompletedCopy { copy_id, events }) => {
                Some(Self::new(Some(to), copy_id, Some(events)))
            }
            Err(CopyError::NoRoom {
                copy_id: Some(copy_id),
            }) => Some(Self::new(None, copy_id, None)),
            Err(_) => None,
        }
    }
}

/// One generation that is relayed to its caller.
pub(crate) struct Relay {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) inbound: InboundRequest,
    pub(crate) tracker: RequestTracker,
    pub(crate) run_guard: RunGuard,
    pub(crate) attempts: Attempts,
    pub(crate) stream: EngineStream,
    pub(crate) events: EventBuffer,
    /// The last event that has been sent to the caller.
    pub(crate) last_event: Option<u64>,
    event_tokens: u32,
    orders: mpsc::Receiver<MigrationOrder>,
    pub(crate) handover: Handover,
    pub(crate) migration: Option<Migration>,
    /// How long its events take.
    pub(crate) intervals: EventIntervals,
    /// Set between a stop and the resumption after it.
    pub(crate) stopped: Option<StoppedGeneration>,
    /// The pause of a migration, until the next event.
    pub(crate) pause: Option<Pause>,
    pub(crate) backup: Option<Destination>,
    pub(crate) recoveries: u32,
    /// Engines that were abandoned and are asked to stop the generation.
    stops: Vec<StopHandle>,
    /// When the link to the engine was last checked because the engine was silent.
    pub(crate) link_checked_ms: Millis,
    /// The next event is the first from a different engine.
    pub(crate) has_just_switched: bool,
    /// The request is known to crash no upstream.
    is_proved_sound: bool,
    /// The engine has ended its response normally.
    is_complete: bool,
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
        let StartedGeneration { response, backup } = started;
        let gateway = run_guard.gateway.clone();
        let traits = gateway.engine_traits(&inbound.service);
        Self {
            orders: gateway.runs.begin(run_guard.run),
            event_tokens: traits.map_or(1, |traits| traits.event_tokens),
            status: response.http.status().as_u16(),
            stream: EngineStream::new(gateway.clock.now_ms(), response),
            events: gateway.stream_buffers.event_buffer(),
            last_event: inbound.last_event,
            handover: Handover::default(),
            migration: None,
            intervals: EventIntervals::default(),
            stopped: None,
            pause: None,
            recoveries: 0,
            stops: Vec::new(),
            link_checked_ms: 0,
            has_just_switched: false,
            is_proved_sound: false,
            is_complete: false,
            gateway,
            inbound,
            tracker,
            run_guard,
            attempts,
            backup,
        }
    }

    /// The next complete events; `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        loop {
            match self.take_events() {
                Ok(Some(events)) => {
                    self.stop_after_event();
                    return Some(Ok(events));
                }
                Ok(None) if self.is_complete => return self.finish(),
                Ok(None) => {}
                Err(broken) => return Some(Err(self.fail("stream_gap", broken))),
            }
            let next = match self.stopped.is_some() {
                true => Ok(NextStep::Resume),
                false => self.step().await,
            };
            let next = match next {
                Ok(next) => next,
                Err(outcome) => return Some(Err(self.fail(outcome, BodyInterrupted))),
            };
            let continues = match next {
                NextStep::Read | NextStep::AwaitMigration => true,
                NextStep::Finish => self.complete().await || self.recover().await,
                NextStep::Resume if self.needs_drain() => {
                    self.drain().await;
                    true
                }
                NextStep::Resume => self.resume_after_stop().await || self.recover().await,
                NextStep::Recover => self.recover().await,
            };
            if !continues {
                return Some(Err(self.fail("stream_broken", BodyInterrupted)));
            }
        }
    }

    /// Waits for data from the engine, a migration order, the end of a migration step or a timeout,
    /// whichever is first; the outcome of the stream if it is not to go on.
    async fn step(&mut self) -> Result<NextStep, &'static str> {
        let now_ms = self.gateway.clock.now_ms();
        let until_ms = self.inbound.deadline_ms;
        // Bytes that are always ready don't let the time limit of a read pass.
        if now_ms > until_ms.saturating_add(LATE_READ_MS) {
            return Err("stream_overdue");
        }
        let left_ms = until_ms.saturating_sub(now_ms);
        let reads = self.handover.is_stream_open();
        let lost = self.stream.in_flight.chosen.lost.clone();
        let silence = self.silence_left();
        let read = tokio::select! {
            biased;
            read = self.stream.read(&mut self.events, until_ms, &self.gateway), if reads => read,
            () = sleep(Duration::from_millis(left_ms)), if !reads => StreamRead::TimedOut,
            () = lost.cancelled(), if reads => StreamRead::Broken,
            () = sleep(silence.unwrap_or_default()), if silence.is_some() => {
                self.confirm_silence().await
            }
            Some(order) = self.orders.recv(), if self.handover.can_begin_migration() => {
                self.begin_migration(order);
                StreamRead::Bytes
            }
            outcome = Migration::step(&mut self.migration, now_ms), if self.migration.is_some() => {
                return Ok(self.advance(outcome));
            }
        };
        let name = match read {
            StreamRead::Bytes => return Ok(NextStep::Read),
            StreamRead::TimedOut => return Err("stream_overdue"),
            StreamRead::EventTooLong => {
                self.tracker.end_stream("event_too_long");
                return Err("event_too_long");
            }
            StreamRead::End => return Ok(self.handover.end_stream(StreamEnd::Complete)),
            StreamRead::Stopped => return Ok(NextStep::Resume),
            StreamRead::EndInEvent => "in_event",
            StreamRead::Broken => "interrupted",
        };
        self.tracker.end_stream(name);
        Ok(self.handover.end_stream(StreamEnd::Broken))
    }

    /// Takes the stream as complete if its engine has sent something, and if that still runs where
    /// nothing but the end of its connection frames the stream.
    async fn complete(&mut self) -> bool {
        let engine = self.stream.in_flight.chosen.clone();
        let service = &self.inbound.service;
        let is_empty = self.tracker.events == 0 && self.stream.first_bytes_ms.is_none();
        self.is_complete = match self.stream.ends_with_connection() {
            true => !is_empty && self.gateway.is_upstream_running(service, &engine).await,
            false => !is_empty || self.inbound.may_have_no_events(),
        };
        self.tracker.end_stream(match self.is_complete {
            true => "complete",
            false => "engine_ended",
        });
        self.is_complete
    }

    /// How long the engine may stay silent before the generation resumes from the running copy, or
    /// the link to the engine is checked.
    fn silence_left(&self) -> Option<Duration> {
        if !self.handover.can_begin_migration() {
            return None;
        }
        let target_ms = self.inbound.route.gap_target_ms?;
        // Time spent by the previous engine, for a final copy or in silence, does not count as this
        // engine's silence.
        let since_ms = self
            .tracker
            .last_event_ms()?
            .max(self.stream.response_at_ms);
        let until_ms = match self.backup {
            Some(_) => since_ms + (target_ms as f32 * SILENCE_FRACTION) as Millis,
            None => self.link_check_ms(since_ms, target_ms),
        };
        let left_ms = until_ms.saturating_sub(self.gateway.clock.now_ms());
        Some(Duration::from_millis(left_ms))
    }

    /// Abandons a silent engine, unless this host itself was suspended: bytes that arrived
    /// meanwhile are read first, for which the connection's reader needs a moment.
    async fn confirm_silence(&mut self) -> StreamRead {
        let until_ms = self.gateway.clock.now_ms() + RESUME_READ_MS;
        let read = self.stream.read(&mut self.events, until_ms, &self.gateway);
        match read.await {
            StreamRead::TimedOut if self.backup.is_some() => {
                self.fail_over_from_silent_engine().await;
                StreamRead::Bytes
            }
            StreamRead::TimedOut if self.stop_over_tunnel().await => StreamRead::Stopped,
            StreamRead::TimedOut => StreamRead::Bytes,
            read => read,
        }
    }

    fn fail(&mut self, outcome: &'static str, broken: BodyInterrupted) -> BodyInterrupted {
        self.stream.in_flight.set_verdict(Verdict::Failed);
        self.tracker.end(outcome, self.status);
        broken
    }

    /// Passes on what follows the last event, such as an empty line, and then ends the response.
    fn finish(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        if let Some(remainder) = self.events.take_remainder() {
            return Some(Ok(remainder));
        }
        self.stream.in_flight.set_verdict(Verdict::Good);
        if self.tracker.events > 0 {
            self.note_success();
        }
        self.run_guard.is_complete = self.tracker.events > 0 && self.inbound.last_event.is_none();
        self.run_guard.first_ms = self.tracker.first_after_placed_ms();
        self.tracker.end("answered", self.status);
        None
    }

    /// Takes the complete events that the caller does not have yet.
    ///
    /// An engine that resumes a generation may begin with events that were already sent; these are
    /// dropped to prevent duplicates. If it begins too late, events are missing, and a visibly
    /// broken stream is better than one with a gap.
    fn take_events(&mut self) -> Result<Option<Bytes>, BodyInterrupted> {
        let Some(piece) = self.events.take_complete() else {
            return Ok(None);
        };
        let mut fresh = BytesMut::new();
        let mut count = 0;
        for event in split_events(&piece) {
            if self.stream.is_chunk_size(&event) {
                return Err(BodyInterrupted);
            }
            let number = self.gateway.dialect.event_number(&event);
            if let (Some(number), Some(last)) = (number, self.last_event) {
                if number <= last {
                    continue;
                }
                if number > last + 1 {
                    return Err(BodyInterrupted);
                }
            }
            self.last_event = number.or(self.last_event);
            count += 1;
            fresh.extend_from_slice(&event);
        }
        if fresh.is_empty() {
            return Ok(None);
        }
        self.record_progress(count);
        Ok(Some(fresh.freeze()))
    }

    /// Records once that the request crashes no upstream.
    fn note_success(&mut self) {
        if std::mem::replace(&mut self.is_proved_sound, true) {
            return;
        }
        let began_ms = self.stream.first_bytes_ms;
        let began_ms = began_ms.unwrap_or_else(|| self.gateway.clock.now_ms());
        self.gateway.note_success(&self.inbound, began_ms);
    }

    fn record_progress(&mut self, events: u32) {
        let now_ms = self.gateway.clock.now_ms();
        if self.stream.ran_ms(now_ms).is_some_and(has_proved_sound) {
            self.note_success();
        }
        self.intervals.record(now_ms, events);
        self.log_pause();
        let pause_ms = self.tracker.record_events(now_ms, events);
        if let Some(pause_ms) = pause_ms {
            let metrics = &self.gateway.metrics;
            metrics.pause_ms.observe(pause_ms as f64);
            let target_ms = self.inbound.route.gap_target_ms;
            let is_stall = target_ms.is_some_and(|target_ms| pause_ms > target_ms);
            if is_stall && !std::mem::take(&mut self.has_just_switched) {
                metrics.stalls.inc();
            }
        }
        let out_tokens = self.tracker.events * self.event_tokens;
        let runs = &self.gateway.runs;
        runs.update(self.run_guard.run, |statement| {
            statement.out_tokens = out_tokens;
            let pause_ms = pause_ms.unwrap_or_default();
            statement.longest_pause_ms = statement.longest_pause_ms.max(pause_ms);
        });
    }
}
