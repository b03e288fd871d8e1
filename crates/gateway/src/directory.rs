//! The upstreams that have registered, and the hosts of our own.

use std::net::SocketAddr;

use fulmarpath_policy::Millis;
use serde::{Deserialize, Serialize};

/// Whether a registered upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisteredState {
    /// It takes work.
    Ready,
    /// It finishes what runs and takes nothing new.
    Draining,
}

/// One start of one upstream, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Unique to this start; an address may be used again by another upstream.
    pub instance: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: RegisteredState,
    /// How much longer it is slow after its start.
    pub cold_ms: Millis,
}

/// One of our own hosts, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRegistration {
    /// Its unique name.
    pub name: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// All upstreams at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Grows with each change.
    pub revision: u64,
    /// In no order.
    pub registrations: Vec<Registration>,
}
