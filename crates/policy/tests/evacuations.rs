//! Evacuations known to a host, with updates in any order.

use std::collections::BTreeSet;

use fulmarpath_policy::EvacuationChange::{Begins, Ends};
use fulmarpath_policy::{EvacuationChange, EvacuationState, Evacuations, Revision};
use rstest::rstest;

enum Update {
    /// All entries of the store.
    StoreList(Revision, &'static [&'static str]),
    /// Changes of the store.
    StoreChanges(Revision, Vec<EvacuationChange>),
    /// A peer's state.
    PeerState(Revision, &'static [&'static str]),
}
use Update::{PeerState, StoreChanges, StoreList};

struct Case {
    updates: Vec<Update>,
    evacuated: &'static [&'static str],
    revision: Revision,
}

/// A revision in the store's only era.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|name| (*name).to_owned()).collect()
}

fn begins(name: &str) -> EvacuationChange {
    Begins(name.to_owned())
}

fn ends(name: &str) -> EvacuationChange {
    Ends(name.to_owned())
}

/// Guards against a host that reverts to an older state or misses a later one. Updates come from
/// the store and from peers, delayed and out of order.
#[rstest]
#[case::nothing_known(Case { updates: vec![], evacuated: &[], revision: Revision::default() })]
#[case::listed(Case { updates: vec![StoreList(at(9), &["a"])], evacuated: &["a"], revision: at(9) })]
#[case::begins(Case {
    updates: vec![StoreList(at(9), &[]), StoreChanges(at(12), vec![begins("a")])], evacuated: &["a"], revision: at(12),
})]
#[case::ends(Case {
    updates: vec![StoreList(at(9), &["a", "b"]), StoreChanges(at(12), vec![ends("a")])], evacuated: &["b"], revision: at(12),
})]
#[case::begins_and_ends_in_one_batch(Case {
    updates: vec![StoreList(at(9), &[]), StoreChanges(at(12), vec![begins("a"), ends("a")])], evacuated: &[], revision: at(9),
})]
#[case::nothing_changes(Case {
    updates: vec![StoreList(at(9), &["a"]), StoreChanges(at(12), vec![]), StoreChanges(at(15), vec![])], evacuated: &["a"], revision: at(9),
})]
#[case::a_peer_knows_more(Case {
    updates: vec![StoreList(at(9), &[]), PeerState(at(12), &["a"])], evacuated: &["a"], revision: at(12),
})]
#[case::a_peer_knows_less(Case {
    updates: vec![StoreList(at(9), &[]), StoreChanges(at(20), vec![]), PeerState(at(12), &["a"])], evacuated: &[], revision: at(9),
})]
#[case::an_old_list(Case {
    updates: vec![PeerState(at(12), &["a"]), StoreList(at(9), &[])], evacuated: &["a"], revision: at(12),
})]
#[case::history_is_lost_and_it_ended_meanwhile(Case {
    updates: vec![StoreList(at(9), &["a"]), StoreList(at(30), &[])], evacuated: &[], revision: at(30),
})]
#[case::listed_again_unchanged(Case {
    updates: vec![StoreList(at(9), &["a"]), StoreList(at(30), &["a"])], evacuated: &["a"], revision: at(9),
})]
#[case::a_partitioned_host_sends_an_ended_one(Case {
    updates: vec![PeerState(EvacuationState::PROVISIONAL, &[]), StoreList(at(30), &[]), PeerState(at(12), &["a"])],
    evacuated: &[],
    revision: at(30),
})]
fn later_states_replace_earlier_ones(#[case] case: Case) {
    let mut evacuations = Evacuations::default();
    for update in case.updates {
        match update {
            StoreList(revision, all) => evacuations.replace(0, revision, names(all)),
            StoreChanges(revision, changes) => evacuations.apply(0, revision, changes),
            PeerState(revision, all) => {
                let data_centres = names(all);
                evacuations.merge_peer(
                    0,
                    EvacuationState {
                        revision,
                        data_centres,
                        ..EvacuationState::default()
                    },
                )
            }
        };
    }
    let state = evacuations.state(0);
    assert_eq!(state.data_centres, names(case.evacuated));
    assert_eq!(state.revision, case.revision);
}

/// Guards against upstreams that are treated as warm right after the evacuation of their data
/// centre ends.
#[test]
fn the_end_is_remembered_until_the_next_begin() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(100, at(5), names(&["a"]));
    assert_eq!(evacuations.ended_ms("a"), None);
    assert_eq!(evacuations.oldest_ms(), Some(100));
    evacuations.apply(900, at(7), [ends("a")]);
    assert_eq!(evacuations.ended_ms("a"), Some(900));
    evacuations.apply(1_500, at(8), [begins("a")]);
    assert_eq!(evacuations.ended_ms("a"), None);
}

/// Guards against memory that grows with names that another writer adds and removes.
#[test]
fn old_ends_are_forgotten() {
    let mut evacuations = Evacuations::default();
    for number in 1..=1_000_u64 {
        let now_ms = number * 1_000;
        let name = format!("strange-{number}");
        evacuations.apply(now_ms, at(2 * number), [begins(&name)]);
        evacuations.apply(now_ms, at(2 * number + 1), [ends(&name)]);
    }
    assert_eq!(evacuations.ended_ms("strange-1"), None);
    assert_eq!(evacuations.ended_ms("strange-1000"), Some(1_000_000));
}

/// What a host receives around a restore of the store, each at an era and a number.
enum Event {
    List(u64, u64, &'static [&'static str]),
    Change(u64, u64, EvacuationChange),
    /// A peer's state, without unconfirmed evacuations.
    Peer(u64, u64, &'static [&'static str]),
    /// Time passes, in ms.
    Elapse(u64),
}
use Event::{Change, Elapse, List, Peer};

struct Restore {
    events: Vec<Event>,
    evacuated: &'static [&'static str],
}

/// Guards against work for a data centre whose evacuation is missing from a restored store, and
/// against keeping it without work forever.
#[rstest]
#[case::lacks_it(Restore { events: vec![List(1, 50, &["a"]), List(2, 40, &[])], evacuated: &["a"] })]
#[case::lacks_it_by_a_peer(Restore { events: vec![List(1, 50, &["a"]), Peer(2, 40, &[])], evacuated: &["a"] })]
#[case::other_changes_in_between(Restore {
    events: vec![List(1, 50, &["a"]), List(2, 40, &[]), Change(2, 41, begins("b"))],
    evacuated: &["a", "b"],
})]
#[case::a_peers_changes_in_between(Restore {
    events: vec![List(1, 50, &["a"]), List(2, 40, &[]), Peer(2, 41, &["b"])], evacuated: &["a", "b"],
})]
#[case::never_written_again(Restore {
    events: vec![List(1, 50, &["a"]), List(2, 40, &[]), Elapse(30_000)], evacuated: &[],
})]
#[case::written_again(Restore {
    events: vec![
        List(1, 50, &["a"]), List(2, 40, &[]), Change(2, 41, begins("a")), Elapse(30_000),
    ],
    evacuated: &["a"],
})]
#[case::written_again_and_ended(Restore {
    events: vec![
        List(1, 50, &["a"]), List(2, 40, &[]), Change(2, 41, begins("a")), Change(2, 42, ends("a")),
    ],
    evacuated: &[],
})]
#[case::present_after_the_restore(Restore {
    events: vec![List(1, 50, &["a"]), Change(1, 51, ends("a")), List(2, 40, &["a"])], evacuated: &["a"],
})]
#[case::an_earlier_era_comes_late(Restore {
    events: vec![List(2, 40, &["a"]), List(1, 50, &[]), Peer(1, 51, &[])], evacuated: &["a"],
})]
#[case::two_restores(Restore {
    events: vec![List(1, 50, &["a"]), List(2, 40, &[]), Elapse(20_000), List(3, 30, &[]), Elapse(9_000)],
    evacuated: &["a"],
})]
fn an_evacuation_survives_a_restore_that_lacks_it(#[case] case: Restore) {
    let mut evacuations = Evacuations::default();
    let mut now_ms = 0;
    for event in case.events {
        match event {
            List(era, number, all) => {
                evacuations.replace(now_ms, Revision::new(era, number), names(all));
            }
            Change(era, number, change) => {
                evacuations.apply(now_ms, Revision::new(era, number), [change]);
            }
            Peer(era, number, all) => {
                let state = EvacuationState {
                    revision: Revision::new(era, number),
                    data_centres: names(all),
                    ..EvacuationState::default()
                };
                evacuations.merge_peer(now_ms, state);
            }
            Elapse(ms) => now_ms += ms,
        }
        evacuations.expire(now_ms);
    }
    assert_eq!(
        evacuations.state(now_ms).data_centres,
        names(case.evacuated)
    );
}

/// Guards against a host that keeps forever what its peer keeps for a limited time.
#[test]
fn a_peer_sends_the_remaining_time_of_an_unconfirmed_one() {
    let mut first = Evacuations::default();
    first.replace(0, Revision::new(1, 50), names(&["a"]));
    first.replace(1_000, Revision::new(2, 40), names(&[]));
    let mut second = Evacuations::default();
    second.merge_peer(500, first.state(11_000));
    assert!(!second.expire(20_000));
    assert!(second.expire(20_500));
    assert_eq!(second.count(), 0);
}

/// Guards against a peer that ends an evacuation although the operator has written it again.
#[rstest]
#[case::by_a_change(false)]
#[case::by_a_list(true)]
fn a_peer_learns_that_one_was_written_again(#[case] is_listed: bool) {
    let mut watcher = Evacuations::default();
    watcher.replace(0, Revision::new(1, 50), names(&["a"]));
    watcher.replace(1_000, Revision::new(2, 40), names(&[]));
    let mut peer = Evacuations::default();
    peer.merge_peer(1_000, watcher.state(1_000));
    match is_listed {
        true => watcher.replace(2_000, Revision::new(2, 41), names(&["a"])),
        false => watcher.apply(2_000, Revision::new(2, 41), [begins("a")]),
    };
    assert!(peer.is_behind(watcher.revision()));
    peer.merge_peer(3_000, watcher.state(3_000));
    assert!(!peer.expire(60_000));
    assert!(peer.is_evacuated("a"));
}
