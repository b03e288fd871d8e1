//! By which path a host reaches an upstream.

use std::net::SocketAddr;

use fulmarpath_policy::{LinksChange, Path, Paths};
use rstest::rstest;

fn upstream(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

const HOST: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 1, 1)),
    7_200,
);

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The own link to an upstream was tried.
    Own { upstream: u16, is_open: bool },
    /// Other hosts were asked for an upstream.
    Asked { upstream: u16, is_open: bool },
}

use Event::{Asked, Own};

fn lost(upstream: u16) -> Event {
    Own {
        upstream,
        is_open: false,
    }
}

fn works(upstream: u16) -> Event {
    Own {
        upstream,
        is_open: true,
    }
}

fn tunnelled(upstream: u16) -> Event {
    Asked {
        upstream,
        is_open: true,
    }
}

fn out_of_reach(upstream: u16) -> Event {
    Asked {
        upstream,
        is_open: false,
    }
}

fn apply(paths: &mut Paths, events: &[(u64, Event)]) {
    for (at_ms, event) in events {
        match *event {
            Own {
                upstream: number,
                is_open,
            } => paths.record_direct(*at_ms, upstream(number), is_open),
            Asked {
                upstream: number,
                is_open,
            } => paths.record_tunnel(*at_ms, upstream(number), is_open.then_some(HOST)),
        }
    }
}

struct PathCase {
    events: Vec<(u64, Event)>,
    now_ms: u64,
    /// The upstream to be reached.
    upstream: u16,
    path: Path,
    /// Whether a tunnel is tried if the own link fails.
    may_tunnel: bool,
}

/// Guards against a host that refuses its callers when its own links are lost, and against one that
/// asks all others again and again for an upstream that has ended.
#[rstest]
#[case::nothing_known(PathCase { events: vec![], now_ms: 1_000, upstream: 1, path: Path::Direct, may_tunnel: true })]
#[case::link_just_lost(PathCase { events: vec![(1_000, lost(1))], now_ms: 1_010, upstream: 1, path: Path::Tunnel, may_tunnel: true })]
#[case::link_lost_some_time_ago(PathCase { events: vec![(1_000, lost(1))], now_ms: 2_000, upstream: 1, path: Path::Direct, may_tunnel: true })]
#[case::another_than_the_lost(PathCase { events: vec![(1_000, lost(1))], now_ms: 1_010, upstream: 2, path: Path::Direct, may_tunnel: true })]
#[case::reached_through_a_tunnel(PathCase { events: vec![(1_000, lost(1)), (1_005, tunnelled(1)), (1_010, works(2))], now_ms: 1_020, upstream: 1, path: Path::Tunnel, may_tunnel: true })]
#[case::own_link_is_back(PathCase { events: vec![(1_000, lost(1)), (1_005, tunnelled(1)), (2_010, works(1))], now_ms: 2_020, upstream: 1, path: Path::Direct, may_tunnel: true })]
#[case::own_link_is_back_before_the_tunnel(PathCase { events: vec![(1_000, lost(1)), (1_005, tunnelled(1)), (2_010, works(1)), (2_015, tunnelled(1))], now_ms: 2_020, upstream: 1, path: Path::Direct, may_tunnel: true })]
#[case::out_of_reach_of_all(PathCase { events: vec![(1_000, lost(1)), (1_005, out_of_reach(1))], now_ms: 1_900, upstream: 1, path: Path::Direct, may_tunnel: false })]
#[case::out_of_reach_some_time_ago(PathCase { events: vec![(1_000, lost(1)), (1_005, out_of_reach(1))], now_ms: 2_005, upstream: 1, path: Path::Direct, may_tunnel: true })]
#[case::no_link_works(PathCase { events: vec![(1_000, lost(1)), (1_010, lost(2))], now_ms: 1_020, upstream: 3, path: Path::Tunnel, may_tunnel: true })]
#[case::the_same_link_twice(PathCase { events: vec![(1_000, lost(1)), (1_010, lost(1))], now_ms: 1_020, upstream: 3, path: Path::Direct, may_tunnel: true })]
#[case::another_link_works(PathCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_020, works(3))], now_ms: 1_030, upstream: 4, path: Path::Direct, may_tunnel: true })]
#[case::worked_between_two_failures(PathCase { events: vec![(1_000, lost(1)), (1_010, works(2)), (1_020, lost(2))], now_ms: 1_030, upstream: 3, path: Path::Direct, may_tunnel: true })]
#[case::no_link_works_but_out_of_reach(PathCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_020, out_of_reach(2))], now_ms: 1_030, upstream: 2, path: Path::Direct, may_tunnel: false })]
#[case::failures_long_ago(PathCase { events: vec![(1_000, lost(1)), (1_010, lost(2))], now_ms: 4_010, upstream: 3, path: Path::Direct, may_tunnel: true })]
#[case::unused_for_long(PathCase { events: vec![(1_000, lost(1)), (1_005, tunnelled(1)), (11_010, works(2))], now_ms: 11_020, upstream: 1, path: Path::Direct, may_tunnel: true })]
fn path_follows_what_was_reached(#[case] case: PathCase) {
    let mut paths = Paths::default();
    apply(&mut paths, &case.events);
    let upstream = upstream(case.upstream);
    assert_eq!(paths.choose(case.now_ms, upstream), case.path);
    assert_eq!(paths.may_tunnel(case.now_ms, upstream), case.may_tunnel);
}

struct LossCase {
    events: Vec<(u64, Event)>,
    now_ms: u64,
    is_lasting: bool,
    changes: &'static [LinksChange],
}

/// Guards against hosts that refuse to carry tunnels, and logs that fill, because two links fail
/// one after the other while others work.
#[rstest]
#[case::at_first(LossCase { events: vec![(1_000, lost(1)), (1_010, lost(2))], now_ms: 1_020, is_lasting: false, changes: &[] })]
#[case::lasting(LossCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_410, lost(3))], now_ms: 1_420, is_lasting: true, changes: &[LinksChange::Lost] })]
#[case::reported_once(LossCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_410, lost(3)), (1_500, lost(1))], now_ms: 1_510, is_lasting: true, changes: &[LinksChange::Lost] })]
#[case::back(LossCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_410, lost(3)), (2_010, works(1))], now_ms: 2_020, is_lasting: false, changes: &[LinksChange::Lost, LinksChange::Back { after_ms: 1_000 }] })]
#[case::some_links_work(LossCase { events: vec![(1_000, lost(1)), (1_010, lost(2)), (1_020, works(3)), (1_420, lost(1)), (1_430, lost(2))], now_ms: 1_440, is_lasting: false, changes: &[] })]
fn lasting_loss_is_reported_once(#[case] case: LossCase) {
    let mut paths = Paths::default();
    let mut changes = Vec::new();
    for event in &case.events {
        apply(&mut paths, std::slice::from_ref(event));
        changes.extend(paths.take_change());
    }
    assert_eq!(paths.is_lastingly_cut_off(case.now_ms), case.is_lasting);
    assert_eq!(changes, case.changes);
}

/// Guards against own links that are never used again, or tested at each request.
#[test]
fn own_links_are_tested_once_per_period() {
    let mut paths = Paths::default();
    apply(&mut paths, &[(1_000, lost(1)), (1_005, tunnelled(1))]);
    let due = [1_010, 1_500, 2_000, 2_010, 2_900, 3_000];
    let due = due.map(|now_ms| paths.begin_test(now_ms, upstream(1)));
    assert_eq!(due, [false, false, true, false, false, true]);
}

/// Guards against tunnels over a host that has just lost its own link to the upstream.
#[test]
fn upstreams_behind_lost_links_are_not_carried() {
    let mut paths = Paths::default();
    apply(&mut paths, &[(1_000, lost(1))]);
    let carried = [(1_010, 1), (1_010, 2), (2_000, 1)];
    let carried = carried.map(|(now_ms, number)| paths.may_carry(now_ms, upstream(number)));
    assert_eq!(carried, [false, true, true]);
}
