//! Takes what upstreams ask of their callers, and writes down what changes.

use fulmarpath_policy::{Backpressure, Millis, Signals, UpstreamKey};
use fulmarpath_wire::AdvertisedLimit;
use spdlog::info;

use crate::gateway::Gateway;
use crate::instance::Chosen;
use crate::instances::Instances;

impl Gateway {
    /// Takes what the head of an upstream's own answer asks for.
    pub(crate) fn apply_signals(&self, chosen: &Chosen, signals: Signals) {
        let now_ms = self.clock.now_ms();
        let heard = self
            .instances
            .apply_signals(now_ms, chosen.upstream, signals);
        let (before, after) = heard;
        let instance = &chosen.instance;
        match (before.limit_per_s(), after.limit_per_s()) {
            (before, after) if before == after => {}
            (_, Some(limit)) => {
                info!("backpressure: {instance} takes {limit} requests a second from all hosts")
            }
            (_, None) => info!("backpressure: {instance} names no limit any more"),
        }
        if let Some(rest_ms) = signals.backoff_ms {
            info!("backpressure: {instance} wants nothing from this host for {rest_ms} ms");
        }
        if after.is_leaving() && !before.is_leaving() {
            info!("backpressure: {instance} says that it leaves");
        }
    }
}

impl Instances {
    /// Takes what an answer asks of this upstream's callers; what it asked for before and after.
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
        // Most upstreams never ask for anything.
        if known.is_some() || signals != Signals::default() {
            table.backpressure.insert(upstream, after);
        }
        (before, after)
    }

    /// Takes a limit that another host was told at a moment.
    pub(crate) fn apply_limit(&self, upstream: UpstreamKey, per_s: f32, heard_ms: Millis) {
        let mut table = self.table.lock();
        let asked = table.backpressure.entry(upstream).or_default();
        asked.merge_limit(per_s, heard_ms);
    }

    /// An upstream's limit leaves no start for this host before `until_ms`.
    pub(crate) fn throttle_until(&self, upstream: UpstreamKey, until_ms: Millis) {
        let mut table = self.table.lock();
        let asked = table.backpressure.entry(upstream).or_default();
        asked.throttle_until(until_ms);
    }

    /// The limit that an upstream names, and how old its word is.
    pub(crate) fn named_limit(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
    ) -> Option<AdvertisedLimit> {
        let table = self.table.lock();
        let asked = table.backpressure.get(&upstream)?;
        Some(AdvertisedLimit {
            per_s: asked.limit_per_s()?,
            age_ms: now_ms.saturating_sub(asked.updated_ms()),
        })
    }

    /// Upstreams that take nothing new of this host now, by what they ask for.
    pub(crate) fn throttled(&self, now_ms: Millis) -> Vec<UpstreamKey> {
        let table = self.table.lock();
        let asked = table.backpressure.iter();
        let throttled = asked.filter(|(_, asked)| asked.is_blocked(now_ms));
        throttled.map(|(upstream, _)| *upstream).collect()
    }

    /// Registered upstreams that have said to this host that they leave.
    pub(crate) fn leaving_count(&self) -> usize {
        self.count_asking(Backpressure::is_leaving)
    }

    /// Registered upstreams that want nothing from this host now.
    pub(crate) fn backing_off_count(&self, now_ms: Millis) -> usize {
        self.count_asking(|asked| asked.is_backing_off(now_ms))
    }

    fn count_asking(&self, asks: impl Fn(&Backpressure) -> bool) -> usize {
        let table = self.table.lock();
        let known = table.by_upstream.keys();
        let asked = known.filter_map(|upstream| table.backpressure.get(upstream));
        asked.filter(|asked| asks(asked)).count()
    }

    /// Registered upstreams that name a limit to this host.
    pub(crate) fn limited_count(&self) -> usize {
        self.count_asking(|asked| asked.limit_per_s().is_some())
    }

    /// When the first upstream of a service takes more of this host; `None` where one does now, or
    /// where none takes work at all.
    pub(crate) fn available_at_ms(&self, now_ms: Millis, service: &str) -> Option<Millis> {
        let table = self.table.lock();
        let same = table.by_service.get(service)?;
        let open = same.iter().map(|key| &table.arena[*key]);
        let open = open.filter(|one| table.takes_work(one));
        let first_ms = open.map(|one| table.available_at_ms(one.upstream)).min()?;
        (first_ms > now_ms).then_some(first_ms)
    }
}
