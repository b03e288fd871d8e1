//! Assigns the engines and generations of a service to cells.

use std::collections::{BTreeMap, HashMap};

use fulmarpath_policy::{CellPartitioning, RunKey, UpstreamKey};
use fulmarpath_wire::CellKey;

use crate::directory::Registration;
use crate::key::{cell_key, name_key};

pub(crate) type CellsByEngine = HashMap<UpstreamKey, CellKey>;

/// Number of engines in each data centre.
pub(crate) fn count(registered: &[&Registration]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for one in registered {
        *counts.entry(one.data_centre.clone()).or_default() += 1;
    }
    counts
}

/// Groups engines by cell; a service that is not divided has one cell, also without engines.
pub(crate) fn divide<'a>(
    division: &CellPartitioning,
    service: &str,
    registered: &[&'a Registration],
) -> HashMap<CellKey, Vec<&'a Registration>> {
    let mut by_cell: HashMap<CellKey, Vec<&Registration>> = HashMap::new();
    if division == &CellPartitioning::default() {
        by_cell.insert(cell_key(service, None), Vec::new());
    }
    for one in registered {
        let part = division.partition_of_engine(&one.data_centre, name_key(one));
        by_cell
            .entry(cell_key(service, part))
            .or_default()
            .push(one);
    }
    by_cell
}

/// The cell for a generation that a host in `data_centre` starts.
pub(crate) fn cell_for(
    division: &CellPartitioning,
    service: &str,
    data_centre: &str,
    run: RunKey,
) -> CellKey {
    cell_key(
        service,
        division.partition_for_generation(data_centre, run.0),
    )
}
