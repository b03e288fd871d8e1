//! The upstreams that this host may send to, and what it knows of each.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmarpath_policy::{
    Choice, FlightId, Gauge, Millis, StatedLoad, UpstreamKey, Verdict, choose,
};
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use spdlog::info;
use tokio_util::sync::CancellationToken;

use crate::directory::{Directory, RegisteredState, Registration};
use crate::key::upstream_of;

new_key_type! {
    /// An upstream's start in this host's arena.
    pub(crate) struct InstanceKey;
}

#[derive(Debug)]
struct Instance {
    registration: Registration,
    gauge: Gauge,
    /// The upstream has said on a connection that it is leaving.
    is_leaving: bool,
    /// Cancelled when it is known to have started again.
    lost: CancellationToken,
}

impl Instance {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            gauge: Gauge::default(),
            is_leaving: false,
            lost: CancellationToken::new(),
        }
    }

    fn is_start_of(&self, registration: &Registration) -> bool {
        self.registration.born_ms == registration.born_ms
    }

    fn takes_work(&self) -> bool {
        self.registration.state == RegisteredState::Ready && !self.is_leaving
    }
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) key: InstanceKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
    /// Cancelled when the upstream has started again: what ran there is lost.
    pub(crate) lost: CancellationToken,
    flight: FlightId,
}

impl Chosen {
    /// The upstream, as an engine that a generation may go on at.
    pub(crate) fn destination(&self) -> Destination {
        Destination {
            upstream: self.upstream,
            address: self.address,
            lost: self.lost.clone(),
        }
    }
}

/// An engine that a generation may go on at.
#[derive(Debug, Clone)]
pub(crate) struct Destination {
    pub(crate) upstream: UpstreamKey,
    pub(crate) address: SocketAddr,
    lost: CancellationToken,
}

impl Destination {
    /// The engine has started again: it holds nothing of before, and what has the name of a copy
    /// there now is another's.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.is_cancelled()
    }
}

#[derive(Debug, Default)]
struct Table {
    arena: SlotMap<InstanceKey, Instance>,
    by_name: HashMap<String, InstanceKey>,
    by_upstream: HashMap<UpstreamKey, InstanceKey>,
    by_service: HashMap<String, Vec<InstanceKey>>,
}

impl Table {
    /// Takes a registration; another start of an upstream takes the place of the one before.
    ///
    /// Its requests would wait on connections that may never end: an upstream that starts again
    /// behind a cut resets nothing.
    fn adopt(&mut self, registration: &Registration) -> InstanceKey {
        let known = self.by_name.remove(&registration.instance);
        if let Some(key) = known {
            let one = &mut self.arena[key];
            if one.is_start_of(registration) {
                one.registration = registration.clone();
                return key;
            }
            info!("upstreams: {} has started again", registration.instance);
            one.lost.cancel();
            self.arena.remove(key);
        }
        self.arena.insert(Instance::new(registration.clone()))
    }

    /// Counts a request at an upstream.
    fn start(&mut self, now_ms: Millis, key: InstanceKey) -> Chosen {
        let one = &mut self.arena[key];
        Chosen {
            key,
            upstream: upstream_of(&one.registration),
            instance: one.registration.instance.clone(),
            address: one.registration.address,
            lost: one.lost.clone(),
            flight: one.gauge.start(now_ms),
        }
    }
}

/// The upstreams that this host may send to.
#[derive(Debug)]
pub(crate) struct Instances {
    data_centre: String,
    table: Mutex<Table>,
}

impl Instances {
    pub(crate) fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            table: Mutex::default(),
        }
    }

    /// Takes a newer directory; what is known of the upstreams that stay is kept.
    pub(crate) fn adopt(&self, directory: &Directory) {
        let mut table = self.table.lock();
        let mut by_name = HashMap::new();
        let mut by_upstream = HashMap::new();
        let mut by_service: HashMap<String, Vec<InstanceKey>> = HashMap::new();
        for registration in &directory.registrations {
            let key = table.adopt(registration);
            by_upstream.insert(upstream_of(registration), key);
            by_name.insert(registration.instance.clone(), key);
            let same = by_service.entry(registration.service.clone()).or_default();
            same.push(key);
        }
        let gone = std::mem::take(&mut table.by_name);
        for key in gone.into_values() {
            table.arena.remove(key);
        }
        table.by_name = by_name;
        table.by_upstream = by_upstream;
        table.by_service = by_service;
    }

    /// Chooses an upstream of a service and counts the request there.
    pub(crate) fn choose(
        &self,
        now_ms: Millis,
        service: &str,
        without: &[InstanceKey],
        draw: f32,
    ) -> Option<Chosen> {
        let mut table = self.table.lock();
        let choices: Vec<Choice<InstanceKey>> = table
            .by_service
            .get(service)?
            .iter()
            .filter(|key| !without.contains(key))
            .map(|key| (*key, &table.arena[*key]))
            .filter(|(_, one)| one.takes_work())
            .map(|(key, one)| Choice {
                key,
                cost: one.gauge.cost(now_ms),
                near: one.registration.data_centre == self.data_centre,
            })
            .collect();
        let key = choose(&choices, draw)?;
        Some(table.start(now_ms, key))
    }

    /// Counts a request at the upstream that its home has chosen; `None` where this host knows that
    /// it takes nothing new.
    pub(crate) fn take(&self, now_ms: Millis, upstream: UpstreamKey) -> Option<Chosen> {
        self.take_if(now_ms, upstream, Instance::takes_work)
    }

    /// Counts a generation that goes on at an upstream, also at one that is leaving: it may have to
    /// go on where it was.
    pub(crate) fn take_again(&self, now_ms: Millis, upstream: UpstreamKey) -> Option<Chosen> {
        self.take_if(now_ms, upstream, |_| true)
    }

    fn take_if(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        may_take: impl FnOnce(&Instance) -> bool,
    ) -> Option<Chosen> {
        let mut table = self.table.lock();
        let key = *table.by_upstream.get(&upstream)?;
        may_take(&table.arena[key]).then(|| table.start(now_ms, key))
    }

    /// Where an upstream listens.
    pub(crate) fn find(&self, upstream: UpstreamKey) -> Option<Destination> {
        let table = self.table.lock();
        let one = &table.arena[*table.by_upstream.get(&upstream)?];
        Some(Destination {
            upstream,
            address: one.registration.address,
            lost: one.lost.clone(),
        })
    }

    /// The registration of an upstream's start.
    pub(crate) fn registration(&self, upstream: UpstreamKey) -> Option<Registration> {
        let table = self.table.lock();
        let key = table.by_upstream.get(&upstream)?;
        Some(table.arena[*key].registration.clone())
    }

    /// Whether a chosen upstream is registered still and has given no notice.
    pub(crate) fn takes_work(&self, key: InstanceKey) -> bool {
        let table = self.table.lock();
        table.arena.get(key).is_some_and(Instance::takes_work)
    }

    /// A request to a chosen upstream is over.
    pub(crate) fn end(&self, now_ms: Millis, chosen: &Chosen, verdict: Verdict) {
        self.with(chosen.key, |one| {
            one.gauge.end(now_ms, chosen.flight, verdict)
        });
    }

    /// The head of an answer came.
    pub(crate) fn answered(
        &self,
        now_ms: Millis,
        key: InstanceKey,
        latency_ms: Millis,
        load: Option<StatedLoad>,
    ) {
        self.with(key, |one| {
            one.gauge.answered(latency_ms);
            if let Some(load) = load {
                one.gauge.state(now_ms, load);
            }
        });
    }

    /// No connection could be made.
    pub(crate) fn unreachable(&self, now_ms: Millis, key: InstanceKey) {
        self.with(key, |one| one.gauge.unreachable(now_ms));
    }

    /// The upstream had better be spared for a while.
    pub(crate) fn spare_until(&self, until_ms: Millis, key: InstanceKey) {
        self.with(key, |one| one.gauge.spare_until(until_ms));
    }

    /// Another upstream answers at the address: this one is gone for good.
    pub(crate) fn leave(&self, key: InstanceKey) {
        self.with(key, |one| one.is_leaving = true);
    }

    fn with(&self, key: InstanceKey, change: impl FnOnce(&mut Instance)) {
        let mut table = self.table.lock();
        if let Some(one) = table.arena.get_mut(key) {
            change(one);
        }
    }
}
