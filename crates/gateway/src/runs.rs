//! The generations that this host relays.

use std::collections::HashMap;

use fulmarpath_policy::{HostKey, RunKey, RunStatement};
use fulmarpath_wire::{CarryAnswer, CellKey, Restatement};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::instances::Destination;

/// An order to carry a generation to another engine.
pub(crate) struct CarryOrder {
    pub(crate) to: Destination,
    pub(crate) answer: oneshot::Sender<CarryAnswer>,
}

#[derive(Debug)]
struct Entry {
    cell: CellKey,
    statement: RunStatement,
    orders: mpsc::Sender<CarryOrder>,
}

/// The generations that this host relays.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: Mutex<HashMap<RunKey, Entry>>,
}

impl Runs {
    /// A generation has begun; its relay gets the orders.
    pub(crate) fn insert(
        &self,
        cell: CellKey,
        statement: RunStatement,
    ) -> mpsc::Receiver<CarryOrder> {
        let (orders, received) = mpsc::channel(1);
        let entry = Entry {
            cell,
            statement,
            orders,
        };
        self.entries.lock().insert(statement.run, entry);
        received
    }

    /// Changes what is stated of a generation.
    pub(crate) fn update(&self, run: RunKey, change: impl FnOnce(&mut RunStatement)) {
        if let Some(entry) = self.entries.lock().get_mut(&run) {
            change(&mut entry.statement);
        }
    }

    /// A generation is over.
    pub(crate) fn remove(&self, run: RunKey) -> Option<CellKey> {
        self.entries.lock().remove(&run).map(|entry| entry.cell)
    }

    /// All generations, by cell. A cell is stated once more after its last generation is over.
    pub(crate) fn restatements(&self, host: HostKey) -> Vec<Restatement> {
        let mut by_cell: HashMap<CellKey, Vec<RunStatement>> = HashMap::new();
        for entry in self.entries.lock().values() {
            by_cell.entry(entry.cell).or_default().push(entry.statement);
        }
        let cells = by_cell.into_iter();
        cells
            .map(|(cell, runs)| Restatement { cell, host, runs })
            .collect()
    }

    /// Has a generation carried to another engine.
    pub(crate) async fn carry(&self, run: RunKey, to: Destination) -> CarryAnswer {
        let orders = {
            let entries = self.entries.lock();
            entries.get(&run).map(|entry| entry.orders.clone())
        };
        let Some(orders) = orders else {
            return CarryAnswer::Over;
        };
        let (answer, answered) = oneshot::channel();
        if orders.send(CarryOrder { to, answer }).await.is_err() {
            return CarryAnswer::Over;
        }
        answered.await.unwrap_or(CarryAnswer::Over)
    }
}
