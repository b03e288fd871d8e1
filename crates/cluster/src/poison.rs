//! Quarantine of poison requests, which crash every upstream that runs them, across all hosts.
//!
//! Two hosts are the homes of all crash reports, because requests for different services may share
//! what crashes their upstreams. Each run that had just begun on an upstream that crashed costs one
//! message to each home. Each change of a circuit, which is rare, reaches every host. The traffic
//! therefore doesn't grow with the square of the fleet, however many upstreams crash at once. Entry
//! hosts and gateways implement [`CircuitHost`] with their own transport.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{
    Admission, Circuit, CircuitState, ContentKey, CrashedRun, HostKey, Millis, RequestContents,
    SoundContent,
};
use fulmarpath_wire::{MemberInfo, NoAnswer};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::circuit_breakers::{CircuitBreakers, EVALUATION_PERIOD, PROBE_RETRY_MS};

/// Key of the crash reports, of which the homes are found as those of any other resource.
pub const CRASH_REPORTS: u64 = 0;
/// Hosts report that a suspected content is sound after a random delay up to this, so that most of
/// them hear before that it is no longer suspected.
const MAX_REPORT_DELAY_MS: Millis = 200;

/// A request may not run now, since upstreams crashed as they began to run the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not run it: upstreams crashed as they began to run the same content")]
pub struct Quarantined {
    /// The content: of the whole request, or of a part of its prompt.
    pub content: ContentKey,
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
    /// The homes of crash reports.
    fn crash_homes(&self) -> Vec<(HostKey, MemberInfo)>;
    /// Reports a crash to a home.
    async fn report_crash(&self, home: SocketAddr, run: CrashedRun) -> Result<(), NoAnswer>;
    /// Reports contents to a home that were answered.
    async fn report_success(
        &self,
        home: SocketAddr,
        sound: Vec<SoundContent>,
    ) -> Result<(), NoAnswer>;
    /// Asks a home whether a request with these contents may run as their probe.
    async fn request_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<bool, NoAnswer>;
    /// Tells a home that a granted probe did not run.
    async fn release_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<(), NoAnswer>;
    /// Exchanges all circuits of this host for those of a peer.
    async fn swap_circuits(
        &self,
        peer: SocketAddr,
        own: Vec<Circuit>,
    ) -> Result<Vec<Circuit>, NoAnswer>;
    /// Announces to other hosts the circuits that this one has decided as a home.
    fn announce_circuits(self: Arc<Self>, decided: &[Circuit]);
}

/// Reports a run that may have crashed its upstream to the homes.
pub fn report_crash(host: &Arc<dyn CircuitHost>, run: CrashedRun) {
    if run.is_cleared() {
        return;
    }
    for (key, info) in host.crash_homes() {
        if key == host.key() {
            handle_crash_report(host, &run);
            continue;
        }
        let (host, run) = (host.clone(), run.clone());
        tokio::spawn(async move {
            let (upstream, run_key) = (run.upstream.0, run.run.0);
            if let Err(error) = host.report_crash(info.address, run).await {
                warn!(
                    "circuits: could not report to home {} that {upstream:016x} crashed under \
                     {run_key:016x}: {error}",
                    info.name
                );
            }
        });
    }
}

/// Records a crash as a home, and schedules the decision on its contents.
pub fn handle_crash_report(host: &Arc<dyn CircuitHost>, run: &CrashedRun) {
    if host.breakers().report(host.now_ms(), run) {
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
    report_sound_suspects(host, decided);
    host.clone().announce_circuits(decided);
}

/// The admission of a request, which may be the probe of some of its contents. If dropped before
/// the request is sent, another request may be the probe.
pub struct Admitted {
    host: Arc<dyn CircuitHost>,
    probed: Vec<ContentKey>,
}

impl Admitted {
    /// Records that the request was sent to an upstream.
    pub fn mark_sent(mut self) {
        self.probed.clear();
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.probed.is_empty() {
            release_probe(&self.host, std::mem::take(&mut self.probed));
        }
    }
}

/// Whether a request may begin to run now. Where a circuit lets one request at a time run as a
/// probe, an admitted request is that probe.
///
/// # Errors
/// [`Quarantined`]
pub async fn admit(
    host: &Arc<dyn CircuitHost>,
    contents: &RequestContents,
) -> Result<Admitted, Quarantined> {
    let admitted = |probed| Admitted {
        host: host.clone(),
        probed,
    };
    let admission = host.breakers().admit(host.now_ms(), contents);
    let retry_after_ms = match admission {
        Admission::Allowed => return Ok(admitted(Vec::new())),
        Admission::NeedsProbe => PROBE_RETRY_MS,
        Admission::Refused { retry_after_ms } => retry_after_ms,
    };
    let blamed = host
        .breakers()
        .with_admission(host.now_ms(), contents, admission);
    let content = blamed.first().copied().unwrap_or(contents.whole);
    if admission == Admission::NeedsProbe && may_probe(host.as_ref(), &blamed).await {
        return Ok(admitted(blamed));
    }
    Err(Quarantined {
        content,
        retry_after_ms,
    })
}

/// Refuses a request of which a circuit is known to be open, without asking a home.
///
/// # Errors
/// [`Quarantined`]
pub fn refuse_if_open(
    host: &dyn CircuitHost,
    contents: &RequestContents,
) -> Result<(), Quarantined> {
    let now_ms = host.now_ms();
    let admission = host.breakers().admit(now_ms, contents);
    let Admission::Refused { retry_after_ms } = admission else {
        return Ok(());
    };
    let blamed = host.breakers().with_admission(now_ms, contents, admission);
    Err(Quarantined {
        content: blamed.first().copied().unwrap_or(contents.whole),
        retry_after_ms,
    })
}

async fn may_probe(host: &dyn CircuitHost, contents: &[ContentKey]) -> bool {
    for (key, info) in host.crash_homes() {
        if key == host.key() {
            return grant_probe(host, contents);
        }
        match host.request_probe(info.address, contents.to_vec()).await {
            Ok(granted) => return granted,
            Err(error) => warn!(
                "circuits: could not ask home {} for a probe of {}: {error}",
                info.name,
                names(contents.iter().copied())
            ),
        }
    }
    false
}

/// Decides as a home whether a request with these contents may run as their probe.
pub fn grant_probe(host: &dyn CircuitHost, contents: &[ContentKey]) -> bool {
    host.breakers().grant_probe(host.now_ms(), contents)
}

fn release_probe(host: &Arc<dyn CircuitHost>, contents: Vec<ContentKey>) {
    for (key, info) in host.crash_homes() {
        if key == host.key() {
            handle_probe_release(host.as_ref(), &contents);
            continue;
        }
        let (host, contents) = (host.clone(), contents.clone());
        tokio::spawn(async move {
            let all = names(contents.iter().copied());
            if let Err(error) = host.release_probe(info.address, contents).await {
                warn!(
                    "circuits: could not tell home {} that a probe of {all} did not run: {error}",
                    info.name
                );
            }
        });
    }
}

/// Lets another request be the probe of these contents, as a home.
pub fn handle_probe_release(host: &dyn CircuitHost, contents: &[ContentKey]) {
    host.breakers().release_probe(contents);
}

/// Records that an upstream began to answer a request at `began_ms` and did not crash, which shows
/// that none of its contents crashes upstreams. A failure shows nothing, since a failing upstream
/// rejects requests without running them.
pub fn note_success(host: &Arc<dyn CircuitHost>, contents: &RequestContents, began_ms: Millis) {
    let sound = host
        .breakers()
        .note_success(host.now_ms(), contents, began_ms);
    report_success(host, sound.restricted);
    report_later(host, sound.suspected);
}

/// Schedules reports on those of the given circuits that became suspected although this host has
/// had them answered.
pub fn report_sound_suspects(host: &Arc<dyn CircuitHost>, circuits: &[Circuit]) {
    report_later(host, suspected(circuits));
}

/// The contents of those circuits that are suspected.
pub fn suspected(circuits: &[Circuit]) -> Vec<ContentKey> {
    let suspected = circuits
        .iter()
        .filter(|circuit| circuit.state == CircuitState::Suspected);
    suspected.map(|circuit| circuit.content).collect()
}

fn report_later(host: &Arc<dyn CircuitHost>, suspected: Vec<ContentKey>) {
    if suspected.is_empty() {
        return;
    }
    let scheduled = host.breakers().schedule_reports(host.now_ms(), suspected);
    if scheduled.is_empty() {
        return;
    }
    let delay_ms = rand::random_range(0..=MAX_REPORT_DELAY_MS);
    let host = host.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        let reports = host.breakers().take_reports(host.now_ms(), &scheduled);
        report_success(&host, reports);
    });
}

fn report_success(host: &Arc<dyn CircuitHost>, sound: Vec<SoundContent>) {
    if sound.is_empty() {
        return;
    }
    for (key, info) in host.crash_homes() {
        if key == host.key() {
            handle_success_report(host, sound.clone());
            continue;
        }
        let (host, sound) = (host.clone(), sound.clone());
        tokio::spawn(async move {
            let contents = names(sound.iter().map(|sound| sound.content));
            if let Err(error) = host.report_success(info.address, sound).await {
                warn!(
                    "circuits: could not report a success of {contents} to home {}: {error}",
                    info.name
                );
            }
        });
    }
}

/// Clears contents as a home.
pub fn handle_success_report(host: &Arc<dyn CircuitHost>, sound: Vec<SoundContent>) {
    let mut all_closed = Vec::new();
    for sound in sound {
        let (closed, must_evaluate) = host.breakers().clear(host.now_ms(), sound);
        if must_evaluate {
            tokio::spawn(evaluate(host.clone()));
        }
        all_closed.extend(closed);
    }
    announce(host, &all_closed);
}

/// Adopts circuits, and returns those that were updates.
pub fn adopt_circuits(
    host: &dyn CircuitHost,
    received: Vec<Circuit>,
    source: &str,
) -> Vec<Circuit> {
    let now_ms = host.now_ms();
    let mut updates = received;
    updates.retain(|circuit| {
        let was_restricted = host.breakers().restricts(circuit.content);
        let is_update = host.breakers().adopt(now_ms, circuit.clone());
        if is_update && (was_restricted || circuit.restricts()) {
            let (content, state) = (circuit.content.0, circuit.state.name());
            info!("circuits: content {content:016x} is {state}, by {source}");
        }
        is_update
    });
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

/// The names of contents in log lines.
fn names(contents: impl Iterator<Item = ContentKey>) -> String {
    let names: Vec<String> = contents
        .map(|content| format!("content {:016x}", content.0))
        .collect();
    names.join(", ")
}
