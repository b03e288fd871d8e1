//! One incarnation of an upstream as known to this host, and references to it.

use std::net::SocketAddr;

use fulmarpath_policy::{Cold, Evacuations, InFlightId, Millis, UpstreamKey, UpstreamStats};
use slotmap::new_key_type;
use tokio_util::sync::CancellationToken;

use crate::key::upstream_key;
use crate::roster::directory::{RegisteredState, Registration};
use crate::upstreams::availability::{ColdLimit, ColdLimits};

new_key_type! {
    /// Key of an upstream's incarnation in this host's arena.
    pub(crate) struct InstanceKey;
}

/// One incarnation (process lifetime) of an upstream.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) upstream: UpstreamKey,
    pub(crate) registration: Registration,
    pub(crate) stats: UpstreamStats,
    /// Another upstream answers at its address, so it has left.
    pub(crate) is_gone: bool,
    /// Its data centre is evacuated.
    pub(crate) is_evacuated: bool,
    /// Until when it is cold, by its own entry or by recent events.
    pub(crate) cold_until_ms: Millis,
    /// Its limits while it is cold; `None` if the upstreams of its service are never cold.
    pub(crate) cold_limit: Option<ColdLimit>,
    /// The last connection attempt failed, and no response has arrived since.
    pub(crate) is_unreachable: bool,
    /// Cancelled when it is known to have restarted.
    pub(crate) lost: CancellationToken,
}

impl Instance {
    pub(crate) fn new(registration: Registration) -> Self {
        Self {
            upstream: upstream_key(&registration),
            registration,
            stats: UpstreamStats::default(),
            is_gone: false,
            is_evacuated: false,
            cold_until_ms: 0,
            cold_limit: None,
            is_unreachable: false,
            lost: CancellationToken::new(),
        }
    }

    /// The upstream, as a destination on which a generation may resume.
    pub(crate) fn as_destination(&self) -> Destination {
        Destination {
            upstream: self.upstream,
            address: self.registration.address,
            lost: self.lost.clone(),
        }
    }

    /// Applies the cold time that its entry states.
    pub(crate) fn apply_stated_cold(&mut self, now_ms: Millis) {
        let until_ms = now_ms.saturating_add(self.registration.cold_ms);
        self.cold_until_ms = self.cold_until_ms.max(until_ms);
    }

    /// Applies the evacuations and the cold limit of its service.
    pub(crate) fn apply_limits(&mut self, evacuations: &Evacuations, cold_limits: &ColdLimits) {
        let data_centre = &self.registration.data_centre;
        self.cold_limit = cold_limits.get(&self.registration.service);
        self.is_evacuated = evacuations.is_evacuated(data_centre);
        // When an evacuation ends, the upstreams of the data centre are cold.
        if let Some(ended_ms) = evacuations.ended_ms(data_centre) {
            self.mark_cold(ended_ms);
        }
    }

    pub(crate) fn is_same_incarnation(&self, registration: &Registration) -> bool {
        self.registration.started_at_ms == registration.started_at_ms
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.registration.state == RegisteredState::Ready && !self.is_gone && !self.is_evacuated
    }

    /// The cold state, if it is cold now and its service has a cold limit.
    pub(crate) fn cold(&self, now_ms: Millis) -> Option<Cold> {
        let cold_limit = self.cold_limit?;
        (now_ms < self.cold_until_ms).then_some(Cold {
            until_ms: self.cold_until_ms,
            starts: cold_limit.starts,
        })
    }

    /// Marks it as cold for its service's cold time from `since_ms` on.
    pub(crate) fn mark_cold(&mut self, since_ms: Millis) {
        let cold_ms = self.cold_limit.map_or(0, |cold_limit| cold_limit.cold_ms);
        self.cold_until_ms = self.cold_until_ms.max(since_ms.saturating_add(cold_ms));
    }

    /// Whether all of its slots are in use, as far as this host knows.
    pub(crate) fn is_full(&self, now_ms: Millis) -> bool {
        self.stats.occupancy(now_ms) >= self.registration.slots.max(1) as f32
    }
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct ChosenUpstream {
    pub(crate) key: InstanceKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
    /// Cancelled when the upstream has restarted: whatever ran there is lost.
    pub(crate) lost: CancellationToken,
    pub(crate) in_flight_id: InFlightId,
}

impl ChosenUpstream {
    /// The upstream, as a destination on which a generation may resume.
    pub(crate) fn destination(&self) -> Destination {
        Destination {
            upstream: self.upstream,
            address: self.address,
            lost: self.lost.clone(),
        }
    }
}

/// An engine on which a generation may resume.
#[derive(Debug, Clone)]
pub(crate) struct Destination {
    pub(crate) upstream: UpstreamKey,
    pub(crate) address: SocketAddr,
    pub(crate) lost: CancellationToken,
}

impl Destination {
    /// Whether the engine has restarted: it holds no earlier state, and an equal copy id there now
    /// belongs to another generation.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.is_cancelled()
    }
}
