//! Migrates a relayed generation: from the order of its cell's home to the stop at the source.

use std::sync::Arc;

use fulmarpath_policy::{MigrationStep, NextStep, StopMoment};
use fulmarpath_wire::MigrationAnswer;
use spdlog::info;

use crate::cells::runs::MigrationOrder;
use crate::relay::migration::{Migration, StepOutcome};
use crate::relay::pause::Pause;
use crate::relay::{Relay, StoppedGeneration};
use crate::upstreams::instance::Destination;

impl Relay {
    pub(crate) fn begin_migration(&mut self, order: MigrationOrder) {
        // A home that has just taken over the cell may not know of the last migration.
        if order.to.upstream == self.stream.engine().upstream {
            let _ = order.answer.send(MigrationAnswer::Moved);
            return;
        }
        let now_ms = self.gateway.clock.now_ms();
        let control = self.gateway.control.clone();
        let dial = Arc::new(self.gateway.dial.clone());
        let source = self.stream.address();
        let id = self.tracker.id.clone();
        self.handover.begin_migration();
        self.migration = Some(Migration::begin(now_ms, control, dial, source, id, order));
    }

    /// Handles the outcome of a migration step.
    pub(crate) fn advance(&mut self, outcome: StepOutcome) -> NextStep {
        let answer = match outcome {
            StepOutcome::Copied => return self.plan_stop(),
            StepOutcome::EventOverdue => return self.stop(),
            StepOutcome::Stopped {
                to,
                copy_id,
                events,
            } => return self.resume_next(Some(to), copy_id, events),
            StepOutcome::StoppedAtSource { copy_id } => {
                return self.resume_next(None, copy_id, None);
            }
            StepOutcome::Stayed => MigrationAnswer::Stayed,
            StepOutcome::Refused => MigrationAnswer::Refused,
            // Before the first event the generation is still queued in its engine, and there is no
            // copy.
            StepOutcome::NotFound if self.tracker.events == 0 => MigrationAnswer::Stayed,
            StepOutcome::NotFound | StepOutcome::Orphaned => MigrationAnswer::LeftBehind,
        };
        let next = self.handover.advance_migration(MigrationStep::NotStopped);
        let has_copy = self.migration.as_ref().is_some_and(Migration::has_copy);
        // If the engine was lost before it could stop the generation, the first copy remains, and
        // may be the only one.
        if next != NextStep::Recover || !has_copy {
            self.end_migration(answer);
        }
        next
    }

    /// Begins the final copy, or has it wait for the next event.
    fn plan_stop(&mut self) -> NextStep {
        let now_ms = self.gateway.clock.now_ms();
        let target_ms = self.inbound.route.gap_target_ms;
        if let Some(migration) = &mut self.migration {
            migration.times.copied_ms = now_ms;
            if let StopMoment::AfterEvent { until_ms } =
                self.intervals.stop_moment(now_ms, target_ms)
            {
                migration.await_event(until_ms);
                return NextStep::Read;
            }
        }
        self.stop()
    }

    fn stop(&mut self) -> NextStep {
        let now_ms = self.gateway.clock.now_ms();
        if let Some(migration) = &mut self.migration {
            migration.stop(now_ms);
        }
        self.handover.advance_migration(MigrationStep::Copied)
    }

    /// Begins the final copy if it has waited for the event that has just arrived, unless the
    /// stream has ended with that event.
    pub(crate) fn stop_after_event(&mut self) {
        let awaits_event = self.migration.as_ref().is_some_and(Migration::awaits_event);
        if awaits_event && self.handover.is_stream_open() {
            self.stop();
        }
    }

    /// Records that the generation is stopped, and resumes at `to`, or at its source.
    fn resume_next(
        &mut self,
        to: Option<Destination>,
        copy_id: String,
        events: Option<u64>,
    ) -> NextStep {
        let now_ms = self.gateway.clock.now_ms();
        if let Some(migration) = &mut self.migration {
            migration.times.stopped_ms = now_ms;
            self.pause = Some(Pause::new(migration.times));
        }
        let is_unconfirmed = to.is_some() && events.is_none();
        self.stopped = Some(StoppedGeneration {
            is_unconfirmed,
            ..StoppedGeneration::new(to, copy_id, events)
        });
        self.handover.advance_migration(MigrationStep::Stopped)
    }

    pub(crate) fn end_migration(&mut self, answer: MigrationAnswer) {
        if let Some(migration) = self.migration.take() {
            info!(
                "moves: request {} to {}: {answer:?}{}",
                self.tracker.id,
                migration.destination(),
                migration.times
            );
            migration.answer(answer);
        }
    }

    /// Writes the steps of a migration's pause when the next event has arrived.
    pub(crate) fn log_pause(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        let Some(event_ms) = self.tracker.last_event_ms() else {
            return;
        };
        if let Some(pause) = self.pause.take_if(|pause| pause.has_resumed()) {
            info!(
                "moves: request {} paused for {} ms: {}",
                self.tracker.id,
                now_ms.saturating_sub(event_ms),
                pause.steps(event_ms, now_ms)
            );
        }
    }
}

impl Drop for Relay {
    /// Discards the copy of a migration that is still in progress: the generation has ended or its
    /// caller has left.
    fn drop(&mut self) {
        if let Some(migration) = self.migration.take() {
            migration.discard(MigrationAnswer::Over);
        }
    }
}
