//! Applies the backpressure signals of upstreams, and logs their changes.

use std::sync::Arc;

use fulmarpath_policy::{Backpressure, Millis, Signals, UpstreamKey};
use fulmarpath_wire::{AdvertisedLimit, BrittleLoad};
use spdlog::info;

use crate::gateway::Gateway;
use crate::upstreams::instance::ChosenUpstream;
use crate::upstreams::instances::Instances;

impl Gateway {
    /// Applies the signals in the head of an upstream's own response.
    pub(crate) fn apply_signals(self: &Arc<Self>, chosen: &ChosenUpstream, signals: Signals) {
        let now_ms = self.clock.now_ms();
        let change = self
            .instances
            .apply_signals(now_ms, chosen.upstream, signals);
        let (before, after) = change;
        let instance = &chosen.instance;
        match (before.limit_per_s(), after.limit_per_s()) {
            (before, after) if before == after => {}
            (_, Some(limit)) => {
                info!("backpressure: {instance} takes {limit} requests a second from all hosts")
            }
            (_, None) => {
                info!("backpressure: {instance} no longer advertises a limit");
                self.report_limit_end(chosen.upstream);
            }
        }
        match (before.brittle_at(), after.brittle_at()) {
            (before, after) if before == after => {}
            (_, Some(rejections)) => {
                info!("backpressure: {instance} falls over if it refuses {rejections} a second")
            }
            (_, None) => info!("backpressure: {instance} is no longer brittle"),
        }
        if let Some(backoff_ms) = signals.backoff_ms {
            info!("backpressure: {instance} wants nothing from this host for {backoff_ms} ms");
        }
        if after.is_leaving() && !before.is_leaving() {
            info!("backpressure: {instance} says that it leaves");
        }
    }
}

impl Instances {
    /// Applies the signals of a response; returns the upstream's backpressure before and after.
    pub(crate) fn apply_signals(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        signals: Signals,
    ) -> (Backpressure, Backpressure) {
        let mut table = self.table.lock();
        let known = table.backpressure.get(&upstream).copied();
        let before = known.unwrap_or_default();
        let mut after = before;
        after.update(now_ms, signals);
        // Most upstreams never send a signal.
        if known.is_some() || signals != Signals::default() {
            table.backpressure.insert(upstream, after);
        }
        (before, after)
    }

    /// Applies the end of a limit that another host noticed at `ended_ms`.
    pub(crate) fn apply_limit_end(&self, upstream: UpstreamKey, ended_ms: Millis) {
        let mut table = self.table.lock();
        if let Some(backpressure) = table.backpressure.get_mut(&upstream) {
            backpressure.merge_limit_end(ended_ms);
        }
    }

    /// Applies a limit that another host received at `received_ms`.
    pub(crate) fn apply_limit(&self, upstream: UpstreamKey, per_s: f32, received_ms: Millis) {
        let mut table = self.table.lock();
        let backpressure = table.backpressure.entry(upstream).or_default();
        backpressure.merge_limit(per_s, received_ms);
    }

    /// Blocks new requests of this host to an upstream until `until_ms`: its limit allows none
    /// before.
    pub(crate) fn throttle_until(&self, upstream: UpstreamKey, until_ms: Millis) {
        let mut table = self.table.lock();
        let backpressure = table.backpressure.entry(upstream).or_default();
        backpressure.throttle_until(until_ms);
    }

    /// The limit that an upstream advertises, and the age of its last signal.
    pub(crate) fn advertised_limit(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
    ) -> Option<AdvertisedLimit> {
        let table = self.table.lock();
        let backpressure = table.backpressure.get(&upstream)?;
        Some(AdvertisedLimit {
            per_s: backpressure.limit_per_s()?,
            age_ms: now_ms.saturating_sub(backpressure.updated_ms()),
        })
    }

    /// What a start at a brittle upstream depends on; `None` if the upstream is not brittle.
    pub(crate) fn brittle_load(&self, upstream: UpstreamKey) -> Option<BrittleLoad> {
        let table = self.table.lock();
        table.backpressure.get(&upstream)?.brittle_at()?;
        let instance = &table.arena[*table.by_upstream.get(&upstream)?];
        Some(BrittleLoad {
            slots: instance.registration.slots,
            duration_ms: instance.stats.expected_latency_ms(),
        })
    }

    /// Registered upstreams that have told this host that they are brittle.
    pub(crate) fn brittle_count(&self) -> usize {
        self.count_matching(|backpressure| backpressure.brittle_at().is_some())
    }

    /// Upstreams whose signals allow no new request from this host at present.
    pub(crate) fn throttled(&self, now_ms: Millis) -> Vec<UpstreamKey> {
        let table = self.table.lock();
        let backpressure = table.backpressure.iter();
        let throttled = backpressure.filter(|(_, backpressure)| backpressure.is_blocked(now_ms));
        throttled.map(|(upstream, _)| *upstream).collect()
    }

    /// Registered upstreams that have announced to this host that they are leaving.
    pub(crate) fn leaving_count(&self) -> usize {
        self.count_matching(Backpressure::is_leaving)
    }

    /// Registered upstreams that have asked this host for a backoff that still runs.
    pub(crate) fn backing_off_count(&self, now_ms: Millis) -> usize {
        self.count_matching(|backpressure| backpressure.is_backing_off(now_ms))
    }

    fn count_matching(&self, matches: impl Fn(&Backpressure) -> bool) -> usize {
        let table = self.table.lock();
        let known = table.by_upstream.keys();
        let backpressure = known.filter_map(|upstream| table.backpressure.get(upstream));
        backpressure
            .filter(|backpressure| matches(backpressure))
            .count()
    }

    /// Registered upstreams that advertise a limit to this host.
    pub(crate) fn limited_count(&self) -> usize {
        self.count_matching(|backpressure| backpressure.limit_per_s().is_some())
    }

    /// When the first upstream of a service accepts requests from this host again; `None` if one
    /// does so at present, or if none takes work at all.
    pub(crate) fn available_at_ms(&self, now_ms: Millis, service: &str) -> Option<Millis> {
        let table = self.table.lock();
        let instances = table.of_service(service).map(|key| &table.arena[*key]);
        let accepting = instances.filter(|instance| table.takes_work(instance));
        let first_ms = accepting
            .map(|instance| table.available_at_ms(instance.upstream))
            .min()?;
        (first_ms > now_ms).then_some(first_ms)
    }
}
