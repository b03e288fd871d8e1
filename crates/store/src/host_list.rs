//! The platform's list of hosts, engines and plain services. It may be stale.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// Role of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A host of this system; the listed address is the one for peers.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// State of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It accepts requests.
    Live,
    /// It finishes running requests and accepts no new ones.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The unique name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// The data centre where it runs.
    pub data_centre: String,
    /// Model of an engine, or service name of a plain service; empty for hosts.
    #[serde(default)]
    pub serves: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Whether it accepts requests.
    pub state: ListedState,
}

/// The complete list at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// Increases with each change of the list.
    pub version: u64,
    /// All listed processes.
    pub hosts: Vec<HostEntry>,
}

/// The platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the complete list.
    async fn read(&self) -> Result<HostListing, PlatformError>;
}

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// HTTP client of the host list; the protocol is in docs/PROTOCOL-host-list.md.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    address: SocketAddr,
}

impl HttpHostList {
    /// Creates a client of the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<HostListing, PlatformError> {
        let call = fulmarpath_http::get(self.address, "/hosts", CALL_TIMEOUT).await?;
        Ok(call.json(CALL_TIMEOUT).await?)
    }
}
