//! Keeps requests that end upstreams from the next one, over all hosts.
//!
//! Two hosts are home of a service's crashes. Each run that had just begun on an upstream that ended
//! is one message to each of them, and each ruling one to every host, which is rare: nothing here
//! grows with the square of the fleet, whatever crashes at once. What a host has missed it gets with
//! its next pings.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarpath_cluster::{ANOTHER_RUNS_MS, CRASH_HOMES, JUDGE_PERIOD};
use fulmarpath_policy::{Admission, ContentKey, HostKey, Ruling, ServiceKey, UpstreamKey};
use fulmarpath_wire::{GatewayPeerClient, Holding, MemberNote, NoAnswer};
use spdlog::{info, warn};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::sleep;

use crate::crashes::BrokenRun;
use crate::encoding::{EncodingError, decode};
use crate::gateway::Gateway;
use crate::intake::Inquiry;
use crate::problem::Problem;

impl Gateway {
    fn crash_homes(&self, service: &str) -> Vec<(HostKey, MemberNote)> {
        let members = self.fleet.members.lock();
        members.homes_of(ServiceKey::of(service).0, CRASH_HOMES)
    }

    /// Tells the homes of a service, this host's own part included.
    fn tell_homes<F>(
        self: &Arc<Self>,
        service: &str,
        here: impl Fn(&Arc<Self>),
        call: impl Fn(GatewayPeerClient, Context) -> F + Clone + Send + 'static,
    ) where
        F: Future<Output = Result<(), RpcError>> + Send,
    {
        for (key, note) in self.crash_homes(service) {
            if key == self.host_key() {
                here(self);
                continue;
            }
            let (gateway, call) = (self.clone(), call.clone());
            tokio::spawn(async move {
                let told: Result<(), NoAnswer> = gateway.fleet.peers.call(note.address, call).await;
                if let Err(error) = told {
                    warn!("quarantine: a home did not hear of a run's end: {error}");
                }
            });
        }
    }

    /// Reports a run that may be what ended its upstream to the homes of its service.
    pub(crate) fn blame(self: &Arc<Self>, run: &BrokenRun) {
        let (content, upstream) = (run.content, run.upstream());
        let now_ms = self.clock.now_ms();
        if !run.is_suspect() || self.quarantine.has_alibi(now_ms, content) {
            return;
        }
        self.tell_homes(
            &run.service,
            |gateway| gateway.hear_strike(content, upstream),
            move |client, context| async move { client.strike(context, content, upstream).await },
        );
    }

    /// Records a crash as a home, and rules on it in a moment.
    pub(crate) fn hear_strike(self: &Arc<Self>, content: ContentKey, upstream: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        if self.quarantine.strike(now_ms, content, upstream) {
            tokio::spawn(self.clone().judge());
        }
    }

    /// Rules as a home until no report waits.
    async fn judge(self: Arc<Self>) {
        loop {
            sleep(JUDGE_PERIOD).await;
            let judgement = self.quarantine.judge(self.clock.now_ms());
            self.tell_rulings(judgement.made);
            if judgement.is_over {
                return;
            }
        }
    }

    /// Tells all hosts of rulings that this one has made.
    fn tell_rulings(self: &Arc<Self>, made: Vec<Ruling>) {
        if made.is_empty() {
            return;
        }
        for ruling in &made {
            let crashes = ruling.crashes.iter();
            let crashes: Vec<String> = crashes.map(|one| format!("{:016x}", one.0)).collect();
            info!(
                "quarantine: content {:016x} is {}, by this home in turn {}; it had begun on {} that ended: {}",
                ruling.content.0,
                ruling.standing.name(),
                ruling.turn,
                crashes.len(),
                crashes.join(", ")
            );
            self.keep_bar(ruling);
        }
        self.announce(Holding::Rulings, &made, self.everybody());
    }

    /// Takes rulings of a home.
    pub(crate) fn take_rulings(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.adopt_rulings(decode(Holding::Rulings, value)?, "a home");
        Ok(())
    }

    /// Takes rulings; those that are news.
    pub(crate) fn adopt_rulings(&self, told: Vec<Ruling>, source: &str) -> Vec<Ruling> {
        let now_ms = self.clock.now_ms();
        let mut news = told;
        news.retain(|ruling| self.quarantine.adopt(now_ms, ruling.clone()));
        for ruling in &news {
            let (content, standing) = (ruling.content.0, ruling.standing.name());
            info!("quarantine: content {content:016x} is {standing}, by {source}");
        }
        news
    }

    /// Exchanges all rulings with a peer that knows others.
    pub(crate) async fn exchange_rulings(&self, peer: SocketAddr) {
        let own = self.quarantine.rulings(self.clock.now_ms());
        let call = |client: GatewayPeerClient, context| async move {
            client.exchange_rulings(context, own).await
        };
        match self.fleet.peers.call(peer, call).await {
            Ok(theirs) => {
                self.adopt_rulings(theirs, "a peer");
            }
            Err(error) => warn!("quarantine: could not exchange rulings: {error}"),
        }
    }

    /// Answers a peer's rulings with this host's.
    pub(crate) fn answer_rulings(&self, theirs: Vec<Ruling>) -> Vec<Ruling> {
        let own = self.quarantine.rulings(self.clock.now_ms());
        self.adopt_rulings(theirs, "a peer");
        own
    }

    /// Why a request may not be sent at all, where that is known without asking.
    pub(crate) fn bar(&self, inquiry: &Inquiry) -> Result<(), Problem> {
        match self.quarantine.admit(self.clock.now_ms(), inquiry.content) {
            Admission::Free | Admission::AskHome => Ok(()),
            Admission::Refused { retry_after_ms } => Err(Problem::Quarantined { retry_after_ms }),
        }
    }

    /// Whether a request may begin to run now. Where its content runs one at a time, this is the one
    /// from then on.
    pub(crate) async fn admit(&self, inquiry: &Inquiry) -> Result<(), Problem> {
        let retry_after_ms = match self.quarantine.admit(self.clock.now_ms(), inquiry.content) {
            Admission::Free => return Ok(()),
            Admission::AskHome if self.has_leave(inquiry).await => return Ok(()),
            Admission::AskHome => ANOTHER_RUNS_MS,
            Admission::Refused { retry_after_ms } => retry_after_ms,
        };
        Err(Problem::Quarantined { retry_after_ms })
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
        self.quarantine.grant(self.clock.now_ms(), content)
    }

    /// An upstream has answered a request with success: it doesn't end upstreams. A failure says
    /// nothing: a sick upstream fails what it has not run.
    pub(crate) fn vindicate(self: &Arc<Self>, inquiry: &Inquiry) {
        let content = inquiry.content;
        if self.quarantine.note_answer(self.clock.now_ms(), content) {
            self.tell_homes(
                &inquiry.service,
                |gateway| gateway.hear_clear(content),
                move |client, context| async move { client.clear(context, content).await },
            );
        }
    }

    /// Frees a content as a home.
    pub(crate) fn hear_clear(self: &Arc<Self>, content: ContentKey) {
        let (freed, must_judge) = self.quarantine.clear(self.clock.now_ms(), content);
        if must_judge {
            tokio::spawn(self.clone().judge());
        }
        self.tell_rulings(freed.into_iter().collect());
    }
}
