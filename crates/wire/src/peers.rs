//! Client connections to peers, for both services of this package.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longer operations are polled.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A call got no answer from a peer, which may have executed it all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not get an answer from peer {address}")]
pub struct NoAnswer {
    /// Address of the peer.
    pub address: SocketAddr,
}

/// Unused connections are closed after this time. Pings go to every member in turn; without the
/// timeout each host of a large fleet would keep a connection to every other.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct Connection<C> {
    client: C,
    used_at: Instant,
}

/// Makes a client from a new socket.
type Connect<C> = Box<dyn Fn(TcpStream) -> C + Send + Sync>;

/// A pool of connections to peers, opened on demand.
pub struct Peers<C> {
    connections: Mutex<HashMap<SocketAddr, Connection<C>>>,
    connect: Connect<C>,
}

impl<C: Clone> Peers<C> {
    /// Creates an empty pool; `connect` makes a client from a new socket.
    pub fn new(connect: impl Fn(TcpStream) -> C + Send + Sync + 'static) -> Self {
        Self {
            connections: Mutex::default(),
            connect: Box::new(connect),
        }
    }

    /// Calls a peer once.
    ///
    /// A call that fails or times out closes the connection. A connection whose state a middlebox
    /// has dropped stays silent for good while new ones work. The first call on it times out, and
    /// the connection is not used again after that.
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
        self.call_with_timeout(address, CALL_TIMEOUT, call).await
    }

    /// Calls a peer once, with a timeout other than the default.
    ///
    /// # Errors
    /// [`NoAnswer`]
    pub async fn call_with_timeout<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(C, Context) -> F,
    ) -> Result<T, NoAnswer>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        match timeout(limit, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                self.connections.lock().remove(&address);
                Err(NoAnswer { address })
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<C, NoAnswer> {
        if let Some(connection) = self.connections.lock().get_mut(&address) {
            connection.used_at = Instant::now();
            return Ok(connection.client.clone());
        }
        let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return Err(NoAnswer { address });
        };
        let _ = socket.set_nodelay(true);
        let client = (self.connect)(socket);
        let connection = Connection {
            client: client.clone(),
            used_at: Instant::now(),
        };
        self.connections.lock().insert(address, connection);
        Ok(client)
    }

    /// Closes connections that have been unused for the idle timeout.
    pub fn close_idle(&self) {
        let mut connections = self.connections.lock();
        connections.retain(|_, connection| connection.used_at.elapsed() < IDLE_TIMEOUT);
    }
}

/// Limit on the length of a message. The largest one carries a part of the configuration, which is
/// at most 1 MB.
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Splits a connection into length-delimited messages; both ends use it.
pub fn framed<S: AsyncRead + AsyncWrite>(socket: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_framed(socket)
}
