//! The border to the engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_upstream::{Engine, HttpEngine, HttpPlain, Plain};

/// Makes clients of engines and plain services.
pub trait Engines: Send + Sync {
    /// A client of the engine at `address`.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
    /// A client of the plain service at `address`.
    fn plain(&self, address: SocketAddr) -> Arc<dyn Plain>;
}

/// Upstreams over HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpEngines {
    /// How long a plain service may take to answer.
    pub plain_timeout: Duration,
}

impl Engines for HttpEngines {
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(address))
    }

    fn plain(&self, address: SocketAddr) -> Arc<dyn Plain> {
        Arc::new(HttpPlain::new(address, self.plain_timeout))
    }
}
