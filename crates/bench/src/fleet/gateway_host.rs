//! One gateway on a thread of its own, so that its processor time can be told from that of others.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use fulmarpath_gateway::{Gateway, GatewaySettings, HostLimits, HostRegistration, Listen};
use fulmarpath_platform::{EngineClient, HeaderDialect, metadata};
use fulmarpath_policy::RetryBound;
use tokio::sync::oneshot;

use super::usage::{processor_ms, thread_id};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub(crate) struct GatewayHost {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) peers: SocketAddr,
    thread_id: u32,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What a host has used since its start, and its present role.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HostUsage {
    pub(crate) is_watcher: bool,
    pub(crate) is_home: bool,
    pub(crate) store_calls: u64,
    pub(crate) peer_messages: u64,
    pub(crate) peer_bytes: u64,
    pub(crate) processor_ms: f64,
}

impl HostUsage {
    pub(crate) fn since(self, before: &Self) -> Self {
        Self {
            store_calls: self.store_calls - before.store_calls,
            peer_messages: self.peer_messages - before.peer_messages,
            peer_bytes: self.peer_bytes - before.peer_bytes,
            processor_ms: self.processor_ms - before.processor_ms,
            ..self
        }
    }
}

/// What a host's thread tells once it has started.
struct Started {
    gateway: Arc<Gateway>,
    peers: SocketAddr,
    thread_id: u32,
}

impl GatewayHost {
    pub(crate) fn start(
        name: &str,
        data_centre: &str,
        store: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let (started, starts) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let (name, data_centre) = (name.to_owned(), data_centre.to_owned());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(serve(name, data_centre, store, seeds, started, stopped));
        });
        let started: Started = starts.recv().expect("the host starts");
        Self {
            gateway: started.gateway,
            peers: started.peers,
            thread_id: started.thread_id,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    pub(crate) fn usage(&self) -> HostUsage {
        let counts = self.gateway.control_counts();
        HostUsage {
            is_watcher: self.gateway.is_watcher(),
            is_home: self.gateway.is_home_of_any_cell(),
            store_calls: counts.store_calls,
            peer_messages: counts.peer_messages,
            peer_bytes: counts.peer_bytes,
            processor_ms: processor_ms(self.thread_id),
        }
    }
}

impl Drop for GatewayHost {
    /// Ends the host at once, as a kill does.
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic of the host was reported when it happened.
            let _ = thread.join();
        }
    }
}

async fn serve(
    name: String,
    data_centre: String,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
    started: mpsc::Sender<Started>,
    stopped: oneshot::Receiver<()>,
) {
    let listen = Listen {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        metrics: ANY_PORT,
        peers: ANY_PORT,
    };
    let listeners = listen.bind().await.expect("free ports");
    let peers = listeners.peers.local_addr().expect("an address");
    let settings = GatewaySettings {
        host: HostRegistration {
            name,
            data_centre,
            address: peers,
        },
        retries: RetryBound {
            ratio: 0.2,
            extra: 200.0,
            window_ms: 10_000,
        },
        seeds,
        change_bound_ms: 5_000,
        registration_ttl_ms: 6_000,
        grace_ms: 8_000,
        evacuation_bound_ms: None,
        cold_bound: None,
        event_delay_bound_ms: None,
        limits: HostLimits::default(),
    };
    let (dialect, control) = (Arc::new(HeaderDialect), Arc::new(EngineClient));
    let gateway = Arc::new(Gateway::new(settings, dialect, control, metadata(store)));
    let told = started.send(Started {
        gateway: gateway.clone(),
        peers,
        thread_id: thread_id(),
    });
    told.expect("the deployment waits");
    tokio::select! {
        () = gateway.run(listeners, std::future::pending()) => {}
        _ = stopped => {}
    }
}
