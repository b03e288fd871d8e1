//! Upstreams that end without notice, and what had just begun there.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::still_listens;
use fulmarpath_policy::{ContentKey, Millis, UpstreamKey, is_crash_suspect};
use spdlog::info;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::instance::Chosen;

/// An upstream that takes connections may have started again in its place already: its registration
/// says so within this time.
const RESTART_BOUND: Duration = Duration::from_millis(1_000);

/// A run that ended with its connection, before its answer did.
#[derive(Debug, Clone)]
pub(crate) struct InterruptedRun {
    chosen: Chosen,
    request: String,
    pub(crate) content: ContentKey,
    pub(crate) service: String,
    /// How long it had run there; `None` where nothing of its answer had come.
    ran_ms: Option<Millis>,
}

impl InterruptedRun {
    pub(crate) fn new(
        chosen: &Chosen,
        inbound: &InboundRequest,
        request: &str,
        ran_ms: Option<Millis>,
    ) -> Self {
        Self {
            chosen: chosen.clone(),
            request: request.to_owned(),
            content: inbound.content,
            service: inbound.service.clone(),
            ran_ms,
        }
    }

    /// The upstream's start that ended.
    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.chosen.upstream
    }

    /// Whether it may be what ended its upstream.
    pub(crate) fn is_suspect(&self) -> bool {
        is_crash_suspect(self.ran_ms)
    }
}

impl Gateway {
    /// An upstream broke off a run: looks whether the upstream itself has ended.
    ///
    /// A connection that was reset and an upstream that ended look alike from the connection.
    /// Taken for each other, requests would be suspected for what a link does.
    pub(crate) fn check_for_crash(self: &Arc<Self>, run: InterruptedRun) {
        let gateway = self.clone();
        tokio::spawn(async move {
            if gateway.has_ended(&run.chosen).await {
                gateway.log_crash(&run);
                gateway.report_suspect(&run);
            }
        });
    }

    /// Whether an upstream has ended without notice. One that had given notice ends as it said,
    /// whatever ran there.
    async fn has_ended(&self, chosen: &Chosen) -> bool {
        if chosen.lost.is_cancelled() {
            return true;
        }
        if !self.instances.takes_work(chosen.key) {
            return false;
        }
        // More requests than it bears end a cold upstream, whatever they ask for.
        if self.instances.is_cold(self.clock.now_ms(), chosen.key) {
            return false;
        }
        if !still_listens(chosen.address).await {
            return true;
        }
        timeout(RESTART_BOUND, chosen.lost.cancelled())
            .await
            .is_ok()
    }

    fn log_crash(&self, run: &InterruptedRun) {
        let is_suspect = run.is_suspect();
        self.metrics.crash(is_suspect);
        let ran = match run.ran_ms {
            Some(ran_ms) => format!("after {ran_ms} ms of its answer"),
            None => "before its answer began".to_owned(),
        };
        info!(
            "crashes: {} ended without notice under request {}, content {:016x}, {ran}",
            run.chosen.instance, run.request, run.content.0
        );
    }
}
