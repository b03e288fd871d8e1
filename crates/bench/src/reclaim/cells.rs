//! The cells of the simulated service, divided as the gateway divides engines.

use std::collections::BTreeMap;

use fulmarpath_policy::{
    Cell, CellPartitioning, Migration, MigrationOutcome, Millis, Placement, PlacementRequest,
    UpstreamKey,
};

use super::row::PolicyName;
use super::world::Settings;

/// Index of a cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CellIndex(usize);

/// How the homes of a service's cells share their engines. The home of cell `own` decides first.
pub(super) trait Sharing: std::fmt::Debug {
    /// Places a request that arrived at `own`, there or in another cell.
    fn place(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        own: CellIndex,
        request: &PlacementRequest,
    ) -> Placement;

    /// The next migration off a leaving engine of `own`, within the cell or to another.
    fn next_migration(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        own: CellIndex,
        from: UpstreamKey,
    ) -> Option<Migration>;

    /// Records the outcome of a migration from an engine of the first cell to one of the second,
    /// which may be the same.
    fn finish_migration(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        between: [CellIndex; 2],
        migration: Migration,
        outcome: MigrationOutcome,
    );
}

/// Each cell uses its own engines only.
#[derive(Debug)]
pub(super) struct Separate;

impl Sharing for Separate {
    fn place(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        own: CellIndex,
        request: &PlacementRequest,
    ) -> Placement {
        cells[own.0].place(now_ms, request)
    }

    fn next_migration(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        own: CellIndex,
        from: UpstreamKey,
    ) -> Option<Migration> {
        cells[own.0].next_migration(now_ms, from)
    }

    fn finish_migration(
        &mut self,
        now_ms: Millis,
        cells: &mut [Cell],
        [own, _]: [CellIndex; 2],
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        cells[own.0].finish_migration(now_ms, migration, outcome);
    }
}

/// How the engines are divided into cells.
fn partitioning(settings: &Settings) -> CellPartitioning {
    let scenario = settings.scenario;
    if !scenario.has_partitions || settings.policy == PolicyName::OneCell {
        return CellPartitioning::default();
    }
    let numbers = 0..settings.engines;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in numbers {
        let name = (number % scenario.data_centres).to_string();
        *counts.entry(name).or_default() += 1;
    }
    CellPartitioning::default().updated(&counts)
}

/// The cells of a service and their homes.
#[derive(Debug)]
pub(super) struct Cells {
    partitioning: CellPartitioning,
    cells: Vec<Cell>,
    /// Cells by data centre and partition; `None` for the only one.
    indexes: BTreeMap<Option<(String, u64)>, CellIndex>,
    sharing: Box<dyn Sharing>,
}

impl Cells {
    /// Cells without engines yet.
    pub(super) fn of(settings: &Settings) -> Self {
        Self {
            partitioning: partitioning(settings),
            cells: Vec::new(),
            indexes: BTreeMap::new(),
            sharing: Box::new(Separate),
        }
    }

    /// The cell of an engine, by its data centre and a draw.
    pub(super) fn add_engine(&mut self, data_centre: u64, draw: u64) -> CellIndex {
        let name = data_centre.to_string();
        let key = self.partitioning.partition_of_engine(&name, draw);
        let key = key.map(|(name, partition)| (name.to_owned(), partition));
        let cells = &mut self.cells;
        let index = self.indexes.entry(key).or_insert_with(|| {
            cells.push(Cell::default());
            CellIndex(cells.len() - 1)
        });
        *index
    }

    /// The cell in which a request of a data centre arrives.
    pub(super) fn of_request(&self, data_centre: u64, draw: u64) -> CellIndex {
        let name = data_centre.to_string();
        let key = self.partitioning.partition_for_generation(&name, draw);
        let key = key.map(|(name, partition)| (name.to_owned(), partition));
        self.indexes.get(&key).copied().unwrap_or_default()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = CellIndex> + use<> {
        (0..self.cells.len()).map(CellIndex)
    }

    pub(super) fn place(
        &mut self,
        now_ms: Millis,
        own: CellIndex,
        request: &PlacementRequest,
    ) -> Placement {
        self.sharing.place(now_ms, &mut self.cells, own, request)
    }

    pub(super) fn next_migration(
        &mut self,
        now_ms: Millis,
        own: CellIndex,
        from: UpstreamKey,
    ) -> Option<Migration> {
        self.sharing
            .next_migration(now_ms, &mut self.cells, own, from)
    }

    pub(super) fn finish_migration(
        &mut self,
        now_ms: Millis,
        between: [CellIndex; 2],
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        self.sharing
            .finish_migration(now_ms, &mut self.cells, between, migration, outcome);
    }

    /// The table of one cell, for what its home learns.
    pub(super) fn get_mut(&mut self, cell: CellIndex) -> &mut Cell {
        &mut self.cells[cell.0]
    }
}
