//! HTTP server loop, and constructors of replies and their bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::stream::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use spdlog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::connections::{Connections, OpenConnection};
use crate::reset::{ResetSignal, ResettableSocket, has_unread_bytes};

/// A body that ends before it is complete. The connection is closed without the terminating chunk,
/// so that the peer can't take the part it received for the complete body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not send the complete body")]
pub struct BodyInterrupted;

/// The body of a reply.
pub type Body = UnsyncBoxBody<Bytes, BodyInterrupted>;
/// A response with its body.
pub type Reply = Response<Body>;

/// hyper's default time limit for reading a request head, which includes the idle time before it.
const HYPER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Pause after a connection could not be accepted. A process without free descriptors would
/// otherwise retry without end and use up its processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a newly accepted connection may take to send its first request during a shutdown.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// Limits of a connection. They are read for each new connection, since they may change.
pub trait ConnectionLimits: Send + Sync {
    /// Longest request head; hyper refuses a longer one with status 431.
    fn header_limit_bytes(&self) -> usize;
    /// How long a connection may stay open without a request, or while its peer takes nothing of a
    /// response.
    fn idle_timeout(&self) -> Duration;
    /// Whether a new connection is served; otherwise it is closed unread. Called once for each.
    fn accepts_connection(&self) -> bool {
        true
    }
    /// Descriptors that the connections and their requests may use. Each request counts its own
    /// connection and two to upstreams.
    fn max_descriptors(&self) -> usize {
        usize::MAX
    }
    /// Called for each connection that is closed unread since no descriptors are left for it.
    fn record_turned_away(&self) {}
}

/// Limits that don't change.
#[derive(Debug, Clone, Copy)]
pub struct FixedLimits {
    /// Longest request head.
    pub header_limit_bytes: usize,
    /// How long a connection may stay open without a request, or while its peer takes nothing of a
    /// response.
    pub idle_timeout: Duration,
}

impl ConnectionLimits for FixedLimits {
    fn header_limit_bytes(&self) -> usize {
        self.header_limit_bytes
    }

    fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }
}

/// Serves connections until `stop` becomes true, then finishes the exchanges in flight.
///
/// `header_limit_bytes` limits a request's head; hyper refuses a longer one with status 431.
pub async fn serve<H, F>(
    listener: TcpListener,
    header_limit_bytes: usize,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let limits = FixedLimits {
        header_limit_bytes,
        idle_timeout: HYPER_IDLE_TIMEOUT,
    };
    serve_with_limits(listener, Arc::new(limits), stop, handler).await;
}

/// Like [`serve`], with limits that may change.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    limits: Arc<dyn ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let tasks = TaskTracker::new();
    let connections = Connections::default();
    let stopped = stop.clone();
    let spawn_connection = |socket: TcpStream| {
        let Some(connection) = connections.open(limits.max_descriptors()) else {
            limits.record_turned_away();
            return;
        };
        let _ = socket.set_nodelay(true);
        let (handler, stopped) = (handler.clone(), stopped.clone());
        let limits = limits.clone();
        tasks.spawn(serve_connection(
            socket, connection, limits, stopped, handler,
        ));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((socket, _)) if limits.accepts_connection() => spawn_connection(socket),
            Ok((unread, _)) => drop(unread),
            Err(error) => {
                warn!("http: could not accept a connection: {error}");
                connections.close_one();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_and_drain_backlog(listener)
        .into_iter()
        .for_each(spawn_connection);
    tasks.close();
    tasks.wait().await;
}

/// Closes a listener and returns the connections in its backlog.
///
/// Closing it with connections in the backlog would reset callers that have already sent their
/// requests. The backlog is read by system calls, since the runtime is notified of a new connection
/// only some time after it was established.
fn close_and_drain_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let sockets = std::iter::from_fn(|| listener.accept().ok());
    let sockets = sockets.filter_map(|(socket, _)| {
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket).ok()
    });
    sockets.collect()
}

async fn serve_connection<H, F>(
    socket: TcpStream,
    connection: OpenConnection,
    limits: Arc<dyn ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    let signal = ResetSignal::default();
    let idle_timeout = limits.idle_timeout();
    let open = Arc::new(connection);
    let peer = Arc::new(socket);
    let socket = ResettableSocket::new(peer.clone(), signal.clone(), open.clone(), idle_timeout);
    let answering = open.clone();
    let service = service_fn(move |request| {
        let has_chunks = request.version() > Version::HTTP_10;
        answering.begin();
        let exchange = Exchange(answering.clone());
        let reply = handler(request);
        let signal = signal.clone();
        async move {
            let reply = hold_until_sent(reply.await, exchange);
            Ok::<_, Infallible>(if has_chunks {
                reply
            } else {
                reset_if_interrupted(reply, signal)
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(limits.header_limit_bytes().max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    // On a graceful shutdown, hyper closes a connection without a request at once. The first
    // request of a connection that was just accepted may still be on its way: without this wait,
    // its caller would get no response from a planned shutdown.
    let stopped = async {
        tokio::time::sleep(FIRST_REQUEST_GRACE).await;
        let _ = stop.wait_for(|stopped| *stopped).await;
    };
    let closing = async {
        open.closing().await;
        // The first byte of a request may have arrived without a notification of the runtime.
        while has_unread_bytes(&peer) {
            open.closing().await;
        }
    };
    tokio::select! {
        biased;
        _ = &mut connection => return,
        () = stopped => {}
        () = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// A request in progress, until its response has been sent.
struct Exchange(Arc<OpenConnection>);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// A reply with a complete body.
pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    reply(status, content_type, full_body(body))
}

/// A reply without a body.
pub fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(full_body(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

/// A reply with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, message: &T) -> Reply {
    let body = serde_json::to_vec(message).unwrap_or_default();
    full(status, "application/json", body)
}

/// A reply whose body is sent as the stream yields it.
pub fn stream<S>(status: StatusCode, content_type: &'static str, chunks: S) -> Reply
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    reply(status, content_type, stream_body(chunks.map(Ok)))
}

/// A body that is sent as the stream yields it; an error closes the connection, which shows the
/// peer that the body is incomplete.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyInterrupted>> + Send + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// A complete body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(infallible).boxed_unsync()
}

/// Keeps `guard` until the body of a reply has been sent or its connection has ended.
pub fn hold_until_sent<G: Send + Unpin + 'static>(reply: Reply, guard: G) -> Reply {
    let hold = |body| HeldBody {
        body,
        _guard: guard,
    };
    reply.map(|body| hold(body).boxed_unsync())
}

/// A body with a guard. Its length is that of the body, so that it is stated in the head.
struct HeldBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for HeldBody<G> {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Resets the connection if the body of a reply is interrupted. A caller that reads no chunks could
/// otherwise take the end of the connection for the end of the body.
fn reset_if_interrupted(reply: Reply, signal: ResetSignal) -> Reply {
    reply.map(|body| {
        let body = body.map_err(move |interrupted| {
            signal.set();
            interrupted
        });
        body.boxed_unsync()
    })
}

fn infallible(error: Infallible) -> BodyInterrupted {
    match error {}
}

fn reply(status: StatusCode, content_type: &'static str, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    reply
}
