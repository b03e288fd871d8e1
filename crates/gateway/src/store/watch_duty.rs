//! Determines whether this host watches the store on behalf of its area.

use std::collections::BTreeMap;

use fulmarpath_cluster::Members;
use fulmarpath_policy::{HostKey, Millis, Substitution, WatchArea, WatchCandidate};
use fulmarpath_wire::WatcherAge;
use spdlog::info;

use crate::gateway::Gateway;

/// The hosts on which it depends whether this host watches, by the present members.
#[derive(Debug, Default)]
pub(crate) struct WatchDuty {
    /// The version of the members from which it was derived.
    members_version: Option<u64>,
    area: WatchArea,
    /// The first hosts of the area that rank higher than this one.
    higher_ranked: Vec<HostKey>,
    /// Number of all hosts of the area that rank higher.
    higher_ranked_count: usize,
}

impl Gateway {
    /// Whether this host knows enough of the others to determine the watchers.
    pub(crate) fn may_watch(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().may_watch_store(now_ms)
    }

    /// Whether this host watches for its area.
    pub fn is_watcher(&self) -> bool {
        self.may_watch() && (self.is_elected_watcher() || self.substitutes_watchers())
    }

    /// Whether this host watches by its rank among the present hosts of its area.
    pub(crate) fn is_elected_watcher(&self) -> bool {
        if !self.may_watch() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let own_key = self.host_key();
        self.with_watch_duty(|duty| {
            let access = self.dissemination.store_access.lock();
            let others = duty.higher_ranked.iter().map(|key| WatchCandidate {
                rank: key.0,
                store_unreadable: access.is_unreadable_to(now_ms, *key),
            });
            duty.area.is_watcher(own_key.0, others)
        })
    }

    /// Whether this host watches because no watcher has been heard of.
    fn substitutes_watchers(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let higher_ranked = self.with_watch_duty(|duty| duty.higher_ranked_count);
        let unreadable = {
            let access = self.dissemination.store_access.lock();
            access.unreadable_count(now_ms)
        };
        let mut liveness = self.dissemination.liveness.lock();
        if WatchArea::is_store_unavailable(unreadable) {
            liveness.end_substitution(now_ms);
            return false;
        }
        match liveness.substitution(now_ms, self.settings.change_bound_ms, higher_ranked) {
            Substitution::No => false,
            Substitution::Continues => true,
            Substitution::Begins { silent_ms } => {
                self.metrics.watch_substitutions.inc();
                info!("store: no watcher was heard of for {silent_ms} ms, so this host watches");
                true
            }
        }
    }

    /// Time since a watcher that can read the store is known to have worked, in ms.
    pub(crate) fn watcher_age(&self) -> WatcherAge {
        let now_ms = self.clock.now_ms();
        let is_working = self.is_watcher() && self.roster.lock().store_failing_ms(now_ms) == 0;
        let mut liveness = self.dissemination.liveness.lock();
        if is_working {
            liveness.record(now_ms, 0);
        }
        WatcherAge(liveness.age_ms(now_ms))
    }

    /// Records how long ago a watcher worked as far as a peer knows, which said so `elapsed_ms` ago
    /// at most.
    pub(crate) fn record_watcher_age(&self, age: WatcherAge, elapsed_ms: Millis) {
        if let WatcherAge(Some(age_ms)) = age {
            let now_ms = self.clock.now_ms();
            let mut liveness = self.dissemination.liveness.lock();
            liveness.record(now_ms, age_ms.saturating_add(elapsed_ms));
        }
    }

    /// The data centres with which this host exchanges updates.
    pub(crate) fn area(&self) -> WatchArea {
        self.with_watch_duty(|duty| duty.area.clone())
    }

    /// Reads the watch duty, which is derived anew only after a change of the members.
    fn with_watch_duty<T>(&self, read: impl FnOnce(&WatchDuty) -> T) -> T {
        let members = self.fleet.members.lock();
        let mut duty = self.dissemination.duty.lock();
        let version = members.homes_version();
        if duty.members_version != Some(version) {
            *duty = watch_duty(&self.settings.host.data_centre, &members);
        }
        drop(members);
        read(&duty)
    }
}

fn watch_duty(data_centre: &str, members: &Members) -> WatchDuty {
    let mut hosts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, member) in members.homes() {
        match hosts.get_mut(&member.data_centre) {
            Some(count) => *count += 1,
            None => {
                hosts.insert(member.data_centre.clone(), 1);
            }
        }
    }
    let area = WatchArea::of(data_centre, &hosts);
    let own_key = members.own_key();
    let in_area = members
        .homes()
        .filter(|(key, member)| key.0 > own_key.0 && area.contains(&member.data_centre));
    let mut higher_ranked: Vec<HostKey> = in_area.map(|(key, _)| key).collect();
    let higher_ranked_count = higher_ranked.len();
    higher_ranked.sort_unstable_by_key(|key| std::cmp::Reverse(key.0));
    higher_ranked.truncate(WatchArea::MAX_CANDIDATES);
    WatchDuty {
        members_version: Some(members.homes_version()),
        area,
        higher_ranked,
        higher_ranked_count,
    }
}
