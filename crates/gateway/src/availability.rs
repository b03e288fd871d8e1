//! Whether an upstream may get work, as far as its place and its age tell.

use std::collections::HashMap;

use fulmarpath_policy::{Cold, ColdBound, Millis};

use crate::configuration::ActiveConfiguration;

/// What the upstreams of one service bear while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ColdLimit {
    /// How long one is cold after its start.
    pub(crate) cold_ms: Millis,
    /// Starts that one host may hand out in any one second meanwhile.
    pub(crate) starts: u32,
}

/// What each service's upstreams bear; services whose upstreams are never cold are left out.
#[derive(Debug, Default)]
pub(crate) struct ColdLimits {
    by_service: HashMap<String, ColdLimit>,
}

impl ColdLimits {
    /// By the operator's bound and each service's own figures.
    pub(crate) fn of(bound: Option<ColdBound>, in_force: Option<&ActiveConfiguration>) -> Self {
        let Some((bound, in_force)) = bound.zip(in_force) else {
            return Self::default();
        };
        let services = in_force.configuration.services.iter();
        let cold = services.filter(|one| one.cold_ms > 0);
        let by_service = cold.map(|one| {
            let cold_limit = ColdLimit {
                cold_ms: one.cold_ms,
                starts: bound.starts(one.cold_per_second),
            };
            (one.name.clone(), cold_limit)
        });
        Self {
            by_service: by_service.collect(),
        }
    }

    pub(crate) fn get(&self, service: &str) -> Option<ColdLimit> {
        self.by_service.get(service).copied()
    }
}

/// Whether an upstream may get work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Availability {
    /// Its data centre is evacuated: it gets nothing.
    pub(crate) is_evacuated: bool,
    /// Set while it bears a few new requests a second only.
    pub(crate) cold: Option<Cold>,
}
