//! The server side of the protocol between entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarpath_policy::{
    Circuit, ContentKey, CrashedRun, EnginePermitRequest, HostKey, OrganisationKey,
    PermitRequestId, SoundContent, UpstreamKey,
};
use fulmarpath_wire::{
    ClaimAnswer, ClaimRequest, Document, FetchAnswer, LimitAnswer, Peer, PeerClient, PermitAnswer,
    PermitId, PermitReply, Ping, Pong, Progress, ProgressReply, SlotRequest, framed,
};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;
use crate::poison;

/// Creates a client for the peer at the other end of a connection.
pub(crate) fn client(socket: TcpStream) -> PeerClient {
    let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
    PeerClient::new(tarpc::client::Config::default(), transport).spawn()
}

/// Serves peers on `listener` until the process ends.
pub(crate) async fn listen(node: Arc<Node>, listener: TcpListener) -> std::io::Result<()> {
    listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let _ = socket.set_nodelay(true);
            let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
            let server = Server { node: node.clone() };
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(requests.for_each(|request| async {
                tokio::spawn(request);
            }));
        }
    });
    Ok(())
}

#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

impl Peer for Server {
    async fn ping(self, _: Context, ping: Ping) -> Pong {
        self.node.handle_ping(ping)
    }

    async fn ping_through(self, _: Context, target: SocketAddr, ping: Ping) -> Option<Pong> {
        self.node.ping_once(target, ping).await
    }

    async fn document(self, _: Context, document: Document) -> Vec<u8> {
        match document {
            Document::Root => {
                let active = self.node.documents.active();
                active.and_then(|active| serde_json::to_vec(&active.root).ok())
            }
            Document::HostList => serde_json::to_vec(&self.node.documents.listing().document).ok(),
        }
        .unwrap_or_default()
    }

    async fn announce(self, _: Context, holder: SocketAddr, document: Document, value: Vec<u8>) {
        self.node
            .adopt_document(Some(holder), document, &value)
            .await;
    }

    async fn part(self, _: Context, hash: String) -> Vec<u8> {
        let active = self.node.documents.active();
        active
            .and_then(|active| active.part_values.get(&hash).cloned())
            .unwrap_or_default()
    }

    async fn ask(
        self,
        _: Context,
        upstream: UpstreamKey,
        request: EnginePermitRequest,
    ) -> PermitReply {
        let reply = self.node.handle_permit_request(upstream, request).await;
        reply.unwrap_or(PermitReply {
            answer: PermitAnswer::NotHome,
            load: Default::default(),
        })
    }

    async fn withdraw(self, _: Context, upstream: UpstreamKey, request: PermitRequestId) {
        let now_ms = self.node.clock.now_ms();
        self.node.homes.withdraw(now_ms, upstream, request);
    }

    async fn progress(self, _: Context, host: HostKey, progress: Vec<Progress>) -> ProgressReply {
        let now_ms = self.node.clock.now_ms();
        let mut reply = self.node.homes.progress(now_ms, &progress);
        reply.moves = self.node.homes.take_moves(host);
        reply
    }

    async fn restore(
        self,
        _: Context,
        upstream: UpstreamKey,
        request: EnginePermitRequest,
    ) -> Option<PermitId> {
        let settings = self.node.home_settings_of(upstream)?;
        let now_ms = self.node.clock.now_ms();
        let homes = &self.node.homes;
        Some(homes.restore(now_ms, upstream, settings, request))
    }

    async fn take_slot(self, _: Context, request: SlotRequest) -> LimitAnswer {
        self.node.acquire_slot(request)
    }

    async fn restate_slots(self, _: Context, host: HostKey, slots: Vec<(OrganisationKey, u32)>) {
        self.node.set_held_slots(host, &slots);
    }

    async fn claim(self, _: Context, claim: ClaimRequest) -> ClaimAnswer {
        self.node.claims.claim(claim).await
    }

    async fn report_crash(self, _: Context, run: CrashedRun) {
        poison::handle_crash_report(&self.node.as_circuit_host(), &run);
    }

    async fn may_probe(self, _: Context, contents: Vec<ContentKey>) -> bool {
        poison::grant_probe(self.node.as_ref(), &contents)
    }

    async fn release_probe(self, _: Context, contents: Vec<ContentKey>) {
        poison::handle_probe_release(self.node.as_ref(), &contents);
    }

    async fn report_success(self, _: Context, sound: Vec<SoundContent>) {
        poison::handle_success_report(&self.node.as_circuit_host(), sound);
    }

    async fn exchange_circuits(self, _: Context, circuits: Vec<Circuit>) -> Vec<Circuit> {
        poison::handle_circuit_exchange(self.node.as_ref(), circuits)
    }

    async fn fetch(
        self,
        _: Context,
        organisation: OrganisationKey,
        generation: String,
        from: u32,
    ) -> FetchAnswer {
        match self.node.generations.get() {
            Some(generations) => generations.fetch(organisation, &generation, from).await,
            None => FetchAnswer::Unknown,
        }
    }
}
