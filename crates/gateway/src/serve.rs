//! Runs a host's gateway from start to shutdown.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarpath_http::{Reply, empty, full, serve, serve_with_limits};
use fulmarpath_policy::Millis;
use hyper::StatusCode;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;

/// The addresses on which a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness probe.
    pub readiness: SocketAddr,
    /// For the metrics scraper.
    pub metrics: SocketAddr,
    /// For the other hosts.
    pub peers: SocketAddr,
}

/// A gateway's listeners.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the load balancer's readiness probe.
    pub readiness: TcpListener,
    /// For the metrics scraper; `None` while its address can't be bound.
    pub metrics: Option<TcpListener>,
    /// The address for the metrics scraper.
    pub metrics_address: SocketAddr,
    /// For the other hosts.
    pub peers: TcpListener,
}

/// How often an address that can't be bound is tried again.
const BIND_RETRY_PERIOD: Duration = Duration::from_millis(50);

impl Listen {
    /// Opens the listeners.
    ///
    /// # Errors
    /// [`ListenError`]
    pub async fn bind(self) -> Result<Listeners, ListenError> {
        self.bind_within(Duration::ZERO).await
    }

    /// Opens the listeners. Waits up to a limit for addresses that another process holds, such as
    /// the one before while it stops, or that the system does not have yet.
    ///
    /// # Errors
    /// [`ListenError`]
    pub async fn bind_within(self, limit: Duration) -> Result<Listeners, ListenError> {
        let until = Instant::now() + limit;
        Ok(Listeners {
            callers: bind(self.callers, until).await?,
            peers: bind(self.peers, until).await?,
            readiness: bind(self.readiness, until).await?,
            metrics: TcpListener::bind(self.metrics).await.ok(),
            metrics_address: self.metrics,
        })
    }
}

/// A listener could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("could not listen on {address}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    #[source]
    pub source: std::io::Error,
}

/// How long new callers are still accepted after the stop signal: the load balancer probes once per
/// second, routes callers here until the second failure, and a caller that was routed here may take
/// a second to arrive.
const LINGER_MS: Millis = 3_400;
/// Part of the grace period reserved for closing connections and ending the process.
const EXIT_RESERVE_MS: Millis = 400;

impl Gateway {
    /// Serves until `stopped`, then finishes running requests within the grace period.
    pub async fn run(self: Arc<Self>, listeners: Listeners, stopped: impl Future<Output = ()>) {
        let Listeners {
            callers,
            readiness,
            metrics,
            metrics_address,
            peers,
        } = listeners;
        let (stop, stops) = watch::channel(false);
        let (_never_stop, never) = watch::channel(false);
        tokio::spawn(self.clone().answer_readiness(readiness, never.clone()));
        tokio::spawn(self.clone().answer_metrics(metrics, metrics_address, never));
        tokio::spawn(self.clone().serve_peers(peers));
        tokio::spawn(self.clone().sync_configuration());
        tokio::spawn(self.clone().sync_registrations());
        if let Some(bound_ms) = self.settings.evacuation_bound_ms {
            tokio::spawn(self.clone().sync_evacuations(bound_ms));
        }
        tokio::spawn(self.clone().expire_unconfirmed());
        let gateway = self.clone();
        tokio::spawn(async move { gateway.surge.measure(gateway.clock).await });
        let gateway = self.clone();
        tokio::spawn(async move { gateway.measure_resources().await });
        tokio::spawn(self.clone().restate_runs());
        tokio::spawn(self.clone().migrate_off_leaving());
        tokio::spawn(self.clone().rebalance());
        tokio::spawn(self.clone().probe_uncertain_engines());
        tokio::spawn(self.clone().join_fleet(self.settings.seeds.clone()));
        let gateway = self.clone();
        let handler = move |request| gateway.clone().handle(request);
        let server = tokio::spawn(serve_with_limits(callers, self.clone(), stops, handler));
        info!("host: {} started", self.settings.host.name);
        stopped.await;
        info!("host: {} stops", self.settings.host.name);
        let left_ms = self.settings.grace_ms.saturating_sub(EXIT_RESERVE_MS);
        self.drain(self.clock.now_ms() + left_ms);
        self.leave_fleet().await;
        sleep(Duration::from_millis(LINGER_MS)).await;
        let _ = stop.send(true);
        let left_ms = self
            .settings
            .grace_ms
            .saturating_sub(LINGER_MS + EXIT_RESERVE_MS);
        let ended = async { tokio::join!(server, self.tunnels.ended()) };
        let finished = timeout(Duration::from_millis(left_ms), ended).await;
        match finished {
            Ok(_) => info!("host: {} stopped, all is answered", self.settings.host.name),
            Err(_) => info!(
                "host: {} stopped, some streams are cut",
                self.settings.host.name
            ),
        }
    }

    async fn answer_readiness(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |_| {
            let is_ready = self.is_ready();
            async move { readiness(is_ready) }
        };
        serve(listener, PROBE_HEADER_BYTES, stop, handler).await;
    }

    async fn answer_metrics(
        self: Arc<Self>,
        listener: Option<TcpListener>,
        address: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        let listener = match listener {
            Some(listener) => listener,
            None => bind_metrics(address).await,
        };
        let handler = move |_| {
            let page = self.metrics.page(&self.readings());
            async move { full(StatusCode::OK, "text/plain; version=0.0.4", page) }
        };
        serve(listener, PROBE_HEADER_BYTES, stop, handler).await;
    }
}

/// Maximum size of the head of a probe.
const PROBE_HEADER_BYTES: usize = 8_192;

fn readiness(is_ready: bool) -> Reply {
    empty(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

async fn bind(address: SocketAddr, until: Instant) -> Result<TcpListener, ListenError> {
    let started = Instant::now();
    let mut has_logged = false;
    loop {
        let source = match TcpListener::bind(address).await {
            Ok(listener) => {
                if has_logged {
                    let waited_ms = started.elapsed().as_millis();
                    info!("host: listens on {address} after {waited_ms} ms");
                }
                return Ok(listener);
            }
            Err(source) => source,
        };
        if !is_temporary(&source) || Instant::now() >= until {
            return Err(ListenError { address, source });
        }
        if !std::mem::replace(&mut has_logged, true) {
            let left_ms = until.duration_since(started).as_millis();
            warn!("host: waits up to {left_ms} ms for {address}: {source}");
        }
        sleep(BIND_RETRY_PERIOD).await;
    }
}

/// Whether the address may become free without a change of the settings.
fn is_temporary(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
    )
}

/// Binds the address for the metrics scraper as soon as that is possible.
async fn bind_metrics(address: SocketAddr) -> TcpListener {
    let mut has_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                info!("host: listens on {address} for metrics");
                return listener;
            }
            Err(error) if !std::mem::replace(&mut has_logged, true) => {
                warn!("host: serves without metrics while {address} can't be bound: {error}");
            }
            Err(_) => {}
        }
        sleep(BIND_RETRY_PERIOD).await;
    }
}
