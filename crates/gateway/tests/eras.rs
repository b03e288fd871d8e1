//! Which registered upstreams count as there once the store has come back from a copy.

use std::net::SocketAddr;

use fulmarpath_gateway::{Change, Changes, RegisteredState, Registration, Roster, Snapshot};
use fulmarpath_policy::Revision;
use rstest::rstest;

fn registration(instance: &str, state: RegisteredState) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: None,
        service: "portal".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc-a".to_owned(),
        slots: 6,
        state,
        cold_ms: 0,
    }
}

/// A store that may come back from a copy, as a host hears of it.
enum Word {
    /// A list, at an era and a number, of those that are ready.
    Lists(u64, u64, &'static [&'static str]),
    /// One has written that it leaves.
    Leaves(u64, u64, &'static str),
    /// One has written anew, as ready.
    Writes(u64, u64, &'static str),
    /// The store has removed an entry.
    Removes(u64, u64, &'static str),
    /// So long later.
    Later(u64),
}
use Word::{Later, Leaves, Lists, Removes, Writes};

struct Return {
    words: &'static [Word],
    /// Those that are believed to be there, and to take work.
    ready: &'static [&'static str],
}

fn changes(revision: Revision, change: Change<Registration>) -> Changes<Registration> {
    Changes {
        revision,
        changes: vec![change],
    }
}

fn hear(roster: &mut Roster, now_ms: u64, word: &Word) {
    match word {
        Lists(era, number, instances) => {
            let instances = instances.iter();
            let list = Snapshot {
                revision: Revision::new(*era, *number),
                items: instances
                    .map(|name| registration(name, RegisteredState::Ready))
                    .collect(),
                unusable: Vec::new(),
            };
            roster.replace(now_ms, list);
        }
        Leaves(era, number, name) => {
            let change = Change::Put(registration(name, RegisteredState::Draining));
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Writes(era, number, name) => {
            let change = Change::Put(registration(name, RegisteredState::Ready));
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Removes(era, number, name) => {
            let change = Change::Removed((*name).to_owned());
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Later(_) => {}
    }
    roster.expire(now_ms);
}

fn ready(roster: &Roster) -> Vec<String> {
    let all = roster.directory().registrations.into_iter();
    let ready = all.filter(|one| one.state == RegisteredState::Ready);
    let mut ready: Vec<String> = ready.map(|one| one.instance).collect();
    ready.sort();
    ready
}

/// Guards against hosts that take a store's earlier state for its latest, or drop its latest for an earlier
/// one, once it has come back from a copy.
#[rstest]
#[case::a_lower_number_of_a_later_era(Return {
    words: &[Lists(1, 50, &["a"]), Lists(2, 40, &["a", "b"])], ready: &["a", "b"],
})]
#[case::a_higher_number_of_an_earlier_era(Return {
    words: &[Lists(2, 40, &["a"]), Lists(1, 50, &["b"])], ready: &["a"],
})]
#[case::a_late_answer_of_the_earlier_era(Return {
    words: &[Lists(1, 50, &["a"]), Lists(2, 40, &["a"]), Writes(1, 51, "b")], ready: &["a"],
})]
#[case::changes_of_an_era_whose_list_is_unread(Return {
    words: &[Lists(1, 50, &["a"]), Writes(2, 60, "b")], ready: &["a"],
})]
#[case::changes_after_the_list(Return {
    words: &[Lists(1, 50, &["a"]), Lists(2, 40, &["a"]), Writes(2, 41, "b")], ready: &["a", "b"],
})]
#[case::two_returns(Return {
    words: &[Lists(1, 50, &["a"]), Lists(2, 40, &["a"]), Lists(3, 30, &["a", "b"])], ready: &["a", "b"],
})]
#[case::left_before_the_return(Return {
    words: &[Lists(1, 50, &["a", "b"]), Leaves(1, 51, "b"), Lists(2, 40, &["a", "b"]), Writes(2, 45, "b")],
    ready: &["a"],
})]
#[case::lacks_one_at_first(Return {
    words: &[Lists(1, 50, &["a", "b"]), Lists(2, 40, &["a"]), Later(2_000)], ready: &["a", "b"],
})]
#[case::lacks_one_for_good(Return {
    words: &[Lists(1, 50, &["a", "b"]), Lists(2, 40, &["a"]), Later(2_300)], ready: &["a"],
})]
#[case::had_gone(Return {
    words: &[Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Later(3_900)],
    ready: &["a"],
})]
#[case::had_gone_and_lapses(Return {
    words: &[
        Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Removes(2, 41, "b"),
        Later(9_000),
    ],
    ready: &["a"],
})]
#[case::had_gone_and_lapses_between_two_lists(Return {
    words: &[
        Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Lists(2, 44, &["a"]),
        Later(9_000),
    ],
    ready: &["a"],
})]
#[case::had_gone_and_writes(Return {
    words: &[
        Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Writes(2, 41, "b"),
    ],
    ready: &["a", "b"],
})]
#[case::had_gone_and_stays(Return {
    words: &[Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Later(4_100)],
    ready: &["a", "b"],
})]
#[case::had_gone_and_is_listed_on(Return {
    words: &[
        Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Later(3_000),
        Lists(2, 44, &["a", "b"]), Later(1_200),
    ],
    ready: &["a", "b"],
})]
#[case::had_gone_before_two_returns(Return {
    words: &[
        Lists(1, 50, &["a", "b"]), Removes(1, 51, "b"), Lists(2, 40, &["a", "b"]), Lists(3, 35, &["a", "b"]),
    ],
    ready: &["a"],
})]
fn a_later_era_goes_before_any_number(#[case] case: Return) {
    let mut roster = Roster::default();
    let mut now_ms = 0;
    for word in case.words {
        if let Later(ms) = word {
            now_ms += ms;
        }
        hear(&mut roster, now_ms, word);
    }
    assert_eq!(ready(&roster), case.ready);
}

/// Guards against a host that starts after a return and doesn't know what its peers saw go before.
#[test]
fn a_newcomer_learns_what_had_gone() {
    let mut peer = Roster::default();
    for word in [
        Lists(1, 50, &["a", "b"]),
        Removes(1, 51, "b"),
        Lists(2, 40, &["a", "b"]),
    ] {
        hear(&mut peer, 0, &word);
    }
    let mut newcomer = Roster::default();
    newcomer.apply_peer_change(0, peer.change_since(Revision::default()));
    hear(&mut newcomer, 0, &Lists(2, 42, &["a", "b"]));
    assert_eq!(ready(&newcomer), ["a"]);
}

/// Guards against news of an earlier era at a host that has heard of a later one, and against news that
/// lead across a return in part.
#[test]
fn peers_tell_across_a_return_by_the_whole() {
    let mut watcher = Roster::default();
    hear(&mut watcher, 0, &Lists(1, 50, &["a", "b"]));
    let mut behind = Roster::default();
    behind.apply_peer_change(0, watcher.change_since(Revision::default()));
    let mut late = Roster::default();
    late.apply_peer_change(0, watcher.change_since(Revision::default()));
    hear(&mut late, 0, &Writes(1, 51, "c"));
    hear(&mut watcher, 0, &Lists(2, 40, &["a", "d"]));
    let news = watcher.change_since(behind.revision());
    assert!(news.is_complete());
    assert!(behind.apply_peer_change(0, news));
    assert_eq!(behind.revision(), Revision::new(2, 40));
    assert!(!behind.apply_peer_change(0, late.change_since(Revision::default())));
    assert_eq!(
        ready(&behind),
        ["a", "b", "d"],
        "b has time to register again"
    );
}
