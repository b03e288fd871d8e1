//! The upstreams known to one host, and the backpressure of each.

use std::collections::HashMap;

use fulmarpath_policy::{Backpressure, Millis, UpstreamKey};
use slotmap::SlotMap;
use spdlog::info;

use crate::directory::Registration;
use crate::instance::{ChosenUpstream, Instance, InstanceKey};

/// How long the backpressure of an unregistered upstream is kept. Entries that expired during a
/// store outage are back within seconds of its end, and an outage lasts for minutes.
const BACKPRESSURE_TTL_MS: Millis = 600_000;

/// The known upstreams, indexed by each of their identifiers.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    pub(crate) arena: SlotMap<InstanceKey, Instance>,
    pub(crate) by_name: HashMap<String, InstanceKey>,
    pub(crate) by_upstream: HashMap<UpstreamKey, InstanceKey>,
    pub(crate) by_service: HashMap<String, Vec<InstanceKey>>,
    /// Backpressure by upstream. It outlives the upstreams' entries, which expire during a store
    /// outage and come back.
    pub(crate) backpressure: HashMap<UpstreamKey, Backpressure>,
}

impl UpstreamTable {
    /// Applies a registration; another incarnation of an upstream replaces the previous one.
    ///
    /// Requests to the previous incarnation would otherwise wait on connections that may never end:
    /// an upstream that restarts behind a network partition resets none of them.
    pub(crate) fn apply_registration(
        &mut self,
        now_ms: Millis,
        registration: &Registration,
    ) -> InstanceKey {
        let known = self.by_name.remove(&registration.instance);
        if let Some(key) = known {
            let instance = &mut self.arena[key];
            if instance.is_same_incarnation(registration) {
                if instance.registration != *registration {
                    instance.registration = registration.clone();
                    instance.apply_stated_cold(now_ms);
                }
                return key;
            }
            info!("upstreams: {} has started again", registration.instance);
            instance.lost.cancel();
            self.arena.remove(key);
        }
        let mut instance = Instance::new(registration.clone());
        instance.apply_stated_cold(now_ms);
        self.arena.insert(instance)
    }

    /// When an upstream accepts requests from this host again, according to its signals.
    pub(crate) fn available_at_ms(&self, upstream: UpstreamKey) -> Millis {
        let backpressure = self.backpressure.get(&upstream);
        backpressure.map_or(0, Backpressure::blocked_until_ms)
    }

    /// Whether an upstream accepts no new request from this host at present.
    pub(crate) fn is_throttled(&self, now_ms: Millis, upstream: UpstreamKey) -> bool {
        let backpressure = self.backpressure.get(&upstream);
        backpressure.is_some_and(|backpressure| backpressure.is_blocked(now_ms))
    }

    /// Whether an upstream takes new work, according to its registration and its own signals.
    pub(crate) fn takes_work(&self, instance: &Instance) -> bool {
        let backpressure = self.backpressure.get(&instance.upstream);
        instance.takes_work() && !backpressure.is_some_and(Backpressure::is_leaving)
    }

    /// The limit that an upstream advertises.
    pub(crate) fn limit_of(&self, upstream: UpstreamKey) -> Option<f32> {
        self.backpressure.get(&upstream)?.limit_per_s()
    }

    /// Removes the backpressure of upstreams that have been gone for long.
    pub(crate) fn expire_backpressure(&mut self, now_ms: Millis) {
        let known = &self.by_upstream;
        self.backpressure.retain(|upstream, backpressure| {
            let age_ms = now_ms.saturating_sub(backpressure.updated_ms());
            known.contains_key(upstream) || age_ms < BACKPRESSURE_TTL_MS
        });
    }

    /// Counts a request at an upstream.
    pub(crate) fn begin_request(&mut self, now_ms: Millis, key: InstanceKey) -> ChosenUpstream {
        let instance = &mut self.arena[key];
        ChosenUpstream {
            key,
            upstream: instance.upstream,
            instance: instance.registration.instance.clone(),
            address: instance.registration.address,
            lost: instance.lost.clone(),
            in_flight_id: instance.stats.start(now_ms),
        }
    }
}
