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
    /// Its name, which stays where it starts again; an address may be used again by another upstream.
    pub instance: String,
    /// When this start of it began, in Unix milliseconds by its own clock. A later start holds and
    /// knows nothing of an earlier one, so the two together name what requests, generations and
    /// copies are at.
    pub born_ms: Option<Millis>,
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
    /// Instances among them whose entries lapsed while the store was away, and that may come back.
    pub lapsed: Vec<String>,
}

/// What changed between two states of the directory; all there is, where it begins at no revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// The revision that it begins at; 0 where it names all there is.
    pub from_revision: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// New or changed.
    pub put: Vec<Registration>,
    /// Gone.
    pub gone: Vec<String>,
    /// Lapsed, so far as they are still there.
    pub lapsed: Vec<String>,
}

impl Directory {
    /// The revision of a list that was read before any that is known to be the newest. Whoever holds
    /// one may tell it, and takes any other.
    pub const PROVISIONAL: u64 = 1;
}

impl DirectoryChange {
    /// Whether it names all there is, so that what it doesn't name is gone.
    pub fn is_whole(&self) -> bool {
        self.from_revision == 0
    }
}
