//! Assigns the engines and generations of a service to cells.

use std::collections::{BTreeMap, HashMap};

use fulmarpath_policy::{CellPartitioning, OtherCells, RunKey, UpstreamKey};
use fulmarpath_wire::CellKey;

use crate::key::{cell_key, name_key};
use crate::roster::directory::Registration;

pub(crate) type CellsByEngine = HashMap<UpstreamKey, CellKey>;

/// The cells of a service that have engines, in one group for each data centre; none if the service
/// is a single cell.
#[derive(Debug, Default)]
pub(crate) struct CellGroups {
    groups: Vec<Vec<CellKey>>,
}

impl CellGroups {
    pub(crate) fn new(partitioning: &CellPartitioning, service: &str) -> Self {
        let mut by_data_centre: BTreeMap<&str, Vec<CellKey>> = BTreeMap::new();
        for (data_centre, partition) in partitioning.partitions() {
            let cell = cell_key(service, Some((data_centre, partition)));
            by_data_centre.entry(data_centre).or_default().push(cell);
        }
        Self {
            groups: by_data_centre.into_values().collect(),
        }
    }

    /// Whether there is a cell other than this one.
    pub(crate) fn has_others(&self, cell: CellKey) -> bool {
        self.all().any(|other| other != cell)
    }

    /// The cells other than this one.
    pub(crate) fn others(&self, cell: CellKey) -> OtherCells<CellKey> {
        let own = self.groups.iter().find(|group| group.contains(&cell));
        let is_near = |other: &CellKey| own.is_some_and(|group| group.contains(other));
        let others = self.all().filter(|other| *other != cell);
        let (near, far) = others.partition(is_near);
        OtherCells { near, far }
    }

    fn all(&self) -> impl Iterator<Item = CellKey> {
        self.groups.iter().flatten().copied()
    }
}

/// Number of engines in each data centre.
pub(crate) fn count_by_data_centre(registered: &[&Registration]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for registration in registered {
        *counts.entry(registration.data_centre.clone()).or_default() += 1;
    }
    counts
}

/// Groups engines by cell; a service that is not partitioned has one cell, even without engines.
pub(crate) fn group_by_cell<'a>(
    partitioning: &CellPartitioning,
    service: &str,
    registered: &[&'a Registration],
) -> HashMap<CellKey, Vec<&'a Registration>> {
    let mut by_cell: HashMap<CellKey, Vec<&Registration>> = HashMap::new();
    if partitioning.is_single_cell() {
        by_cell.insert(cell_key(service, None), Vec::new());
    }
    for registration in registered {
        let cell = cell_of(partitioning, registration);
        by_cell.entry(cell).or_default().push(registration);
    }
    by_cell
}

/// The cell of a registered engine.
pub(crate) fn cell_of(partitioning: &CellPartitioning, registration: &Registration) -> CellKey {
    let draw = name_key(registration);
    let partition = partitioning.partition_of_engine(&registration.data_centre, draw);
    cell_key(&registration.service, partition)
}

/// The cell for a generation that a host in `data_centre` starts.
pub(crate) fn cell_for(
    partitioning: &CellPartitioning,
    service: &str,
    data_centre: &str,
    run: RunKey,
) -> CellKey {
    cell_key(
        service,
        partitioning.partition_for_generation(data_centre, run.0),
    )
}
