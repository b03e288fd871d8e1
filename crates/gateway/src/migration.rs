//! One generation's way to another engine: a long copy while it goes on, then a short last one that
//! stops it.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarpath_wire::MigrationAnswer;
use futures::future::BoxFuture;
use tokio::sync::oneshot;

use crate::control::{CompletedCopy, CopyError, EngineControl};
use crate::instance::Destination;
use crate::runs::MigrationOrder;

/// What a step of a migration has come to.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// The long copy is there; the short one is under way.
    Copied,
    /// The generation goes on where it is.
    Stayed,
    /// The generation goes on where it is; the destination had no room.
    Refused,
    /// Nobody knows what became of the copy.
    Orphaned,
    /// The engine doesn't know the generation: it has not begun, or is over.
    NotFound,
    /// The generation is stopped and its memory is at the destination.
    Stopped { to: Destination, copy: String },
    /// The generation is stopped and its memory is still at the source.
    StoppedAtSource { copy: String },
}

/// A migration under way.
pub(crate) struct Migration {
    control: Arc<dyn EngineControl>,
    source: SocketAddr,
    request_id: String,
    to: Destination,
    /// Names the copy at the destination, once there is one.
    copy: Option<String>,
    answer: oneshot::Sender<MigrationAnswer>,
    call: BoxFuture<'static, Result<CompletedCopy, CopyError>>,
}

impl Migration {
    pub(crate) fn begin(
        control: Arc<dyn EngineControl>,
        source: SocketAddr,
        request_id: String,
        order: MigrationOrder,
    ) -> Self {
        let call = {
            let (control, id, to) = (control.clone(), request_id.clone(), order.to.address);
            Box::pin(async move { control.copy(source, &id, to).await })
        };
        Self {
            control,
            source,
            request_id,
            to: order.to,
            copy: None,
            answer: order.answer,
            call,
        }
    }

    /// Where it is to go on.
    pub(crate) fn destination(&self) -> SocketAddr {
        self.to.address
    }

    /// Whether the long copy is at the destination.
    pub(crate) fn has_copy(&self) -> bool {
        self.copy.is_some()
    }

    /// The copy at the destination, once there is one.
    pub(crate) fn copied(&self) -> Option<(Destination, String)> {
        self.copy.clone().map(|copy| (self.to.clone(), copy))
    }

    /// Tells the cell's home how it ended. A home that no longer waits learns it by statement.
    pub(crate) fn answer(self, answer: MigrationAnswer) {
        match (answer, &self.copy) {
            (MigrationAnswer::Stayed | MigrationAnswer::Over, Some(_)) => self.discard(answer),
            _ => {
                let _ = self.answer.send(answer);
            }
        }
    }

    /// The copy is of no use any more, finished or not. Waits for its name, gives it up, and then
    /// answers.
    ///
    /// A copy that is left at a destination holds its memory there for some 9 s. Its name comes
    /// with the answer to the call that makes it, so dropping the call, when a generation ends by
    /// itself, left a copy that nobody could give up.
    pub(crate) fn discard(self, answer: MigrationAnswer) {
        let Self {
            control,
            to,
            copy,
            call,
            ..
        } = self;
        let home = self.answer;
        tokio::spawn(async move {
            let copy = match copy {
                Some(copy) => Ok(copy),
                None => call.await.map(|copied| copied.copy_id),
            };
            let is_free = match copy {
                // What has that name there now is another generation's.
                _ if to.is_lost() => true,
                Ok(copy) => control.discard_copy(to.address, &copy).await,
                Err(CopyError::NoRoom { .. } | CopyError::Busy | CopyError::SourceUnreachable) => {
                    true
                }
                Err(CopyError::NotFound | CopyError::Unknown) => false,
            };
            let _ = home.send(if is_free {
                answer
            } else {
                MigrationAnswer::LeftBehind
            });
        });
    }

    /// Waits for the call under way and begins the next one.
    pub(crate) async fn step(migration: &mut Option<Self>) -> Step {
        let Some(migration) = migration else {
            return std::future::pending().await;
        };
        let answer = (&mut migration.call).await;
        match migration.copy.clone() {
            None => migration.after_first_copy(answer),
            Some(copy) => migration.after_final_copy(answer, copy),
        }
    }

    fn after_first_copy(&mut self, answer: Result<CompletedCopy, CopyError>) -> Step {
        let copied = match answer {
            Ok(copied) => copied,
            Err(CopyError::NotFound) => return Step::NotFound,
            Err(CopyError::NoRoom { .. }) => return Step::Refused,
            Err(CopyError::Busy | CopyError::SourceUnreachable) => return Step::Stayed,
            Err(CopyError::Unknown) => return Step::Orphaned,
        };
        self.copy = Some(copied.copy_id);
        let (control, source) = (self.control.clone(), self.source);
        let (id, to) = (self.request_id.clone(), self.to.address);
        self.call = Box::pin(async move { control.stop_and_copy(source, &id, to).await });
        Step::Copied
    }

    fn after_final_copy(
        &mut self,
        answer: Result<CompletedCopy, CopyError>,
        first: String,
    ) -> Step {
        match answer {
            Ok(copied) => Step::Stopped {
                to: self.to.clone(),
                copy: copied.copy_id,
            },
            Err(CopyError::NotFound) => Step::NotFound,
            Err(CopyError::NoRoom {
                copy_id: Some(copy),
            }) => Step::StoppedAtSource { copy },
            Err(
                CopyError::Busy
                | CopyError::SourceUnreachable
                | CopyError::NoRoom { copy_id: None },
            ) => Step::Stayed,
            // It may have been stopped: the first copy and the source's own memory are tried.
            Err(CopyError::Unknown) => Step::Stopped {
                to: self.to.clone(),
                copy: first,
            },
        }
    }
}
