//! Runs a host's gateway from start to shutdown.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarpath_http::{Reply, empty, full, serve, serve_with_limits};
use fulmarpath_policy::Millis;
use hyper::StatusCode;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at};

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
/// Part of the time before that for the responses to requests that still have none.
pub(crate) const RESPONSE_RESERVE_MS: Millis = 100;

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
        let stops_never = never.clone();
        self.serve_on("readiness", readiness, move |gateway, listener| {
            gateway.answer_readiness(listener, stops_never.clone())
        });
        let never_stops = never;
        self.serve_at(
            "metrics",
            metrics,
            metrics_address,
            move |gateway, listener| gateway.answer_metrics(listener, never_stops.clone()),
        );
        self.serve_on("peers", peers, Gateway::serve_peers);
        self.start_background_tasks();
        let server = self.serve_on("callers", callers, move |gateway, listener| {
            let limits = gateway.clone();
            let handler = move |request| gateway.clone().handle(request);
            serve_with_limits(listener, limits, stops.clone(), handler)
        });
        info!("host: {} started", self.settings.host.name);
        stopped.await;
        info!("host: {} stops", self.settings.host.name);
        let left_ms = self.settings.grace_ms.saturating_sub(EXIT_RESERVE_MS);
        let linger_ms = left_ms.saturating_sub(RESPONSE_RESERVE_MS).min(LINGER_MS);
        let ends_at = Instant::now() + Duration::from_millis(left_ms);
        let lingers_until = Instant::now() + Duration::from_millis(linger_ms);
        self.drain(self.clock.now_ms() + left_ms);
        // A store that doesn't answer takes no time from the requests.
        let _ = timeout_at(lingers_until.into(), self.leave_fleet()).await;
        sleep_until(lingers_until.into()).await;
        let _ = stop.send(true);
        let mut ended = pin!(async { tokio::join!(server, self.tunnels.ended()) });
        let responds_at = ends_at - Duration::from_millis(RESPONSE_RESERVE_MS);
        let mut finished = timeout_at(responds_at.into(), ended.as_mut()).await;
        if finished.is_err() {
            self.last_responses.cancel();
            finished = timeout_at(ends_at.into(), ended).await;
        }
        match finished {
            Ok(_) => info!("host: {} stopped, all is answered", self.settings.host.name),
            Err(_) => info!(
                "host: {} stopped, some streams are cut",
                self.settings.host.name
            ),
        }
    }

    fn start_background_tasks(self: &Arc<Self>) {
        self.spawn_task("configuration", Self::sync_configuration);
        self.spawn_task("registrations", Self::sync_registrations);
        if let Some(bound_ms) = self.settings.evacuation_bound_ms {
            self.spawn_task("evacuations", move |gateway| {
                gateway.sync_evacuations(bound_ms)
            });
        }
        self.spawn_task("expiry", Self::expire_unconfirmed);
        self.spawn_task("surge", |gateway| async move {
            gateway.surge.measure(gateway.clock).await;
        });
        self.spawn_task("resources", |gateway| async move {
            gateway.measure_resources().await;
        });
        self.spawn_task("restatements", Self::restate_runs);
        self.spawn_task("migrations", Self::migrate_off_leaving);
        self.spawn_task("rebalancing", Self::rebalance);
        self.spawn_task("probes", Self::probe_uncertain_engines);
        self.spawn_task("pings", Self::ping_members);
        self.spawn_task("joining", |gateway| {
            let seeds = gateway.settings.seeds.clone();
            gateway.join_fleet(seeds)
        });
    }

    fn spawn_task<F>(
        self: &Arc<Self>,
        name: &'static str,
        run: impl Fn(Arc<Self>) -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let gateway = self.clone();
        self.spawn_supervised(name, move || run(gateway.clone()))
    }

    /// Serves a listener; after a panic, on a new one at the same address.
    fn serve_on<F>(
        self: &Arc<Self>,
        name: &'static str,
        listener: TcpListener,
        run: impl Fn(Arc<Self>, TcpListener) -> F + Clone + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        match listener.local_addr() {
            Ok(address) => self.serve_at(name, Some(listener), address, run),
            // Only this listener can be served.
            Err(_) => tokio::spawn(run(self.clone(), listener)),
        }
    }

    /// The same, where the address may not be bound yet.
    fn serve_at<F>(
        self: &Arc<Self>,
        name: &'static str,
        mut listener: Option<TcpListener>,
        address: SocketAddr,
        run: impl Fn(Arc<Self>, TcpListener) -> F + Clone + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let gateway = self.clone();
        self.spawn_supervised(name, move || {
            let (bound, gateway, run) = (listener.take(), gateway.clone(), run.clone());
            async move {
                let listener = match bound {
                    Some(listener) => listener,
                    None => bind_when_free(name, address).await,
                };
                run(gateway, listener).await;
            }
        })
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

/// Binds an address as soon as that is possible.
async fn bind_when_free(name: &str, address: SocketAddr) -> TcpListener {
    let mut has_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                info!("host: listens on {address} for {name}");
                return listener;
            }
            Err(error) if !std::mem::replace(&mut has_logged, true) => {
                warn!("host: serves without {name} while {address} can't be bound: {error}");
            }
            Err(_) => {}
        }
        sleep(BIND_RETRY_PERIOD).await;
    }
}
