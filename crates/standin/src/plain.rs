//! A stand-in plain service that counts the calls that it executes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use fulmarpath_http::{BodyInterrupted, full, serve, stream_body};
use futures::future::ready;
use futures::stream::once;
use http_body_util::BodyExt;
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const HEADER_LIMIT_BYTES: usize = 16_384;

/// A stand-in plain service that responds with the path and the body of the request.
#[derive(Debug, Clone)]
pub struct StandinPlain {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// This number of subsequent calls is executed but gets no response.
    pub drop_responses: Arc<AtomicU32>,
    /// A call whose body contains this text crashes the service; empty for none.
    pub crash_on: Arc<Mutex<String>>,
    /// Cancelled by a crash: connections are refused, and requests get no response.
    crashed: CancellationToken,
    runs: Arc<AtomicU64>,
    by_path: Arc<Mutex<HashMap<String, u32>>>,
}

impl StandinPlain {
    /// Starts a plain service on `listener`.
    pub fn start(listener: TcpListener) -> std::io::Result<Self> {
        let plain = Self {
            address: listener.local_addr()?,
            drop_responses: Arc::default(),
            crash_on: Arc::default(),
            crashed: CancellationToken::new(),
            runs: Arc::default(),
            by_path: Arc::default(),
        };
        let server = plain.clone();
        let crashed = plain.crashed.clone();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move {
            let _stop = stop;
            let handler = move |request: hyper::Request<hyper::body::Incoming>| {
                let server = server.clone();
                async move { server.respond(request).await }
            };
            tokio::select! {
                () = serve(listener, HEADER_LIMIT_BYTES, stopped, handler) => {}
                () = crashed.cancelled() => {}
            }
        });
        Ok(plain)
    }

    /// Whether a call has crashed it.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    /// Number of executed calls.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Number of executed calls of a path.
    pub fn runs_of(&self, path: &str) -> u32 {
        self.by_path.lock().get(path).copied().unwrap_or(0)
    }

    async fn respond(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> fulmarpath_http::Reply {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let path = request.uri().path().to_owned();
        *self.by_path.lock().entry(path.clone()).or_default() += 1;
        let dropped =
            self.drop_responses
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                });
        if dropped.is_ok() {
            std::future::pending::<()>().await;
        }
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body);
        let crash_on = self.crash_on.lock().clone();
        if !crash_on.is_empty() && body.contains(&crash_on) {
            self.crashed.cancel();
            // The response is cut off, as when the process dies.
            let truncated = once(ready(Err(BodyInterrupted)));
            return hyper::Response::new(stream_body(truncated));
        }
        let text = format!("{path} {body}");
        full(StatusCode::OK, "text/plain", text)
    }
}
