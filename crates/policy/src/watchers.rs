//! Which hosts watch the store for the others.
//!
//! Each call to the store is paid for, so few hosts watch, and pass their news on to those around
//! them. Around means the hosts of a data centre, or of several where each has only a few.
//!
//! The store may turn away just the hosts that watch it: all others would go on with what they know,
//! and a key that was taken away would be good there for as long as that lasts. So a watcher that
//! can't read the store says so, and the next ones watch in its place. Where the store is away for
//! all, each of those says so in turn, and without a bound the whole fleet ends up asking it.

use std::collections::BTreeMap;

/// Hosts that one watcher at least is for. A host passes news on to three others, so a few dozen
/// hear of them within three hops; with fewer than this a watcher costs more than its hosts' pings.
const AREA_HOSTS: usize = 24;
/// Watchers of the whole fleet at least. Each area has one, and where it dies, the pings of others'
/// areas bring the news within a second; where there is one area alone, nobody else has the news.
const WATCHERS: usize = 2;
/// Watchers in place of one that can't read the store: they may be turned away as well.
const SUBSTITUTES: usize = 2;
/// With so many that can't read it, the store is away for all. If it turned away each host with a
/// chance of a third, so many in a row would meet one data centre in 240, and the others' pings
/// still bring the news.
const MOST_BLIND: usize = 5;

/// The data centres whose hosts share their watchers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchArea {
    /// In the order of their names.
    pub data_centres: Vec<String>,
    /// Hosts of it that watch.
    pub watchers: usize,
}

impl WatchArea {
    /// The area of a data centre, by the hosts that are believed present in each.
    ///
    /// Hosts may differ for a moment in whom they believe present. Ranks are the same in every area,
    /// so whatever areas they see, each of them sees a host that sees itself as the first.
    pub fn of(data_centre: &str, hosts: &BTreeMap<String, usize>) -> Self {
        let mut areas: Vec<Vec<String>> = Vec::new();
        let mut filled = AREA_HOSTS;
        for (name, count) in hosts {
            if filled >= AREA_HOSTS {
                areas.push(Vec::new());
                filled = 0;
            }
            filled += count;
            if let Some(area) = areas.last_mut() {
                area.push(name.clone());
            }
        }
        // What is left over at the end is no area of its own.
        if filled < AREA_HOSTS && areas.len() > 1 {
            let rest = areas.pop().unwrap_or_default();
            if let Some(last) = areas.last_mut() {
                last.extend(rest);
            }
        }
        let watchers = WATCHERS.div_ceil(areas.len().max(1));
        let mut areas = areas.into_iter();
        let own = areas.find(|area| area.iter().any(|name| name == data_centre));
        Self {
            data_centres: own.unwrap_or_default(),
            watchers,
        }
    }

    /// Whether a data centre is of this area.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|name| name == data_centre)
    }

    /// Whether a host of this rank watches, beside the others of its area.
    pub fn is_watcher(&self, rank: u64, others: impl IntoIterator<Item = WatchCandidate>) -> bool {
        let better = others.into_iter().filter(|other| other.rank > rank);
        let (blind, well): (Vec<_>, Vec<_>) = better.partition(|other| other.store_unreadable);
        let wanted = match blind.is_empty() {
            true => self.watchers,
            false => SUBSTITUTES,
        };
        well.len() < wanted && blind.len() < MOST_BLIND
    }
}

/// A host that may watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchCandidate {
    /// Its rank among all hosts; the highest goes first.
    pub rank: u64,
    /// It can't read the store.
    pub store_unreadable: bool,
}
