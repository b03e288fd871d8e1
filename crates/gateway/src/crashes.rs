//! Detects upstreams that end without notice, and reports the runs that had just started there.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::{LISTENER_CLOSE_WAIT, is_listening_over};
use fulmarpath_policy::{Millis, RequestContents, SharedPart, UpstreamKey, is_crash_suspect};
use spdlog::info;
use tokio::time::{sleep, timeout};

use crate::control::EngineStatus;
use crate::gateway::Gateway;
use crate::head::PromptPart;
use crate::inbound::InboundRequest;
use crate::tracker::{RequestTracker, logged_parts};
use crate::upstreams::instance::ChosenUpstream;

/// An upstream that accepts connections may have been restarted already: its registration shows
/// the new incarnation within this time.
const RESTART_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A run whose connection ended before its response did.
#[derive(Debug, Clone)]
pub(crate) struct InterruptedRun {
    chosen: ChosenUpstream,
    pub(crate) request: String,
    pub(crate) contents: RequestContents,
    /// The first shared parts of its prompt, for log lines.
    parts: Vec<PromptPart>,
    /// When the request was sent to the upstream.
    pub(crate) sent_ms: Millis,
    /// Time since the first bytes of the response; `None` if none had arrived.
    ran_ms: Option<Millis>,
}

impl InterruptedRun {
    pub(crate) fn new(
        chosen: &ChosenUpstream,
        inbound: &InboundRequest,
        tracker: &RequestTracker,
        ran_ms: Option<Millis>,
    ) -> Self {
        Self {
            chosen: chosen.clone(),
            request: tracker.id.clone(),
            contents: inbound.contents.clone(),
            parts: inbound
                .generation
                .as_ref()
                .map_or_else(Vec::new, |generation| logged_parts(generation).to_vec()),
            sent_ms: tracker.last_dispatch_ms(),
            ran_ms,
        }
    }

    /// The incarnation of the upstream that ended.
    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.chosen.upstream
    }

    /// The shared parts of its prompt, each with its contents as in the lines of circuits.
    fn describe_parts(&self) -> String {
        let parts = self.parts.iter().map(|part| {
            let shared = SharedPart::new(part.id, self.contents.model);
            let (any_model, in_model) = (shared.any_model.0, shared.in_model.0);
            format!(
                "{:x} ({any_model:016x}, {in_model:016x} in its model)",
                part.id
            )
        });
        parts.collect::<Vec<String>>().join(", ")
    }

    /// Whether the run is suspected to have crashed its upstream.
    pub(crate) fn is_suspect(&self) -> bool {
        is_crash_suspect(self.ran_ms)
    }
}

impl Gateway {
    /// Checks whether an upstream that broke off a run has itself ended.
    ///
    /// A connection looks the same after a crash of the upstream and after a network fault. Without
    /// this check, network faults would be taken for crashes, and the requests suspected.
    pub(crate) fn check_for_crash(self: &Arc<Self>, run: InterruptedRun) {
        let gateway = self.clone();
        tokio::spawn(async move {
            if gateway.has_ended(&run.chosen).await {
                gateway.log_crash(&run);
                gateway.report_suspect(&run);
            }
        });
    }

    /// Whether an upstream has ended without notice. An upstream that had given notice ends as
    /// announced, regardless of the requests that ran there.
    async fn has_ended(&self, chosen: &ChosenUpstream) -> bool {
        if chosen.lost.is_cancelled() {
            return true;
        }
        if !self.instances.takes_work(chosen.key) {
            return false;
        }
        // Too many requests can crash a cold upstream, whatever their content.
        if self.instances.is_cold(self.clock.now_ms(), chosen.key) {
            return false;
        }
        let has_lost_link = self.dial.has_lost_link(chosen.address);
        if !is_listening_over(&self.dial, chosen.address).await {
            let now_ms = self.clock.now_ms();
            let can_tell = !has_lost_link && !self.dial.is_cut_off(now_ms);
            return can_tell || self.dial.is_out_of_reach(now_ms, chosen.address);
        }
        timeout(RESTART_TIMEOUT, chosen.lost.cancelled())
            .await
            .is_ok()
    }

    /// Whether an engine still runs that has just closed a connection in order.
    ///
    /// A process that ends closes its connections as if their streams were complete.
    pub(crate) async fn is_engine_running(self: &Arc<Self>, engine: &ChosenUpstream) -> bool {
        sleep(LISTENER_CLOSE_WAIT).await;
        if engine.lost.is_cancelled() {
            return false;
        }
        let has_lost_link = self.dial.has_lost_link(engine.address);
        let result = self.control.probe(&self.dial, engine.address).await;
        if !matches!(result.status, EngineStatus::Gone | EngineStatus::Unknown) {
            return self.is_current_incarnation(engine.upstream, result);
        }
        // Where this host had no link of its own, only other hosts can tell.
        let now_ms = self.clock.now_ms();
        has_lost_link && !self.dial.is_out_of_reach(now_ms, engine.address)
    }

    /// Like [`Self::is_engine_running`], for an upstream of any service: one that is no engine has
    /// no report, and is only connected to.
    pub(crate) async fn is_upstream_running(
        self: &Arc<Self>,
        service: &str,
        upstream: &ChosenUpstream,
    ) -> bool {
        if self.engine_traits(service).is_some() {
            return self.is_engine_running(upstream).await;
        }
        let has_lost_link = self.dial.has_lost_link(upstream.address);
        let is_listening = is_listening_over(&self.dial, upstream.address).await;
        if upstream.lost.is_cancelled() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        is_listening || has_lost_link && !self.dial.is_out_of_reach(now_ms, upstream.address)
    }

    fn log_crash(&self, run: &InterruptedRun) {
        let is_suspect = run.is_suspect();
        self.metrics.crash(is_suspect);
        let progress = match run.ran_ms {
            Some(ran_ms) => format!("after {ran_ms} ms of its response"),
            None => "before its response began".to_owned(),
        };
        info!(
            "crashes: {} ended without notice under request {}, content {:016x}, prompt parts [{}], \
             {progress}",
            run.chosen.instance,
            run.request,
            run.contents.whole.0,
            run.describe_parts()
        );
    }
}
