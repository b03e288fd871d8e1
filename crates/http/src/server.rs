//! A server loop and the bodies of its replies.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::stream::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// A body that ends before it is whole. The connection is closed without the end of the body, so
/// that the peer can't take what it has for all there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not send the body to its end")]
pub struct BodyInterrupted;

/// The body of a reply.
pub type Body = UnsyncBoxBody<Bytes, BodyInterrupted>;
/// A whole reply.
pub type Reply = Response<Body>;

/// hyper's own bound on the wait for a request's head, which covers the idle time before it.
const HYPER_IDLE_BOUND: Duration = Duration::from_secs(30);
/// The least buffer that hyper takes.
const LEAST_BUFFER_BYTES: usize = 8_192;
/// How long a connection that has just been taken may keep its first request to itself.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// What a server allows on a connection; asked anew for each, since the limits may change.
pub trait ConnectionLimits: Send + Sync {
    /// The longest head of a request; a longer one is refused by hyper with status 431.
    fn header_limit_bytes(&self) -> usize;
    /// How long a connection may stay without a request.
    fn idle_timeout(&self) -> Duration;
}

/// Rules that never change.
#[derive(Debug, Clone, Copy)]
pub struct FixedLimits {
    /// The longest head of a request.
    pub header_limit_bytes: usize,
    /// How long a connection may stay without a request.
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

/// Serves connections until `stop` turns true, then finishes the exchanges that run.
///
/// `header_limit_bytes` bounds a request's head; a longer one is refused by hyper with status 431.
pub async fn serve<H, F>(
    listener: TcpListener,
    header_limit_bytes: usize,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let rules = FixedLimits {
        header_limit_bytes,
        idle_timeout: HYPER_IDLE_BOUND,
    };
    serve_with_limits(listener, Arc::new(rules), stop, handler).await;
}

/// Serves connections by `rules` until `stop` turns true, then finishes the exchanges that run.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    rules: Arc<dyn ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let connections = TaskTracker::new();
    let stopped = stop.clone();
    let take = |socket: TcpStream| {
        let _ = socket.set_nodelay(true);
        let (handler, stopped) = (handler.clone(), stopped.clone());
        connections.spawn(serve_one(socket, rules.clone(), stopped, handler));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        if let Ok((socket, _)) = accepted {
            take(socket);
        }
    }
    waiting(listener).into_iter().for_each(take);
    connections.close();
    connections.wait().await;
}

/// Closes a listener and returns the connections that wait to be taken.
///
/// Closing it over them would reset callers who have sent their requests already. The system is
/// asked itself, since the runtime hears of a new connection some time after it was made.
fn waiting(listener: TcpListener) -> Vec<TcpStream> {
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

async fn serve_one<H, F>(
    socket: TcpStream,
    rules: Arc<dyn ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(rules.idle_timeout())
        .max_buf_size(rules.header_limit_bytes().max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    // hyper closes a connection without a request at once when it is told to stop. One that was
    // taken a moment ago may have its request on the way: without this wait a caller would hear
    // nothing from a host that stopped as planned.
    let stopped = async {
        tokio::time::sleep(FIRST_REQUEST_GRACE).await;
        let _ = stop.wait_for(|stopped| *stopped).await;
    };
    tokio::select! {
        _ = &mut connection => return,
        () = stopped => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// A reply with a whole body.
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

/// A body that is sent as the stream yields it; visibly incomplete after an error.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyInterrupted>> + Send + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// A whole body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

fn never(error: Infallible) -> BodyInterrupted {
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
