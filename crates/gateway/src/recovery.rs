//! How a generation goes on at another engine: after its own was told to stop it, or was lost.

use std::net::SocketAddr;

use fulmarpath_policy::{Millis, Verdict};
use fulmarpath_wire::MigrationAnswer;
use spdlog::info;

use crate::attempt::{Answer, DispatchOptions};
use crate::crashes::BrokenRun;
use crate::engine_stream::{EngineStream, StreamRead};
use crate::head::Continuation;
use crate::instance::Destination;
use crate::relay::{Relay, Stopped};
use crate::start::StartedGeneration;

/// A stopped engine closes its stream just before it answers; what was on its way is there within
/// a way between data centres.
const DRAIN_MS: Millis = 12;
/// A running copy that doesn't go on within this time is no better than an engine that is silent.
const GO_ON_MS: Millis = 300;
/// How often a generation may break and go on: each costs its caller a pause.
const RECOVERIES: u32 = 3;

impl Relay {
    /// Goes on after an engine was lost: from the running copy of its memory, or from the copy that
    /// a migration had made so far.
    pub(crate) async fn recover(&mut self) -> bool {
        self.stream.in_flight.note(Verdict::Failed);
        let broken = self.broken_run();
        let is_suspect = broken.is_suspect();
        self.gateway.note_broken(broken);
        self.recoveries += 1;
        if self.recoveries > RECOVERIES {
            return false;
        }
        // One that has run for a while ended nothing, and goes on whatever its circuit.
        if is_suspect && self.gateway.admit(&self.inbound).await.is_err() {
            return false;
        }
        let lost = self.stream.engine();
        self.gateway
            .doubt(self.run_guard.cell, lost.upstream, Verdict::Failed);
        if let Some(migration) = self.migration.take() {
            let has_continued = match migration.copied() {
                Some((to, copy)) => self.continue_at(&to, lost.address, &copy).await,
                None => false,
            };
            if has_continued {
                migration.answer(MigrationAnswer::Moved);
                return true;
            }
            migration.discard(MigrationAnswer::Over);
        }
        if let Some(backup) = self.backup.take() {
            let id = self.tracker.id.clone();
            if self.continue_at(&backup, backup.address, &id).await {
                return true;
            }
        }
        self.regenerate().await
    }

    /// What its engine broke off.
    fn broken_run(&self) -> BrokenRun {
        let now_ms = self.gateway.clock.now_ms();
        let begun_ms = self.stream.begun_ms;
        let ran_ms = begun_ms.map(|begun_ms| now_ms.saturating_sub(begun_ms));
        let chosen = &self.stream.in_flight.chosen;
        BrokenRun::new(chosen, &self.inbound, &self.tracker.id, ran_ms)
    }

    /// Leaves an engine that is silent in the middle of a stream for the one that keeps a running copy;
    /// stays where that one doesn't go on.
    ///
    /// An engine that goes dark resets nothing, and one that pauses a generation says nothing of it: its
    /// caller sees a stream that stands still, and gives up after seconds though the copy is there. The
    /// silent engine's connection is closed as soon as the other one goes on, so both work on it for a
    /// few ms at the most.
    pub(crate) async fn leave_silent_engine(&mut self) {
        let Some(backup) = self.backup.take() else {
            return;
        };
        let silent = self.stream.engine();
        let id = self.tracker.id.clone();
        let until_ms = self.gateway.clock.now_ms() + GO_ON_MS;
        let until_ms = until_ms.min(self.inbound.deadline_ms);
        if self
            .continue_until(until_ms, &backup, backup.address, &id)
            .await
        {
            self.gateway.metrics.continuation("left_silent");
            self.gateway
                .doubt(self.run_guard.cell, silent.upstream, Verdict::Failed);
        }
    }

    /// Has another engine make the rest anew, where the stream may be resumed.
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
        let Some(StartedGeneration { answer, backup }) = started.await else {
            return false;
        };
        info!(
            "moves: request {} is made anew at {} after event {:?}",
            self.tracker.id, answer.in_flight.chosen.instance, self.last_event
        );
        gateway.metrics.continuation("anew");
        self.switch_to(answer, backup);
        true
    }

    /// Another engine's stream takes the place of the one before.
    fn switch_to(&mut self, answer: Answer, backup: Option<Destination>) {
        self.has_just_moved = true;
        // A part of an event is of no use to the caller: the engine that goes on sends it whole.
        self.events.take_remainder();
        self.stream = EngineStream::new(self.gateway.clock.now_ms(), answer);
        self.backup = backup;
        self.handover.restart();
        let engine = self.stream.engine().upstream;
        let backup = self.backup.as_ref().map(|backup| backup.upstream);
        self.gateway.runs.update(self.run_guard.run, |statement| {
            statement.engine = engine;
            statement.backup = backup;
        });
    }

    /// Reads what a stopped engine still has on its way.
    async fn drain(&mut self) {
        let until_ms = self.gateway.clock.now_ms() + DRAIN_MS;
        while self.handover.reads() {
            let read = self.stream.read(&mut self.events, until_ms, &self.gateway);
            if !matches!(read.await, StreamRead::Bytes) {
                return;
            }
        }
    }

    /// Goes on with a generation that was stopped: at the destination, or again where it was, which
    /// still has its memory.
    pub(crate) async fn continue_after_stop(&mut self) -> bool {
        let Some(Stopped { to, copy }) = self.stopped.take() else {
            return false;
        };
        self.drain().await;
        let here = self.stream.engine();
        let has_migrated = match to {
            Some(to) => self.continue_at(&to, here.address, &copy).await,
            None => false,
        };
        let continues = has_migrated || self.continue_at(&here, here.address, &copy).await;
        self.end_migration(match has_migrated {
            true => MigrationAnswer::Moved,
            false => MigrationAnswer::Stayed,
        });
        continues
    }

    /// Asks an engine to go on from a copy; true where it does.
    async fn continue_at(&mut self, at: &Destination, source: SocketAddr, copy: &str) -> bool {
        let until_ms = self.inbound.deadline_ms;
        self.continue_until(until_ms, at, source, copy).await
    }

    async fn continue_until(
        &mut self,
        until_ms: Millis,
        at: &Destination,
        source: SocketAddr,
        copy: &str,
    ) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let taken = self.gateway.reserve_continuation(at.upstream, until_ms);
        let chosen = taken.await;
        let Some(chosen) = chosen else { return false };
        let service = &self.inbound.service;
        self.gateway.count_continuation(now_ms, service);
        let backup = self.backup.clone();
        let backup = backup.filter(|backup| backup.upstream != at.upstream && !backup.is_lost());
        let options = DispatchOptions {
            until_ms,
            backup: backup.as_ref().map(|backup| backup.address),
            continuation: Some(Continuation {
                source,
                copy_id: copy.to_owned(),
            }),
            last_event: self.last_event,
        };
        let gateway = self.gateway.clone();
        let sent = gateway.dispatch(&self.inbound, &mut self.tracker, chosen, options);
        let answer = match sent.await {
            Ok(answer) if answer.response.status().is_success() => answer,
            Ok(_) | Err(_) => {
                gateway.metrics.continuation("no");
                return false;
            }
        };
        gateway.metrics.continuation("yes");
        info!(
            "moves: request {} goes on at {} after event {:?}, {} ms",
            self.tracker.id,
            answer.in_flight.chosen.instance,
            self.last_event,
            gateway.clock.now_ms().saturating_sub(now_ms)
        );
        self.switch_to(answer, backup);
        true
    }
}
