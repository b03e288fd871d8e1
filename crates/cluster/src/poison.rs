//! Quarantine of poison requests, which crash every upstream that runs them, across all hosts.
//!
//! Two hosts are the homes of a service's crash reports. Each run that had just begun on an
//! upstream that crashed costs one message to each home. Each change of a circuit, which is rare,
//! reaches every host. The traffic therefore doesn't grow with the square of the fleet, however
//! many upstreams crash at once. Entry hosts and gateways implement [`CircuitHost`] with their own
//! transport.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmarpath_policy::{Admission, Circuit, ContentKey, HostKey, Millis, ServiceKey, UpstreamKey};
use fulmarpath_wire::{MemberInfo, NoAnswer};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::circuit_breakers::{CircuitBreakers, EVALUATION_PERIOD, PROBE_RETRY_MS};

/// A request may not run now, since upstreams crashed as they began to run its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not run it: upstreams crashed as they began to run the same content")]
pub struct Quarantined {
    /// When to retry.
    pub retry_after_ms: Millis,
}

/// A host that takes part in the quarantine of poison requests.
#[async_trait]
pub trait CircuitHost: Send + Sync {
    /// The host's circuit breakers.
    fn breakers(&self) -> &CircuitBreakers;
    /// The current time.
    fn now_ms(&self) -> Millis;
    /// The host's own key.
    fn key(&self) -> HostKey;
    /// The homes of a service's crash reports.
    fn crash_homes(&self, service: ServiceKey) -> Vec<(HostKey, MemberInfo)>;
    /// Reports a crash to a home.
    async fn report_crash(
        &self,
        home: SocketAddr,
        content: ContentKey,
        upstream: UpstreamKey,
    ) -> Result<(), NoAnswer>;
    /// Reports to a home that a request of this content was answered completely.
    async fn report_success(&self, home: SocketAddr, content: ContentKey) -> Result<(), NoAnswer>;
    /// Asks a home whether a request may run as the circuit's probe.
    async fn request_probe(&self, home: SocketAddr, content: ContentKey) -> Result<bool, NoAnswer>;
    /// Exchanges all circuits of this host for those of a peer.
    async fn swap_circuits(
        &self,
        peer: SocketAddr,
        own: Vec<Circuit>,
    ) -> Result<Vec<Circuit>, NoAnswer>;
    /// Announces to other hosts the circuits that this one has decided as a home.
    fn announce_circuits(self: Arc<Self>, decided: &[Circuit]);
}

/// Reports a run that may have crashed its upstream to the homes of its service.
pub fn report_crash(
    host: &Arc<dyn CircuitHost>,
    service: ServiceKey,
    content: ContentKey,
    upstream: UpstreamKey,
) {
    if host.breakers().has_succeeded(host.now_ms(), content) {
        return;
    }
    for (key, info) in host.crash_homes(service) {
        if key == host.key() {
            handle_crash_report(host, content, upstream);
            continue;
        }
        let host = host.clone();
        tokio::spawn(async move {
            let result = host.report_crash(info.address, content, upstream).await;
            if let Err(error) = result {
                warn!(
                    "circuits: could not report a crash of content {:016x} to home {}: {error}",
                    content.0, info.name
                );
            }
        });
    }
}

/// Records a crash as a home, and schedules the decision on its content.
pub fn handle_crash_report(
    host: &Arc<dyn CircuitHost>,
    content: ContentKey,
    upstream: UpstreamKey,
) {
    if host.breakers().report(host.now_ms(), content, upstream) {
        tokio::spawn(evaluate(host.clone()));
    }
}

/// Decides as a home until no report is pending.
async fn evaluate(host: Arc<dyn CircuitHost>) {
    loop {
        sleep(EVALUATION_PERIOD).await;
        let evaluation = host.breakers().evaluate(host.now_ms());
        announce(&host, &evaluation.decided);
        if evaluation.is_over {
            return;
        }
    }
}

fn announce(host: &Arc<dyn CircuitHost>, decided: &[Circuit]) {
    if decided.is_empty() {
        return;
    }
    for circuit in decided {
        let crashes = circuit.crashes.iter();
        let crashes: Vec<String> = crashes.map(|crash| format!("{:016x}", crash.0)).collect();
        info!(
            "circuits: content {:016x} is {}, by this home in version {}; it had begun on {} that ended: {}",
            circuit.content.0,
            circuit.state.name(),
            circuit.version,
            crashes.len(),
            crashes.join(", ")
        );
    }
    host.clone().announce_circuits(decided);
}

/// Whether a request may begin to run now. Where the circuit lets one request at a time run as a
/// probe, an admitted request is that probe.
///
/// # Errors
/// [`Quarantined`]
pub async fn admit(
    host: &dyn CircuitHost,
    service: ServiceKey,
    content: ContentKey,
) -> Result<(), Quarantined> {
    let retry_after_ms = match host.breakers().admit(host.now_ms(), content) {
        Admission::Allowed => return Ok(()),
        Admission::NeedsProbe if may_probe(host, service, content).await => return Ok(()),
        Admission::NeedsProbe => PROBE_RETRY_MS,
        Admission::Refused { retry_after_ms } => retry_after_ms,
    };
    Err(Quarantined { retry_after_ms })
}

async fn may_probe(host: &dyn CircuitHost, service: ServiceKey, content: ContentKey) -> bool {
    for (key, info) in host.crash_homes(service) {
        if key == host.key() {
            return grant_probe(host, content);
        }
        match host.request_probe(info.address, content).await {
            Ok(granted) => return granted,
            Err(error) => warn!(
                "circuits: could not ask home {} for a probe of content {:016x}: {error}",
                info.name, content.0
            ),
        }
    }
    false
}

/// Decides as a home whether a request of this content may run as the circuit's probe.
pub fn grant_probe(host: &dyn CircuitHost, content: ContentKey) -> bool {
    host.breakers().grant_probe(host.now_ms(), content)
}

/// Records that an upstream answered a request completely, which shows that its content crashes no
/// upstream. A failure shows nothing, since a failing upstream rejects requests without running
/// them.
pub fn note_success(host: &Arc<dyn CircuitHost>, service: ServiceKey, content: ContentKey) {
    if !host.breakers().note_success(host.now_ms(), content) {
        return;
    }
    for (key, info) in host.crash_homes(service) {
        if key == host.key() {
            handle_success_report(host, content);
            continue;
        }
        let host = host.clone();
        tokio::spawn(async move {
            if let Err(error) = host.report_success(info.address, content).await {
                warn!(
                    "circuits: could not report a success of content {:016x} to home {}: {error}",
                    content.0, info.name
                );
            }
        });
    }
}

/// Closes a content's circuit as a home.
pub fn handle_success_report(host: &Arc<dyn CircuitHost>, content: ContentKey) {
    let (closed, must_evaluate) = host.breakers().clear(host.now_ms(), content);
    if must_evaluate {
        tokio::spawn(evaluate(host.clone()));
    }
    announce(host, closed.as_slice());
}

/// Adopts circuits, and returns those that were updates.
pub fn adopt_circuits(
    host: &dyn CircuitHost,
    received: Vec<Circuit>,
    source: &str,
) -> Vec<Circuit> {
    let now_ms = host.now_ms();
    let mut updates = received;
    updates.retain(|circuit| host.breakers().adopt(now_ms, circuit.clone()));
    for circuit in &updates {
        let (content, state) = (circuit.content.0, circuit.state.name());
        info!("circuits: content {content:016x} is {state}, by {source}");
    }
    updates
}

/// Exchanges all circuits with a peer whose circuits differ.
pub async fn exchange_circuits(host: &dyn CircuitHost, peer: SocketAddr) {
    let own = host.breakers().circuits(host.now_ms());
    match host.swap_circuits(peer, own).await {
        Ok(theirs) => {
            adopt_circuits(host, theirs, "a peer");
        }
        Err(error) => warn!("circuits: could not exchange circuits with a peer: {error}"),
    }
}

/// Adopts a peer's circuits, and returns this host's.
pub fn handle_circuit_exchange(host: &dyn CircuitHost, theirs: Vec<Circuit>) -> Vec<Circuit> {
    let own = host.breakers().circuits(host.now_ms());
    adopt_circuits(host, theirs, "a peer");
    own
}
