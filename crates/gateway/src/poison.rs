//! Connects the gateway to the circuits that quarantine poison requests on all hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmarpath_cluster::poison::{self, Admitted, CRASH_REPORTS, CircuitHost, Quarantined};
use fulmarpath_cluster::{CRASH_HOMES, CircuitBreakers};
use fulmarpath_policy::{Circuit, ContentKey, CrashedRun, HostKey, Millis, SoundContent};
use fulmarpath_wire::{GatewayPeerClient, MemberInfo, NoAnswer, ReplicatedState};

use crate::crashes::InterruptedRun;
use crate::encoding::{EncodingError, decode};
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::key::run_key;
use crate::problem::Problem;

#[async_trait]
impl CircuitHost for Gateway {
    fn breakers(&self) -> &CircuitBreakers {
        &self.circuit_breakers
    }

    fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    fn key(&self) -> HostKey {
        self.host_key()
    }

    fn crash_homes(&self) -> Vec<(HostKey, MemberInfo)> {
        let members = self.fleet.members.lock();
        members.homes_of(CRASH_REPORTS, CRASH_HOMES)
    }

    async fn report_crash(&self, home: SocketAddr, run: CrashedRun) -> Result<(), NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.report_crash(context, run).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn report_success(
        &self,
        home: SocketAddr,
        sound: Vec<SoundContent>,
    ) -> Result<(), NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.report_success(context, sound).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn request_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<bool, NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.may_probe(context, contents).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn release_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<(), NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.release_probe(context, contents).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn swap_circuits(
        &self,
        peer: SocketAddr,
        own: Vec<Circuit>,
    ) -> Result<Vec<Circuit>, NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.exchange_circuits(context, own).await
        };
        self.fleet.peers.call(peer, call).await
    }

    fn announce_circuits(self: Arc<Self>, decided: &[Circuit]) {
        for circuit in decided {
            self.store_circuit(circuit);
        }
        self.announce(ReplicatedState::Circuits, &decided, self.all_branches());
    }
}

impl Gateway {
    pub(crate) fn as_circuit_host(self: &Arc<Self>) -> Arc<dyn CircuitHost> {
        self.clone()
    }

    /// Reports a run that is suspected to have crashed its upstream to the homes of crash reports.
    pub(crate) fn report_suspect(self: &Arc<Self>, run: &InterruptedRun) {
        if !run.is_suspect() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let (whole, parts) = self.circuit_breakers.suspects(now_ms, &run.contents);
        let report = CrashedRun {
            run: run_key(&run.request),
            upstream: run.upstream(),
            model: run.contents.model,
            sent_ms_ago: now_ms.saturating_sub(run.sent_ms),
            whole,
            parts,
        };
        poison::report_crash(&self.as_circuit_host(), report);
    }

    /// Applies circuits that a home has announced.
    pub(crate) fn handle_circuits(self: &Arc<Self>, value: &[u8]) -> Result<(), EncodingError> {
        let announced = decode(ReplicatedState::Circuits, value)?;
        let updates = poison::adopt_circuits(self.as_ref(), announced, "a home");
        poison::report_sound_suspects(&self.as_circuit_host(), &updates);
        Ok(())
    }

    /// Refuses a request whose circuit is known to be open, without asking a home.
    pub(crate) fn refuse_if_open(&self, inbound: &InboundRequest) -> Result<(), Problem> {
        poison::refuse_if_open(self, &inbound.contents).map_err(Problem::from)
    }

    /// Admits a request to run. If requests with one of its contents may run only one at a time,
    /// this request holds the single place until it is sent.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        inbound: &InboundRequest,
    ) -> Result<Admitted, Problem> {
        let admitted = poison::admit(&self.as_circuit_host(), &inbound.contents).await;
        admitted.map_err(Problem::from)
    }

    /// Whether a request that may have crashed an upstream is not sent to another one, because one
    /// of its contents is suspected already.
    pub(crate) fn is_suspected(&self, inbound: &InboundRequest) -> bool {
        let now_ms = self.clock.now_ms();
        self.circuit_breakers
            .is_suspected(now_ms, &inbound.contents)
    }

    /// Records that an upstream answers a request with success, since `began_ms`.
    pub(crate) fn note_success(self: &Arc<Self>, inbound: &InboundRequest, began_ms: Millis) {
        poison::note_success(&self.as_circuit_host(), &inbound.contents, began_ms);
    }
}

/// Records that an admitted request was sent; it needs another admission to be sent again.
pub(crate) fn mark_sent(admitted: &mut Option<Admitted>) {
    if let Some(admitted) = admitted.take() {
        admitted.mark_sent();
    }
}

impl From<Quarantined> for Problem {
    fn from(quarantined: Quarantined) -> Self {
        Self::Quarantined {
            content: quarantined.content,
            retry_after_ms: quarantined.retry_after_ms,
        }
    }
}
