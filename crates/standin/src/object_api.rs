//! A stand-in object API with injectable outages and lost responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{Reply, empty, full, serve};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;

const HEADER_LIMIT_BYTES: usize = 16_384;
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Faults that a test can inject; all are off initially.
#[derive(Debug, Default)]
pub struct ObjectFaults {
    /// Every request is refused with status 503.
    pub down: AtomicBool,
    /// This number of subsequent writes takes effect but gets no response.
    pub drop_write_responses: AtomicU32,
    /// Watches report no changes; reads still return the current version.
    pub suppress_watches: AtomicBool,
    /// Additional latency of each request.
    pub delay_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
}

/// A stand-in object API.
#[derive(Debug, Clone)]
pub struct StandinObjectApi {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Faults to inject.
    pub faults: Arc<ObjectFaults>,
    counts: Arc<Counts>,
    objects: Arc<Mutex<HashMap<String, (u64, Bytes)>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl StandinObjectApi {
    /// Starts an object API on `listener`.
    pub fn start(listener: TcpListener) -> std::io::Result<Self> {
        let api = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            counts: Arc::default(),
            objects: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        };
        let server = api.clone();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move {
            let _stop = stop;
            let handler = move |request| server.clone().handle(request);
            serve(listener, HEADER_LIMIT_BYTES, stopped, handler).await;
        });
        Ok(api)
    }

    /// Number of reads and watches so far.
    pub fn reads(&self) -> u64 {
        self.counts.reads.load(Ordering::Relaxed)
    }

    /// Number of writes so far, including deletions.
    pub fn writes(&self) -> u64 {
        self.counts.writes.load(Ordering::Relaxed)
    }

    /// The existing keys, sorted.
    pub fn keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = self.objects.lock().keys().cloned().collect();
        keys.sort();
        keys
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let delay_ms = self.faults.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.faults.down.load(Ordering::Relaxed) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/watch/") {
            self.counts.reads.fetch_add(1, Ordering::Relaxed);
            let query = request.uri().query().unwrap_or_default().to_owned();
            return self.watch(key, &query).await;
        }
        let Some(key) = path.strip_prefix("/objects/") else {
            return empty(StatusCode::NOT_FOUND);
        };
        match *request.method() {
            Method::GET => {
                self.counts.reads.fetch_add(1, Ordering::Relaxed);
                self.read(key)
            }
            Method::PUT => {
                self.counts.writes.fetch_add(1, Ordering::Relaxed);
                self.write(key, request).await
            }
            Method::DELETE => {
                self.counts.writes.fetch_add(1, Ordering::Relaxed);
                self.objects.lock().remove(key);
                empty(StatusCode::OK)
            }
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn read(&self, key: &str) -> Reply {
        match self.objects.lock().get(key) {
            Some((version, value)) => object_response(*version, value.clone()),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &str, query: &str) -> Reply {
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait_ms) = (parameter("after"), parameter("wait_ms"));
        let mut changed = self.changed.subscribe();
        let wait = async {
            loop {
                let is_suppressed = self.faults.suppress_watches.load(Ordering::Relaxed);
                let current = self
                    .objects
                    .lock()
                    .get(key)
                    .cloned()
                    .filter(|_| !is_suppressed);
                if let Some((version, value)) = current.filter(|(version, _)| *version > after) {
                    return object_response(version, value);
                }
                if changed.changed().await.is_err() {
                    return empty(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), wait).await;
        waited.unwrap_or_else(|_| empty(StatusCode::NOT_MODIFIED))
    }

    async fn write(&self, key: &str, request: Request<Incoming>) -> Reply {
        let expected: Option<u64> = request
            .headers()
            .get(IF_MATCH)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.trim_matches('"').parse().ok());
        let Ok(body) = request.into_body().collect().await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let value = body.to_bytes();
        if value.len() > VALUE_LIMIT_BYTES {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let version = {
            let mut objects = self.objects.lock();
            let current = objects.get(key).map(|(version, _)| *version);
            if current != expected {
                return empty(StatusCode::PRECONDITION_FAILED);
            }
            let version = current.unwrap_or(0) + 1;
            objects.insert(key.to_owned(), (version, value));
            version
        };
        self.changed.send_modify(|count| *count += 1);
        let remaining_drops = &self.faults.drop_write_responses;
        let dropped =
            remaining_drops.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                remaining.checked_sub(1)
            });
        if dropped.is_ok() {
            std::future::pending::<()>().await;
        }
        object_response(version, Bytes::new())
    }
}

fn object_response(version: u64, value: Bytes) -> Reply {
    let mut reply = full(StatusCode::OK, "application/octet-stream", value);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}
