//! A stand-in host list whose entries a test can change.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarpath_http::{empty, json, serve};
use fulmarpath_store::{HostEntry, HostListing, ListedState};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;

const HEADER_LIMIT_BYTES: usize = 16_384;

/// A stand-in host list.
#[derive(Debug, Clone)]
pub struct StandinHostList {
    /// Address on which it listens.
    pub address: SocketAddr,
    listing: Arc<Mutex<HostListing>>,
}

impl StandinHostList {
    /// Starts a host list on `listener`.
    pub fn start(listener: TcpListener) -> std::io::Result<Self> {
        let list = Self {
            address: listener.local_addr()?,
            listing: Arc::default(),
        };
        let listing = list.listing.clone();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move {
            let _stop = stop;
            let handler = move |request: hyper::Request<hyper::body::Incoming>| {
                let listing = listing.clone();
                async move {
                    match request.uri().path() {
                        "/hosts" => json(StatusCode::OK, &*listing.lock()),
                        _ => empty(StatusCode::NOT_FOUND),
                    }
                }
            };
            serve(listener, HEADER_LIMIT_BYTES, stopped, handler).await;
        });
        Ok(list)
    }

    /// Adds or replaces an entry.
    pub fn put(&self, entry: HostEntry) {
        let mut listing = self.listing.lock();
        listing.hosts.retain(|host| host.name != entry.name);
        listing.hosts.push(entry);
        listing.version += 1;
    }

    /// Marks an entry as leaving.
    pub fn set_leaving(&self, name: &str) {
        let mut listing = self.listing.lock();
        listing.version += 1;
        for host in listing.hosts.iter_mut().filter(|host| host.name == name) {
            host.state = ListedState::Leaving;
        }
    }
}
