//! Which data centres a host believes evacuated, as news of them come in any order.

use std::collections::BTreeSet;

use fulmarpath_policy::EvacuationChange::{Begins, Ends};
use fulmarpath_policy::{EvacuationChange, EvacuationState, Evacuations, Revision};
use rstest::rstest;

enum News {
    /// All entries of the store.
    Lists(Revision, &'static [&'static str]),
    /// Changes of the store.
    Watches(Revision, Vec<EvacuationChange>),
    /// A peer's state.
    Tells(Revision, &'static [&'static str]),
}
use News::{Lists, Tells, Watches};

struct Case {
    news: Vec<News>,
    evacuated: &'static [&'static str],
    revision: Revision,
}

/// A revision of the one era that the store is in.
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

/// Guards against a host that falls back to an older state, or misses a later one: news come from the
/// store and from peers, late and crossed.
#[rstest]
#[case::nothing_heard(Case { news: vec![], evacuated: &[], revision: Revision::default() })]
#[case::listed(Case { news: vec![Lists(at(9), &["a"])], evacuated: &["a"], revision: at(9) })]
#[case::begins(Case {
    news: vec![Lists(at(9), &[]), Watches(at(12), vec![begins("a")])], evacuated: &["a"], revision: at(12),
})]
#[case::ends(Case {
    news: vec![Lists(at(9), &["a", "b"]), Watches(at(12), vec![ends("a")])], evacuated: &["b"], revision: at(12),
})]
#[case::comes_and_goes_in_one_watch(Case {
    news: vec![Lists(at(9), &[]), Watches(at(12), vec![begins("a"), ends("a")])], evacuated: &[], revision: at(9),
})]
#[case::nothing_changes(Case {
    news: vec![Lists(at(9), &["a"]), Watches(at(12), vec![]), Watches(at(15), vec![])], evacuated: &["a"], revision: at(9),
})]
#[case::a_peer_knows_more(Case {
    news: vec![Lists(at(9), &[]), Tells(at(12), &["a"])], evacuated: &["a"], revision: at(12),
})]
#[case::a_peer_knows_less(Case {
    news: vec![Lists(at(9), &[]), Watches(at(20), vec![]), Tells(at(12), &["a"])], evacuated: &[], revision: at(9),
})]
#[case::an_old_list(Case {
    news: vec![Tells(at(12), &["a"]), Lists(at(9), &[])], evacuated: &["a"], revision: at(12),
})]
#[case::history_is_lost_and_it_ended_meanwhile(Case {
    news: vec![Lists(at(9), &["a"]), Lists(at(30), &[])], evacuated: &[], revision: at(30),
})]
#[case::listed_again_unchanged(Case {
    news: vec![Lists(at(9), &["a"]), Lists(at(30), &["a"])], evacuated: &["a"], revision: at(9),
})]
#[case::a_host_that_was_cut_off_tells_of_an_ended_one(Case {
    news: vec![Tells(EvacuationState::PROVISIONAL, &[]), Lists(at(30), &[]), Tells(at(12), &["a"])],
    evacuated: &[],
    revision: at(30),
})]
fn later_states_replace_earlier_ones(#[case] case: Case) {
    let mut evacuations = Evacuations::default();
    for one in case.news {
        match one {
            Lists(revision, all) => evacuations.replace(0, revision, names(all)),
            Watches(revision, changes) => evacuations.apply(0, revision, changes),
            Tells(revision, all) => {
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

/// Guards against upstreams that are taken for warm as their data centre is taken back.
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

/// Guards against memory that grows with names that another writer leaves and removes.
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

/// What a host hears around a store's return from a copy, each at an era and a number.
enum Word {
    Stores(u64, u64, &'static [&'static str]),
    Changes(u64, u64, EvacuationChange),
    /// A peer's state, without what it keeps for a while.
    Peer(u64, u64, &'static [&'static str]),
    /// So long later.
    Later(u64),
}
use Word::{Changes, Later, Peer, Stores};

struct Return {
    words: Vec<Word>,
    evacuated: &'static [&'static str],
}

/// Guards against work for a data centre whose evacuation a copy of the store lacks, and against keeping
/// it out of work for good.
#[rstest]
#[case::lacks_it(Return { words: vec![Stores(1, 50, &["a"]), Stores(2, 40, &[])], evacuated: &["a"] })]
#[case::lacks_it_by_a_peer(Return { words: vec![Stores(1, 50, &["a"]), Peer(2, 40, &[])], evacuated: &["a"] })]
#[case::news_of_others_in_between(Return {
    words: vec![Stores(1, 50, &["a"]), Stores(2, 40, &[]), Changes(2, 41, begins("b"))],
    evacuated: &["a", "b"],
})]
#[case::a_peers_news_in_between(Return {
    words: vec![Stores(1, 50, &["a"]), Stores(2, 40, &[]), Peer(2, 41, &["b"])], evacuated: &["a", "b"],
})]
#[case::never_written_again(Return {
    words: vec![Stores(1, 50, &["a"]), Stores(2, 40, &[]), Later(30_000)], evacuated: &[],
})]
#[case::written_again(Return {
    words: vec![
        Stores(1, 50, &["a"]), Stores(2, 40, &[]), Changes(2, 41, begins("a")), Later(30_000),
    ],
    evacuated: &["a"],
})]
#[case::written_again_and_ended(Return {
    words: vec![
        Stores(1, 50, &["a"]), Stores(2, 40, &[]), Changes(2, 41, begins("a")), Changes(2, 42, ends("a")),
    ],
    evacuated: &[],
})]
#[case::there_again(Return {
    words: vec![Stores(1, 50, &["a"]), Changes(1, 51, ends("a")), Stores(2, 40, &["a"])], evacuated: &["a"],
})]
#[case::an_earlier_era_comes_late(Return {
    words: vec![Stores(2, 40, &["a"]), Stores(1, 50, &[]), Peer(1, 51, &[])], evacuated: &["a"],
})]
#[case::two_returns(Return {
    words: vec![Stores(1, 50, &["a"]), Stores(2, 40, &[]), Later(20_000), Stores(3, 30, &[]), Later(9_000)],
    evacuated: &["a"],
})]
fn an_evacuation_outlives_the_copy_that_lacks_it(#[case] case: Return) {
    let mut evacuations = Evacuations::default();
    let mut now_ms = 0;
    for word in case.words {
        match word {
            Stores(era, number, all) => {
                evacuations.replace(now_ms, Revision::new(era, number), names(all));
            }
            Changes(era, number, change) => {
                evacuations.apply(now_ms, Revision::new(era, number), [change]);
            }
            Peer(era, number, all) => {
                let told = EvacuationState {
                    revision: Revision::new(era, number),
                    data_centres: names(all),
                    ..EvacuationState::default()
                };
                evacuations.merge_peer(now_ms, told);
            }
            Later(ms) => now_ms += ms,
        }
        evacuations.expire(now_ms);
    }
    assert_eq!(
        evacuations.state(now_ms).data_centres,
        names(case.evacuated)
    );
}

/// Guards against a host that keeps for good what its peer keeps for a while.
#[test]
fn a_peer_passes_on_how_long_it_keeps_one() {
    let mut first = Evacuations::default();
    first.replace(0, Revision::new(1, 50), names(&["a"]));
    first.replace(1_000, Revision::new(2, 40), names(&[]));
    let mut second = Evacuations::default();
    second.merge_peer(500, first.state(11_000));
    assert!(!second.expire(20_000));
    assert!(second.expire(20_500));
    assert_eq!(second.count(), 0);
}

/// Guards against a peer that ends an evacuation which the operator has written again.
#[rstest]
#[case::by_a_change(false)]
#[case::by_a_list(true)]
fn a_peer_hears_that_one_was_written_again(#[case] is_listed: bool) {
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
