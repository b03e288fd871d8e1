//! Connections to peers, for any service of this package.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_BOUND: Duration = Duration::from_millis(300);
/// The bound on a call; whatever takes longer is asked for again.
const CALL_BOUND: Duration = Duration::from_millis(700);

/// A call to a peer that got no answer. The peer may have carried it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not get an answer from peer {address}")]
pub struct NoAnswer {
    /// The peer.
    pub address: SocketAddr,
}

/// A connection that nothing has used for so long is closed. Pings go to every member in turn, so
/// without this each host of a large fleet would hold a connection to each other.
const IDLE_BOUND: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct Open<C> {
    client: C,
    used_at: Instant,
}

/// Connections to the peers that this host speaks to, opened when needed.
#[derive(Debug)]
pub struct Peers<C> {
    clients: Mutex<HashMap<SocketAddr, Open<C>>>,
    open: fn(TcpStream) -> C,
}

impl<C: Clone> Peers<C> {
    /// No connection yet; `open` makes a client of a new one.
    pub fn new(open: fn(TcpStream) -> C) -> Self {
        Self {
            clients: Mutex::default(),
            open,
        }
    }

    /// Calls a peer once.
    ///
    /// A call that fails or outlives its bound closes the connection. One that a middle box has
    /// forgotten stays silent for good while new ones work: its symptom is a first call without an
    /// answer, and every call has a bound, so none is used again after that.
    ///
    /// # Errors
    /// [`NoAnswer`]
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(C, Context) -> F,
    ) -> Result<T, NoAnswer>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.call_within(address, CALL_BOUND, call).await
    }

    /// Calls a peer once, with a bound of its own.
    ///
    /// # Errors
    /// [`NoAnswer`]
    pub async fn call_within<T, F>(
        &self,
        address: SocketAddr,
        bound: Duration,
        call: impl FnOnce(C, Context) -> F,
    ) -> Result<T, NoAnswer>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + bound;
        match timeout(bound, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                self.clients.lock().remove(&address);
                Err(NoAnswer { address })
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<C, NoAnswer> {
        if let Some(open) = self.clients.lock().get_mut(&address) {
            open.used_at = Instant::now();
            return Ok(open.client.clone());
        }
        let Ok(Ok(socket)) = timeout(CONNECT_BOUND, TcpStream::connect(address)).await else {
            return Err(NoAnswer { address });
        };
        let _ = socket.set_nodelay(true);
        let client = (self.open)(socket);
        let open = Open {
            client: client.clone(),
            used_at: Instant::now(),
        };
        self.clients.lock().insert(address, open);
        Ok(client)
    }

    /// Closes idle connections.
    pub fn tidy(&self) {
        let mut clients = self.clients.lock();
        clients.retain(|_, open| open.used_at.elapsed() < IDLE_BOUND);
    }
}

/// The longest message: a part of the configuration with its framing.
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Cuts a connection into messages; both ends use it.
pub fn framed(socket: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_framed(socket)
}
