//! The upstreams known to one host, and the backpressure of each.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use fulmarpath_policy::{Backpressure, Choice, Millis, UpstreamKey, spare_share};
use indexmap::IndexSet;
use slotmap::SlotMap;
use spdlog::info;

use crate::roster::directory::{Registration, RegistrationChange};
use crate::upstreams::instance::{ChosenUpstream, Instance, InstanceKey};

/// How long the backpressure of an unregistered upstream is kept. Entries that expired during a
/// store outage are back within seconds of its end, and an outage lasts for minutes.
const BACKPRESSURE_TTL_MS: Millis = 600_000;
/// Minimum time between two checks for expired backpressure.
const BACKPRESSURE_EXPIRY_PERIOD_MS: Millis = 60_000;

/// The known upstreams, indexed by each of their identifiers.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    pub(crate) arena: SlotMap<InstanceKey, Instance>,
    pub(crate) by_name: HashMap<String, InstanceKey>,
    pub(crate) by_upstream: HashMap<UpstreamKey, InstanceKey>,
    by_service: HashMap<String, IndexSet<InstanceKey>>,
    /// Number of upstreams at each address: one may be listed still when another has taken its
    /// address over.
    addresses: HashMap<SocketAddr, usize>,
    /// Upstreams that this host found cold and that the cells do not know as cold yet.
    pub(crate) found_cold: HashSet<InstanceKey>,
    /// Backpressure by upstream. It outlives the upstreams' entries, which expire during a store
    /// outage and come back.
    pub(crate) backpressure: HashMap<UpstreamKey, Backpressure>,
    /// When backpressure is next checked for expiry.
    backpressure_expiry_ms: Millis,
}

impl UpstreamTable {
    /// Applies a registration; another incarnation of an upstream replaces the previous one.
    ///
    /// Requests to the previous incarnation would otherwise wait on connections that may never end:
    /// an upstream that restarts behind a network partition resets none of them.
    pub(crate) fn update(&mut self, now_ms: Millis, registration: &Registration) -> InstanceKey {
        if let Some(key) = self.by_name.get(&registration.instance).copied() {
            let instance = &mut self.arena[key];
            let is_same_service = instance.registration.service == registration.service;
            if instance.is_same_incarnation(registration) && is_same_service {
                if instance.registration != *registration {
                    let previous =
                        std::mem::replace(&mut instance.registration, registration.clone());
                    instance.apply_stated_cold(now_ms);
                    self.remove_address(previous.address);
                    *self.addresses.entry(registration.address).or_default() += 1;
                }
                return key;
            }
            if !instance.is_same_incarnation(registration) {
                info!("upstreams: {} has started again", registration.instance);
                instance.lost.cancel();
            }
            let previous = instance.registration.clone();
            self.remove(Some(&previous));
        }
        self.insert(now_ms, registration)
    }

    fn insert(&mut self, now_ms: Millis, registration: &Registration) -> InstanceKey {
        let mut instance = Instance::new(registration.clone());
        instance.apply_stated_cold(now_ms);
        let upstream = instance.upstream;
        *self.addresses.entry(registration.address).or_default() += 1;
        let key = self.arena.insert(instance);
        self.by_name.insert(registration.instance.clone(), key);
        self.by_upstream.insert(upstream, key);
        let keys = self.by_service.entry(registration.service.clone());
        keys.or_default().insert(key);
        key
    }

    /// Removes an upstream whose registration has ended.
    pub(crate) fn remove(&mut self, registration: Option<&Registration>) {
        let key = registration.and_then(|known| self.by_name.remove(&known.instance));
        let Some(key) = key else {
            return;
        };
        let Some(instance) = self.arena.remove(key) else {
            return;
        };
        self.remove_address(instance.registration.address);
        self.by_upstream.remove(&instance.upstream);
        self.found_cold.remove(&key);
        let service = &instance.registration.service;
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.swap_remove(&key);
            if keys.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    fn remove_address(&mut self, address: SocketAddr) {
        if let Some(count) = self.addresses.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&address);
            }
        }
    }

    /// Whether an upstream is registered with this address.
    pub(crate) fn has_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    /// The upstreams of a service.
    pub(crate) fn of_service(
        &self,
        service: &str,
    ) -> impl ExactSizeIterator<Item = &InstanceKey> + Clone {
        let keys = self.by_service.get(service);
        keys.map(IndexSet::iter).unwrap_or_default()
    }

    /// Takes the upstreams that this host found cold, as changes without a difference.
    pub(crate) fn take_found_cold(&mut self) -> Vec<RegistrationChange> {
        let found = std::mem::take(&mut self.found_cold);
        let registrations = found.into_iter().filter_map(|key| {
            let instance = self.arena.get(key)?;
            Some(instance.registration.clone())
        });
        registrations
            .map(|registration| RegistrationChange {
                before: Some(registration.clone()),
                after: Some(registration),
            })
            .collect()
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

    /// Whether a start has to be requested for each request to an upstream, because it advertises a
    /// limit or is brittle.
    pub(crate) fn needs_start(&self, upstream: UpstreamKey) -> bool {
        let backpressure = self.backpressure.get(&upstream);
        backpressure.is_some_and(|backpressure| {
            backpressure.limit_per_s().is_some() || backpressure.brittle_at().is_some()
        })
    }

    /// Removes the backpressure of upstreams that have been gone for long.
    pub(crate) fn expire_backpressure(&mut self, now_ms: Millis) {
        if now_ms < self.backpressure_expiry_ms {
            return;
        }
        self.backpressure_expiry_ms = now_ms + BACKPRESSURE_EXPIRY_PERIOD_MS;
        let known = &self.by_upstream;
        self.backpressure.retain(|upstream, backpressure| {
            let age_ms = now_ms.saturating_sub(backpressure.updated_ms());
            known.contains_key(upstream) || age_ms < BACKPRESSURE_TTL_MS
        });
    }

    /// Records a trial of a chosen upstream if it needs one.
    pub(crate) fn begin_trial_if_needed(
        &mut self,
        now_ms: Millis,
        key: InstanceKey,
        choices: &[Choice<InstanceKey>],
    ) {
        if !self.arena[key].stats.needs_trial(now_ms) {
            return;
        }
        let latencies = choices
            .iter()
            .map(|choice| self.arena[choice.key].stats.expected_latency_ms());
        let lowest_ms = latencies.fold(f32::MAX, f32::min);
        self.arena[key].stats.begin_trial(now_ms, lowest_ms);
    }

    /// How far the slowdowns that these upstreams of one service report count.
    pub(crate) fn slowdown_share(&self, now_ms: Millis, keys: &[InstanceKey]) -> f32 {
        let instances = keys.iter().map(|key| &self.arena[*key]);
        let mut slowdowns = instances.clone().map(|known| known.stats.slowdown(now_ms));
        if !slowdowns.any(|slowdown| slowdown > 1.0) {
            return 0.0;
        }
        let used = instances.clone().map(|known| known.stats.occupancy(now_ms));
        let slots = instances.map(|known| known.registration.slots.max(1) as f32);
        spare_share(used.sum(), slots.sum())
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
