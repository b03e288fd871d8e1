//! Which hosts watch the store.

use std::collections::BTreeMap;

use fulmarpath_policy::{WatchArea, WatchCandidate};
use rstest::rstest;

/// Ranks of the hosts that watch, of ten hosts of an area with ranks 1 to 10.
fn watchers(area: &WatchArea, blind: &[u64]) -> Vec<u64> {
    let host = |rank| WatchCandidate {
        rank,
        store_unreadable: blind.contains(&rank),
    };
    let watches = |rank: &u64| {
        let others = (1..=10).filter(|one| one != rank);
        area.is_watcher(*rank, others.map(host))
    };
    (1..=10).rev().filter(watches).collect()
}

fn one_of(watchers: usize) -> WatchArea {
    WatchArea {
        data_centres: vec!["a".to_owned()],
        watchers,
    }
}

/// One host of an area watches. One that can't read the store tries on, and two others watch beside
/// it. Where all say so, the store is away, and a few go on trying: the others would pay for nothing.
#[rstest]
#[case::all_well(&[], &[10])]
#[case::the_watcher_is_turned_away(&[10], &[10, 9, 8])]
#[case::its_first_substitute_as_well(&[10, 9], &[10, 9, 8, 7])]
#[case::another_host_is(&[4], &[10])]
#[case::four(&[10, 9, 8, 7], &[10, 9, 8, 7, 6, 5])]
#[case::the_store_is_away(&[10, 9, 8, 7, 6, 5, 4, 3, 2, 1], &[10, 9, 8, 7, 6])]
fn few_watch(#[case] blind: &[u64], #[case] expected: &[u64]) {
    assert_eq!(watchers(&one_of(1), blind), expected);
}

/// The only area of a fleet has two watchers, since nobody else's pings would bring the news.
#[rstest]
#[case::all_well(&[], &[10, 9])]
#[case::one_is_turned_away(&[9], &[10, 9, 8])]
#[case::the_first_is(&[10], &[10, 9, 8])]
#[case::both_are(&[10, 9], &[10, 9, 8, 7])]
fn two_watch_for_all(#[case] blind: &[u64], #[case] expected: &[u64]) {
    assert_eq!(watchers(&one_of(2), blind), expected);
}

struct Layout {
    hosts: &'static [(&'static str, usize)],
    /// Each area, and how many of it watch.
    areas: &'static [(&'static [&'static str], usize)],
}

/// Data centres of a few hosts share their watchers; each of many has one of its own. Every data
/// centre is of one area, and the fleet has two watchers or more.
#[rstest]
#[case::small(Layout { hosts: &[("a", 2), ("b", 2), ("c", 2), ("d", 1)], areas: &[(&["a", "b", "c", "d"], 2)] })]
#[case::just_one(Layout { hosts: &[("a", 9)], areas: &[(&["a"], 2)] })]
#[case::large(Layout { hosts: &[("a", 27), ("b", 27), ("c", 27)], areas: &[(&["a"], 1), (&["b"], 1), (&["c"], 1)] })]
#[case::mixed(Layout { hosts: &[("a", 5), ("b", 20), ("c", 4), ("d", 25)], areas: &[(&["a", "b"], 1), (&["c", "d"], 1)] })]
#[case::a_rest(Layout { hosts: &[("a", 25), ("b", 25), ("c", 2)], areas: &[(&["a"], 1), (&["b", "c"], 1)] })]
#[case::nobody(Layout { hosts: &[], areas: &[] })]
fn small_data_centres_share_watchers(#[case] layout: Layout) {
    let hosts = layout.hosts.iter();
    let hosts: BTreeMap<String, usize> = hosts
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect();
    let mut seen = 0;
    for (data_centres, watchers) in layout.areas {
        for one in *data_centres {
            let area = WatchArea::of(one, &hosts);
            assert_eq!(area.data_centres, *data_centres);
            assert_eq!(area.watchers, *watchers);
            seen += 1;
        }
    }
    assert_eq!(seen, hosts.len());
    assert!(!WatchArea::of("elsewhere", &hosts).contains("a"));
}
