//! Tunnels to upstreams that this host carries for hosts which have lost their own links.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_wire::tunnel::{TunnelAnswer, TunnelRequest, carry, read_request, write_answer};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::gateway::Gateway;

/// Tunnels that one host carries at once, each with two descriptors.
const MAX_TUNNELS: usize = 512;
/// Time for the other host to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The tunnels that this host carries.
#[derive(Debug)]
pub(crate) struct Tunnels {
    room: Semaphore,
    open: TaskTracker,
}

impl Default for Tunnels {
    fn default() -> Self {
        Self {
            room: Semaphore::new(MAX_TUNNELS),
            open: TaskTracker::new(),
        }
    }
}

impl Tunnels {
    /// Waits until all tunnels have ended.
    pub(crate) async fn ended(&self) {
        self.open.close();
        self.open.wait().await;
    }
}

impl Gateway {
    /// Carries a tunnel that another host asks for on a new connection.
    pub(crate) async fn serve_tunnel(self: Arc<Self>, socket: TcpStream) {
        let gateway = self.clone();
        let tunnel = self.tunnels.open.track_future(async move {
            if let Err(error) = gateway.carry_tunnel(socket).await {
                spdlog::warn!("tunnels: could not answer a request for a tunnel: {error}");
            }
        });
        tunnel.await;
    }

    async fn carry_tunnel(&self, mut socket: TcpStream) -> std::io::Result<()> {
        let request = timeout(REQUEST_TIMEOUT, read_request(&mut socket)).await??;
        let room = self.tunnels.room.try_acquire();
        if room.is_err() || !self.opens_tunnels(&request) {
            return write_answer(&mut socket, TunnelAnswer::Refused).await;
        }
        let time_limit = Duration::from_millis(request.time_limit_ms);
        let dialled = self.dial.dial_own_link(request.upstream, time_limit).await;
        let Ok(upstream) = dialled else {
            return write_answer(&mut socket, TunnelAnswer::Unreachable).await;
        };
        self.metrics.tunnels.inc();
        write_answer(&mut socket, TunnelAnswer::Open).await?;
        carry(socket, upstream).await;
        Ok(())
    }

    /// Whether this host opens tunnels at present, and to upstreams only.
    fn opens_tunnels(&self, request: &TunnelRequest) -> bool {
        let is_cut_off = self.dial.is_cut_off(self.clock.now_ms());
        !self.is_draining() && !is_cut_off && self.instances.has_address(request.upstream)
    }
}
