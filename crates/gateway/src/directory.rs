//! The upstreams that have registered, and the hosts of our own.

use std::net::SocketAddr;

use fulmarpath_policy::{Millis, Revision};
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
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<Millis>,
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

impl Registration {
    /// This start as one that had gone by a revision.
    pub(crate) fn departure(&self, at: Revision) -> Departure {
        Departure {
            instance: self.instance.clone(),
            started_at_ms: self.started_at_ms,
            at,
        }
    }

    /// Whether both are of one start of one upstream.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_at_ms == other.started_at_ms
    }
}

/// A start of an upstream that has gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Its name.
    pub instance: String,
    /// When that start of it began.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<Millis>,
    /// The revision by which it had gone.
    pub at: Revision,
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
    pub revision: Revision,
    /// In no order.
    pub registrations: Vec<Registration>,
    /// Instances among them whose entries lapsed while the store was away, and that may come back.
    pub lapsed: Vec<String>,
}

/// What changed between two states of the directory; all there is, where it begins at no revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// The revision that it begins at; the first of all where it names all there is.
    pub from_revision: Revision,
    /// The revision that it leads to.
    pub revision: Revision,
    /// New or changed.
    pub put: Vec<Registration>,
    /// Gone; where it names all there is, those that went lately.
    pub gone: Vec<Departure>,
    /// Lapsed, so far as they are still there.
    pub lapsed: Vec<String>,
}

impl Directory {
    /// The revision of a list that was read before any that is known to be the newest. Whoever holds
    /// one may tell it, and takes any other.
    pub const PROVISIONAL: Revision = Revision::new(0, 1);
}

impl DirectoryChange {
    /// Whether it names all there is, so that what it doesn't name is gone.
    pub fn is_complete(&self) -> bool {
        self.from_revision == Revision::default()
    }
}
