//! Connects the gateway to the circuits that quarantine poison requests on all hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmarpath_cluster::poison::{self, CircuitHost};
use fulmarpath_cluster::{CRASH_HOMES, CircuitBreakers};
use fulmarpath_policy::{Admission, Circuit, ContentKey, HostKey, Millis, ServiceKey, UpstreamKey};
use fulmarpath_wire::{GatewayPeerClient, MemberInfo, NoAnswer, ReplicatedState};

use crate::crashes::InterruptedRun;
use crate::encoding::{EncodingError, decode};
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
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

    fn crash_homes(&self, service: ServiceKey) -> Vec<(HostKey, MemberInfo)> {
        let members = self.fleet.members.lock();
        members.homes_of(service.0, CRASH_HOMES)
    }

    async fn report_crash(
        &self,
        home: SocketAddr,
        content: ContentKey,
        upstream: UpstreamKey,
    ) -> Result<(), NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.report_crash(context, content, upstream).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn report_success(&self, home: SocketAddr, content: ContentKey) -> Result<(), NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.report_success(context, content).await
        };
        self.fleet.peers.call(home, call).await
    }

    async fn request_probe(&self, home: SocketAddr, content: ContentKey) -> Result<bool, NoAnswer> {
        let call = |client: GatewayPeerClient, context| async move {
            client.may_probe(context, content).await
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

    /// Reports a run that is suspected to have crashed its upstream to the homes of its service.
    pub(crate) fn report_suspect(self: &Arc<Self>, run: &InterruptedRun) {
        if run.is_suspect() {
            let service = ServiceKey::of(&run.service);
            let host = self.as_circuit_host();
            poison::report_crash(&host, service, run.content, run.upstream());
        }
    }

    /// Applies circuits that a home has announced.
    pub(crate) fn handle_circuits(&self, value: &[u8]) -> Result<(), EncodingError> {
        poison::adopt_circuits(self, decode(ReplicatedState::Circuits, value)?, "a home");
        Ok(())
    }

    /// Refuses a request whose circuit is known to be open, without asking a home.
    pub(crate) fn refuse_if_open(&self, inbound: &InboundRequest) -> Result<(), Problem> {
        let admission = self
            .circuit_breakers
            .admit(self.clock.now_ms(), inbound.content);
        match admission {
            Admission::Allowed | Admission::NeedsProbe => Ok(()),
            Admission::Refused { retry_after_ms } => Err(Problem::Quarantined { retry_after_ms }),
        }
    }

    /// Admits a request to run. If requests with its content may run only one at a time, this
    /// request holds the single place from then on.
    pub(crate) async fn admit(&self, inbound: &InboundRequest) -> Result<(), Problem> {
        let service = ServiceKey::of(&inbound.service);
        let admitted = poison::admit(self, service, inbound.content).await;
        admitted.map_err(|quarantined| Problem::Quarantined {
            retry_after_ms: quarantined.retry_after_ms,
        })
    }

    /// Records that an upstream answered a request with success.
    pub(crate) fn note_success(self: &Arc<Self>, inbound: &InboundRequest) {
        let service = ServiceKey::of(&inbound.service);
        poison::note_success(&self.as_circuit_host(), service, inbound.content);
    }
}
