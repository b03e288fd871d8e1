//! The host list: live and leaving hosts, engines and plain services. It lags.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// What a listed process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// One of our own hosts; its address is the one for peers.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// What the list says of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It takes work.
    Live,
    /// It finishes what runs and takes nothing new.
    Leaving,
}

/// One process of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Where it stands.
    pub data_centre: String,
    /// The model of an engine, or the service's name of a plain service; empty for hosts.
    #[serde(default)]
    pub serves: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Live or leaving.
    pub state: ListedState,
}

/// The whole list at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// Grows with each change of the list.
    pub version: u64,
    /// Every listed process.
    pub hosts: Vec<HostEntry>,
}

/// The platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    async fn read(&self) -> Result<HostListing, PlatformError>;
}

const CALL_BOUND: Duration = Duration::from_millis(2_000);

/// The host list over HTTP, as docs/PROTOCOL-host-list.md states it.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    address: SocketAddr,
}

impl HttpHostList {
    /// A client of the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<HostListing, PlatformError> {
        let call = fulmarpath_http::get(self.address, "/hosts", CALL_BOUND).await?;
        Ok(call.json(CALL_BOUND).await?)
    }
}
