//! Resumes a generation on another engine after a migration stopped it or its engine was lost.

use std::net::SocketAddr;

use fulmarpath_policy::{Millis, Verdict};
use fulmarpath_wire::MigrationAnswer;
use spdlog::info;

use crate::attempt::{DispatchOptions, UpstreamResponse};
use crate::crashes::InterruptedRun;
use crate::head::Continuation;
use crate::relay::abandoned_run::{AbandonedRun, StopHandle};
use crate::relay::engine_stream::{EngineStream, StreamRead};
use crate::relay::migration::Migration;
use crate::relay::{Relay, StoppedGeneration};
use crate::start::StartedGeneration;
use crate::upstreams::instance::Destination;

/// Time to read the data in transit from a stopped engine, which closes its stream just before it
/// responds: the latency between data centres.
const DRAIN_TIMEOUT_MS: Millis = 12;
/// A running copy that does not resume within this time is no better than a silent engine.
const RESUME_TIMEOUT_MS: Millis = 300;
/// Maximum number of recoveries of one generation: each one costs its caller a pause.
const MAX_RECOVERIES: u32 = 3;

impl Relay {
    /// Resumes after an engine or the connection to it was lost: from the copy that a migration has
    /// made so far, or else from the running copy of the KV cache, or else from the engine's own KV
    /// cache if it stops the generation, or else by regenerating the rest.
    pub(crate) async fn recover(&mut self) -> bool {
        self.stream.in_flight.set_verdict(Verdict::Failed);
        let interrupted = self.interrupted_run();
        let is_suspect = interrupted.is_suspect();
        self.gateway.check_for_crash(interrupted);
        self.recoveries += 1;
        // What was passed on of an event would be sent again.
        if self.recoveries > MAX_RECOVERIES || self.events.has_split_event() {
            return false;
        }
        // A generation that has run for a while did not crash its engine, and resumes regardless of
        // its circuits.
        if is_suspect && self.gateway.is_suspected(&self.inbound) {
            return false;
        }
        let lost = self.stream.engine();
        self.gateway
            .report_engine_failure(self.run_guard.cell, lost.upstream, Verdict::Failed);
        let copied = self.migration.as_ref().and_then(Migration::copied);
        let to = copied.map(|(to, _)| to).or_else(|| self.backup.clone());
        let abandoned = self.abandon(lost.clone(), to);
        if let Some(migration) = self.migration.take() {
            let has_resumed = match migration.copied() {
                Some((to, copy_id)) => self.resume_at(&to, lost.address, &copy_id).await,
                None => false,
            };
            if has_resumed {
                migration.answer(MigrationAnswer::Moved);
                return true;
            }
            migration.discard(MigrationAnswer::Over);
        }
        if let Some(backup) = self.backup.take() {
            let id = self.tracker.id.clone();
            if self.resume_at(&backup, backup.address, &id).await {
                return true;
            }
        }
        self.stopped = match abandoned {
            Some(abandoned) => abandoned.take_copy().await,
            None => None,
        };
        self.resume_after_stop().await || self.regenerate().await
    }

    /// Begins to stop the generation on an engine that was abandoned, or may have begun to resume
    /// it. `to` is a suitable engine for the copy that this makes.
    fn abandon(&mut self, engine: Destination, to: Option<Destination>) -> Option<AbandonedRun> {
        let (service, id) = (&self.inbound.service, &self.tracker.id);
        let abandoned = self.gateway.stop_abandoned(service, id, engine, to)?;
        self.stops.push(abandoned.attempts.clone());
        Some(abandoned)
    }

    /// Describes the run that the engine broke off.
    fn interrupted_run(&self) -> InterruptedRun {
        let ran_ms = self.stream.ran_ms(self.gateway.clock.now_ms());
        let chosen = &self.stream.in_flight.chosen;
        InterruptedRun::new(chosen, &self.inbound, &self.tracker, ran_ms)
    }

    /// Abandons an engine that is silent in the middle of a stream and resumes from the running
    /// copy; stays with the engine if the copy does not resume.
    ///
    /// An engine that loses its network resets no connection, and an engine that preempts a
    /// generation does not report it: the caller sees a stalled stream and disconnects after
    /// seconds although the copy exists. The silent engine is stopped as soon as the other engine
    /// resumes, so both work on the generation for a few ms at most.
    pub(crate) async fn fail_over_from_silent_engine(&mut self) {
        let Some(backup) = self.backup.take() else {
            return;
        };
        let silent = self.stream.engine();
        let id = self.tracker.id.clone();
        let until_ms = self.gateway.clock.now_ms() + RESUME_TIMEOUT_MS;
        let until_ms = until_ms.min(self.inbound.deadline_ms);
        if self
            .resume_before(until_ms, &backup, backup.address, &id)
            .await
        {
            self.abandon(silent.clone(), Some(backup));
            self.gateway.metrics.continuation("left_silent");
            self.gateway.report_engine_failure(
                self.run_guard.cell,
                silent.upstream,
                Verdict::Failed,
            );
        }
    }

    /// Regenerates the remaining output on another engine, if the stream may be resumed.
    async fn regenerate(&mut self) -> bool {
        let gateway = self.gateway.clone();
        self.attempts.mark_lost(gateway.clock.now_ms());
        let started = gateway.restart_generation(
            &self.inbound,
            &self.run_guard,
            &mut self.tracker,
            &mut self.attempts,
            self.last_event,
        );
        let Some(StartedGeneration { response, backup }) = started.await else {
            return false;
        };
        info!(
            "moves: request {} is made anew at {} after event {:?}",
            self.tracker.id, response.in_flight.chosen.instance, self.last_event
        );
        gateway.metrics.continuation("anew");
        self.switch_to(response, backup);
        true
    }

    /// Replaces the current stream by that of another engine.
    fn switch_to(&mut self, response: UpstreamResponse, backup: Option<Destination>) {
        self.has_just_switched = true;
        // An incomplete event is discarded: the next engine sends it in full.
        self.events.take_remainder();
        self.intervals.switch_engine();
        self.stream = EngineStream::new(self.gateway.clock.now_ms(), response);
        self.backup = backup;
        self.handover.restart();
        let engine = self.stream.engine().upstream;
        let backup = self.backup.as_ref().map(|backup| backup.upstream);
        let cell = self.gateway.cells.cell_of_engine(engine);
        self.gateway
            .runs
            .relocate(self.run_guard.run, cell, engine, backup);
    }

    /// Whether a stopped engine may still have data in transit, which are read before the generation
    /// resumes.
    pub(crate) fn needs_drain(&self) -> bool {
        self.stopped
            .as_ref()
            .is_some_and(|stopped| !stopped.is_drained)
    }

    /// Reads the data that a stopped engine still has in transit, unless all of its events have
    /// arrived.
    pub(crate) async fn drain(&mut self) {
        let Some(stopped) = &mut self.stopped else {
            return;
        };
        stopped.is_drained = true;
        let has_all = stopped.events.is_some() && stopped.events == self.last_event;
        let until_ms = self.gateway.clock.now_ms() + DRAIN_TIMEOUT_MS;
        while self.handover.is_stream_open() && !has_all {
            let read = self.stream.read(&mut self.events, until_ms, &self.gateway);
            if !matches!(read.await, StreamRead::Bytes) {
                break;
            }
        }
        if let Some(pause) = &mut self.pause {
            pause.drained_ms = self.gateway.clock.now_ms();
        }
    }

    /// Resumes a generation that was stopped: at the destination, or at the source, which still has
    /// its KV cache.
    pub(crate) async fn resume_after_stop(&mut self) -> bool {
        let Some(stopped) = self.stopped.take() else {
            return false;
        };
        if self.events.has_split_event() {
            return false;
        }
        let StoppedGeneration { to, copy_id, .. } = stopped;
        let source = self.stream.engine();
        let has_migrated = match &to {
            Some(to) => self.resume_at(to, source.address, &copy_id).await,
            None => false,
        };
        if has_migrated && stopped.is_unconfirmed {
            self.abandon(source.clone(), to);
        }
        let continues = has_migrated || self.resume_at(&source, source.address, &copy_id).await;
        self.end_migration(match has_migrated {
            true => MigrationAnswer::Moved,
            false => MigrationAnswer::Stayed,
        });
        continues
    }

    /// Asks an engine to resume from a copy; returns whether it does.
    async fn resume_at(
        &mut self,
        destination: &Destination,
        source: SocketAddr,
        copy_id: &str,
    ) -> bool {
        let until_ms = self.inbound.deadline_ms;
        self.resume_before(until_ms, destination, source, copy_id)
            .await
    }

    async fn resume_before(
        &mut self,
        until_ms: Millis,
        destination: &Destination,
        source: SocketAddr,
        copy_id: &str,
    ) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let reserved = self
            .gateway
            .reserve_continuation(destination.upstream, until_ms);
        let chosen = reserved.await;
        let Some(chosen) = chosen else { return false };
        let reserved_ms = self.gateway.clock.now_ms();
        let service = &self.inbound.service;
        self.gateway.count_continuation(now_ms, service);
        let backup = self.backup.clone();
        let backup =
            backup.filter(|backup| backup.upstream != destination.upstream && !backup.is_lost());
        let options = DispatchOptions {
            until_ms,
            backup: backup.as_ref().map(|backup| backup.address),
            continuation: Some(Continuation {
                source,
                copy_id: copy_id.to_owned(),
            }),
            last_event: self.last_event,
            early: self
                .migration
                .as_mut()
                .and_then(Migration::take_destination_dial),
        };
        let gateway = self.gateway.clone();
        let here = |stop: &StopHandle| stop.engine == destination.upstream;
        self.stops
            .extract_if(.., |stop| here(stop))
            .for_each(|stop| stop.cancel());
        let sent = gateway.dispatch(&self.inbound, &mut self.tracker, chosen, options);
        let response = match sent.await {
            Ok(response) if response.http.status().is_success() => response,
            failed => {
                gateway.metrics.continuation("no");
                if failed.is_err_and(|failure| !failure.is_not_run()) {
                    self.abandon(destination.clone(), None);
                }
                return false;
            }
        };
        gateway.metrics.continuation("yes");
        if let Some(pause) = &mut self.pause {
            pause.reserved_ms = reserved_ms;
            pause.connected_ms = response.connected_ms;
            pause.resumed_ms = gateway.clock.now_ms();
        }
        info!(
            "moves: request {} goes on at {} after event {:?}, {} ms",
            self.tracker.id,
            response.in_flight.chosen.instance,
            self.last_event,
            gateway.clock.now_ms().saturating_sub(now_ms)
        );
        self.switch_to(response, backup);
        true
    }
}
