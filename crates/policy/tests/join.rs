//! How a host that starts comes to know what all others know.

use fulmarpath_policy::Join;
use rstest::rstest;

#[derive(Clone, Copy)]
enum Happens {
    Meets,
    HasAskedPeers,
    FindsNobody,
}
use Happens::{FindsNobody, HasAskedPeers, Meets};

struct Case {
    has_seeds: bool,
    happens: &'static [(u64, Happens)],
    /// When it may read the store, when it may watch it, and when it looks for others by their
    /// entries; `None` for never within five seconds.
    reads_ms: Option<u64>,
    watches_ms: Option<u64>,
    lonely_ms: Option<u64>,
}

/// The first ms from which on a thing holds.
fn since(case: &Case, holds: impl Fn(&Join, u64) -> bool) -> Option<u64> {
    let mut join = Join::new(0, case.has_seeds);
    for now_ms in 0..5_000 {
        for (at_ms, what) in case.happens {
            match what {
                _ if *at_ms != now_ms => {}
                Meets => join.record_peer(now_ms),
                HasAskedPeers => join.finish_peer_queries(),
                FindsNobody => join.record_no_other_host(),
            }
        }
        if holds(&join, now_ms) {
            return Some(now_ms);
        }
    }
    None
}

/// A host of a living fleet asks its peers and reads the store only for what they can't tell; one
/// whose seeds are gone reads it a moment later, and finds others by their entries. Nobody watches
/// before it has had time to hear of the rest: hundreds that start at once would each take
/// themselves for the watcher.
#[rstest]
#[case::of_a_living_fleet(Case {
    has_seeds: true,
    happens: &[(3, Meets), (9, HasAskedPeers)],
    reads_ms: Some(9), watches_ms: Some(503), lonely_ms: None,
})]
#[case::peers_are_slow(Case {
    has_seeds: true,
    happens: &[(3, Meets), (400, HasAskedPeers)],
    reads_ms: Some(303), watches_ms: Some(503), lonely_ms: None,
})]
#[case::seeds_start_a_little_later(Case {
    has_seeds: true,
    happens: &[(1, HasAskedPeers), (205, Meets)],
    reads_ms: Some(1), watches_ms: Some(705), lonely_ms: None,
})]
#[case::every_seed_is_gone(Case {
    has_seeds: true,
    happens: &[],
    reads_ms: Some(20), watches_ms: Some(1_500), lonely_ms: Some(1_000),
})]
#[case::found_by_an_entry(Case {
    has_seeds: true,
    happens: &[(1_012, Meets)],
    reads_ms: Some(20), watches_ms: Some(1_512), lonely_ms: Some(1_000),
})]
#[case::the_first_host_of_all(Case {
    has_seeds: false,
    happens: &[(6, FindsNobody)],
    reads_ms: Some(0), watches_ms: Some(6), lonely_ms: Some(0),
})]
#[case::the_store_is_away(Case {
    has_seeds: false,
    happens: &[],
    reads_ms: Some(0), watches_ms: Some(1_500), lonely_ms: Some(0),
})]
fn asks_peers_before_the_store(#[case] case: Case) {
    assert_eq!(since(&case, Join::may_read_store), case.reads_ms, "reads");
    assert_eq!(
        since(&case, Join::may_watch_store),
        case.watches_ms,
        "watches"
    );
    assert_eq!(
        since(&case, Join::should_discover),
        case.lonely_ms,
        "is lonely"
    );
}
