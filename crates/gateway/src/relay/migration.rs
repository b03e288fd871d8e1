//! Live migration of one generation: a first copy while it runs, then a short final copy after it
//! is stopped, which begins right after an event has arrived.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::Dial;
use fulmarpath_policy::Millis;
use fulmarpath_wire::MigrationAnswer;
use futures::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::cells::runs::MigrationOrder;
use crate::control::{CompletedCopy, CopyError, EngineControl};
use crate::relay::early_dial::EarlyDial;
use crate::relay::pause::CopyTimes;
use crate::upstreams::instance::Destination;

/// The outcome of one step of a migration.
#[derive(Debug, Clone)]
pub(crate) enum StepOutcome {
    /// The first copy is complete.
    Copied,
    /// The event that the final copy waits for has not arrived in time.
    EventOverdue,
    /// The generation continues on the source.
    Stayed,
    /// The generation continues on the source; the destination had no capacity.
    Refused,
    /// The state of the copy is unknown.
    Orphaned,
    /// The engine does not know the generation: it has not begun, or has ended.
    NotFound,
    /// The generation is stopped and its KV cache is at the destination.
    Stopped {
        to: Destination,
        copy_id: String,
        /// Events that it had produced; `None` if the engine did not say.
        events: Option<u64>,
    },
    /// The generation is stopped and its KV cache is still at the source.
    StoppedAtSource { copy_id: String },
}

/// The stage of a migration.
enum Stage {
    /// The first copy is in progress.
    Copying,
    /// The final copy begins after the next event, or at this time.
    AwaitingEvent { until_ms: Millis },
    /// The final copy is in progress.
    Stopping,
}

/// A migration in progress.
pub(crate) struct Migration {
    stage: Stage,
    pub(crate) times: CopyTimes,
    control: Arc<dyn EngineControl>,
    dial: Arc<dyn Dial>,
    source: SocketAddr,
    request_id: String,
    to: Destination,
    /// Identifies the copy at the destination, once there is one.
    copy_id: Option<String>,
    answer: oneshot::Sender<MigrationAnswer>,
    call: BoxFuture<'static, Result<CompletedCopy, CopyError>>,
    /// Reaches the source for the final copy.
    source_dial: Arc<EarlyDial>,
    /// Reaches the destination, once the final copy is in progress.
    destination_dial: Option<EarlyDial>,
}

impl Migration {
    pub(crate) fn begin(
        now_ms: Millis,
        control: Arc<dyn EngineControl>,
        dial: Arc<dyn Dial>,
        source: SocketAddr,
        request_id: String,
        order: MigrationOrder,
    ) -> Self {
        let source_dial = Arc::new(EarlyDial::open(dial.clone(), source));
        let call = {
            let (control, dial) = (control.clone(), dial.clone());
            let (id, to) = (request_id.clone(), order.to.address);
            Box::pin(async move { control.copy(&*dial, source, &id, to).await })
        };
        Self {
            stage: Stage::Copying,
            times: CopyTimes {
                began_ms: now_ms,
                ..CopyTimes::default()
            },
            control,
            dial,
            source,
            request_id,
            to: order.to,
            copy_id: None,
            answer: order.answer,
            call,
            source_dial,
            destination_dial: None,
        }
    }

    /// The address of the destination.
    pub(crate) fn destination(&self) -> SocketAddr {
        self.to.address
    }

    /// Whether the first copy is complete at the destination.
    pub(crate) fn has_copy(&self) -> bool {
        self.copy_id.is_some()
    }

    /// The copy at the destination, once there is one.
    pub(crate) fn copied(&self) -> Option<(Destination, String)> {
        self.copy_id
            .clone()
            .map(|copy_id| (self.to.clone(), copy_id))
    }

    /// Reports the outcome to the cell's home. A home that has stopped waiting learns it from the
    /// periodic run statements.
    pub(crate) fn answer(self, answer: MigrationAnswer) {
        match (answer, &self.copy_id) {
            (MigrationAnswer::Stayed | MigrationAnswer::Over, Some(_)) => self.discard(answer),
            _ => {
                let _ = self.answer.send(answer);
            }
        }
    }

    /// Discards the copy, whether complete or not, and then answers.
    ///
    /// An abandoned copy holds memory at the destination for about 9 s. Its id arrives only with
    /// the response to the call that makes it. Dropping that call when a generation ends would
    /// leave a copy that cannot be discarded, so this waits for the id first.
    pub(crate) fn discard(self, answer: MigrationAnswer) {
        let Self {
            control,
            dial,
            to,
            copy_id,
            call,
            ..
        } = self;
        let home = self.answer;
        tokio::spawn(async move {
            let copy_id = match copy_id {
                Some(copy_id) => Ok(copy_id),
                None => call.await.map(|copied| copied.copy_id),
            };
            let is_freed = match copy_id {
                // A restarted engine holds none of the earlier copies; a copy with this id belongs
                // to another generation.
                _ if to.is_lost() => true,
                Ok(copy_id) => control.discard_copy(&*dial, to.address, &copy_id).await,
                Err(CopyError::NoRoom { .. } | CopyError::Busy | CopyError::SourceUnreachable) => {
                    true
                }
                Err(CopyError::NotFound | CopyError::Unknown) => false,
            };
            let _ = home.send(if is_freed {
                answer
            } else {
                MigrationAnswer::LeftBehind
            });
        });
    }

    /// Has the final copy wait for the next event, at most until `until_ms`.
    pub(crate) fn await_event(&mut self, until_ms: Millis) {
        self.stage = Stage::AwaitingEvent { until_ms };
    }

    /// Whether the final copy begins after the next event.
    pub(crate) fn awaits_event(&self) -> bool {
        matches!(self.stage, Stage::AwaitingEvent { .. })
    }

    /// Begins the final copy, which stops the generation. Meanwhile the destination is connected to.
    pub(crate) fn stop(&mut self, now_ms: Millis) {
        self.times.asked_ms = now_ms;
        self.stage = Stage::Stopping;
        let (control, source, to) = (self.control.clone(), self.source, self.to.address);
        let id = self.request_id.clone();
        let dial = self.source_dial.clone();
        self.call = Box::pin(async move { control.stop_and_copy(&*dial, source, &id, to).await });
        self.destination_dial = Some(EarlyDial::open(self.dial.clone(), to));
    }

    /// Takes the connection that is being opened to the destination.
    pub(crate) fn take_destination_dial(&mut self) -> Option<EarlyDial> {
        self.destination_dial.take()
    }

    /// Waits for the end of the step in progress.
    pub(crate) async fn step(migration: &mut Option<Self>, now_ms: Millis) -> StepOutcome {
        let Some(migration) = migration else {
            return std::future::pending().await;
        };
        if let Stage::AwaitingEvent { until_ms } = migration.stage {
            sleep(Duration::from_millis(until_ms.saturating_sub(now_ms))).await;
            return StepOutcome::EventOverdue;
        }
        let result = (&mut migration.call).await;
        match migration.copy_id.clone() {
            None => migration.after_first_copy(result),
            Some(copy_id) => migration.after_final_copy(result, copy_id),
        }
    }

    fn after_first_copy(&mut self, result: Result<CompletedCopy, CopyError>) -> StepOutcome {
        let copied = match result {
            Ok(copied) => copied,
            Err(CopyError::NotFound) => return StepOutcome::NotFound,
            Err(CopyError::NoRoom { .. }) => return StepOutcome::Refused,
            Err(CopyError::Busy | CopyError::SourceUnreachable) => return StepOutcome::Stayed,
            Err(CopyError::Unknown) => return StepOutcome::Orphaned,
        };
        self.copy_id = Some(copied.copy_id);
        StepOutcome::Copied
    }

    fn after_final_copy(
        &mut self,
        result: Result<CompletedCopy, CopyError>,
        first_copy_id: String,
    ) -> StepOutcome {
        match result {
            Ok(copied) => StepOutcome::Stopped {
                to: self.to.clone(),
                copy_id: copied.copy_id,
                events: Some(copied.events),
            },
            Err(CopyError::NotFound) => StepOutcome::NotFound,
            Err(CopyError::NoRoom {
                copy_id: Some(copy_id),
            }) => StepOutcome::StoppedAtSource { copy_id },
            Err(
                CopyError::Busy
                | CopyError::SourceUnreachable
                | CopyError::NoRoom { copy_id: None },
            ) => StepOutcome::Stayed,
            // The generation may have been stopped: the first copy and the source's own KV cache
            // are tried.
            Err(CopyError::Unknown) => StepOutcome::Stopped {
                to: self.to.clone(),
                copy_id: first_copy_id,
                events: None,
            },
        }
    }
}
