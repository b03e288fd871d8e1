//! Assigns the engines and generations of a service to cells.

use std::collections::{BTreeMap, HashMap};

use fulmarpath_policy::{CellPartitioning, RunKey, UpstreamKey};
use fulmarpath_wire::CellKey;

use crate::key::{cell_key, name_key};
use crate::roster::directory::Registration;

pub(crate) type CellsByEngine = HashMap<UpstreamKey, CellKey>;

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
    if partitioning == &CellPartitioning::default() {
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
