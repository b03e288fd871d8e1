//! How a host obtains the shared state after its start.

use fulmarpath_policy::Join;
use rstest::rstest;

#[derive(Clone, Copy)]
enum Event {
    PeerAnswers,
    PeersQueried,
    NoOtherHosts,
}
use Event::{NoOtherHosts, PeerAnswers, PeersQueried};

struct Case {
    has_seeds: bool,
    events: &'static [(u64, Event)],
    /// When it may read the store, when it may watch it, and when it discovers others by their
    /// entries; `None` for never within five seconds.
    reads_ms: Option<u64>,
    watches_ms: Option<u64>,
    discovers_ms: Option<u64>,
}

/// The first ms at which `holds` is true.
fn since(case: &Case, holds: impl Fn(&Join, u64) -> bool) -> Option<u64> {
    let mut join = Join::new(0, case.has_seeds, 0.0);
    for now_ms in 0..5_000 {
        for (at_ms, event) in case.events {
            match event {
                _ if *at_ms != now_ms => {}
                PeerAnswers => join.record_peer(now_ms),
                PeersQueried => join.finish_peer_queries(),
                NoOtherHosts => join.record_no_other_host(),
            }
        }
        if holds(&join, now_ms) {
            return Some(now_ms);
        }
    }
    None
}

/// A host of a running fleet asks its peers and reads the store only for what they can't provide.
/// A host whose seeds are gone reads it slightly later and finds others by their entries. No host
/// watches the store before it has had time to learn of the others. Otherwise each of hundreds
/// that start at once would consider itself the watcher.
#[rstest]
#[case::of_a_running_fleet(Case {
    has_seeds: true,
    events: &[(3, PeerAnswers), (9, PeersQueried)],
    reads_ms: Some(9), watches_ms: Some(503), discovers_ms: None,
})]
#[case::peers_are_slow(Case {
    has_seeds: true,
    events: &[(3, PeerAnswers), (400, PeersQueried)],
    reads_ms: Some(303), watches_ms: Some(503), discovers_ms: None,
})]
#[case::seeds_start_a_little_later(Case {
    has_seeds: true,
    events: &[(1, PeersQueried), (205, PeerAnswers)],
    reads_ms: Some(1), watches_ms: Some(705), discovers_ms: None,
})]
#[case::every_seed_is_gone(Case {
    has_seeds: true,
    events: &[],
    reads_ms: Some(20), watches_ms: Some(1_500), discovers_ms: Some(1_000),
})]
#[case::found_by_an_entry(Case {
    has_seeds: true,
    events: &[(1_012, PeerAnswers)],
    reads_ms: Some(20), watches_ms: Some(1_512), discovers_ms: Some(1_000),
})]
#[case::the_first_host_of_all(Case {
    has_seeds: false,
    events: &[(6, NoOtherHosts)],
    reads_ms: Some(0), watches_ms: Some(6), discovers_ms: Some(0),
})]
#[case::the_store_is_unavailable(Case {
    has_seeds: false,
    events: &[],
    reads_ms: Some(0), watches_ms: Some(1_500), discovers_ms: Some(0),
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
        case.discovers_ms,
        "discovers"
    );
}

struct FleetStart {
    /// Hosts of the fleet; a host knows all of them.
    hosts: usize,
    /// When parts of the list arrive.
    progress_ms: &'static [u64],
    /// Hosts that may read the upstreams from the store at 250, 2,500, 3,000, 5,000 and 20,000 ms.
    readers: [usize; 5],
}

/// Guards against a fleet that starts at once and reads the list of upstreams from the store on
/// every host: the store is overloaded, all the calls time out, and no host serves. A small fleet
/// reads as soon as its hosts know each other. In a large one the watchers read, and the others wait
/// while parts of the list arrive, for a time that does not depend on the size of the fleet. If none
/// arrive, few read first, so that the others can get what they have read.
#[rstest]
#[case::small(FleetStart { hosts: 100, progress_ms: &[], readers: [100; 5] })]
#[case::thousand(FleetStart { hosts: 1_024, progress_ms: &[], readers: [0, 0, 16, 32, 1_024] })]
#[case::twice_the_size(FleetStart { hosts: 2_048, progress_ms: &[], readers: [0, 0, 32, 64, 2_048] })]
#[case::parts_arrive(FleetStart {
    hosts: 1_024, progress_ms: &[600, 1_800, 2_900], readers: [0, 0, 0, 0, 1_024],
})]
#[case::parts_stop(FleetStart {
    hosts: 1_024, progress_ms: &[600, 1_000], readers: [0, 0, 0, 23, 1_024],
})]
fn a_large_fleet_waits_for_the_watchers_list(#[case] start: FleetStart) {
    let readers_at = |now_ms: u64| {
        let hosts = (0..start.hosts).map(|host| host as f32 / start.hosts as f32);
        let reads = |draw: &f32| {
            let mut join = Join::new(0, true, *draw);
            join.record_peer(0);
            join.finish_peer_queries();
            for at_ms in start.progress_ms.iter().filter(|at_ms| **at_ms <= now_ms) {
                join.record_list_progress(*at_ms);
            }
            join.may_read_upstreams(now_ms, start.hosts)
        };
        hosts.filter(reads).count()
    };
    assert_eq!(
        [250, 2_500, 3_000, 5_000, 20_000].map(readers_at),
        start.readers
    );
}

/// Guards against a host that takes a large fleet for a small one because it has yet to learn of the
/// others, and reads the list from the store together with hundreds of others.
#[test]
fn a_starting_host_learns_the_size_of_the_fleet_first() {
    let mut join = Join::new(0, true, 0.5);
    join.record_peer(10);
    join.finish_peer_queries();
    assert!(!join.may_read_upstreams(100, 8));
    assert!(join.may_read_upstreams(210, 8));
    assert!(!join.may_read_upstreams(210, 900));
}
