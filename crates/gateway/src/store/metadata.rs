//! The interface to the platform's metadata store.

use std::collections::HashSet;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{Companions, ContentKey, Revision, UpstreamKey};

use crate::configuration::Configuration;
use crate::roster::directory::{HostRegistration, Registration};

/// A failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer, or an answer that the store is out of service.
    #[error("could not reach the store: {detail}")]
    Unavailable {
        /// The failure that was seen.
        detail: String,
    },
    /// The revision to watch from is no longer kept, or never existed in this era: list again.
    #[error("could not watch from revision {revision}: its history is no longer kept")]
    HistoryGone {
        /// The revision.
        revision: Revision,
    },
    /// A watch from a revision was answered in another era: list again. The answer does not include
    /// the changes between the eras.
    #[error("could not watch from revision {known}: the answer is of revision {received}")]
    EraChanged {
        /// The known revision.
        known: Revision,
        /// The revision of the answer.
        received: Revision,
    },
    /// A list from an era that has ended.
    #[error("could not use the list of revision {received}: era {latest} has begun")]
    StaleEra {
        /// The revision of the list.
        received: Revision,
        /// The latest known era.
        latest: u64,
    },
    /// The answer can't be parsed.
    #[error("could not parse the store's answer: {detail}")]
    Malformed {
        /// What can't be parsed.
        detail: String,
    },
}

impl StoreError {
    /// Whether the store may be unavailable, as opposed to requiring a new list.
    pub(crate) fn is_outage(&self) -> bool {
        !matches!(self, Self::HistoryGone { .. } | Self::EraChanged { .. })
    }
}

/// All objects of one kind at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<T> {
    /// The store's revision; a watch from it returns all changes that the list lacks.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<T>,
    /// Entries that can't be used.
    pub unusable: Vec<UnusableEntry>,
}

/// An object that can't be parsed or has impossible values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// Its name, if that can be read.
    pub name: Option<String>,
    /// The reason.
    pub reason: String,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// It was created or replaced.
    Put(T),
    /// The object of this name was removed.
    Removed(String),
    /// It was created or replaced by an entry that can't be used.
    Unusable(UnusableEntry),
}

/// The changes since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes<T> {
    /// The revision to which they lead.
    pub revision: Revision,
    /// The changes, in order.
    pub changes: Vec<Change<T>>,
}

/// The required freshness of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// At least as new as the call.
    Newest,
    /// It may be some seconds old, at a tenth of the cost to the store. Its revision may be newer
    /// than its contents, so no watch starts from it.
    MayBeStale,
}

/// A page of a list of objects, in the order of their names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage<T> {
    /// The store's revision at the time of this page.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<T>,
    /// Entries that can't be used.
    pub unusable: Vec<UnusableEntry>,
    /// The last name on the page, if more pages follow.
    pub more_after: Option<String>,
}

/// Objects of one kind.
#[async_trait]
pub trait Collection<T>: Send + Sync {
    /// Returns the page of the list that follows a name.
    async fn list_page(
        &self,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<ListPage<T>, StoreError>;
    /// Waits up to `bound` for changes since `revision`.
    async fn watch(&self, revision: Revision, bound: Duration) -> Result<Changes<T>, StoreError>;
}

impl<'a, T: Send + 'static> dyn Collection<T> + 'a {
    /// Lists all objects.
    ///
    /// # Errors
    /// [`StoreError`], also if the store was restored from a backup between two pages.
    pub async fn list(&self, freshness: Freshness) -> Result<Snapshot<T>, StoreError> {
        self.list_by_page(freshness, |_| {}).await
    }

    /// The same, with each page handed over as it arrives.
    pub(crate) async fn list_by_page(
        &self,
        freshness: Freshness,
        mut on_page: impl FnMut(ReadPage<'_, T>) + Send,
    ) -> Result<Snapshot<T>, StoreError> {
        let mut list = PartialList::default();
        while !list.is_complete {
            on_page(list.read_page(self, freshness).await?);
        }
        Ok(list.into_snapshot())
    }
}

/// A page of a list, with its place in the list.
#[derive(Debug)]
pub(crate) struct ReadPage<'a, T> {
    /// The revision of the whole list.
    pub(crate) revision: Revision,
    /// The last name on the page before; `None` for the first page.
    pub(crate) after: Option<String>,
    /// The last name on this page; `None` for the last page.
    pub(crate) up_to: Option<&'a str>,
    pub(crate) items: &'a [T],
}

/// The most pages of one list, many times those of the largest fleet.
const MAX_PAGES: usize = 4_096;

/// A list that is being read page by page.
#[derive(Debug)]
pub(crate) struct PartialList<T> {
    /// The revision of the first page, which is the oldest. A watch from it returns everything that
    /// changes after it.
    pub(crate) revision: Option<Revision>,
    /// The last name read so far.
    pub(crate) read_up_to: Option<String>,
    pub(crate) is_complete: bool,
    /// The last names of all pages so far.
    page_ends: HashSet<String>,
    items: Vec<T>,
    unusable: Vec<UnusableEntry>,
}

impl<T> Default for PartialList<T> {
    fn default() -> Self {
        Self {
            revision: None,
            read_up_to: None,
            is_complete: false,
            page_ends: HashSet::new(),
            items: Vec::new(),
            unusable: Vec::new(),
        }
    }
}

impl<T> PartialList<T> {
    /// Reads the next page.
    ///
    /// # Errors
    /// [`StoreError`], also if the store was restored from a backup since the first page, or if a
    /// page ends with the same name as an earlier one.
    pub(crate) async fn read_page(
        &mut self,
        source: &dyn Collection<T>,
        freshness: Freshness,
    ) -> Result<ReadPage<'_, T>, StoreError> {
        let after = self.read_up_to.take();
        let page = source.list_page(after.as_deref(), freshness).await?;
        let known = *self.revision.get_or_insert(page.revision);
        if page.revision.era != known.era {
            return Err(StoreError::EraChanged {
                known,
                received: page.revision,
            });
        }
        if let Some(last) = &page.more_after
            && (self.page_ends.len() == MAX_PAGES || !self.page_ends.insert(last.clone()))
        {
            return Err(StoreError::Malformed {
                detail: "the pages of the list don't end".to_owned(),
            });
        }
        let first = self.items.len();
        self.items.extend(page.items);
        self.unusable.extend(page.unusable);
        self.is_complete = page.more_after.is_none();
        self.read_up_to = page.more_after;
        Ok(ReadPage {
            revision: known,
            after,
            up_to: self.read_up_to.as_deref(),
            items: &self.items[first..],
        })
    }

    pub(crate) fn into_snapshot(self) -> Snapshot<T> {
        Snapshot {
            revision: self.revision.unwrap_or_default(),
            items: self.items,
            unusable: self.unusable,
        }
    }
}

/// The registry of this system's own hosts.
#[async_trait]
pub trait HostRegistry: Send + Sync {
    /// Writes this host's entry, and replaces an older one of the same name.
    async fn register(&self, host: &HostRegistration) -> Result<(), StoreError>;
    /// Removes a host's entry; succeeds if there is none.
    async fn unregister(&self, name: &str) -> Result<(), StoreError>;
}

/// The stored form of an open circuit of a content that crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredCircuit {
    /// The content.
    pub content: ContentKey,
    /// How often it was opened.
    pub openings: u32,
    /// The latest upstreams that crashed under it.
    pub crashes: Vec<UpstreamKey>,
    /// It stands for a part of prompts, not for a request as a whole.
    pub is_of_part: bool,
    /// What else had just begun on them.
    pub companions: Companions,
    /// When it was opened, in Unix milliseconds by the home's clock.
    pub since_unix_ms: u64,
}

/// The registry of open circuits.
#[async_trait]
pub trait CircuitRegistry: Send + Sync {
    /// Writes a circuit, and replaces an older one of the same content.
    async fn store(&self, circuit: &StoredCircuit) -> Result<(), StoreError>;
    /// Removes the circuit of a content; succeeds if there is none.
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
    /// This system's own hosts.
    pub hosts: Box<dyn Collection<HostRegistration>>,
    /// The registry for this host's own entry.
    pub registry: Box<dyn HostRegistry>,
    /// Open circuits of contents.
    pub circuits: Box<dyn Collection<StoredCircuit>>,
    /// The registry for open circuits.
    pub circuit_registry: Box<dyn CircuitRegistry>,
}
