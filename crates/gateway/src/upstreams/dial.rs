//! Opens connections to upstreams: over this host's own links, or through tunnels over other hosts
//! where these are lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_cluster::Clock;
use fulmarpath_http::{ByteStream, Dial, HttpError};
use fulmarpath_policy::{LinksChange, Millis, Path, Paths, TunnelHosts};
use fulmarpath_wire::tunnel::{TunnelError, TunnelRequest, open_tunnel};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use rand::Rng;
use spdlog::info;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout_at};

use crate::fleet::Fleet;
use crate::metrics::DialCounts;

/// Fraction of the time for a connection after which the own link counts as lost and a tunnel is
/// tried in the rest. An upstream on a working link answers in a few round trips.
const DIRECT_FRACTION: f32 = 0.6;
/// Time limit of a test of an own link.
const TEST_TIME_LIMIT: Duration = Duration::from_millis(250);
/// Own links that are tested at once. A test over a lost link lasts until its time limit.
const MAX_TESTS: usize = 8;
/// Time limit of one other host's answer to a request for a tunnel. A host that answers has done so
/// after a few round trips, unless it waits for its share of the processor.
const ASK_TIME_LIMIT: Duration = Duration::from_millis(100);
/// Time after which the next host is asked for a tunnel as well.
const ASK_INTERVAL: Duration = Duration::from_millis(20);
/// Other hosts to choose from for tunnels.
const CANDIDATES: usize = 8;

/// Opens connections to upstreams.
#[derive(Clone)]
pub(crate) struct UpstreamDial {
    shared: Arc<Shared>,
}

struct Shared {
    /// The own links.
    direct: Arc<dyn Dial>,
    fleet: Arc<Fleet>,
    clock: Clock,
    paths: Mutex<Paths>,
    tunnel_hosts: Mutex<TunnelHosts>,
    tests: Arc<Semaphore>,
    counts: DialCounts,
}

impl UpstreamDial {
    pub(crate) fn new(
        direct: Arc<dyn Dial>,
        fleet: Arc<Fleet>,
        clock: Clock,
        counts: DialCounts,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                direct,
                fleet,
                clock,
                paths: Mutex::default(),
                tunnel_hosts: Mutex::default(),
                tests: Arc::new(Semaphore::new(MAX_TESTS)),
                counts,
            }),
        }
    }

    /// Connects over the own link alone, for another host; not if that has just failed.
    pub(crate) async fn dial_own_link(
        &self,
        upstream: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError> {
        let now_ms = self.shared.clock.now_ms();
        if !self.shared.paths.lock().may_carry(now_ms, upstream) {
            return Err(HttpError::Unreachable { address: upstream });
        }
        self.shared.dial_direct(upstream, time_limit).await
    }

    /// Tests the own link to an upstream.
    ///
    /// # Errors
    /// [`HttpError::Unreachable`]
    pub(crate) async fn test_own_link(
        &self,
        upstream: SocketAddr,
        time_limit: Duration,
    ) -> Result<(), HttpError> {
        self.shared.dial_direct(upstream, time_limit).await?;
        Ok(())
    }

    /// Whether this host has lost its links to upstreams in general.
    pub(crate) fn is_cut_off(&self, now_ms: Millis) -> bool {
        self.shared.paths.lock().is_lastingly_cut_off(now_ms)
    }

    /// Whether the own link to an upstream is lost, as far as known.
    pub(crate) fn has_lost_link(&self, upstream: SocketAddr) -> bool {
        self.shared.paths.lock().has_lost_link(upstream)
    }

    /// Whether other hosts have just failed to reach an upstream.
    pub(crate) fn is_out_of_reach(&self, now_ms: Millis, upstream: SocketAddr) -> bool {
        !self.shared.paths.lock().may_tunnel(now_ms, upstream)
    }

    /// Upstreams that are reached through tunnels.
    pub(crate) fn tunnelled_count(&self) -> usize {
        self.shared.paths.lock().tunnelled_count()
    }
}

#[async_trait]
impl Dial for UpstreamDial {
    async fn dial(
        &self,
        upstream: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError> {
        let shared = &self.shared;
        let until = Instant::now() + time_limit;
        let path = {
            let now_ms = shared.clock.now_ms();
            shared.paths.lock().choose(now_ms, upstream)
        };
        if path == Path::Tunnel {
            shared.clone().spawn_test(upstream);
            if let Some(stream) = shared.dial_tunnel(upstream, until).await {
                return Ok(stream);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(HttpError::Unreachable { address: upstream });
            }
            return shared.dial_direct(upstream, left).await;
        }
        let direct = shared.dial_direct(upstream, time_limit.mul_f32(DIRECT_FRACTION));
        let error = match direct.await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        let may_tunnel = {
            let now_ms = shared.clock.now_ms();
            shared.paths.lock().may_tunnel(now_ms, upstream)
        };
        if !may_tunnel {
            return Err(error);
        }
        shared.dial_tunnel(upstream, until).await.ok_or(error)
    }
}

impl Shared {
    async fn dial_direct(
        &self,
        upstream: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError> {
        let dialled = self.direct.dial(upstream, time_limit).await;
        self.counts.direct(dialled.is_ok());
        let now_ms = self.clock.now_ms();
        self.update(|paths| paths.record_direct(now_ms, upstream, dialled.is_ok()));
        dialled
    }

    /// Opens a tunnel over the first host that can; `None` if none can in time.
    async fn dial_tunnel(
        &self,
        upstream: SocketAddr,
        until: Instant,
    ) -> Option<Box<dyn ByteStream>> {
        let mut hosts = self.hosts_to_ask(upstream).into_iter().peekable();
        hosts.peek()?;
        let mut is_unreachable = false;
        let mut asked = FuturesUnordered::new();
        loop {
            if let Some(host) = hosts.next() {
                asked.push(async move { (host, self.ask(host, upstream, until).await) });
            }
            let answer = tokio::select! {
                answer = asked.next() => answer,
                () = sleep(ASK_INTERVAL), if hosts.peek().is_some() => continue,
            };
            let Some((host, answer)) = answer else { break };
            let now_ms = self.clock.now_ms();
            match answer {
                Ok(stream) => {
                    self.tunnel_hosts.lock().record_open(host);
                    self.counts.tunnel(true);
                    self.update(|paths| paths.record_tunnel(now_ms, upstream, Some(host)));
                    return Some(stream);
                }
                Err(TunnelError::Refused) => {
                    info!("paths: host {host} opens no tunnel at present");
                    self.tunnel_hosts.lock().record_unusable(now_ms, host);
                }
                // It may have lost its own link to this one upstream.
                Err(TunnelError::Unreachable) => is_unreachable = true,
            }
        }
        self.counts.tunnel(false);
        if is_unreachable {
            let now_ms = self.clock.now_ms();
            self.update(|paths| paths.record_tunnel(now_ms, upstream, None));
        }
        None
    }

    async fn ask(
        &self,
        host: SocketAddr,
        upstream: SocketAddr,
        until: Instant,
    ) -> Result<Box<dyn ByteStream>, TunnelError> {
        let until = until.min(Instant::now() + ASK_TIME_LIMIT);
        let time_left = until.saturating_duration_since(Instant::now());
        let request = TunnelRequest {
            upstream,
            time_limit_ms: time_left.as_millis() as u64,
        };
        let opened = timeout_at(until, async {
            let socket = TcpStream::connect(host).await;
            let socket = socket.map_err(|_| TunnelError::Refused)?;
            let _ = socket.set_nodelay(true);
            open_tunnel(socket, request).await
        });
        match opened.await {
            Ok(Ok(stream)) => Ok(Box::new(stream)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(TunnelError::Refused),
        }
    }

    fn hosts_to_ask(&self, upstream: SocketAddr) -> Vec<SocketAddr> {
        let now_ms = self.clock.now_ms();
        let preferred = self.paths.lock().via(upstream);
        let mut tunnel_hosts = self.tunnel_hosts.lock();
        if tunnel_hosts.needs_candidates(now_ms) {
            let members = self.fleet.members.lock();
            let drawn = members.neighbours(rand::rng().random(), CANDIDATES);
            tunnel_hosts.set_candidates(now_ms, &drawn);
        }
        tunnel_hosts.to_ask(now_ms, preferred)
    }

    /// Tests the own link to an upstream that is reached through tunnels, if that is due.
    fn spawn_test(self: Arc<Self>, upstream: SocketAddr) {
        let Ok(permit) = self.tests.clone().try_acquire_owned() else {
            return;
        };
        if !self.paths.lock().begin_test(self.clock.now_ms(), upstream) {
            return;
        }
        tokio::spawn(async move {
            let _permit = permit;
            let _ = self.dial_direct(upstream, TEST_TIME_LIMIT).await;
        });
    }

    /// Changes what is known of the paths, and logs a loss of the own links or its end.
    fn update(&self, change: impl FnOnce(&mut Paths)) {
        let links_change = {
            let mut paths = self.paths.lock();
            change(&mut paths);
            paths.take_change()
        };
        match links_change {
            Some(LinksChange::Lost) => {
                info!("paths: no own link to an upstream works; tunnels over other hosts are used")
            }
            Some(LinksChange::Back { after_ms }) => {
                info!("paths: an own link to an upstream works again, after {after_ms} ms")
            }
            None => {}
        }
    }
}
