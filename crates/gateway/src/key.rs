//! Keys that every host derives from names in the same way.

use fulmarpath_policy::{ModelKey, RunKey, UpstreamKey};
use fulmarpath_wire::CellKey;

use crate::roster::directory::Registration;

/// The key of one incarnation of an upstream.
pub(crate) fn upstream_key(registration: &Registration) -> UpstreamKey {
    match registration.started_at_ms {
        Some(started_at_ms) => {
            UpstreamKey::of(&format!("{}/{started_at_ms}", registration.instance))
        }
        None => UpstreamKey::of(&registration.instance),
    }
}

/// The key of an upstream, the same for all its incarnations.
pub(crate) fn name_key(registration: &Registration) -> u64 {
    hash(&registration.instance)
}

/// The key of a generation, derived from the id of its caller's request.
pub(crate) fn run_key(request_id: &str) -> RunKey {
    RunKey(hash(request_id))
}

pub(crate) fn data_centre_key(data_centre: &str) -> u64 {
    hash(data_centre)
}

/// The key of a cell: of the whole service, or of a partition of a data centre's engines.
pub(crate) fn cell_key(service: &str, partition: Option<(&str, u64)>) -> CellKey {
    CellKey(match partition {
        Some((data_centre, partition)) => hash(&format!("{service}/{data_centre}/{partition}")),
        None => hash(service),
    })
}

fn hash(name: &str) -> u64 {
    ModelKey::of(name).0
}
