//! A stand-in plain service that counts what it ran.

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

/// A stand-in plain service: it answers with the request's path and body.
#[derive(Debug, Clone)]
pub struct StandinPlain {
    /// Where it listens.
    pub address: SocketAddr,
    /// So many coming calls are run and never answered.
    pub drop_responses: Arc<AtomicU32>,
    /// A body with this text ends the service as it begins to run it; empty for none.
    pub crash_on: Arc<Mutex<String>>,
    /// Connections are refused, and nothing is answered any more.
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
        let ended = plain.crashed.clone();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move {
            let _stop = stop;
            let handler = move |request: hyper::Request<hyper::body::Incoming>| {
                let server = server.clone();
                async move { server.answer(request).await }
            };
            tokio::select! {
                () = serve(listener, HEADER_LIMIT_BYTES, stopped, handler) => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(plain)
    }

    /// Whether a call has ended it.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    /// Calls that were run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Runs by path.
    pub fn runs_of(&self, path: &str) -> u32 {
        self.by_path.lock().get(path).copied().unwrap_or(0)
    }

    async fn answer(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> fulmarpath_http::Reply {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let path = request.uri().path().to_owned();
        *self.by_path.lock().entry(path.clone()).or_default() += 1;
        let lost = self
            .drop_responses
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            });
        if lost.is_ok() {
            std::future::pending::<()>().await;
        }
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body);
        let crash_on = self.crash_on.lock().clone();
        if !crash_on.is_empty() && body.contains(&crash_on) {
            self.crashed.cancel();
            // The answer breaks off, as that of a process that is gone.
            let broken = once(ready(Err(BodyInterrupted)));
            return hyper::Response::new(stream_body(broken));
        }
        let text = format!("{path} {body}");
        full(StatusCode::OK, "text/plain", text)
    }
}
