//! Registrations of upstreams and of this system's own hosts.

use std::net::SocketAddr;

use fulmarpath_policy::{Millis, Revision};
use serde::{Deserialize, Serialize};

/// Whether a registered upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisteredState {
    /// It accepts new work.
    Ready,
    /// It completes running work and accepts nothing new.
    Draining,
}

/// One incarnation (process lifetime) of one upstream, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its name, which is the same after a restart; its address may be reused by another upstream.
    pub instance: String,
    /// When this incarnation started, in Unix milliseconds by the upstream's own clock. A later
    /// incarnation supersedes an earlier one and holds none of its state, so name and start time
    /// together identify where a request, generation or copy is.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<Millis>,
    /// The service to which it belongs.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Number of requests it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: RegisteredState,
    /// How much longer it is slow after its start.
    pub cold_ms: Millis,
}

impl Registration {
    /// The departure of this incarnation at a revision.
    pub(crate) fn departure(&self, at: Revision) -> Departure {
        Departure {
            instance: self.instance.clone(),
            started_at_ms: self.started_at_ms,
            at,
        }
    }

    /// Whether both registrations belong to the same incarnation of one upstream.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_at_ms == other.started_at_ms
    }
}

/// An incarnation of an upstream that has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Its name.
    pub instance: String,
    /// When that incarnation started.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<Millis>,
    /// The revision at which it had left.
    pub at: Revision,
}

/// An upstream whose entry has expired with an outage of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredEntry {
    /// Its name.
    pub instance: String,
    /// How much longer it is kept unless it registers again.
    pub left_ms: Millis,
    /// The latest revision at which the store is known to have had the entry.
    pub confirmed_at: Revision,
}

/// The report of an upstream's departure to the home of its cell, ahead of the change that reaches
/// all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureNotice {
    /// The upstream and the revision at which it is leaving or has left.
    pub departure: Departure,
    /// Whether its registration has ended; otherwise it is draining.
    pub is_gone: bool,
}

/// A host of this system, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRegistration {
    /// Its unique name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The address for its peers.
    pub address: SocketAddr,
}

impl RegistrationChange {
    /// The notice of this change to the home of the upstream's cell; `None` if the upstream is not
    /// leaving.
    pub fn departure_notice(&self, at: Revision) -> Option<DepartureNotice> {
        let is_draining =
            |registration: &&Registration| registration.state == RegisteredState::Draining;
        let leaving = match &self.after {
            None => self.before.as_ref(),
            Some(after) => Some(after).filter(is_draining),
        };
        Some(DepartureNotice {
            departure: leaving?.departure(at),
            is_gone: self.after.is_none(),
        })
    }
}

/// The change of one upstream's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationChange {
    /// Its registration before; `None` if it was not registered.
    pub before: Option<Registration>,
    /// Its registration now; `None` if it has left.
    pub after: Option<Registration>,
}

/// All upstreams at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The revision, which grows with each change.
    pub revision: Revision,
    /// The registrations, in no particular order.
    pub registrations: Vec<Registration>,
}

/// The changes between two states of the directory; a complete list if it begins at the default
/// revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// The revision at which it begins; the default revision for a complete list.
    pub from_revision: Revision,
    /// The revision to which it leads.
    pub revision: Revision,
    /// New or changed registrations.
    pub put: Vec<Registration>,
    /// Departed upstreams; in a complete list, the recent departures.
    pub gone: Vec<Departure>,
    /// Upstreams with expired entries that are still kept.
    pub expired: Vec<ExpiredEntry>,
}

/// A part of the complete list of upstreams, in the order of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryPart {
    /// The revision of the whole list at the time of this part.
    pub revision: Revision,
    /// The registrations of this part.
    pub put: Vec<Registration>,
    /// Recent departures, in the first part only.
    pub gone: Vec<Departure>,
    /// Upstreams with expired entries that are still kept, in the first part only.
    pub expired: Vec<ExpiredEntry>,
    /// Whether no part follows.
    pub is_last: bool,
}

/// A page of the list of upstreams, which a watcher passes on while it reads the rest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedPage {
    /// The revision of the whole list.
    pub revision: Revision,
    /// The last name on the page before; `None` for the first page.
    pub after: Option<String>,
    /// The last name on this page; `None` for the last page.
    pub up_to: Option<String>,
    /// The registrations on this page.
    pub put: Vec<Registration>,
}

impl Directory {
    /// The revision of a list that may be stale, from which a host starts. A host at this revision
    /// may pass its list on to peers, and accepts any other list.
    pub const PROVISIONAL: Revision = Revision::new(0, 1);
}

impl DirectoryChange {
    /// Whether it is a complete list, so that upstreams not named are gone.
    pub fn is_complete(&self) -> bool {
        self.from_revision == Revision::default()
    }
}
