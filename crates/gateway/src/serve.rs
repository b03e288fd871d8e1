//! Runs a host's gateway from start to shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::{Reply, empty, full, serve, serve_with_limits};
use fulmarpath_policy::Millis;
use hyper::StatusCode;
use spdlog::info;
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
    /// For the metrics scraper.
    pub metrics: TcpListener,
    /// For the other hosts.
    pub peers: TcpListener,
}

impl Listen {
    /// Opens the listeners.
    ///
    /// # Errors
    /// [`ListenError`]
    pub async fn bind(self) -> Result<Listeners, ListenError> {
        Ok(Listeners {
            callers: bind(self.callers).await?,
            readiness: bind(self.readiness).await?,
            metrics: bind(self.metrics).await?,
            peers: bind(self.peers).await?,
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
            peers,
        } = listeners;
        let (stop, stops) = watch::channel(false);
        let (_never_stop, never) = watch::channel(false);
        tokio::spawn(self.clone().answer_readiness(readiness, never.clone()));
        tokio::spawn(self.clone().answer_metrics(metrics, never));
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

    async fn answer_metrics(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
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

async fn bind(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ListenError { address, source })
}
