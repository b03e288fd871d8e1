//! HTTP server of one host for callers and operators, from start to graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fulmarpath_cluster::{Node, Safeguard};
use fulmarpath_policy::Millis;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::driver::DriverContext;
use crate::metrics::{Metrics, UpstreamLabel};
use crate::outcome::{NotRun, NotRunProof, NotRunReason};
use crate::problem::Problem;
use crate::registry::Registry;
use crate::routes::route;

/// Limits and timeouts of the server.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Longest request head.
    pub header_limit_bytes: usize,
    /// Longest request body.
    pub body_limit_bytes: usize,
    /// Limit of concurrent open requests.
    pub stream_limit: usize,
    /// Silence after which an engine's stream is resumed over a new connection.
    pub silence_timeout: Duration,
    /// How long a caller that lost its connection may take to reconnect.
    pub reconnect_grace_ms: Millis,
    /// How long the generation of a keyed submission is kept after its end.
    pub keyed_retention_ms: Millis,
    /// How long a shutdown keeps accepting connections after the host has become unready.
    pub linger: Duration,
    /// How long a shutdown waits for running requests.
    pub drain_timeout: Duration,
    /// SHA-256, in hex, of the operators' key.
    pub operator_key_sha256: String,
}

/// State shared by the request handlers of a host.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: EntrySettings,
    pub(crate) registry: Arc<Registry>,
    pub(crate) driver_context: Arc<DriverContext>,
    open_requests: Arc<AtomicUsize>,
}

/// Counts an open request until it is dropped.
pub(crate) struct OpenRequestGuard(Arc<AtomicUsize>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Entry {
    /// Counts a request as open, unless the host has reached its limit.
    pub(crate) fn open_request(&self) -> Result<OpenRequestGuard, Problem> {
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed);
        let guard = OpenRequestGuard(self.open_requests.clone());
        if open >= self.settings.stream_limit {
            let reason = NotRunReason::TooManyStreams;
            return Err(Problem::NotRun(NotRun::new(NotRunProof::fresh(), reason)));
        }
        Ok(guard)
    }

    pub(crate) fn metrics_page(&self) -> String {
        let metrics = &self.driver_context.metrics;
        for stats in self.node.engine_stats() {
            let upstream = self.node.upstream_name(stats.upstream);
            let label = UpstreamLabel { upstream };
            let gauges = [
                (&metrics.engine_running, i64::from(stats.load.running)),
                (&metrics.engine_queued, i64::from(stats.load.waiting)),
                (
                    &metrics.engine_used_tokens,
                    i64::from(stats.load.used_tokens),
                ),
                (&metrics.engine_preemptions, stats.preemptions as i64),
            ];
            for (gauge, value) in gauges {
                gauge.get_or_create(&label).set(value);
            }
        }
        metrics.page()
    }
}

/// Result of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Generations that the shutdown interrupted.
    pub interrupted: usize,
}

/// A running HTTP server for callers and operators.
pub struct EntryServer {
    entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

const EVICTION_PERIOD: Duration = Duration::from_millis(5_000);
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

impl EntryServer {
    /// Serves callers and operators on `listener`.
    pub fn start(node: Arc<Node>, listener: TcpListener, settings: EntrySettings) -> Self {
        let metrics = Arc::new(Metrics::new());
        let registry = Arc::new(Registry::new(node.clock(), settings.keyed_retention_ms));
        node.set_generations(registry.clone());
        let driver_context = Arc::new(DriverContext::new(
            node.clone(),
            metrics,
            settings.silence_timeout,
            settings.reconnect_grace_ms,
        ));
        let entry = Arc::new(Entry {
            node,
            registry,
            driver_context,
            open_requests: Arc::default(),
            settings,
        });
        let (stop, stopping) = watch::channel(false);
        let shared = entry.clone();
        let header_limit_bytes = entry.settings.header_limit_bytes;
        let serving = tokio::spawn(fulmarpath_http::serve(
            listener,
            header_limit_bytes,
            stopping,
            move |request| route(shared.clone(), request),
        ));
        tokio::spawn(evict(entry.clone()));
        Self {
            entry,
            stop,
            serving,
        }
    }

    /// Shuts down gracefully: becomes unready, announces to its peers that it leaves, accepts no
    /// new requests and waits for the running ones.
    ///
    /// The load balancer and the peers are notified while connections are still accepted, so that
    /// no request is refused a connection. Generations that still run after `drain_timeout`, or
    /// once `force` resolves, are interrupted and counted.
    pub async fn stop(self, force: impl Future<Output = ()>) -> Stopped {
        self.entry.node.leave().await;
        let linger_until = Instant::now() + self.entry.settings.linger;
        let deadline = tokio::time::sleep(self.entry.settings.drain_timeout);
        tokio::pin!(deadline, force);
        let busy =
            |entry: &Entry| entry.registry.running() + entry.open_requests.load(Ordering::Relaxed);
        let waits_for_requests = self.entry.node.has(Safeguard::Drain);
        while waits_for_requests && (busy(&self.entry) > 0 || Instant::now() < linger_until) {
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL_PERIOD) => {}
                () = &mut deadline => break,
                () = &mut force => break,
            }
        }
        let interrupted = self.entry.registry.running();
        if interrupted > 0 {
            warn!("entry: shutdown interrupts {} generations", interrupted);
            let counter = &self.entry.driver_context.metrics.cut_by_stop;
            counter.inc_by(interrupted as u64);
        }
        self.stop.send_replace(true);
        let mut serving = self.serving;
        // Completed responses may still be on their way to slow readers.
        tokio::select! {
            _ = &mut serving, if interrupted == 0 => {}
            () = &mut deadline => serving.abort(),
            () = &mut force => serving.abort(),
        }
        info!("entry: stopped");
        Stopped { interrupted }
    }
}

async fn evict(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(EVICTION_PERIOD).await;
        entry.registry.evict();
    }
}
