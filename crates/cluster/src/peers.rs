//! Connections to peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarpath_wire::PeerClient;
use parking_lot::Mutex;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

const CONNECT_BOUND: Duration = Duration::from_millis(300);
/// The bound on a call; whatever takes longer is asked for again.
const CALL_BOUND: Duration = Duration::from_millis(700);

/// A call to a peer that got no answer. The peer may have carried it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not get an answer from peer {address}")]
pub(crate) struct NoAnswer {
    pub(crate) address: SocketAddr,
}

/// A connection that nothing has used for so long is closed. Pings go to every member in turn, so
/// without this each host of a large fleet would hold a connection to each other.
const IDLE_BOUND: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct Open {
    client: PeerClient,
    used_at: Instant,
}

/// Connections to the peers that this host speaks to, opened when needed.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, Open>>,
}

impl Peers {
    /// Calls a peer once.
    ///
    /// A call that fails or outlives its bound closes the connection. One that a middle box has
    /// forgotten stays silent for good while new ones work: its symptom is a first call without an
    /// answer, and every call has a bound, so none is used again after that.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, NoAnswer>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + CALL_BOUND;
        match timeout(CALL_BOUND, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                self.clients.lock().remove(&address);
                Err(NoAnswer { address })
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient, NoAnswer> {
        if let Some(open) = self.clients.lock().get_mut(&address) {
            open.used_at = Instant::now();
            return Ok(open.client.clone());
        }
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_LIMIT_BYTES);
        let Ok(Ok(transport)) = timeout(CONNECT_BOUND, connect).await else {
            return Err(NoAnswer { address });
        };
        let client = PeerClient::new(Config::default(), transport).spawn();
        let open = Open {
            client: client.clone(),
            used_at: Instant::now(),
        };
        self.clients.lock().insert(address, open);
        Ok(client)
    }

    /// Closes idle connections.
    pub(crate) fn tidy(&self) {
        let mut clients = self.clients.lock();
        clients.retain(|_, open| open.used_at.elapsed() < IDLE_BOUND);
    }
}

/// The longest message: a part of the configuration with its framing.
pub(crate) const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
