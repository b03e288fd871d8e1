//! The generations that this host relays.

use std::collections::HashMap;

use fulmarpath_policy::{HostKey, RunKey, RunStatement, UpstreamKey};
use fulmarpath_wire::{CellKey, MigrationAnswer, RelayedRuns};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::instance::Destination;

/// An order to carry a generation to another engine.
pub(crate) struct MigrationOrder {
    pub(crate) to: Destination,
    pub(crate) answer: oneshot::Sender<MigrationAnswer>,
}

#[derive(Debug)]
struct Entry {
    cell: CellKey,
    statement: RunStatement,
    /// To its relay; `None` while its engine has not begun to answer.
    orders: Option<mpsc::Sender<MigrationOrder>>,
}

/// The generations that this host relays.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: Mutex<HashMap<RunKey, Entry>>,
}

impl Runs {
    /// A generation is sent to an engine, where it may wait for long before the answer begins.
    ///
    /// Stated only once its answer began, it was forgotten by its home while it waited: the home
    /// took the engine for emptier than it was and sent more there, and prompts waited for 3 to 6 s
    /// on a few engines while others had room. Stated from here on, it is counted all the time.
    pub(crate) fn place(&self, cell: CellKey, statement: RunStatement) {
        let mut entries = self.entries.lock();
        let known = entries.entry(statement.run);
        // One that is made anew elsewhere keeps its relay.
        known
            .and_modify(|entry| entry.statement = statement)
            .or_insert(Entry {
                cell,
                statement,
                orders: None,
            });
    }

    /// A generation's answer has begun; its relay gets the orders.
    pub(crate) fn begin(&self, run: RunKey) -> mpsc::Receiver<MigrationOrder> {
        let (orders, received) = mpsc::channel(1);
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            entry.orders = Some(orders);
        }
        received
    }

    /// Changes what is stated of a generation.
    pub(crate) fn update(&self, run: RunKey, change: impl FnOnce(&mut RunStatement)) {
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            change(&mut entry.statement);
        }
    }

    /// A generation is over; the tokens that had come of it.
    pub(crate) fn remove(&self, run: RunKey) -> Option<u32> {
        let entry = self.entries.lock().remove(&run)?;
        Some(entry.statement.out_tokens)
    }

    /// All generations, by the cell that their engine is of now.
    pub(crate) fn restatements(
        &self,
        host: HostKey,
        cell_with: impl Fn(UpstreamKey) -> Option<CellKey>,
    ) -> Vec<RelayedRuns> {
        let mut by_cell: HashMap<CellKey, Vec<RunStatement>> = HashMap::new();
        for entry in self.entries.lock().values() {
            let cell = cell_with(entry.statement.engine).unwrap_or(entry.cell);
            by_cell.entry(cell).or_default().push(entry.statement);
        }
        let cells = by_cell.into_iter();
        cells
            .map(|(cell, runs)| RelayedRuns { cell, host, runs })
            .collect()
    }

    /// Has a generation carried to another engine.
    pub(crate) async fn migrate(&self, run: RunKey, to: Destination) -> MigrationAnswer {
        let orders = match self.entries.lock().get(&run) {
            Some(entry) => entry.orders.clone(),
            None => return MigrationAnswer::Over,
        };
        // Before its first token there is nothing to carry.
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
