//! Generations whose engine ended as it began to run them.

use std::time::Duration;

use fulmarpath_cluster::Permit;
use fulmarpath_http::LISTENER_CLOSE_WAIT;
use fulmarpath_policy::is_crash_suspect;
use fulmarpath_upstream::EngineError;
use spdlog::warn;
use tokio::time::{sleep, timeout};

use crate::drive::Driver;
use crate::outcome::{End, NotRun, NotRunReason, Unsent};

/// Time for an engine's word that it is there.
const CHECK_BOUND: Duration = Duration::from_millis(250);
/// Engines that may end under one generation until it is given up. Without a bound its host took it to
/// every engine in turn, and each ended with all that ran there.
const MOST_ENDED: u32 = 3;
/// After the second of them the homes' decision is waited for, which stands some 400 ms after the
/// reports; a caller whose answer had not begun can bear that.
const CIRCUIT_WAIT: Duration = Duration::from_millis(700);

impl Driver {
    /// Whether the generation may begin to run, by what its content has done to engines.
    pub(crate) async fn admit(&self, unsent: &mut Option<Unsent>) -> Result<(), End> {
        let (service, content) = (self.job.request.service, self.job.content);
        let Err(quarantined) = self.drivers.node.admit(service, content).await else {
            return Ok(());
        };
        Err(match unsent.take() {
            Some(proof) => End::NotRun(NotRun::new(proof, NotRunReason::Quarantined(quarantined))),
            None => End::OutcomeUnknown,
        })
    }

    /// Whether a generation that its engine broke off may go on elsewhere. Where the engine itself
    /// has ended and the generation had just begun there, the homes of its service hear of it.
    pub(crate) async fn may_go_on(&mut self, permit: &Permit) -> bool {
        let now_ms = self.clock.now_ms();
        let ran_ms = self.begun_ms.map(|begun| now_ms.saturating_sub(begun));
        if !is_crash_suspect(ran_ms) || !self.has_ended(permit).await {
            return true;
        }
        let (service, content) = (self.job.request.service, self.job.content);
        let node = &self.drivers.node;
        node.report_upstream_crash(service, content, permit.upstream);
        self.ended_engines += 1;
        if self.ended_engines >= MOST_ENDED {
            let name = self.job.generation.name();
            warn!("relay: {name} is given up, {MOST_ENDED} engines ended under it");
            return false;
        }
        if self.ended_engines + 1 == MOST_ENDED {
            sleep(CIRCUIT_WAIT).await;
        }
        true
    }

    /// Whether an engine has ended without notice, or says nothing any more.
    async fn has_ended(&self, permit: &Permit) -> bool {
        if !self.drivers.node.is_engine_live(permit.upstream) {
            return false;
        }
        sleep(LISTENER_CLOSE_WAIT).await;
        match timeout(CHECK_BOUND, permit.engine.load()).await {
            Ok(Ok(_)) => false,
            Ok(Err(error)) => matches!(error, EngineError::NotRun(_)),
            Err(_) => true,
        }
    }
}
