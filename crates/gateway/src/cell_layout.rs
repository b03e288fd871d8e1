//! Which cell each of a service's engines is of.

use std::collections::{BTreeMap, HashMap};

use fulmarpath_policy::{Division, RunKey, UpstreamKey};
use fulmarpath_wire::CellKey;

use crate::directory::Registration;
use crate::key::{cell_key, name_key};

/// The cell of each engine.
pub(crate) type CellsByEngine = HashMap<UpstreamKey, CellKey>;

/// Engines in each data centre.
pub(crate) fn count(registered: &[&Registration]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for one in registered {
        *counts.entry(one.data_centre.clone()).or_default() += 1;
    }
    counts
}

/// Engines by cell; the one cell of a service that isn't divided, also without any.
pub(crate) fn divide<'a>(
    division: &Division,
    service: &str,
    registered: &[&'a Registration],
) -> HashMap<CellKey, Vec<&'a Registration>> {
    let mut by_cell: HashMap<CellKey, Vec<&Registration>> = HashMap::new();
    if division == &Division::default() {
        by_cell.insert(cell_key(service, None), Vec::new());
    }
    for one in registered {
        let part = division.part_with(&one.data_centre, name_key(one));
        by_cell
            .entry(cell_key(service, part))
            .or_default()
            .push(one);
    }
    by_cell
}

/// The cell for a generation of a host in `data_centre`.
pub(crate) fn cell_for(
    division: &Division,
    service: &str,
    data_centre: &str,
    run: RunKey,
) -> CellKey {
    cell_key(service, division.part_for(data_centre, run.0))
}
