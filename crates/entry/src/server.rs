//! One host's callers' side, from its start to its graceful stop.

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

use crate::drive::Drivers;
use crate::metrics::{Metrics, UpstreamLabel};
use crate::outcome::{NotRun, NotRunReason, Unsent};
use crate::problem::Problem;
use crate::registry::Registry;
use crate::routes::route;

/// Bounds and times of the callers' side.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Longest head of a request.
    pub header_limit_bytes: usize,
    /// Longest body of a request.
    pub body_limit_bytes: usize,
    /// Requests at once.
    pub stream_limit: usize,
    /// Silence after which a stream is resumed over a new connection.
    pub silence_timeout: Duration,
    /// How long a caller that lost its connection may take to come back.
    pub reconnect_grace_ms: Millis,
    /// How long the answer of a keyed submission is kept.
    pub keyed_retention_ms: Millis,
    /// How long a stop goes on answering after the host has become unready.
    pub linger: Duration,
    /// How long a stop waits for running requests.
    pub drain_timeout: Duration,
    /// SHA-256, in hex, of the operators' key.
    pub operator_key_sha256: String,
}

/// What the handlers of one host share.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: EntrySettings,
    pub(crate) registry: Arc<Registry>,
    pub(crate) drivers: Arc<Drivers>,
    open: Arc<AtomicUsize>,
}

/// An open request; counts until it is dropped.
pub(crate) struct OpenStream(Arc<AtomicUsize>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Entry {
    pub(crate) fn open_stream(&self) -> Result<OpenStream, Problem> {
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenStream(self.open.clone());
        if open >= self.settings.stream_limit {
            let reason = NotRunReason::TooManyStreams;
            return Err(Problem::NotRun(NotRun::new(Unsent::fresh(), reason)));
        }
        Ok(guard)
    }

    pub(crate) fn metrics_page(&self) -> String {
        let metrics = &self.drivers.metrics;
        for seen in self.node.engine_stats() {
            let upstream = self.node.upstream_name(seen.upstream);
            let label = UpstreamLabel { upstream };
            let gauges = [
                (&metrics.engine_running, i64::from(seen.load.running)),
                (&metrics.engine_queued, i64::from(seen.load.waiting)),
                (
                    &metrics.engine_used_tokens,
                    i64::from(seen.load.used_tokens),
                ),
                (&metrics.engine_preemptions, seen.preemptions as i64),
            ];
            for (gauge, value) in gauges {
                gauge.get_or_create(&label).set(value);
            }
        }
        metrics.page()
    }
}

/// How a stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Generations that still ran at the bound.
    pub interrupted: usize,
}

/// A running callers' side.
pub struct EntryServer {
    entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

const TIDY_PERIOD: Duration = Duration::from_millis(5_000);
const DRAIN_CHECK: Duration = Duration::from_millis(50);

impl EntryServer {
    /// Serves callers and operators on `listener`.
    pub fn start(node: Arc<Node>, listener: TcpListener, settings: EntrySettings) -> Self {
        let metrics = Arc::new(Metrics::new());
        let registry = Arc::new(Registry::new(node.clock(), settings.keyed_retention_ms));
        node.set_generations(registry.clone());
        let drivers = Arc::new(Drivers::new(
            node.clone(),
            metrics,
            settings.silence_timeout,
            settings.reconnect_grace_ms,
        ));
        let entry = Arc::new(Entry {
            node,
            registry,
            drivers,
            open: Arc::default(),
            settings,
        });
        let (stop, stopped) = watch::channel(false);
        let shared = entry.clone();
        let header_limit_bytes = entry.settings.header_limit_bytes;
        let serving = tokio::spawn(fulmarpath_http::serve(
            listener,
            header_limit_bytes,
            stopped,
            move |request| route(shared.clone(), request),
        ));
        tokio::spawn(tidy(entry.clone()));
        Self {
            entry,
            stop,
            serving,
        }
    }

    /// Stops gracefully: unready, no new work, peers told, every running request to its end.
    ///
    /// The balancer and the peers learn first, while connections are still taken, so that nobody
    /// meets a closed door; what runs past the bound, or past `hurry`, is cut and counted.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> Stopped {
        self.entry.node.leave().await;
        let linger = Instant::now() + self.entry.settings.linger;
        let deadline = tokio::time::sleep(self.entry.settings.drain_timeout);
        tokio::pin!(deadline, hurry);
        let busy = |entry: &Entry| entry.registry.running() + entry.open.load(Ordering::Relaxed);
        let drains = self.entry.node.has(Safeguard::Drain);
        while drains && (busy(&self.entry) > 0 || Instant::now() < linger) {
            tokio::select! {
                () = tokio::time::sleep(DRAIN_CHECK) => {}
                () = &mut deadline => break,
                () = &mut hurry => break,
            }
        }
        let interrupted = self.entry.registry.running();
        if interrupted > 0 {
            warn!("entry: the stop cuts {} generations", interrupted);
            let cuts = &self.entry.drivers.metrics.cut_by_stop;
            cuts.inc_by(interrupted as u64);
        }
        self.stop.send_replace(true);
        let mut serving = self.serving;
        // Answers that are whole here may still be on their way to slow readers.
        tokio::select! {
            _ = &mut serving, if interrupted == 0 => {}
            () = &mut deadline => serving.abort(),
            () = &mut hurry => serving.abort(),
        }
        info!("entry: stopped");
        Stopped { interrupted }
    }
}

async fn tidy(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(TIDY_PERIOD).await;
        entry.registry.tidy();
    }
}
