//! A server loop and the bodies of its replies.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The body of a reply.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// A whole reply.
pub type Reply = Response<Body>;

/// Serves connections until `stop` turns true, then finishes the exchanges that run.
///
/// `header_limit_bytes` bounds a request's head; a longer one is refused by hyper with status 431.
pub async fn serve<H, F>(
    listener: TcpListener,
    header_limit_bytes: usize,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((socket, _)) = accepted else { continue };
        let _ = socket.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let reply = handler(request);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(header_limit_bytes.max(8_192))
            .serve_connection(TokioIo::new(socket), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
    graceful.shutdown().await;
}

/// A reply with a whole body.
pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    reply(status, content_type, Full::new(body.into()).boxed_unsync())
}

/// A reply without a body.
pub fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Empty::new().boxed_unsync());
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
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    reply(
        status,
        content_type,
        BodyExt::boxed_unsync(StreamBody::new(frames)),
    )
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
