//! Selection of the hosts that watch the store on behalf of the others.
//!
//! Each call to the store is billed, so only a few hosts watch it and relay the changes within
//! their area. An area is a data centre, or several if each has only a few hosts.
//!
//! The store may reject just the hosts that watch it. All others would then keep stale state, and a
//! revoked key would stay valid for that long. A watcher that can't read the store therefore
//! announces this, and the next hosts watch in its place. If the store is unavailable to all, each
//! substitute announces the same and is replaced in turn. Without a limit the whole fleet would end
//! up calling the store.

use std::collections::BTreeMap;

/// Minimum number of hosts per area. A host relays to three others, so a few dozen hosts are
/// reached within three hops. With fewer hosts a watcher costs more than their pings.
const MIN_AREA_HOSTS: usize = 24;
/// Minimum number of watchers in the fleet. One per area suffices if there are several areas: when
/// it dies, pings from other areas bring the changes within a second. A single area has no other
/// source and gets two.
const MIN_WATCHERS: usize = 2;
/// Substitutes for a watcher that can't read the store, since the store may reject them as well.
const SUBSTITUTES: usize = 2;
/// Number of hosts without store access at which the store counts as unavailable to all. If it
/// rejected each host with probability 1/3, this many in a row would occur in one data centre out
/// of 240, and pings from the others would still bring the changes.
const MAX_STORE_UNREADABLE: usize = 5;

/// The data centres whose hosts share their watchers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchArea {
    /// Names of the data centres, sorted.
    pub data_centres: Vec<String>,
    /// Number of hosts in the area that watch the store.
    pub watchers: usize,
}

impl WatchArea {
    /// Number of higher-ranked hosts of its area that a host has to consider: with more of them it
    /// never watches, whatever their store access.
    pub const MAX_CANDIDATES: usize = MAX_STORE_UNREADABLE + SUBSTITUTES;

    /// The area of a data centre, given the number of live hosts in each.
    ///
    /// Hosts may briefly disagree on which hosts are live and therefore on the areas. A host's rank
    /// does not depend on its area, so every area still has a host that considers itself the first.
    pub fn of(data_centre: &str, hosts: &BTreeMap<String, usize>) -> Self {
        let mut areas: Vec<Vec<String>> = Vec::new();
        let mut area_hosts = MIN_AREA_HOSTS;
        for (name, count) in hosts {
            if area_hosts >= MIN_AREA_HOSTS {
                areas.push(Vec::new());
                area_hosts = 0;
            }
            area_hosts += count;
            if let Some(area) = areas.last_mut() {
                area.push(name.clone());
            }
        }
        // Remaining data centres with too few hosts join the last area.
        if area_hosts < MIN_AREA_HOSTS && areas.len() > 1 {
            let rest = areas.pop().unwrap_or_default();
            if let Some(last) = areas.last_mut() {
                last.extend(rest);
            }
        }
        let watchers = MIN_WATCHERS.div_ceil(areas.len().max(1));
        let mut areas = areas.into_iter();
        let own = areas.find(|area| area.iter().any(|name| name == data_centre));
        Self {
            data_centres: own.unwrap_or_default(),
            watchers,
        }
    }

    /// Whether a data centre belongs to this area.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|name| name == data_centre)
    }

    /// Whether a host of this rank watches, given the other hosts of its area.
    pub fn is_watcher(&self, rank: u64, others: impl IntoIterator<Item = WatchCandidate>) -> bool {
        let higher_ranked = others.into_iter().filter(|other| other.rank > rank);
        let (unreadable, readable): (Vec<_>, Vec<_>) =
            higher_ranked.partition(|other| other.store_unreadable);
        let wanted = match unreadable.is_empty() {
            true => self.watchers,
            false => SUBSTITUTES,
        };
        readable.len() < wanted && !Self::is_store_unavailable(unreadable.len())
    }

    /// Whether the store counts as unavailable to all if it is to this many hosts of an area.
    pub fn is_store_unavailable(unreadable: usize) -> bool {
        unreadable >= MAX_STORE_UNREADABLE
    }
}

/// A host that may watch the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchCandidate {
    /// Its rank among all hosts; the highest goes first.
    pub rank: u64,
    /// Whether it can't read the store.
    pub store_unreadable: bool,
}
