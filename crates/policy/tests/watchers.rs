//! Which hosts of a data centre watch the store.

use fulmarpath_policy::{WatchCandidate, is_watcher};
use rstest::rstest;

/// Ranks of the hosts that watch, of ten hosts with ranks 1 to 10.
fn watchers(blind: &[u64]) -> Vec<u64> {
    let host = |rank| WatchCandidate {
        rank,
        is_blind: blind.contains(&rank),
    };
    let watches = |rank: &u64| is_watcher(*rank, (1..=10).filter(|one| one != rank).map(host));
    (1..=10).rev().filter(watches).collect()
}

/// One host watches. One that can't read the store tries on, and two others watch beside it. Where
/// all say so, the store is away, and a few go on trying: the others would pay for nothing.
#[rstest]
#[case::all_well(&[], &[10])]
#[case::the_watcher_is_turned_away(&[10], &[10, 9, 8])]
#[case::its_first_substitute_as_well(&[10, 9], &[10, 9, 8, 7])]
#[case::another_host_is(&[4], &[10])]
#[case::four(&[10, 9, 8, 7], &[10, 9, 8, 7, 6, 5])]
#[case::the_store_is_away(&[10, 9, 8, 7, 6, 5, 4, 3, 2, 1], &[10, 9, 8, 7, 6])]
fn few_watch(#[case] blind: &[u64], #[case] expected: &[u64]) {
    assert_eq!(watchers(blind), expected);
}
