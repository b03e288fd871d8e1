//! The generations that this host relays.

use std::collections::HashMap;

use fulmarpath_policy::{HostKey, RunKey, RunStatement, UpstreamKey};
use fulmarpath_wire::{CellKey, MigrationAnswer, RelayedRuns};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::upstreams::instance::Destination;

/// An order to migrate a generation to another engine.
pub(crate) struct MigrationOrder {
    pub(crate) to: Destination,
    pub(crate) answer: oneshot::Sender<MigrationAnswer>,
}

#[derive(Debug)]
struct Entry {
    cell: CellKey,
    statement: RunStatement,
    /// Sends to its relay; `None` until its engine begins to respond.
    orders: Option<mpsc::Sender<MigrationOrder>>,
}

/// The generations that this host relays.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: Mutex<HashMap<RunKey, Entry>>,
}

impl Runs {
    /// Records that a generation is sent to an engine, where it may be queued for long before the
    /// response begins.
    ///
    /// If it were stated only once its response began, its home would not count it while it is
    /// queued: the home would underestimate the engine's load and send more there, and prompts
    /// would wait for 3 to 6 s on a few engines while others have capacity.
    pub(crate) fn record_dispatch(&self, cell: CellKey, statement: RunStatement) {
        let mut entries = self.entries.lock();
        let known = entries.entry(statement.run);
        // A generation that is regenerated elsewhere keeps its relay.
        known
            .and_modify(|entry| entry.statement = statement)
            .or_insert(Entry {
                cell,
                statement,
                orders: None,
            });
    }

    /// Records that a generation's response has begun; returns the channel on which its relay
    /// receives migration orders.
    pub(crate) fn begin(&self, run: RunKey) -> mpsc::Receiver<MigrationOrder> {
        let (orders, received) = mpsc::channel(1);
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            entry.orders = Some(orders);
        }
        received
    }

    /// Changes the statement of a generation.
    pub(crate) fn update(&self, run: RunKey, change: impl FnOnce(&mut RunStatement)) {
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            change(&mut entry.statement);
        }
    }

    /// Removes a generation that has ended; returns its output tokens.
    pub(crate) fn remove(&self, run: RunKey) -> Option<u32> {
        let entry = self.entries.lock().remove(&run)?;
        Some(entry.statement.out_tokens)
    }

    /// All generations, grouped by the current cell of their engine. Their longest pauses begin anew.
    pub(crate) fn restatements(
        &self,
        host: HostKey,
        cell_of_engine: impl Fn(UpstreamKey) -> Option<CellKey>,
    ) -> Vec<RelayedRuns> {
        let mut by_cell: HashMap<CellKey, Vec<RunStatement>> = HashMap::new();
        for entry in self.entries.lock().values_mut() {
            let cell = cell_of_engine(entry.statement.engine).unwrap_or(entry.cell);
            by_cell.entry(cell).or_default().push(entry.statement);
            entry.statement.longest_pause_ms = 0;
        }
        let cells = by_cell.into_iter();
        cells
            .map(|(cell, runs)| RelayedRuns { cell, host, runs })
            .collect()
    }

    /// Orders the migration of a generation to another engine; returns the outcome.
    pub(crate) async fn migrate(&self, run: RunKey, to: Destination) -> MigrationAnswer {
        let orders = match self.entries.lock().get(&run) {
            Some(entry) => entry.orders.clone(),
            None => return MigrationAnswer::Over,
        };
        // Before the first token there is nothing to migrate.
        let Some(orders) = orders else {
            return MigrationAnswer::Stayed;
        };
        let (answer, answered) = oneshot::channel();
        if orders.send(MigrationOrder { to, answer }).await.is_err() {
            return MigrationAnswer::Over;
        }
        answered.await.unwrap_or(MigrationAnswer::Over)
    }
}
