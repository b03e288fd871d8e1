//! Keeps poison requests, which end whatever upstream runs them, from the next upstream, over all hosts.
//!
//! Two hosts are home of a service's crashes. Each run that had just begun on an upstream that ended
//! is one message to each of them, and each change of a circuit, which is rare, reaches every host:
//! nothing here grows with the square of the fleet, whatever crashes at once. Hosts of either kind
//! bring their own way of reaching each other.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmarpath_policy::{Admission, Circuit, ContentKey, HostKey, Millis, ServiceKey, UpstreamKey};
use fulmarpath_wire::{MemberInfo, NoAnswer};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::circuit_breakers::{CircuitBreakers, EVALUATION_PERIOD, PROBE_RUNS_MS};

/// A request may not run now, since upstreams ended as they began to run its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not run it: upstreams ended as they began to run the same request")]
pub struct Quarantined {
    /// When to come back.
    pub retry_after_ms: Millis,
}

/// A host among others that know circuits.
#[async_trait]
pub trait CircuitHost: Send + Sync {
    /// What it knows.
    fn breakers(&self) -> &CircuitBreakers;
    /// The present time.
    fn now_ms(&self) -> Millis;
    /// Its own key.
    fn key(&self) -> HostKey;
    /// The homes of a service's crashes.
    fn crash_homes(&self, service: ServiceKey) -> Vec<(HostKey, MemberInfo)>;
    /// Reports a crash to a home.
    async fn report_crash(
        &self,
        home: SocketAddr,
        content: ContentKey,
        upstream: UpstreamKey,
    ) -> Result<(), NoAnswer>;
    /// Reports to a home that a content was answered whole.
    async fn report_success(&self, home: SocketAddr, content: ContentKey) -> Result<(), NoAnswer>;
    /// Asks a home whether a request may be the one that runs.
    async fn request_probe(&self, home: SocketAddr, content: ContentKey) -> Result<bool, NoAnswer>;
    /// Tells a peer all that this host knows, for all that the peer knows.
    async fn swap_circuits(
        &self,
        peer: SocketAddr,
        own: Vec<Circuit>,
    ) -> Result<Vec<Circuit>, NoAnswer>;
    /// Has other hosts hear of what this one has decided as a home.
    fn announce_circuits(self: Arc<Self>, decided: &[Circuit]);
}

/// Reports a run that may be what ended its upstream to the homes of its service.
pub fn report_crash(
    host: &Arc<dyn CircuitHost>,
    service: ServiceKey,
    content: ContentKey,
    upstream: UpstreamKey,
) {
    if host.breakers().has_succeeded(host.now_ms(), content) {
        return;
    }
    for (key, note) in host.crash_homes(service) {
        if key == host.key() {
            handle_crash_report(host, content, upstream);
            continue;
        }
        let host = host.clone();
        tokio::spawn(async move {
            let told = host.report_crash(note.address, content, upstream).await;
            if let Err(error) = told {
                warn!("circuits: a home did not hear of a crash: {error}");
            }
        });
    }
}

/// Records a crash as a home, and decides on its content in a moment.
pub fn handle_crash_report(
    host: &Arc<dyn CircuitHost>,
    content: ContentKey,
    upstream: UpstreamKey,
) {
    if host.breakers().report(host.now_ms(), content, upstream) {
        tokio::spawn(evaluate(host.clone()));
    }
}

/// Decides as a home until no report waits.
async fn evaluate(host: Arc<dyn CircuitHost>) {
    loop {
        sleep(EVALUATION_PERIOD).await;
        let evaluation = host.breakers().evaluate(host.now_ms());
        tell(&host, &evaluation.decided);
        if evaluation.is_over {
            return;
        }
    }
}

fn tell(host: &Arc<dyn CircuitHost>, decided: &[Circuit]) {
    if decided.is_empty() {
        return;
    }
    for circuit in decided {
        let crashes = circuit.crashes.iter();
        let crashes: Vec<String> = crashes.map(|one| format!("{:016x}", one.0)).collect();
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

/// Whether a request may begin to run now. Where its content runs one at a time, this is the one from
/// then on.
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
        Admission::NeedsProbe => PROBE_RUNS_MS,
        Admission::Refused { retry_after_ms } => retry_after_ms,
    };
    Err(Quarantined { retry_after_ms })
}

async fn may_probe(host: &dyn CircuitHost, service: ServiceKey, content: ContentKey) -> bool {
    for (key, note) in host.crash_homes(service) {
        if key == host.key() {
            return grant_probe(host, content);
        }
        match host.request_probe(note.address, content).await {
            Ok(granted) => return granted,
            Err(error) => warn!("circuits: a home grants no probe: {error}"),
        }
    }
    false
}

/// Answers as a home whether a request of this content may be the one that runs.
pub fn grant_probe(host: &dyn CircuitHost, content: ContentKey) -> bool {
    host.breakers().grant_probe(host.now_ms(), content)
}

/// An upstream has answered a request whole: it doesn't end upstreams. A failure says nothing: a sick
/// upstream fails what it has not run.
pub fn note_success(host: &Arc<dyn CircuitHost>, service: ServiceKey, content: ContentKey) {
    if !host.breakers().note_success(host.now_ms(), content) {
        return;
    }
    for (key, note) in host.crash_homes(service) {
        if key == host.key() {
            handle_success_report(host, content);
            continue;
        }
        let host = host.clone();
        tokio::spawn(async move {
            if let Err(error) = host.report_success(note.address, content).await {
                warn!("circuits: a home did not hear of a success: {error}");
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
    tell(host, closed.as_slice());
}

/// Takes circuits; those that are news.
pub fn adopt_circuits(host: &dyn CircuitHost, told: Vec<Circuit>, source: &str) -> Vec<Circuit> {
    let now_ms = host.now_ms();
    let mut news = told;
    news.retain(|circuit| host.breakers().adopt(now_ms, circuit.clone()));
    for circuit in &news {
        let (content, state) = (circuit.content.0, circuit.state.name());
        info!("circuits: content {content:016x} is {state}, by {source}");
    }
    news
}

/// Exchanges all circuits with a peer that knows others.
pub async fn exchange_circuits(host: &dyn CircuitHost, peer: SocketAddr) {
    let own = host.breakers().circuits(host.now_ms());
    match host.swap_circuits(peer, own).await {
        Ok(theirs) => {
            adopt_circuits(host, theirs, "a peer");
        }
        Err(error) => warn!("circuits: could not exchange them: {error}"),
    }
}

/// Answers a peer's circuits with this host's.
pub fn handle_circuit_exchange(host: &dyn CircuitHost, theirs: Vec<Circuit>) -> Vec<Circuit> {
    let own = host.breakers().circuits(host.now_ms());
    adopt_circuits(host, theirs, "a peer");
    own
}
