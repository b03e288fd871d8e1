//! The open connections of a server, bounded by the descriptors that the process may use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Descriptors of a connection without a request.
const IDLE_DESCRIPTORS: usize = 1;
/// Descriptors of a connection with a request: its own and up to two to upstreams.
const BUSY_DESCRIPTORS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No request has begun to arrive since this number of the count of changes.
    Idle(u64),
    Busy,
    /// It was idle and has been told to close.
    Closing,
}

#[derive(Debug)]
struct Entry {
    state: State,
    close: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    changes: u64,
    descriptors: usize,
    entries: HashMap<u64, Entry>,
    /// Idle connections, the one that has been idle longest first.
    idle: BTreeMap<u64, u64>,
}

impl Table {
    fn set(&mut self, id: u64, state: State) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut entry.state, state);
        if let State::Idle(since) = before {
            self.idle.remove(&since);
        }
        if let State::Idle(since) = state {
            self.idle.insert(since, id);
        }
        self.descriptors -= descriptors(before);
        self.descriptors += descriptors(state);
    }

    fn set_idle(&mut self, id: u64) {
        self.changes += 1;
        self.set(id, State::Idle(self.changes));
    }

    /// Tells idle connections to close until `more` descriptors fit below the bound; returns whether
    /// they do.
    fn make_room(&mut self, more: usize, max_descriptors: usize) -> bool {
        while self.descriptors.saturating_add(more) > max_descriptors {
            let Some((_, id)) = self.idle.first_key_value() else {
                return false;
            };
            let id = *id;
            self.set(id, State::Closing);
            if let Some(entry) = self.entries.get(&id) {
                entry.close.notify_one();
            }
        }
        true
    }
}

fn descriptors(state: State) -> usize {
    match state {
        State::Idle(_) => IDLE_DESCRIPTORS,
        State::Busy => BUSY_DESCRIPTORS,
        State::Closing => 0,
    }
}

/// The open connections of a server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections(Arc<Mutex<Table>>);

/// One open connection, removed when dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Connections,
    id: u64,
    max_descriptors: usize,
    close: Arc<Notify>,
}

impl Connections {
    /// Adds a connection, for which the connections that have been idle longest may have to close;
    /// `None` if there is no room for a request on it.
    pub(crate) fn open(&self, max_descriptors: usize) -> Option<OpenConnection> {
        let mut table = self.0.lock();
        if !table.make_room(BUSY_DESCRIPTORS, max_descriptors) {
            return None;
        }
        let id = table.next_id;
        table.next_id += 1;
        let close = Arc::new(Notify::new());
        let entry = Entry {
            state: State::Closing,
            close: close.clone(),
        };
        table.entries.insert(id, entry);
        table.set_idle(id);
        Some(OpenConnection {
            connections: self.clone(),
            id,
            max_descriptors,
            close,
        })
    }

    /// Tells the connection that has been idle longest to close.
    pub(crate) fn close_one(&self) {
        let mut table = self.0.lock();
        let one_less = table.descriptors.saturating_sub(IDLE_DESCRIPTORS);
        table.make_room(0, one_less);
    }
}

impl OpenConnection {
    /// Bytes of a request have arrived.
    pub(crate) fn begin(&self) {
        let mut table = self.connections.0.lock();
        if table.entries.get(&self.id).map(|entry| entry.state) != Some(State::Busy) {
            table.set(self.id, State::Busy);
            table.make_room(0, self.max_descriptors);
        }
    }

    /// The response has been sent.
    pub(crate) fn end(&self) {
        self.connections.0.lock().set_idle(self.id);
    }

    /// Completes when the connection, while idle, is told to close.
    pub(crate) async fn closing(&self) {
        loop {
            self.close.notified().await;
            let table = self.connections.0.lock();
            let entry = table.entries.get(&self.id);
            if entry.is_some_and(|entry| entry.state == State::Closing) {
                return;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut table = self.connections.0.lock();
        table.set(self.id, State::Closing);
        table.entries.remove(&self.id);
    }
}
