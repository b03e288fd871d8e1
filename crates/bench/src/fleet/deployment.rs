//! The store with its entries, and the hosts before it.

use std::net::SocketAddr;

use fulmarpath_platform_standin::{StandInStore, StoreMode, configuration, entry};
use tokio::runtime::Runtime;

use super::gateway_host::{GatewayHost, HostUsage};

const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-b", "dc-c", "dc-d", "dc-e"];
/// Hosts that all others contact first.
const SEEDS: usize = 3;
/// Objects on a page of the store's lists.
const PAGE_SIZE: usize = 200;
/// No request is sent to the upstreams.
const UPSTREAM_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

pub(crate) struct Deployment {
    store: StandInStore,
    hosts: Vec<GatewayHost>,
    upstreams: usize,
    /// Runs the store.
    _runtime: Runtime,
}

impl Deployment {
    /// Starts a store that lists this many upstreams.
    pub(crate) fn start(upstreams: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let store = runtime.block_on(StandInStore::start());
        store.set_pages(PAGE_SIZE, || {});
        store.put("config", "main", configuration(1, "key"));
        let mut deployment = Self {
            store,
            hosts: Vec::new(),
            upstreams: 0,
            _runtime: runtime,
        };
        for _ in 0..upstreams {
            deployment.add_upstream();
        }
        deployment
    }

    /// Starts all hosts at once.
    pub(crate) fn start_hosts(&mut self, count: usize) {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..count {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let name = format!("host-{number}");
            let host = GatewayHost::start(&name, data_centre, self.store.address, seeds.clone());
            if seeds.len() < SEEDS {
                seeds.push(host.peers);
            }
            self.hosts.push(host);
        }
    }

    pub(crate) fn stop_hosts(&mut self) {
        self.hosts.clear();
    }

    /// Whether each host serves and knows exactly this many upstreams.
    pub(crate) fn all_serve(&self, upstreams: usize) -> bool {
        self.hosts.iter().all(|host| {
            let gateway = &host.gateway;
            gateway.is_ready() && gateway.upstream_count() == upstreams
        })
    }

    pub(crate) fn set_store_available(&self, is_available: bool) {
        self.store.set_mode(match is_available {
            true => StoreMode::Up,
            false => StoreMode::Busy,
        });
    }

    pub(crate) fn add_upstream(&mut self) {
        self.put_upstream(self.upstreams, false);
        self.upstreams += 1;
    }

    /// Replaces one upstream by another: the old one drains, and the one that drained before it
    /// goes.
    pub(crate) fn replace_upstream(&mut self, number: usize) {
        self.add_upstream();
        self.put_upstream(number, true);
        self.store.remove("servers", &name(number));
    }

    fn put_upstream(&self, number: usize, is_draining: bool) {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let entry = entry("engines", UPSTREAM_ADDRESS, data_centre, is_draining);
        self.store.put("servers", &name(number), entry);
    }

    /// Calls to the store so far; each page of a list is one.
    pub(crate) fn store_calls(&self) -> u64 {
        self.store.calls()
    }

    pub(crate) fn usage(&self) -> Vec<HostUsage> {
        self.hosts.iter().map(GatewayHost::usage).collect()
    }

    /// What each host has used since.
    pub(crate) fn usage_since(&self, before: &[HostUsage]) -> Vec<HostUsage> {
        let now = self.usage();
        let pairs = now.into_iter().zip(before);
        pairs.map(|(now, before)| now.since(before)).collect()
    }
}

fn name(number: usize) -> String {
    // Names are drawn at random on the platform; their order says nothing about their age.
    format!(
        "i-{:016x}",
        (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    )
}
