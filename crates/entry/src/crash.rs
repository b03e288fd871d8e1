//! Generations whose engine crashed shortly after it began to run them.

use std::time::Duration;

use fulmarpath_cluster::Permit;
use fulmarpath_http::LISTENER_CLOSE_WAIT;
use fulmarpath_policy::is_crash_suspect;
use fulmarpath_upstream::EngineError;
use spdlog::warn;
use tokio::time::{sleep, timeout};

use crate::driver::Driver;
use crate::outcome::{End, NotRun, NotRunProof, NotRunReason};

/// Timeout of the probe that checks whether an engine is still running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Engine crashes after which a generation is not continued. Without a limit, its host would send
/// it to every engine in turn, and each would crash with everything that runs there.
const MAX_CRASHED_ENGINES: u32 = 3;
/// Wait before the last attempt, for the homes' decision on quarantine, which is made some 400 ms
/// after the crash reports. The delay is acceptable to a caller whose response has not begun.
const CIRCUIT_DECISION_WAIT: Duration = Duration::from_millis(700);

impl Driver {
    /// Checks that the generation's content isn't quarantined for crashing engines.
    pub(crate) async fn admit(&self, proof: &mut Option<NotRunProof>) -> Result<(), End> {
        let Err(quarantined) = self.context.node.admit(self.job.content).await else {
            return Ok(());
        };
        Err(match proof.take() {
            Some(proof) => End::NotRun(NotRun::new(proof, NotRunReason::Quarantined(quarantined))),
            None => End::OutcomeUnknown,
        })
    }

    /// Whether a generation that its engine interrupted may continue on another one. If the engine
    /// itself has crashed and the generation had just begun there, the crash is reported to the
    /// homes of its service.
    pub(crate) async fn may_continue(&mut self, permit: &Permit) -> bool {
        let now_ms = self.clock.now_ms();
        let ran_ms = self
            .first_engine_token_ms
            .map(|started_ms| now_ms.saturating_sub(started_ms));
        if !is_crash_suspect(ran_ms) || !self.engine_has_exited(permit).await {
            return true;
        }
        let node = &self.context.node;
        node.report_upstream_crash(self.job.content, permit.upstream);
        self.crashed_engines += 1;
        if self.crashed_engines >= MAX_CRASHED_ENGINES {
            let name = self.job.generation.name();
            warn!("relay: {name} is not continued after {MAX_CRASHED_ENGINES} engine crashes");
            return false;
        }
        if self.crashed_engines + 1 == MAX_CRASHED_ENGINES {
            sleep(CIRCUIT_DECISION_WAIT).await;
        }
        true
    }

    /// Whether an engine that had not announced that it leaves has exited, or doesn't answer.
    async fn engine_has_exited(&self, permit: &Permit) -> bool {
        if !self.context.node.is_engine_live(permit.upstream) {
            return false;
        }
        sleep(LISTENER_CLOSE_WAIT).await;
        match timeout(PROBE_TIMEOUT, permit.engine.load()).await {
            Ok(Ok(_)) => false,
            Ok(Err(error)) => matches!(error, EngineError::NotRun(_)),
            Err(_) => true,
        }
    }
}
