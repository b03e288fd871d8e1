//! Stops a generation on an engine that was abandoned for another one.
//!
//! Most engines cancel a generation when its connection closes. One that does not would generate
//! the same answer as the engine that continues it.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{StopAttempts, StopReply, UpstreamKey};
use spdlog::info;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::control::{CompletedCopy, CopyError};
use crate::gateway::Gateway;
use crate::relay::StoppedGeneration;
use crate::upstreams::instance::Destination;

/// How long a generation without a copy waits for its engine to stop it: enough for its KV cache to
/// be copied, and short against the time after which callers disconnect.
const STOP_WAIT: Duration = Duration::from_millis(800);

/// Takes over the copy of a generation that was stopped, if there is one.
type CopyReceiver = oneshot::Sender<Option<StoppedGeneration>>;

/// A generation that is being stopped on an abandoned engine. Its copy is discarded when this is
/// dropped.
pub(crate) struct AbandonedRun {
    pub(crate) attempts: StopHandle,
    take_copy: oneshot::Sender<CopyReceiver>,
}

impl AbandonedRun {
    /// Waits until the engine has stopped the generation and takes its copy; `None` if it had ended
    /// or the outcome is not known in time.
    pub(crate) async fn take_copy(self) -> Option<StoppedGeneration> {
        let (receiver, copy) = oneshot::channel();
        self.take_copy.send(receiver).ok()?;
        timeout(STOP_WAIT, copy).await.ok()?.ok()?
    }
}

/// The attempts to stop a generation on one engine.
#[derive(Debug, Clone)]
pub(crate) struct StopHandle {
    pub(crate) engine: UpstreamKey,
    cancel: CancellationToken,
}

impl StopHandle {
    /// Ends the attempts.
    pub(crate) fn cancel(&self) {
        self.cancel.cancel();
    }
}

impl Gateway {
    /// Begins to stop a generation on an engine that was abandoned. Stopping copies its KV cache to
    /// another engine, which is `to` if possible. Returns `None` if it can't be stopped.
    pub(crate) fn stop_abandoned(
        self: &Arc<Self>,
        service: &str,
        request_id: &str,
        engine: Destination,
        to: Option<Destination>,
    ) -> Option<AbandonedRun> {
        let can_move = self
            .engine_traits(service)
            .is_some_and(|traits| traits.can_move);
        if engine.is_lost() || !can_move {
            return None;
        }
        let to = to.filter(|to| to.upstream != engine.upstream && !to.is_lost());
        let to = to.or_else(|| {
            let now_ms = self.clock.now_ms();
            self.instances
                .other_destination(now_ms, service, engine.upstream)
        })?;
        let attempts = StopHandle {
            engine: engine.upstream,
            cancel: CancellationToken::new(),
        };
        let (take_copy, taker) = oneshot::channel::<CopyReceiver>();
        let (gateway, cancel) = (self.clone(), attempts.cancel.clone());
        let id = request_id.to_owned();
        tokio::spawn(async move {
            let stopped = tokio::select! {
                () = cancel.cancelled() => None,
                () = engine.lost.cancelled() => None,
                stopped = gateway.stop_run(&id, &engine, to) => stopped,
            };
            let unused = match taker.await {
                Ok(receiver) => receiver.send(stopped).err().flatten(),
                Err(_) => stopped,
            };
            if let Some(unused) = unused {
                gateway.discard_at_source(&engine, &unused.copy_id).await;
            }
        });
        Some(AbandonedRun {
            attempts,
            take_copy,
        })
    }

    /// Discards the copy of a stopped generation. At the source this frees both ends.
    async fn discard_at_source(&self, source: &Destination, copy_id: &str) {
        if !source.is_lost() {
            let control = &self.control;
            control
                .discard_copy(&self.dial, source.address, copy_id)
                .await;
        }
    }

    /// Asks an engine to stop a generation until the outcome is known; returns its copy.
    async fn stop_run(
        &self,
        id: &str,
        engine: &Destination,
        to: Destination,
    ) -> Option<StoppedGeneration> {
        let attempts = StopAttempts::new(self.clock.now_ms());
        loop {
            let control = &self.control;
            let result = control
                .stop_and_copy(&self.dial, engine.address, id, to.address)
                .await;
            let reply = stop_reply(&result);
            if let Some(retry_ms) = attempts.retry_after_ms(self.clock.now_ms(), reply) {
                sleep(Duration::from_millis(retry_ms)).await;
                continue;
            }
            self.metrics.abandoned_run(outcome(reply));
            info!(
                "moves: request {id} was abandoned on the engine at {}: {}",
                engine.address,
                outcome(reply)
            );
            return StoppedGeneration::confirmed(result, to);
        }
    }
}

fn stop_reply(result: &Result<CompletedCopy, CopyError>) -> StopReply {
    match result {
        Ok(_) | Err(CopyError::NoRoom { copy_id: Some(_) }) => StopReply::Stopped,
        Err(CopyError::NotFound) => StopReply::NotRunning,
        Err(CopyError::SourceUnreachable) => StopReply::Unreachable,
        Err(CopyError::Busy | CopyError::NoRoom { copy_id: None } | CopyError::Unknown) => {
            StopReply::Undecided
        }
    }
}

/// The outcome of a stop in metrics and logs.
fn outcome(reply: StopReply) -> &'static str {
    match reply {
        StopReply::Stopped => "stopped",
        StopReply::NotRunning => "not_running",
        StopReply::Unreachable => "unreachable",
        StopReply::Undecided => "undecided",
    }
}
