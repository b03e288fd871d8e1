//! Whether an upstream may receive work, by its data centre and the time since its start.

use std::collections::HashMap;

use fulmarpath_policy::{Cold, ColdBound, Millis};

use crate::configuration::ActiveConfiguration;

/// Limits on the upstreams of one service while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ColdLimit {
    /// How long an upstream is cold after its start.
    pub(crate) cold_ms: Millis,
    /// Requests that one host may let start within any one second during that time.
    pub(crate) starts: u32,
}

/// Cold limits by service; services whose upstreams are never cold are omitted.
#[derive(Debug, Default)]
pub(crate) struct ColdLimits {
    by_service: HashMap<String, ColdLimit>,
}

impl ColdLimits {
    /// Builds the limits from the operator's bound and each service's own figures.
    pub(crate) fn of(bound: Option<ColdBound>, active: Option<&ActiveConfiguration>) -> Self {
        let Some((bound, active)) = bound.zip(active) else {
            return Self::default();
        };
        let services = active.configuration.services.iter();
        let cold = services.filter(|service| service.cold_ms > 0);
        let by_service = cold.map(|service| {
            let cold_limit = ColdLimit {
                cold_ms: service.cold_ms,
                starts: bound.starts_per_host(service.cold_per_second),
            };
            (service.name.clone(), cold_limit)
        });
        Self {
            by_service: by_service.collect(),
        }
    }

    pub(crate) fn get(&self, service: &str) -> Option<ColdLimit> {
        self.by_service.get(service).copied()
    }
}

/// Whether an upstream may receive work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Availability {
    /// Its data centre is evacuated: it receives no work.
    pub(crate) is_evacuated: bool,
    /// Its cold limit and until when that applies, which may be in the past; `None` if the
    /// upstreams of its service are never cold.
    pub(crate) cold: Option<Cold>,
}
