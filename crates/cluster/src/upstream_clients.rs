//! Creates the clients of engines and plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_upstream::{Engine, HttpEngine, HttpPlain, Plain};

/// Creates clients of engines and plain services.
pub trait UpstreamClients: Send + Sync {
    /// Creates a client of the engine at `address`.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
    /// Creates a client of the plain service at `address`.
    fn plain(&self, address: SocketAddr) -> Arc<dyn Plain>;
}

/// Creates clients that use HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpUpstreamClients {
    /// Timeout of a request to a plain service.
    pub plain_timeout: Duration,
}

impl UpstreamClients for HttpUpstreamClients {
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(address))
    }

    fn plain(&self, address: SocketAddr) -> Arc<dyn Plain> {
        Arc::new(HttpPlain::new(address, self.plain_timeout))
    }
}
