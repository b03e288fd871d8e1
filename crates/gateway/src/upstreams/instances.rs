//! The upstreams that this host may send to, and their state as known here.

use std::collections::HashSet;
use std::net::SocketAddr;

use fulmarpath_policy::{
    Choice, Cold, Draws, Evacuations, Millis, ReportedLoad, UpstreamKey, Verdict, choose,
};
use parking_lot::Mutex;

use crate::roster::directory::{Directory, Registration, RegistrationChange};
use crate::upstreams::availability::{Availability, ColdLimits};
use crate::upstreams::instance::{ChosenUpstream, Destination, Instance, InstanceKey};
use crate::upstreams::table::UpstreamTable;

/// The outcome of selecting an upstream for a request.
#[derive(Debug)]
pub(crate) enum Selection {
    /// This upstream; the request is already counted there.
    Warm(ChosenUpstream),
    /// No warm upstream has capacity, but cold ones are available.
    Cold {
        /// The cold upstreams.
        cold: Vec<UpstreamKey>,
        /// A warm upstream that is full.
        full: Option<UpstreamKey>,
    },
    /// This upstream, which advertises a limit or is brittle: a start must be requested first.
    Limited(UpstreamKey),
    /// No upstream now: all that accept work throttle this host, by a limit or by backoff.
    Throttled {
        /// When the first of them accepts requests again.
        available_ms: Millis,
    },
    /// No upstream accepts work.
    NoneAvailable,
}

/// The upstreams that this host may send to.
#[derive(Debug)]
pub(crate) struct Instances {
    data_centre: String,
    pub(crate) table: Mutex<UpstreamTable>,
}

impl Instances {
    pub(crate) fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            table: Mutex::default(),
        }
    }

    /// Applies a newer directory and keeps the state of upstreams that remain listed.
    pub(crate) fn apply_directory(
        &self,
        now_ms: Millis,
        directory: &Directory,
        evacuations: &Evacuations,
        cold_limits: &ColdLimits,
    ) {
        let mut table = self.table.lock();
        let registered = directory.registrations.iter();
        let names: HashSet<&str> = registered.map(|entry| entry.instance.as_str()).collect();
        let known = table.arena.values().map(|instance| &instance.registration);
        let gone = known.filter(|known| !names.contains(known.instance.as_str()));
        let gone: Vec<Registration> = gone.cloned().collect();
        for registration in &gone {
            table.remove(Some(registration));
        }
        for registration in &directory.registrations {
            let key = table.update(now_ms, registration);
            table.arena[key].apply_limits(evacuations, cold_limits);
        }
        table.expire_backpressure(now_ms);
    }

    /// Applies changes of registrations. Returns further ones: upstreams that this host found cold,
    /// as changes without a difference.
    pub(crate) fn apply_changes(
        &self,
        now_ms: Millis,
        changes: &[RegistrationChange],
        evacuations: &Evacuations,
        cold_limits: &ColdLimits,
    ) -> Vec<RegistrationChange> {
        let mut table = self.table.lock();
        for change in changes {
            match &change.after {
                Some(registration) => {
                    let key = table.update(now_ms, registration);
                    table.arena[key].apply_limits(evacuations, cold_limits);
                }
                None => table.remove(change.before.as_ref()),
            }
        }
        table.expire_backpressure(now_ms);
        table.take_found_cold()
    }

    /// Selects an upstream of a service, and counts the request there unless a start must be
    /// requested first.
    ///
    /// Cold upstreams are not used while a warm one has capacity, because each request that starts
    /// there costs a message to the home.
    pub(crate) fn choose(
        &self,
        now_ms: Millis,
        service: &str,
        excluded: &[InstanceKey],
        draws: Draws,
    ) -> Selection {
        let mut table = self.table.lock();
        let keys = table
            .of_service(service)
            .filter(|key| !excluded.contains(key));
        let accepting = keys.filter(|key| table.takes_work(&table.arena[**key]));
        let available_at_ms = |key: &InstanceKey| table.available_at_ms(table.arena[*key].upstream);
        let first_available_ms = accepting.clone().map(available_at_ms).min();
        let accepting = accepting.filter(|key| available_at_ms(key) <= now_ms);
        let (cold, warm): (Vec<InstanceKey>, Vec<InstanceKey>) =
            accepting.partition(|key| table.arena[**key].cold(now_ms).is_some());
        let slowdown_share = table.slowdown_share(now_ms, &warm);
        let choices: Vec<Choice<InstanceKey>> = warm
            .into_iter()
            .map(|key| (key, &table.arena[key]))
            .map(|(key, instance)| Choice {
                key,
                cost: instance.stats.cost_with_slowdown(now_ms, slowdown_share),
                is_local: instance.registration.data_centre == self.data_centre,
                needs_trial: instance.stats.needs_trial(now_ms),
            })
            .collect();
        let warm = choose(&choices, draws);
        if let Some(key) = warm {
            table.begin_trial_if_needed(now_ms, key, &choices);
        }
        let has_capacity = warm.is_some_and(|key| !table.arena[key].is_full(now_ms));
        if let Some(key) = warm
            && (has_capacity || cold.is_empty())
        {
            let upstream = table.arena[key].upstream;
            return match table.needs_start(upstream) {
                true => Selection::Limited(upstream),
                false => Selection::Warm(table.begin_request(now_ms, key)),
            };
        }
        if cold.is_empty() {
            return first_available_ms.map_or(Selection::NoneAvailable, |available_ms| {
                Selection::Throttled { available_ms }
            });
        }
        let upstream = |key: &InstanceKey| table.arena[*key].upstream;
        Selection::Cold {
            cold: cold.iter().map(upstream).collect(),
            full: warm.as_ref().map(upstream),
        }
    }

    /// Whether a service has upstreams and all of them are in evacuated data centres.
    pub(crate) fn is_evacuated(&self, service: &str) -> bool {
        let table = self.table.lock();
        let mut instances = table.of_service(service).map(|key| &table.arena[*key]);
        instances.len() > 0 && instances.all(|instance| instance.is_evacuated)
    }

    /// Whether an upstream may receive work.
    pub(crate) fn availability(&self, upstream: UpstreamKey) -> Availability {
        let table = self.table.lock();
        let Some(key) = table.by_upstream.get(&upstream) else {
            return Availability::default();
        };
        let instance = &table.arena[*key];
        let cold = instance.cold_limit.map(|cold_limit| Cold {
            until_ms: instance.cold_until_ms,
            starts: cold_limit.starts,
        });
        Availability {
            is_evacuated: instance.is_evacuated,
            cold,
        }
    }

    /// Upstreams that are cold now.
    pub(crate) fn cold(&self, now_ms: Millis) -> Vec<UpstreamKey> {
        let table = self.table.lock();
        let all = table.arena.values();
        let cold = all.filter(|instance| instance.cold(now_ms).is_some());
        cold.map(|instance| instance.upstream).collect()
    }

    /// Whether a chosen upstream is cold.
    pub(crate) fn is_cold(&self, now_ms: Millis, key: InstanceKey) -> bool {
        let table = self.table.lock();
        let instance = table.arena.get(key);
        instance.is_some_and(|instance| instance.cold(now_ms).is_some())
    }

    /// Counts a request at the upstream that the home has selected; `None` if this host knows that
    /// the upstream accepts no new requests.
    pub(crate) fn reserve(&self, now_ms: Millis, upstream: UpstreamKey) -> Option<ChosenUpstream> {
        self.reserve_if(now_ms, upstream, |table, key| {
            let signals = table.backpressure.get(&upstream);
            table.takes_work(&table.arena[key])
                && !signals.is_some_and(|signals| signals.is_backing_off(now_ms))
        })
    }

    /// Counts a generation that resumes at an upstream, which may be leaving: the generation may
    /// have to resume where it was. An evacuated upstream receives none, and one that has asked for
    /// backoff very few.
    pub(crate) fn reserve_continuation(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
    ) -> Option<ChosenUpstream> {
        self.reserve_if(now_ms, upstream, |table, key| {
            let signals = table.backpressure.get_mut(&upstream);
            !table.arena[key].is_evacuated
                && signals.is_none_or(|signals| signals.may_continue(now_ms))
        })
    }

    fn reserve_if(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        may_take: impl FnOnce(&mut UpstreamTable, InstanceKey) -> bool,
    ) -> Option<ChosenUpstream> {
        let mut table = self.table.lock();
        let key = *table.by_upstream.get(&upstream)?;
        may_take(&mut table, key).then(|| table.begin_request(now_ms, key))
    }

    /// An engine that a generation may be migrated to; `None` if it receives no work now.
    pub(crate) fn destination(&self, now_ms: Millis, upstream: UpstreamKey) -> Option<Destination> {
        let is_evacuated = self.availability(upstream).is_evacuated;
        let is_throttled = self.table.lock().is_throttled(now_ms, upstream);
        let found = self.find(upstream);
        found.filter(|_| !is_evacuated && !is_throttled)
    }

    /// The least loaded upstream of a service, as far as this host knows, except one.
    pub(crate) fn other_destination(
        &self,
        now_ms: Millis,
        service: &str,
        except: UpstreamKey,
    ) -> Option<Destination> {
        let table = self.table.lock();
        let instances = table.of_service(service).map(|key| &table.arena[*key]);
        let open = instances.filter(|instance| {
            let is_throttled = table.is_throttled(now_ms, instance.upstream);
            instance.upstream != except && table.takes_work(instance) && !is_throttled
        });
        let least_loaded = open.min_by(|a, b| {
            let (a, b) = (a.stats.cost(now_ms), b.stats.cost(now_ms));
            a.total_cmp(&b)
        });
        least_loaded.map(Instance::as_destination)
    }

    /// The current incarnation of an upstream, as a destination.
    pub(crate) fn find(&self, upstream: UpstreamKey) -> Option<Destination> {
        let table = self.table.lock();
        let key = table.by_upstream.get(&upstream)?;
        Some(table.arena[*key].as_destination())
    }

    /// The registration of an upstream's current incarnation.
    pub(crate) fn registration(&self, upstream: UpstreamKey) -> Option<Registration> {
        let table = self.table.lock();
        let key = table.by_upstream.get(&upstream)?;
        Some(table.arena[*key].registration.clone())
    }

    /// Whether an upstream is registered with this address.
    pub(crate) fn has_address(&self, address: SocketAddr) -> bool {
        self.table.lock().has_address(address)
    }

    /// Whether a chosen upstream is still registered and has not announced its departure.
    pub(crate) fn takes_work(&self, key: InstanceKey) -> bool {
        let table = self.table.lock();
        let known = table.arena.get(key);
        known.is_some_and(|instance| table.takes_work(instance))
    }

    /// Records the end of a request to a chosen upstream.
    pub(crate) fn end(&self, now_ms: Millis, chosen: &ChosenUpstream, verdict: Verdict) {
        self.with(chosen.key, |instance| {
            instance.stats.end(now_ms, chosen.in_flight_id, verdict)
        });
    }

    /// Records that a response head has arrived.
    pub(crate) fn record_response(
        &self,
        now_ms: Millis,
        key: InstanceKey,
        latency_ms: Millis,
        load: Option<ReportedLoad>,
    ) {
        let mut table = self.table.lock();
        let Some(instance) = table.arena.get_mut(key) else {
            return;
        };
        instance.stats.record_latency(now_ms, latency_ms);
        if let Some(load) = load {
            instance.stats.record_load(now_ms, load);
        }
        // An upstream that was unreachable is cold when it returns, and its entry may not say so
        // yet.
        if std::mem::take(&mut instance.is_unreachable) {
            instance.mark_cold(now_ms);
            table.found_cold.insert(key);
        }
    }

    /// Records that no connection could be made.
    pub(crate) fn record_unreachable(&self, now_ms: Millis, key: InstanceKey) {
        self.with(key, |instance| {
            instance.stats.record_unreachable(now_ms);
            instance.is_unreachable = true;
        });
    }

    /// Deprioritises the upstream until `until_ms`.
    pub(crate) fn penalise_until(&self, until_ms: Millis, key: InstanceKey) {
        self.with(key, |instance| instance.stats.penalise_until(until_ms));
    }

    /// Marks an upstream as gone: another upstream answers at its address.
    pub(crate) fn mark_gone(&self, key: InstanceKey) {
        self.with(key, |instance| instance.is_gone = true);
    }

    fn with(&self, key: InstanceKey, change: impl FnOnce(&mut Instance)) {
        let mut table = self.table.lock();
        if let Some(instance) = table.arena.get_mut(key) {
            change(instance);
        }
    }
}
