//! Keeps requests that end upstreams from the next one, over all hosts.
//!
//! Two hosts are home of a service's crashes. Each run that had just begun on an upstream that ended
//! is one message to each of them, and each ruling one to every host, which is rare: nothing here
//! grows with the square of the fleet, whatever crashes at once. What a host has missed it gets with
//! its next pings.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{
    Admission, Alibis, ContentKey, CrashRecord, HostKey, Millis, Ruling, Rulings, ServiceKey,
    Standing, UpstreamKey,
};
use fulmarpath_wire::{GatewayPeerClient, Holding, MemberNote, RulingsDigest};
use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::crashes::BrokenRun;
use crate::encoding::{EncodingError, decode};
use crate::gateway::Gateway;
use crate::intake::Inquiry;
use crate::problem::Problem;

/// Hosts that record a service's crashes. With one alone, what it knew would be gone with it, and
/// three more upstreams with that.
const HOMES: usize = 2;
/// Between two looks of a home at reports that have come: those of one moment are ruled on together.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);
/// When to come back while another request of the same content runs: about the time of a short one.
const ANOTHER_RUNS_MS: Millis = 500;

/// What this host knows of requests that end upstreams.
///
/// Lock order: crashes, rulings.
#[derive(Default)]
pub(crate) struct Quarantine {
    crashes: Mutex<Crashes>,
    rulings: Mutex<Rulings>,
    alibis: Mutex<Alibis>,
}

/// As a home.
#[derive(Default)]
struct Crashes {
    record: CrashRecord,
    is_judging: bool,
}

impl Gateway {
    fn crash_homes(&self, service: &str) -> Vec<(HostKey, MemberNote)> {
        let members = self.fleet.members.lock();
        members.homes_of(ServiceKey::of(service).0, HOMES)
    }

    /// Reports a run that may be what ended its upstream to the homes of its service.
    pub(crate) fn blame(self: &Arc<Self>, run: &BrokenRun) {
        let (content, upstream) = (run.content, run.upstream());
        let now_ms = self.clock.now_ms();
        if !run.is_suspect() || self.quarantine.alibis.lock().has(now_ms, content) {
            return;
        }
        for (key, note) in self.crash_homes(&run.service) {
            if key == self.host_key() {
                self.hear_strike(content, upstream);
                continue;
            }
            let gateway = self.clone();
            tokio::spawn(async move {
                let call = |client: GatewayPeerClient, context| async move {
                    client.strike(context, content, upstream).await
                };
                if let Err(error) = gateway.fleet.peers.call(note.address, call).await {
                    warn!("quarantine: a home did not hear of a crash: {error}");
                }
            });
        }
    }

    /// Records a crash as a home, and rules on it in a moment.
    pub(crate) fn hear_strike(self: &Arc<Self>, content: ContentKey, upstream: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        let mut crashes = self.quarantine.crashes.lock();
        crashes.record.strike(now_ms, content, upstream);
        self.judge_soon(&mut crashes);
    }

    fn judge_soon(self: &Arc<Self>, crashes: &mut Crashes) {
        if std::mem::replace(&mut crashes.is_judging, true) {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(JUDGE_PERIOD).await;
                let (made, is_over) = gateway.judge();
                gateway.tell_rulings(made);
                if is_over {
                    return;
                }
            }
        });
    }

    /// Rules on what has settled; whether that was all.
    fn judge(&self) -> (Vec<Ruling>, bool) {
        let now_ms = self.clock.now_ms();
        let mut crashes = self.quarantine.crashes.lock();
        let made = {
            let mut rulings = self.quarantine.rulings.lock();
            crashes.record.judge(now_ms, &mut rulings)
        };
        crashes.is_judging = crashes.record.has_unjudged();
        (made, !crashes.is_judging)
    }

    /// Tells all hosts of rulings that this one has made.
    fn tell_rulings(self: &Arc<Self>, made: Vec<Ruling>) {
        if made.is_empty() {
            return;
        }
        for ruling in &made {
            let crashes: Vec<String> = ruling
                .crashes
                .iter()
                .map(|upstream| format!("{:016x}", upstream.0))
                .collect();
            info!(
                "quarantine: content {:016x} is {} by this home, turn {}; it had begun on {} that ended: {}",
                ruling.content.0,
                name(ruling.standing),
                ruling.turn,
                crashes.len(),
                crashes.join(", ")
            );
        }
        self.announce(Holding::Rulings, &made, self.everybody());
    }

    /// Takes rulings of a home.
    pub(crate) fn take_rulings(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.adopt_rulings(decode(Holding::Rulings, value)?, "a home");
        Ok(())
    }

    fn adopt_rulings(&self, told: Vec<Ruling>, source: &str) {
        let now_ms = self.clock.now_ms();
        for ruling in told {
            let (content, standing) = (ruling.content, ruling.standing);
            if self.quarantine.rulings.lock().adopt(now_ms, ruling) {
                let standing = name(standing);
                info!(
                    "quarantine: content {:016x} is {standing}, by {source}",
                    content.0
                );
            }
        }
    }

    /// A hash of the rulings that this host knows.
    pub(crate) fn rulings_digest(&self) -> RulingsDigest {
        let now_ms = self.clock.now_ms();
        RulingsDigest(self.quarantine.rulings.lock().digest(now_ms))
    }

    /// Contents that may not run like any other.
    pub(crate) fn quarantined(&self) -> usize {
        self.quarantine.rulings.lock().restricted()
    }

    /// Exchanges all rulings with a peer that knows others.
    pub(crate) async fn exchange_rulings(&self, peer: std::net::SocketAddr) {
        let own = self.all_rulings();
        let call = |client: GatewayPeerClient, context| async move {
            client.exchange_rulings(context, own).await
        };
        match self.fleet.peers.call(peer, call).await {
            Ok(theirs) => self.adopt_rulings(theirs, "a peer"),
            Err(error) => warn!("quarantine: could not exchange rulings: {error}"),
        }
    }

    /// Answers a peer's rulings with this host's.
    pub(crate) fn answer_rulings(&self, theirs: Vec<Ruling>) -> Vec<Ruling> {
        let own = self.all_rulings();
        self.adopt_rulings(theirs, "a peer");
        own
    }

    fn all_rulings(&self) -> Vec<Ruling> {
        let now_ms = self.clock.now_ms();
        self.quarantine.rulings.lock().all(now_ms)
    }

    /// Why a request may not be sent at all, where that is known without asking.
    pub(crate) fn bar(&self, inquiry: &Inquiry) -> Result<(), Problem> {
        let now_ms = self.clock.now_ms();
        let rulings = self.quarantine.rulings.lock();
        match rulings.admit(now_ms, inquiry.content) {
            Admission::Free | Admission::AskHome => Ok(()),
            Admission::Refused { retry_after_ms } => Err(Problem::Quarantined { retry_after_ms }),
        }
    }

    /// Whether a request may begin to run now. Where its content runs one at a time, this is the one
    /// from then on.
    pub(crate) async fn admit(&self, inquiry: &Inquiry) -> Result<(), Problem> {
        let now_ms = self.clock.now_ms();
        let admission = self
            .quarantine
            .rulings
            .lock()
            .admit(now_ms, inquiry.content);
        match admission {
            Admission::Free => Ok(()),
            Admission::Refused { retry_after_ms } => Err(Problem::Quarantined { retry_after_ms }),
            Admission::AskHome if self.has_leave(inquiry).await => Ok(()),
            Admission::AskHome => Err(Problem::Quarantined {
                retry_after_ms: ANOTHER_RUNS_MS,
            }),
        }
    }

    async fn has_leave(&self, inquiry: &Inquiry) -> bool {
        let content = inquiry.content;
        for (key, note) in self.crash_homes(&inquiry.service) {
            if key == self.host_key() {
                return self.grant(content);
            }
            let call = |client: GatewayPeerClient, context| async move {
                client.may_try(context, content).await
            };
            match self.fleet.peers.call(note.address, call).await {
                Ok(granted) => return granted,
                Err(error) => warn!("quarantine: a home gives no leave: {error}"),
            }
        }
        false
    }

    /// Answers as a home whether a request of this content may be the one that runs.
    pub(crate) fn grant(&self, content: ContentKey) -> bool {
        let now_ms = self.clock.now_ms();
        self.quarantine.crashes.lock().record.grant(now_ms, content)
    }

    /// An upstream has answered a request whole: it doesn't end upstreams.
    pub(crate) fn vindicate(self: &Arc<Self>, inquiry: &Inquiry) {
        let content = inquiry.content;
        let now_ms = self.clock.now_ms();
        self.quarantine.alibis.lock().note(now_ms, content);
        let is_restricted = {
            let rulings = self.quarantine.rulings.lock();
            let known = rulings.find(content);
            known.is_some_and(|known| known.standing != Standing::Free)
        };
        if !is_restricted {
            return;
        }
        for (key, note) in self.crash_homes(&inquiry.service) {
            if key == self.host_key() {
                self.hear_clear(content);
                continue;
            }
            let gateway = self.clone();
            tokio::spawn(async move {
                let call = |client: GatewayPeerClient, context| async move {
                    client.clear(context, content).await
                };
                if let Err(error) = gateway.fleet.peers.call(note.address, call).await {
                    warn!("quarantine: a home did not hear of an answer: {error}");
                }
            });
        }
    }

    /// Frees a content as a home.
    pub(crate) fn hear_clear(self: &Arc<Self>, content: ContentKey) {
        let now_ms = self.clock.now_ms();
        let freed = {
            let mut crashes = self.quarantine.crashes.lock();
            let freed = {
                let mut rulings = self.quarantine.rulings.lock();
                crashes.record.clear(now_ms, content, &mut rulings)
            };
            if crashes.record.has_unjudged() {
                self.judge_soon(&mut crashes);
            }
            freed
        };
        self.tell_rulings(freed.into_iter().collect());
    }
}

fn name(standing: Standing) -> &'static str {
    match standing {
        Standing::Free => "free",
        Standing::OneAtATime => "run one at a time",
        Standing::Barred => "barred",
    }
}
