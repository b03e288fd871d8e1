//! The answering side of the protocol between gateways.

use std::sync::Arc;

use fulmarpath_wire::{GatewayPeer, GatewayPeerClient, Holding, Ping, Pong, framed};
use futures::StreamExt;
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::Gateway;

/// A client of the gateway at the other end of a connection.
pub(crate) fn client(socket: TcpStream) -> GatewayPeerClient {
    let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
    GatewayPeerClient::new(Config::default(), transport).spawn()
}

impl Gateway {
    /// Answers peers until the process ends.
    pub(crate) async fn answer_peers(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let _ = socket.set_nodelay(true);
            let transport = tarpc::serde_transport::new(framed(socket), Bincode::default());
            let server = Server {
                gateway: self.clone(),
            };
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(requests.for_each(|request| async {
                tokio::spawn(request);
            }));
        }
    }
}

#[derive(Clone)]
struct Server {
    gateway: Arc<Gateway>,
}

impl GatewayPeer for Server {
    async fn ping(self, _: Context, ping: Ping) -> Pong {
        self.gateway.pong(ping)
    }

    async fn holding(self, _: Context, holding: Holding) -> Vec<u8> {
        let held = match holding {
            Holding::Configuration => {
                let held = self.gateway.in_force();
                serde_json::to_vec(&held.map(|held| held.configuration.clone()))
            }
            Holding::Upstreams => serde_json::to_vec(&self.gateway.roster.lock().directory()),
        };
        held.unwrap_or_else(|error| {
            spdlog::warn!("fleet: could not write what a peer asks for: {error}");
            Vec::new()
        })
    }
}
