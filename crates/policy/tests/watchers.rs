//! Selection of the hosts that watch the store.

use std::collections::BTreeMap;

use fulmarpath_policy::{WatchArea, WatchCandidate};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Ranks of the watchers in an area of ten hosts with ranks 1 to 10.
fn watchers(area: &WatchArea, unreadable: &[u64]) -> Vec<u64> {
    let host = |rank| WatchCandidate {
        rank,
        store_unreadable: unreadable.contains(&rank),
    };
    let watches = |rank: &u64| {
        let others = (1..=10).filter(|other| other != rank);
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

/// One host of an area watches the store. A watcher that can't read it keeps trying, and two others
/// watch in addition. If no host can read it, the store is unavailable and only a few keep trying,
/// since calls of the others would cost without benefit.
#[rstest]
#[case::all_can_read(&[], &[10])]
#[case::the_watcher_is_rejected(&[10], &[10, 9, 8])]
#[case::its_first_substitute_as_well(&[10, 9], &[10, 9, 8, 7])]
#[case::another_host_is(&[4], &[10])]
#[case::four(&[10, 9, 8, 7], &[10, 9, 8, 7, 6, 5])]
#[case::the_store_is_unavailable(&[10, 9, 8, 7, 6, 5, 4, 3, 2, 1], &[10, 9, 8, 7, 6])]
fn few_hosts_watch(#[case] unreadable: &[u64], #[case] expected: &[u64]) {
    assert_eq!(watchers(&one_of(1), unreadable), expected);
}

/// The only area of a fleet has two watchers, since no pings from other areas bring the changes.
#[rstest]
#[case::all_can_read(&[], &[10, 9])]
#[case::one_is_rejected(&[9], &[10, 9, 8])]
#[case::the_first_is(&[10], &[10, 9, 8])]
#[case::both_are(&[10, 9], &[10, 9, 8, 7])]
fn a_single_area_has_two_watchers(#[case] unreadable: &[u64], #[case] expected: &[u64]) {
    assert_eq!(watchers(&one_of(2), unreadable), expected);
}

struct Layout {
    hosts: &'static [(&'static str, usize)],
    /// Each area and its number of watchers.
    areas: &'static [(&'static [&'static str], usize)],
}

/// Data centres with few hosts share their watchers; a large one has its own. Every data centre
/// belongs to one area, and the fleet has at least two watchers.
#[rstest]
#[case::small(Layout { hosts: &[("a", 2), ("b", 2), ("c", 2), ("d", 1)], areas: &[(&["a", "b", "c", "d"], 2)] })]
#[case::just_one(Layout { hosts: &[("a", 9)], areas: &[(&["a"], 2)] })]
#[case::large(Layout { hosts: &[("a", 27), ("b", 27), ("c", 27)], areas: &[(&["a"], 1), (&["b"], 1), (&["c"], 1)] })]
#[case::mixed(Layout { hosts: &[("a", 5), ("b", 20), ("c", 4), ("d", 25)], areas: &[(&["a", "b"], 1), (&["c", "d"], 1)] })]
#[case::a_small_remainder(Layout { hosts: &[("a", 25), ("b", 25), ("c", 2)], areas: &[(&["a"], 1), (&["b", "c"], 1)] })]
#[case::no_hosts(Layout { hosts: &[], areas: &[] })]
fn small_data_centres_share_watchers(#[case] layout: Layout) {
    let hosts = layout.hosts.iter();
    let hosts: BTreeMap<String, usize> = hosts
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect();
    let mut seen = 0;
    for (data_centres, watchers) in layout.areas {
        for data_centre in *data_centres {
            let area = WatchArea::of(data_centre, &hosts);
            assert_eq!(area.data_centres, *data_centres);
            assert_eq!(area.watchers, *watchers);
            seen += 1;
        }
    }
    assert_eq!(seen, hosts.len());
    assert!(!WatchArea::of("elsewhere", &hosts).contains("a"));
}

/// Guards against a decision that depends on hosts beyond the first few candidates. Each host keeps
/// only these, since going through the whole area several times per second would cost in proportion
/// to the fleet.
#[test]
fn first_candidates_decide() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..2_000 {
        let count = rng.random_range(0..12);
        let unreadable = rng.random_range(0.0..1.0);
        let mut candidates: Vec<WatchCandidate> = (0..count)
            .map(|number| WatchCandidate {
                rank: 100 + number,
                store_unreadable: rng.random_bool(unreadable),
            })
            .collect();
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.rank));
        let area = one_of(rng.random_range(1..=2));
        let first = candidates.iter().take(WatchArea::MAX_CANDIDATES).copied();
        assert_eq!(
            area.is_watcher(1, first),
            area.is_watcher(1, candidates.clone()),
            "{candidates:?}"
        );
    }
}
