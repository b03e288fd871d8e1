//! Crash reports and the quarantine on entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmarpath_policy::{
    Circuit, ContentKey, CrashedRun, HostKey, Millis, RequestContents, RunKey, SoundContent,
    UpstreamKey,
};
use fulmarpath_store::ListedState;
use fulmarpath_wire::{MemberInfo, NoAnswer, PeerClient};
use spdlog::info;

use crate::circuit_breakers::{CRASH_HOMES, CircuitBreakers};
use crate::clock::Clock;
use crate::node::Node;
use crate::poison::{self, Admitted, CRASH_REPORTS, CircuitHost, Quarantined};

/// Reports in the same window of this length count as one crash of an upstream. The host list has
/// no start times, so a restarted upstream looks the same in it; a start takes longer than this.
const CRASH_WINDOW_MS: Millis = 4_000;

#[async_trait]
impl CircuitHost for Node {
    fn breakers(&self) -> &CircuitBreakers {
        &self.circuit_breakers
    }

    fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    fn key(&self) -> HostKey {
        self.key
    }

    fn crash_homes(&self) -> Vec<(HostKey, MemberInfo)> {
        self.members.lock().homes_of(CRASH_REPORTS, CRASH_HOMES)
    }

    async fn report_crash(&self, home: SocketAddr, run: CrashedRun) -> Result<(), NoAnswer> {
        let call =
            |client: PeerClient, context| async move { client.report_crash(context, run).await };
        self.peers.call(home, call).await
    }

    async fn report_success(
        &self,
        home: SocketAddr,
        sound: Vec<SoundContent>,
    ) -> Result<(), NoAnswer> {
        let call = |client: PeerClient, context| async move {
            client.report_success(context, sound).await
        };
        self.peers.call(home, call).await
    }

    async fn request_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<bool, NoAnswer> {
        let call =
            |client: PeerClient, context| async move { client.may_probe(context, contents).await };
        self.peers.call(home, call).await
    }

    async fn release_probe(
        &self,
        home: SocketAddr,
        contents: Vec<ContentKey>,
    ) -> Result<(), NoAnswer> {
        let call = |client: PeerClient, context| async move {
            client.release_probe(context, contents).await
        };
        self.peers.call(home, call).await
    }

    async fn swap_circuits(
        &self,
        peer: SocketAddr,
        own: Vec<Circuit>,
    ) -> Result<Vec<Circuit>, NoAnswer> {
        let call = |client: PeerClient, context| async move {
            client.exchange_circuits(context, own).await
        };
        self.peers.call(peer, call).await
    }

    /// Does nothing: other hosts receive circuits through pings and exchanges.
    fn announce_circuits(self: Arc<Self>, _decided: &[Circuit]) {}
}

impl Node {
    pub(crate) fn as_circuit_host(self: &Arc<Self>) -> Arc<dyn CircuitHost> {
        self.clone()
    }

    /// Whether an engine is listed as live.
    pub fn is_engine_live(&self, upstream: UpstreamKey) -> bool {
        let listing = self.documents.listing();
        let listed = listing.engines.get(&upstream);
        listed.is_some_and(|listed| listed.entry.state == ListedState::Live)
    }

    /// Reports that a request had just begun on an upstream that crashed.
    pub fn report_upstream_crash(self: &Arc<Self>, content: ContentKey, upstream: UpstreamKey) {
        let window = Clock::wall_ms() / CRASH_WINDOW_MS;
        let crash = UpstreamKey::of(&format!("{:016x}/{window}", upstream.0));
        info!(
            "crashes: {} ended without notice under content {:016x}",
            self.upstream_name(upstream),
            content.0
        );
        let contents = RequestContents::of_whole(content);
        let (whole, parts) = self
            .circuit_breakers
            .suspects(self.clock.now_ms(), &contents);
        let run = CrashedRun {
            run: RunKey(content.0),
            upstream: crash,
            model: contents.model,
            sent_ms_ago: 0,
            whole,
            parts,
        };
        poison::report_crash(&self.as_circuit_host(), run);
    }

    /// Whether a request may begin to run now.
    ///
    /// # Errors
    /// [`Quarantined`]
    pub async fn admit(self: &Arc<Self>, content: ContentKey) -> Result<(), Quarantined> {
        let contents = RequestContents::of_whole(content);
        let admitted = poison::admit(&self.as_circuit_host(), &contents).await;
        admitted.map(Admitted::mark_sent)
    }

    /// Records that an upstream answered a request completely.
    pub fn note_success(self: &Arc<Self>, content: ContentKey) {
        let contents = RequestContents::of_whole(content);
        poison::note_success(&self.as_circuit_host(), &contents, self.clock.now_ms());
    }
}
