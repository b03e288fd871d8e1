//! Which registered upstreams count as there while the store comes and goes.

use std::net::SocketAddr;

use fulmarpath_gateway::{
    Change, Changes, Directory, RegisteredState, Registration, Roster, Snapshot, UnusableEntry,
};
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

/// A revision of the one era that the store is in.
fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn snapshot(revision: u64, instances: &[&str]) -> Snapshot<Registration> {
    let items = instances.iter();
    Snapshot {
        revision: at(revision),
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
        revision: at(revision),
        changes: vec![Change::Removed(name.to_owned())],
    }
}

fn put(revision: u64, name: &str) -> Changes<Registration> {
    Changes {
        revision: at(revision),
        changes: vec![Change::Put(registration(name, RegisteredState::Ready))],
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
    roster.mark_store_unavailable(case.lost_ms);
    roster.mark_store_available(case.back_ms);
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
        roster.mark_store_unavailable(1_000);
    }
    if at_ms >= 6_000 {
        roster.mark_store_available(6_000);
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
            revision: at(5),
            items,
            unusable: Vec::new(),
        },
    );
    roster.mark_store_unavailable(1_000);
    roster.mark_store_available(6_000);
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

/// A watcher's news lead from one state to the next. News that begin behind a host's state are left
/// alone, and what it asks a peer for takes their place.
#[test]
fn news_apply_to_their_own_state_only() {
    let mut watcher = Roster::default();
    let mut other = Roster::default();
    watcher.replace(0, snapshot(5, &["i-1", "i-2"]));
    other.replace(0, snapshot(5, &["i-1", "i-2"]));
    watcher.apply(1, gone(6, "i-1"));
    let first = watcher.change_since(at(5));
    watcher.apply(2, put(8, "i-3"));
    let second = watcher.change_since(at(6));
    assert!(
        !other.apply_peer_change(3, second.clone()),
        "it lacks a state"
    );
    assert_eq!(other.revision(), at(5));
    assert!(other.apply_peer_change(4, first));
    assert!(other.apply_peer_change(5, second));
    assert_eq!(names(&other), ["i-2", "i-3"]);
    let mut late = Roster::default();
    assert!(late.apply_peer_change(6, watcher.change_since(late.revision())));
    assert_eq!(names(&late), ["i-2", "i-3"]);
    assert!(!late.apply_peer_change(7, Roster::default().change_since(Revision::default())));
    assert_eq!(names(&late), ["i-2", "i-3"]);
}

/// A host is told by a peer of another data centre, whose watcher cuts the flow of changes at other
/// revisions, and so stands between two cuts of its own. It goes on with its own watcher's news: it
/// hears of what went and of what came, and asks nobody for a whole list again.
#[test]
fn a_host_between_two_cuts_goes_on_with_the_news() {
    let mut near = Roster::default();
    let mut far = Roster::default();
    near.replace(0, snapshot(10, &["i-1", "i-2", "i-3"]));
    far.replace(0, snapshot(10, &["i-1", "i-2", "i-3"]));
    let mut host = Roster::default();
    far.apply(1, gone(13, "i-1"));
    host.apply_peer_change(1, far.change_since(Revision::default()));
    assert_eq!((host.revision(), names(&host).len()), (at(13), 2));
    near.apply(2, gone(13, "i-1"));
    near.apply(2, put(15, "i-4"));
    assert!(host.apply_peer_change(2, near.change_since(at(10))));
    assert_eq!(names(&host), ["i-2", "i-3", "i-4"]);
    near.apply(3, gone(18, "i-2"));
    assert!(host.apply_peer_change(3, near.change_since(at(15))));
    assert_eq!(names(&host), names(&near));
}

struct Told {
    what: &'static str,
    /// What the peer sees after its list of revision 10 names i-1 and i-2.
    seen: fn(&mut Roster),
    /// The revision that the asking host stands at.
    since: u64,
    is_complete: bool,
    put: &'static [&'static str],
    gone: &'static [&'static str],
}

/// A peer tells what has changed since the asker's revision, also what came and went between, and
/// all there is where it can't tell that.
#[test]
fn a_peer_tells_what_has_changed() {
    let cases = [
        Told {
            what: "what came and what went",
            seen: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-1"));
            },
            since: 10,
            is_complete: false,
            put: &["i-3"],
            gone: &["i-1"],
        },
        Told {
            what: "only what is new to the asker",
            seen: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-1"));
            },
            since: 13,
            is_complete: false,
            put: &[],
            gone: &["i-1"],
        },
        Told {
            what: "what came and went again, which the asker may have seen come",
            seen: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-3"));
            },
            since: 12,
            is_complete: false,
            put: &[],
            gone: &["i-3"],
        },
        Told {
            what: "what went and came back, which the asker may have seen go",
            seen: |peer| {
                peer.apply(1, gone(12, "i-1"));
                peer.apply(1, put(14, "i-1"));
            },
            since: 12,
            is_complete: false,
            put: &["i-1"],
            gone: &[],
        },
        Told {
            what: "the asker stands before the peer's own list",
            seen: |peer| {
                peer.apply(1, put(12, "i-3"));
            },
            since: 9,
            is_complete: true,
            put: &["i-1", "i-2", "i-3"],
            gone: &[],
        },
        Told {
            what: "the peer has read the list anew: what went and came back in between is unseen",
            seen: |peer| {
                peer.replace(1, snapshot(20, &["i-1", "i-2"]));
            },
            since: 15,
            is_complete: true,
            put: &["i-1", "i-2"],
            gone: &[],
        },
    ];
    for case in cases {
        let mut peer = Roster::default();
        peer.replace(0, snapshot(10, &["i-1", "i-2"]));
        (case.seen)(&mut peer);
        let mut change = peer.change_since(at(case.since));
        change
            .put
            .sort_by(|one, other| one.instance.cmp(&other.instance));
        let put: Vec<&str> = change.put.iter().map(|one| one.instance.as_str()).collect();
        let gone: Vec<&str> = change
            .gone
            .iter()
            .map(|one| one.instance.as_str())
            .collect();
        assert_eq!(change.is_complete(), case.is_complete, "{}", case.what);
        assert_eq!(
            (put.as_slice(), gone.as_slice()),
            (case.put, case.gone),
            "{}",
            case.what
        );
        assert_eq!(change.revision, peer.revision(), "{}", case.what);
    }
}

/// Thousands of upstreams go, more than are remembered one by one: a peer far behind is told all
/// there is, and one that is up to date hears of the next as before.
#[test]
fn what_is_not_remembered_is_told_whole() {
    let mut peer = Roster::default();
    let all: Vec<String> = (0..3_000).map(|number| format!("i-{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    peer.replace(0, snapshot(10, &all));
    for (place, name) in all.iter().take(2_900).enumerate() {
        peer.apply(1, gone(11 + place as u64, name));
    }
    let behind = peer.change_since(at(10));
    assert!(behind.is_complete());
    assert_eq!(behind.put.len(), 100);
    let up_to_date = peer.change_since(at(peer.revision().number - 3));
    assert!(!up_to_date.is_complete());
    assert_eq!(up_to_date.gone.len(), 3);
}

fn unusable(name: Option<&str>) -> UnusableEntry {
    UnusableEntry {
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
    roster.mark_store_unavailable(1_000);
    roster.mark_store_available(6_000);
    let foreign = unusable(case.name);
    if case.is_change {
        let changes = vec![Change::Unusable(foreign)];
        roster.apply(
            6_100,
            Changes {
                revision: at(6),
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

fn born(instance: &str, started_at_ms: Option<u64>) -> Registration {
    Registration {
        started_at_ms,
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
    let put = |roster: &mut Roster, revision, started_at_ms| {
        let changes = vec![Change::Put(born("i-1", started_at_ms))];
        roster.apply(
            revision,
            Changes {
                revision: at(revision),
                changes,
            },
        )
    };
    put(&mut roster, 1, case.held_ms);
    put(&mut roster, 2, case.next_ms);
    let registrations = roster.directory().registrations;
    let known = registrations.first().map(|one| one.started_at_ms);
    assert_eq!(known, case.known);
}

/// An upstream says itself that it has started again, before its entry does. The entry of before is
/// late then.
#[test]
fn its_own_word_comes_before_its_entry() {
    let mut roster = Roster::default();
    let listed = |revision, started_at_ms| Snapshot {
        revision: at(revision),
        items: vec![born("i-1", Some(started_at_ms))],
        unusable: Vec::new(),
    };
    roster.replace(0, listed(1, 5));
    assert!(roster.observe_start("i-1", 9));
    assert!(!roster.observe_start("i-1", 9), "that is known");
    assert!(!roster.observe_start("i-1", 5), "that was before");
    assert!(!roster.observe_start("i-2", 9), "there is no such upstream");
    roster.replace(1, listed(2, 5));
    assert_eq!(roster.directory().registrations[0].started_at_ms, Some(9));
}

/// A host has read a list that may be old. A watcher's first word names all there are: what it
/// doesn't name was gone already. Another watcher's first word, of an earlier revision, comes too late.
#[test]
fn a_provisional_list_gives_way_to_the_whole() {
    let whole = |revision, instances| {
        let mut watcher = Roster::default();
        watcher.replace(0, snapshot(revision, instances));
        watcher.change_since(Directory::PROVISIONAL)
    };
    let mut roster = Roster::default();
    roster.load_provisional(0, snapshot(40, &["i-1", "i-old"]));
    assert_eq!(roster.revision(), Directory::PROVISIONAL);
    assert!(roster.apply_peer_change(10, whole(50, &["i-1", "i-2"])));
    assert!(!roster.apply_peer_change(20, whole(49, &["i-1"])));
    assert_eq!(roster.revision(), at(50));
    assert_eq!(names(&roster), ["i-1", "i-2"]);
}
