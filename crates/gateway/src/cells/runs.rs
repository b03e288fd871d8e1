//! The generations that this host relays.

use std::collections::{HashMap, HashSet};

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

/// Where a generation ran when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndedRun {
    pub(crate) out_tokens: u32,
    /// Cell of its engine.
    pub(crate) cell: CellKey,
}

#[derive(Debug)]
struct Entry {
    /// Cell of its engine when it was sent there.
    cell: CellKey,
    statement: RunStatement,
    /// Sends to its relay; `None` until its engine begins to respond.
    orders: Option<mpsc::Sender<MigrationOrder>>,
}

/// The generations that this host relays.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: Mutex<HashMap<RunKey, Entry>>,
    /// Cells of which generations were last stated.
    stated: Mutex<HashSet<CellKey>>,
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
            .and_modify(|entry| {
                entry.cell = cell;
                entry.statement = statement;
            })
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

    /// Records that a generation continues on another engine, which is in `cell` if that is known.
    pub(crate) fn relocate(
        &self,
        run: RunKey,
        cell: Option<CellKey>,
        engine: UpstreamKey,
        backup: Option<UpstreamKey>,
    ) {
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            entry.cell = cell.unwrap_or(entry.cell);
            entry.statement.engine = engine;
            entry.statement.backup = backup;
        }
    }

    /// Removes a generation that has ended; `None` if it was sent to no engine.
    pub(crate) fn remove(
        &self,
        run: RunKey,
        cell_of_engine: impl Fn(UpstreamKey) -> Option<CellKey>,
    ) -> Option<EndedRun> {
        let entry = self.entries.lock().remove(&run)?;
        Some(EndedRun {
            out_tokens: entry.statement.out_tokens,
            cell: cell_of_engine(entry.statement.engine).unwrap_or(entry.cell),
        })
    }

    /// All generations, grouped by the current cell of their engine. A cell of which there are none
    /// any more is stated once without any, in case the report of the last end was lost. Longest
    /// pauses begin anew.
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
        let stated = by_cell.keys().copied().collect();
        for cell in std::mem::replace(&mut *self.stated.lock(), stated) {
            by_cell.entry(cell).or_default();
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
