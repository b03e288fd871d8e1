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
    hosts: usize,
    /// Hosts that may read the upstreams from the store within the first second, and within two.
    readers: [usize; 2],
}

/// Guards against a fleet that starts at once and reads the list of upstreams from the store on
/// every host: a list of many pages for each of a thousand hosts costs more than all other calls
/// together. A small fleet reads at once; in a large one the watchers come first and the others
/// read one after the other, at a rate that does not grow with the fleet.
#[rstest]
#[case::small(FleetStart { hosts: 100, readers: [100, 100] })]
#[case::thousand(FleetStart { hosts: 1_000, readers: [0, 12] })]
#[case::twice_the_size(FleetStart { hosts: 2_000, readers: [0, 0] })]
fn large_fleet_reads_the_upstreams_one_host_after_the_other(#[case] start: FleetStart) {
    let readers_at = |now_ms: u64| {
        let hosts = (0..start.hosts).map(|host| host as f32 / start.hosts as f32);
        let reads = |draw: &f32| {
            let mut join = Join::new(0, true, *draw);
            join.record_peer(0);
            join.finish_peer_queries();
            join.may_read_upstreams(now_ms, start.hosts)
        };
        hosts.filter(reads).count()
    };
    assert_eq!([readers_at(1_000), readers_at(2_000)], start.readers);
    let within_a_second = readers_at(8_000) - readers_at(7_000);
    assert!(
        within_a_second <= 60,
        "{within_a_second} hosts read within a second"
    );
    assert!(readers_at(60_000) == start.hosts);
}
