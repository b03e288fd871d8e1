//! The platform's metadata store, as far as the gateway needs it.

use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{ContentKey, Revision, UpstreamKey};

use crate::configuration::Configuration;
use crate::directory::{HostRegistration, Registration};

/// A failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer, or one that says that the store does nothing now.
    #[error("could not reach the store: {detail}")]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The revision to watch from is no longer kept, or never was in this era: list anew.
    #[error("could not watch from revision {revision}: that history is gone")]
    HistoryGone {
        /// The revision.
        revision: Revision,
    },
    /// Asked for changes since a revision, the store answered in another era: list anew. What lies between
    /// isn't among them.
    #[error("could not go on from revision {known}: the answer is of revision {received}")]
    EraChanged {
        /// What was known.
        known: Revision,
        /// What the answer tells of.
        received: Revision,
    },
    /// A list of an era that is over.
    #[error("could not use a list of revision {received}: era {latest} has begun")]
    StaleEra {
        /// The list's revision.
        received: Revision,
        /// The latest era that is known.
        latest: u64,
    },
    /// The answer can't be read.
    #[error("could not understand the store: {detail}")]
    Malformed {
        /// What can't be read.
        detail: String,
    },
}

impl StoreError {
    /// Whether the store may be away, rather than to be read anew.
    pub(crate) fn is_outage(&self) -> bool {
        !matches!(self, Self::HistoryGone { .. } | Self::EraChanged { .. })
    }
}

/// All objects of one kind at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<T> {
    /// The store's revision, from which a watch brings all that the list lacks.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<T>,
    /// Objects among them that can't be used.
    pub unusable: Vec<UnusableEntry>,
}

/// An object that can't be read, or says what can't be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// Its name, where that can be read.
    pub name: Option<String>,
    /// Why.
    pub reason: String,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// It was created or replaced.
    Put(T),
    /// The object of this name is gone.
    Removed(String),
    /// It was created or replaced by what can't be used.
    Unusable(UnusableEntry),
}

/// What changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes<T> {
    /// Up to which revision.
    pub revision: Revision,
    /// In order.
    pub changes: Vec<Change<T>>,
}

/// How new a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As new as the call.
    Newest,
    /// It may be some seconds old, which costs the store a tenth. Its revision may be newer than
    /// what it lists, so nothing is watched from it.
    MayBeStale,
}

/// Objects of one kind.
#[async_trait]
pub trait Collection<T>: Send + Sync {
    /// Lists all.
    async fn list(&self, freshness: Freshness) -> Result<Snapshot<T>, StoreError>;
    /// Waits up to `bound` for changes since `revision`.
    async fn watch(&self, revision: Revision, bound: Duration) -> Result<Changes<T>, StoreError>;
}

/// Where our own hosts register themselves.
#[async_trait]
pub trait HostRegistry: Send + Sync {
    /// Writes this host's entry, over an older one of the same name.
    async fn register(&self, host: &HostRegistration) -> Result<(), StoreError>;
    /// Removes a host's entry; harmless where there is none.
    async fn unregister(&self, name: &str) -> Result<(), StoreError>;
}

/// An open circuit of a content that ends upstreams, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredCircuit {
    /// The content.
    pub content: ContentKey,
    /// How often it was opened.
    pub openings: u32,
    /// The latest upstreams that ended under it.
    pub crashes: Vec<UpstreamKey>,
    /// When it was opened, in Unix milliseconds by the home's clock.
    pub since_unix_ms: u64,
}

/// Where open circuits are stored.
#[async_trait]
pub trait CircuitRegistry: Send + Sync {
    /// Writes a circuit, over an older one of the same content.
    async fn store(&self, circuit: &StoredCircuit) -> Result<(), StoreError>;
    /// Removes the circuit of a content; harmless where there is none.
    async fn remove(&self, content: ContentKey) -> Result<(), StoreError>;
}

/// The platform's metadata store.
pub struct Metadata {
    /// The operator's configuration: one object at most.
    pub configuration: Box<dyn Collection<Configuration>>,
    /// The upstreams.
    pub registrations: Box<dyn Collection<Registration>>,
    /// Names of the data centres that the operator evacuates.
    pub evacuations: Box<dyn Collection<String>>,
    /// Our own hosts.
    pub hosts: Box<dyn Collection<HostRegistration>>,
    /// Where this host writes its own entry.
    pub registry: Box<dyn HostRegistry>,
    /// Open circuits of contents.
    pub circuits: Box<dyn Collection<StoredCircuit>>,
    /// Where they are written.
    pub circuit_registry: Box<dyn CircuitRegistry>,
}
