//! Which registered upstreams count as there while the store comes and goes.

use std::net::SocketAddr;

use fulmarpath_gateway::{
    Change, Changes, Directory, RegisteredState, Registration, Roster, Snapshot, Unusable,
};
use rstest::rstest;

fn registration(instance: &str, state: RegisteredState) -> Registration {
    Registration {
        instance: instance.to_owned(),
        born_ms: None,
        service: "portal".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc-a".to_owned(),
        slots: 6,
        state,
        cold_ms: 0,
    }
}

fn snapshot(revision: u64, instances: &[&str]) -> Snapshot<Registration> {
    let items = instances.iter();
    Snapshot {
        revision,
        items: items
            .map(|name| registration(name, RegisteredState::Ready))
            .collect(),
        unusable: Vec::new(),
    }
}

fn names(roster: &Roster) -> Vec<String> {
    let mut names: Vec<String> = roster
        .directory()
        .registrations
        .into_iter()
        .map(|one| one.instance)
        .collect();
    names.sort();
    names
}

fn gone(revision: u64, name: &str) -> Changes<Registration> {
    Changes {
        revision,
        changes: vec![Change::Gone(name.to_owned())],
    }
}

struct Outage {
    lost_ms: u64,
    back_ms: u64,
    /// When the whole list is read again, without the second upstream.
    listed_ms: u64,
    kept: bool,
}

/// The store is away for a while and a registration is missing when it is back.
#[rstest]
#[case::short_outage(Outage { lost_ms: 1_000, back_ms: 1_500, listed_ms: 1_500, kept: false })]
#[case::long_outage(Outage { lost_ms: 1_000, back_ms: 6_000, listed_ms: 6_000, kept: true })]
#[case::long_after(Outage { lost_ms: 1_000, back_ms: 6_000, listed_ms: 9_000, kept: false })]
fn lapsed_registrations_have_a_grace(#[case] case: Outage) {
    let mut roster = Roster::default();
    roster.replace(500, snapshot(5, &["i-1", "i-2"]));
    roster.lost(case.lost_ms);
    roster.heard(case.back_ms);
    roster.replace(case.listed_ms, snapshot(9, &["i-1"]));
    let kept: &[&str] = if case.kept { &["i-1", "i-2"] } else { &["i-1"] };
    assert_eq!(names(&roster), kept);
    roster.expire(case.listed_ms + 3_000);
    assert_eq!(names(&roster), ["i-1"], "what stays away is gone");
}

/// While the store is away, and until upstreams have had the time to register again, entries can't
/// tell who leaves.
#[rstest]
#[case::before(900, false)]
#[case::away(1_500, true)]
#[case::just_back(6_500, true)]
#[case::later(8_300, false)]
fn registrations_are_uncertain_around_an_outage(#[case] at_ms: u64, #[case] expected: bool) {
    let mut roster = Roster::default();
    roster.replace(500, snapshot(5, &["i-1"]));
    if at_ms >= 1_000 {
        roster.lost(1_000);
    }
    if at_ms >= 6_000 {
        roster.heard(6_000);
    }
    assert_eq!(roster.is_uncertain(at_ms), expected);
}

/// An upstream that said it is draining before the outage is not kept.
#[test]
fn draining_upstreams_have_no_grace() {
    let mut roster = Roster::default();
    let items = vec![registration("i-1", RegisteredState::Draining)];
    roster.replace(
        500,
        Snapshot {
            revision: 5,
            items,
            unusable: Vec::new(),
        },
    );
    roster.lost(1_000);
    roster.heard(6_000);
    roster.replace(6_000, snapshot(9, &[]));
    assert!(names(&roster).is_empty());
}

/// Changes and lists that come late are older than what is known, and change nothing.
#[test]
fn revisions_only_grow() {
    let mut roster = Roster::default();
    roster.replace(0, snapshot(9, &["i-1", "i-2"]));
    assert!(!roster.apply(1, gone(8, "i-1")));
    assert!(!roster.replace(2, snapshot(7, &[])));
    assert_eq!(names(&roster), ["i-1", "i-2"]);
    assert!(roster.apply(3, gone(10, "i-1")));
    assert_eq!(names(&roster), ["i-2"]);
}

/// A watcher's news lead from one state to the next; news of another state are left alone, and the
/// whole of a peer's later state takes their place.
#[test]
fn news_apply_to_their_own_state_only() {
    let mut watcher = Roster::default();
    let mut other = Roster::default();
    watcher.replace(0, snapshot(5, &["i-1", "i-2"]));
    other.replace(0, snapshot(5, &["i-1", "i-2"]));
    let before = watcher.directory();
    watcher.apply(1, gone(6, "i-1"));
    let middle = watcher.directory();
    watcher.replace(2, snapshot(8, &["i-2", "i-3"]));
    let after = watcher.directory();
    assert!(
        !other.apply_by_peer(3, middle.change_to(&after)),
        "it lacks a state between"
    );
    assert!(other.apply_by_peer(4, before.change_to(&middle)));
    assert!(other.apply_by_peer(5, middle.change_to(&after)));
    assert_eq!(names(&other), ["i-2", "i-3"]);
    let mut late = Roster::default();
    assert!(late.replace_by_peer(6, after));
    assert_eq!(names(&late), ["i-2", "i-3"]);
    assert!(!late.replace_by_peer(7, Directory::default()));
}

fn unusable(name: Option<&str>) -> Unusable {
    Unusable {
        name: name.map(str::to_owned),
        reason: "not in our form".to_owned(),
    }
}

struct Foreign {
    /// The name of what another writer has left, where it has one.
    name: Option<&'static str>,
    /// It comes as a change; else it stands in the list.
    is_change: bool,
    left: &'static [&'static str],
}

/// Another writer leaves an entry that can't be used, over an upstream's own or beside it. It names no
/// upstream from then on, also just after an outage of the store; the others hold.
#[rstest]
#[case::changed_over(Foreign { name: Some("i-1"), is_change: true, left: &["i-2"] })]
#[case::listed_over(Foreign { name: Some("i-1"), is_change: false, left: &["i-2"] })]
#[case::changed_beside(Foreign { name: Some("x"), is_change: true, left: &["i-1", "i-2"] })]
#[case::listed_beside(Foreign { name: Some("x"), is_change: false, left: &["i-1", "i-2"] })]
#[case::nameless_change(Foreign { name: None, is_change: true, left: &["i-1", "i-2"] })]
#[case::nameless_listed(Foreign { name: None, is_change: false, left: &["i-1", "i-2"] })]
fn what_cannot_be_used_names_no_upstream(#[case] case: Foreign) {
    let mut roster = Roster::default();
    roster.replace(500, snapshot(5, &["i-1", "i-2"]));
    roster.lost(1_000);
    roster.heard(6_000);
    let foreign = unusable(case.name);
    if case.is_change {
        let changes = vec![Change::Unusable(foreign)];
        roster.apply(
            6_100,
            Changes {
                revision: 6,
                changes,
            },
        );
    } else {
        let listed = Snapshot {
            unusable: vec![foreign],
            ..snapshot(6, case.left)
        };
        roster.replace(6_100, listed);
    }
    assert_eq!(names(&roster), case.left);
}

fn born(instance: &str, born_ms: Option<u64>) -> Registration {
    Registration {
        born_ms,
        ..registration(instance, RegisteredState::Ready)
    }
}

struct Birth {
    held_ms: Option<u64>,
    /// What the next entry of the same name says.
    next_ms: Option<u64>,
    /// What is known then; `None` where there is no such upstream any more.
    known: Option<Option<u64>>,
}

/// An upstream starts again under its name, and entries of its starts come in any order: the later
/// start is the one that counts. Where upstreams state their starts, an entry that doesn't is from
/// another writer.
#[rstest]
#[case::again(Birth { held_ms: Some(5), next_ms: Some(9), known: Some(Some(9)) })]
#[case::late_word(Birth { held_ms: Some(9), next_ms: Some(5), known: Some(Some(9)) })]
#[case::same_start(Birth { held_ms: Some(9), next_ms: Some(9), known: Some(Some(9)) })]
#[case::foreign(Birth { held_ms: Some(9), next_ms: None, known: None })]
#[case::begins_to_state(Birth { held_ms: None, next_ms: Some(9), known: Some(Some(9)) })]
#[case::states_never(Birth { held_ms: None, next_ms: None, known: Some(None) })]
fn the_latest_start_counts(#[case] case: Birth) {
    let mut roster = Roster::default();
    let put = |roster: &mut Roster, revision, born_ms| {
        let changes = vec![Change::Put(born("i-1", born_ms))];
        roster.apply(revision, Changes { revision, changes })
    };
    put(&mut roster, 1, case.held_ms);
    put(&mut roster, 2, case.next_ms);
    let registrations = roster.directory().registrations;
    let known = registrations.first().map(|one| one.born_ms);
    assert_eq!(known, case.known);
}

/// An upstream says itself that it has started again, before its entry does. The entry of before is
/// late then.
#[test]
fn its_own_word_comes_before_its_entry() {
    let mut roster = Roster::default();
    let listed = |revision, born_ms| Snapshot {
        revision,
        items: vec![born("i-1", Some(born_ms))],
        unusable: Vec::new(),
    };
    roster.replace(0, listed(1, 5));
    assert!(roster.see_birth("i-1", 9));
    assert!(!roster.see_birth("i-1", 9), "that is known");
    assert!(!roster.see_birth("i-1", 5), "that was before");
    assert!(!roster.see_birth("i-2", 9), "there is no such upstream");
    roster.replace(1, listed(2, 5));
    assert_eq!(roster.directory().registrations[0].born_ms, Some(9));
}

/// A host has read a list that may be old. A watcher's first word names all there are: what it
/// doesn't name was gone already. Another watcher's first word, of an earlier revision, comes too late.
#[test]
fn a_provisional_list_gives_way_to_the_whole() {
    let whole = |revision, instances| {
        let mut watcher = Roster::default();
        watcher.replace(0, snapshot(revision, instances));
        Directory::default().change_to(&watcher.directory())
    };
    let mut roster = Roster::default();
    roster.begin(0, snapshot(40, &["i-1", "i-old"]));
    assert_eq!(roster.revision(), Directory::PROVISIONAL);
    assert!(roster.apply_by_peer(10, whole(50, &["i-1", "i-2"])));
    assert!(!roster.apply_by_peer(20, whole(49, &["i-1"])));
    assert_eq!(roster.revision(), 50);
    assert_eq!(names(&roster), ["i-1", "i-2"]);
}
