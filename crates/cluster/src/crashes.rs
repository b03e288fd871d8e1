//! Keeps requests that end upstreams from the next one, over all entry hosts.
//!
//! Two hosts are home of a service's crashes and rule on the contents that are reported; rulings go
//! from host to host with the pings, so a crash costs a few messages whatever the fleet's size.

use std::sync::Arc;

use fulmarpath_policy::{Admission, ContentKey, HostKey, Millis, Ruling, ServiceKey, UpstreamKey};
use fulmarpath_store::ListedState;
use fulmarpath_wire::{MemberNote, PeerClient};
use spdlog::{info, warn};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::clock::Clock;
use crate::node::Node;
use crate::quarantine::{ANOTHER_RUNS_MS, CRASH_HOMES, JUDGE_PERIOD};

/// Reports within this time are of one crash of an upstream. The host list names no starts, and one
/// that started again in its place is the same to it; a start takes longer than this.
const ONE_CRASH_MS: Millis = 4_000;

/// A request may not run now, since upstreams ended as they began to run its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not run it: upstreams ended as they began to run the same request")]
pub struct Quarantined {
    /// When to come back.
    pub retry_after_ms: Millis,
}

impl Node {
    fn crash_homes(&self, service: ServiceKey) -> Vec<(HostKey, MemberNote)> {
        self.members.lock().homes_of(service.0, CRASH_HOMES)
    }

    fn tell_homes<F>(
        self: &Arc<Self>,
        service: ServiceKey,
        here: impl Fn(&Arc<Self>),
        call: impl Fn(PeerClient, Context) -> F + Clone + Send + 'static,
    ) where
        F: Future<Output = Result<(), RpcError>> + Send,
    {
        for (key, note) in self.crash_homes(service) {
            if key == self.key {
                here(self);
                continue;
            }
            let (node, call) = (self.clone(), call.clone());
            tokio::spawn(async move {
                if let Err(error) = node.peers.call(note.address, call).await {
                    warn!("crashes: a home did not hear of a run's end: {error}");
                }
            });
        }
    }

    /// Whether an engine is listed and not as leaving.
    pub fn takes_generations(&self, upstream: UpstreamKey) -> bool {
        let listing = self.documents.listing();
        let listed = listing.engines.get(&upstream);
        listed.is_some_and(|listed| listed.entry.state == ListedState::Live)
    }

    /// Reports that a request had just begun on an upstream that ended without notice.
    pub fn blame(
        self: &Arc<Self>,
        service: ServiceKey,
        content: ContentKey,
        upstream: UpstreamKey,
    ) {
        if self.quarantine.has_alibi(self.clock.now_ms(), content) {
            return;
        }
        let moment = Clock::wall_ms() / ONE_CRASH_MS;
        let crash = UpstreamKey::of(&format!("{:016x}/{moment}", upstream.0));
        info!(
            "crashes: {} ended without notice under content {:016x}",
            self.upstream_name(upstream),
            content.0
        );
        self.tell_homes(
            service,
            |node| node.hear_strike(content, crash),
            move |client, context| async move { client.strike(context, content, crash).await },
        );
    }

    /// Records a crash as a home, and rules on it in a moment.
    pub(crate) fn hear_strike(self: &Arc<Self>, content: ContentKey, crash: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        if self.quarantine.strike(now_ms, content, crash) {
            tokio::spawn(self.clone().judge());
        }
    }

    async fn judge(self: Arc<Self>) {
        loop {
            tokio::time::sleep(JUDGE_PERIOD).await;
            let judgement = self.quarantine.judge(self.clock.now_ms());
            judgement.made.iter().for_each(tell);
            if judgement.is_over {
                return;
            }
        }
    }

    /// Whether a request may begin to run now.
    ///
    /// # Errors
    /// [`Quarantined`]
    pub async fn admit(&self, service: ServiceKey, content: ContentKey) -> Result<(), Quarantined> {
        let retry_after_ms = match self.quarantine.admit(self.clock.now_ms(), content) {
            Admission::Free => return Ok(()),
            Admission::AskHome if self.has_leave(service, content).await => return Ok(()),
            Admission::AskHome => ANOTHER_RUNS_MS,
            Admission::Refused { retry_after_ms } => retry_after_ms,
        };
        Err(Quarantined { retry_after_ms })
    }

    async fn has_leave(&self, service: ServiceKey, content: ContentKey) -> bool {
        for (key, note) in self.crash_homes(service) {
            if key == self.key {
                return self.grant(content);
            }
            let call =
                |client: PeerClient, context| async move { client.may_try(context, content).await };
            match self.peers.call(note.address, call).await {
                Ok(granted) => return granted,
                Err(error) => warn!("crashes: a home gives no leave: {error}"),
            }
        }
        false
    }

    /// Answers as a home whether a request of this content may be the one that runs.
    pub(crate) fn grant(&self, content: ContentKey) -> bool {
        self.quarantine.grant(self.clock.now_ms(), content)
    }

    /// An upstream has answered a request whole: it doesn't end upstreams.
    pub fn vindicate(self: &Arc<Self>, service: ServiceKey, content: ContentKey) {
        if self.quarantine.note_answer(self.clock.now_ms(), content) {
            self.tell_homes(
                service,
                |node| node.hear_clear(content),
                move |client, context| async move { client.clear(context, content).await },
            );
        }
    }

    /// Frees a content as a home.
    pub(crate) fn hear_clear(self: &Arc<Self>, content: ContentKey) {
        let (freed, must_judge) = self.quarantine.clear(self.clock.now_ms(), content);
        freed.iter().for_each(tell);
        if must_judge {
            tokio::spawn(self.clone().judge());
        }
    }

    /// Exchanges all rulings with a peer that knows others.
    pub(crate) async fn exchange_rulings(&self, peer: std::net::SocketAddr) {
        let own = self.quarantine.rulings(self.clock.now_ms());
        let call = |client: PeerClient, context| async move {
            client.exchange_rulings(context, own).await
        };
        match self.peers.call(peer, call).await {
            Ok(theirs) => self.adopt_rulings(theirs),
            Err(error) => warn!("crashes: could not exchange rulings: {error}"),
        }
    }

    /// Answers a peer's rulings with this host's.
    pub(crate) fn answer_rulings(&self, theirs: Vec<Ruling>) -> Vec<Ruling> {
        let own = self.quarantine.rulings(self.clock.now_ms());
        self.adopt_rulings(theirs);
        own
    }

    fn adopt_rulings(&self, told: Vec<Ruling>) {
        let now_ms = self.clock.now_ms();
        for ruling in told {
            if self.quarantine.adopt(now_ms, ruling.clone()) {
                tell(&ruling);
            }
        }
    }
}

fn tell(ruling: &Ruling) {
    info!(
        "crashes: content {:016x} is {}; it had begun on {} that ended",
        ruling.content.0,
        ruling.standing.name(),
        ruling.crashes.len()
    );
}
