//! Tests which registered upstreams count as present during and after outages of the store.

use std::net::SocketAddr;

use fulmarpath_gateway::{
    Change, Changes, Departure, DepartureNotice, Directory, DirectoryChange, RegisteredState,
    Registration, RegistrationChange, Roster, Snapshot, UnusableEntry,
};
use fulmarpath_policy::Revision;
use proptest::prelude::*;
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

/// A revision in the store's only era.
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
        .map(|registration| registration.instance)
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
    from_ms: u64,
    to_ms: u64,
    /// When the complete list is read again; it lacks the second upstream.
    listed_ms: u64,
    kept: bool,
}

/// Guards against upstreams that are dropped after an outage before they can register again, and
/// against upstreams that are kept although they are gone.
#[rstest]
#[case::short_outage(Outage { from_ms: 1_000, to_ms: 1_500, listed_ms: 1_500, kept: false })]
#[case::long_outage(Outage { from_ms: 1_000, to_ms: 6_000, listed_ms: 6_000, kept: true })]
#[case::long_after_outage(Outage { from_ms: 1_000, to_ms: 6_000, listed_ms: 9_000, kept: false })]
fn expired_registrations_have_grace_period(#[case] case: Outage) {
    let mut roster = Roster::default();
    roster.replace(500, snapshot(5, &["i-1", "i-2"]));
    roster.mark_store_unavailable(case.from_ms);
    roster.mark_store_available(case.to_ms);
    roster.replace(case.listed_ms, snapshot(9, &["i-1"]));
    let kept: &[&str] = if case.kept { &["i-1", "i-2"] } else { &["i-1"] };
    assert_eq!(names(&roster), kept);
    roster.expire(case.listed_ms + 3_000);
    assert_eq!(
        names(&roster),
        ["i-1"],
        "a missing upstream is removed after the grace period"
    );
}

/// Guards against relying on registrations around an outage: during it, and until upstreams have
/// had time to register again, entries do not show which upstreams are leaving.
#[rstest]
#[case::before(900, false)]
#[case::during_outage(1_500, true)]
#[case::after_outage(6_500, true)]
#[case::after_grace(8_300, false)]
fn registrations_are_uncertain_around_outage(#[case] at_ms: u64, #[case] expected: bool) {
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

/// Guards against a grace period for an upstream that announced before the outage that it is
/// draining.
#[test]
fn draining_upstreams_have_no_grace_period() {
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

/// Guards against late changes and lists: they are older than the known state and change nothing.
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

/// Guards against gaps between a watcher's changes. A change that begins after a host's state is
/// ignored, and the change that the host then requests from a peer replaces it.
#[test]
fn change_beyond_known_revision_is_ignored() {
    let mut watcher = Roster::default();
    let mut other = Roster::default();
    watcher.replace(0, snapshot(5, &["i-1", "i-2"]));
    other.replace(0, snapshot(5, &["i-1", "i-2"]));
    watcher.apply(1, gone(6, "i-1"));
    let first = watcher.change_since(0, at(5));
    watcher.apply(2, put(8, "i-3"));
    let second = watcher.change_since(0, at(6));
    assert!(
        !other.apply_peer_change(3, second.clone()),
        "the change begins after the known revision"
    );
    assert_eq!(other.revision(), at(5));
    assert!(other.apply_peer_change(4, first));
    assert!(other.apply_peer_change(5, second));
    assert_eq!(names(&other), ["i-2", "i-3"]);
    let mut late = Roster::default();
    assert!(late.apply_peer_change(6, watcher.change_since(0, late.revision())));
    assert_eq!(names(&late), ["i-2", "i-3"]);
    assert!(!late.apply_peer_change(7, Roster::default().change_since(0, Revision::default())));
    assert_eq!(names(&late), ["i-2", "i-3"]);
}

/// Guards against a host that can no longer apply its own watcher's changes. A peer of another data
/// centre, whose watcher divides the sequence of changes at other revisions, has brought the host
/// to a revision between two boundaries of its own watcher. It continues with its own watcher's
/// changes, including departures and new upstreams, without another complete list.
#[test]
fn host_between_two_boundaries_applies_changes() {
    let mut local = Roster::default();
    let mut remote = Roster::default();
    local.replace(0, snapshot(10, &["i-1", "i-2", "i-3"]));
    remote.replace(0, snapshot(10, &["i-1", "i-2", "i-3"]));
    let mut host = Roster::default();
    remote.apply(1, gone(13, "i-1"));
    host.apply_peer_change(1, remote.change_since(0, Revision::default()));
    assert_eq!((host.revision(), names(&host).len()), (at(13), 2));
    local.apply(2, gone(13, "i-1"));
    local.apply(2, put(15, "i-4"));
    assert!(host.apply_peer_change(2, local.change_since(0, at(10))));
    assert_eq!(names(&host), ["i-2", "i-3", "i-4"]);
    local.apply(3, gone(18, "i-2"));
    assert!(host.apply_peer_change(3, local.change_since(0, at(15))));
    assert_eq!(names(&host), names(&local));
}

struct PeerCase {
    what: &'static str,
    /// The peer's updates after its list of revision 10, which names i-1 and i-2.
    update_peer: fn(&mut Roster),
    /// The revision of the requesting host.
    since: u64,
    is_complete: bool,
    put: &'static [&'static str],
    gone: &'static [&'static str],
}

/// Guards against changes that a peer omits. It returns what has changed since the requested
/// revision, including upstreams that came and left in between, and a complete list if it cannot
/// determine that.
#[test]
fn peer_returns_changes_since_revision() {
    let cases = [
        PeerCase {
            what: "one came and one left",
            update_peer: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-1"));
            },
            since: 10,
            is_complete: false,
            put: &["i-3"],
            gone: &["i-1"],
        },
        PeerCase {
            what: "only changes that the requester lacks",
            update_peer: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-1"));
            },
            since: 13,
            is_complete: false,
            put: &[],
            gone: &["i-1"],
        },
        PeerCase {
            what: "one came and left; the requester may know it as present",
            update_peer: |peer| {
                peer.apply(1, put(12, "i-3"));
                peer.apply(1, gone(14, "i-3"));
            },
            since: 12,
            is_complete: false,
            put: &[],
            gone: &["i-3"],
        },
        PeerCase {
            what: "one left and came back; the requester may know it as gone",
            update_peer: |peer| {
                peer.apply(1, gone(12, "i-1"));
                peer.apply(1, put(14, "i-1"));
            },
            since: 12,
            is_complete: false,
            put: &["i-1"],
            gone: &[],
        },
        PeerCase {
            what: "the requested revision is before the peer's list",
            update_peer: |peer| {
                peer.apply(1, put(12, "i-3"));
            },
            since: 9,
            is_complete: true,
            put: &["i-1", "i-2", "i-3"],
            gone: &[],
        },
        PeerCase {
            what: "the peer has listed again and cannot see what left and came back in between",
            update_peer: |peer| {
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
        (case.update_peer)(&mut peer);
        let mut change = peer.change_since(0, at(case.since));
        change
            .put
            .sort_by(|left, right| left.instance.cmp(&right.instance));
        let put: Vec<&str> = change
            .put
            .iter()
            .map(|registration| registration.instance.as_str())
            .collect();
        let gone: Vec<&str> = change
            .gone
            .iter()
            .map(|departure| departure.instance.as_str())
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

/// Guards against lost departures when thousands of upstreams leave, more than are stored one by
/// one. A peer far behind gets a complete list; one that is up to date gets an incremental change
/// as before.
#[test]
fn truncated_departures_need_complete_list() {
    let mut peer = Roster::default();
    let all: Vec<String> = (0..3_000).map(|number| format!("i-{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    peer.replace(0, snapshot(10, &all));
    for (index, name) in all.iter().take(2_900).enumerate() {
        peer.apply(1, gone(11 + index as u64, name));
    }
    let behind = peer.change_since(0, at(10));
    assert!(behind.is_complete());
    assert_eq!(behind.put.len(), 100);
    let up_to_date = peer.change_since(0, at(peer.revision().number - 3));
    assert!(!up_to_date.is_complete());
    assert_eq!(up_to_date.gone.len(), 3);
}

fn unusable(name: Option<&str>) -> UnusableEntry {
    UnusableEntry {
        name: name.map(str::to_owned),
        reason: "malformed".to_owned(),
    }
}

struct ForeignEntry {
    /// The name of the other writer's entry, if it has one.
    name: Option<&'static str>,
    /// Whether the entry arrives as a change; otherwise it is in the list.
    is_change: bool,
    left: &'static [&'static str],
}

/// Guards against unusable entries of another writer, in place of an upstream's own entry or beside
/// it. Such an entry names no upstream, not even just after a store outage; the others are kept.
#[rstest]
#[case::changed_over(ForeignEntry { name: Some("i-1"), is_change: true, left: &["i-2"] })]
#[case::listed_over(ForeignEntry { name: Some("i-1"), is_change: false, left: &["i-2"] })]
#[case::changed_beside(ForeignEntry { name: Some("x"), is_change: true, left: &["i-1", "i-2"] })]
#[case::listed_beside(ForeignEntry { name: Some("x"), is_change: false, left: &["i-1", "i-2"] })]
#[case::nameless_change(ForeignEntry { name: None, is_change: true, left: &["i-1", "i-2"] })]
#[case::nameless_listed(ForeignEntry { name: None, is_change: false, left: &["i-1", "i-2"] })]
fn unusable_entry_names_no_upstream(#[case] case: ForeignEntry) {
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

fn registration_of_start(instance: &str, started_at_ms: Option<u64>) -> Registration {
    Registration {
        started_at_ms,
        ..registration(instance, RegisteredState::Ready)
    }
}

struct Restart {
    held_ms: Option<u64>,
    /// The start time in the next entry of the same name.
    next_ms: Option<u64>,
    /// The known start time after that; `None` if the upstream is no longer present.
    known: Option<Option<u64>>,
}

/// Guards against an earlier incarnation in place of a later one. An upstream restarts under its
/// name, and entries of its incarnations arrive in any order: the latest one counts. An upstream
/// that has stated its start time states it always, so an entry without one is from another writer.
#[rstest]
#[case::later_start(Restart { held_ms: Some(5), next_ms: Some(9), known: Some(Some(9)) })]
#[case::late_earlier_start(Restart { held_ms: Some(9), next_ms: Some(5), known: Some(Some(9)) })]
#[case::same_start(Restart { held_ms: Some(9), next_ms: Some(9), known: Some(Some(9)) })]
#[case::foreign(Restart { held_ms: Some(9), next_ms: None, known: None })]
#[case::start_time_appears(Restart { held_ms: None, next_ms: Some(9), known: Some(Some(9)) })]
#[case::no_start_time(Restart { held_ms: None, next_ms: None, known: Some(None) })]
fn latest_start_counts(#[case] case: Restart) {
    let mut roster = Roster::default();
    let put = |roster: &mut Roster, revision, started_at_ms| {
        let changes = vec![Change::Put(registration_of_start("i-1", started_at_ms))];
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
    let known = registrations
        .first()
        .map(|registration| registration.started_at_ms);
    assert_eq!(known, case.known);
}

/// How entries of several upstreams of one service reach a host.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    List,
    StaleList,
    Watch,
    Pages,
    PeerList,
    PeerChange,
}

/// Applies entries to a roster in this order; a list has an order of its own.
fn arrive(roster: &mut Roster, arrival: Arrival, revision: u64, items: Vec<Registration>) {
    let now_ms = revision;
    let listed = |items| Snapshot {
        revision: at(revision),
        items,
        unusable: Vec::new(),
    };
    let change = |from_revision, put| DirectoryChange {
        from_revision,
        revision: at(revision),
        put,
        ..DirectoryChange::default()
    };
    match arrival {
        Arrival::List => {
            roster.replace(now_ms, listed(items));
        }
        Arrival::StaleList => {
            roster.load_provisional(now_ms, listed(items));
        }
        Arrival::Watch => {
            let changes = items.into_iter().map(Change::Put).collect();
            roster.apply(
                now_ms,
                Changes {
                    revision: at(revision),
                    changes,
                },
            );
        }
        Arrival::Pages => {
            for item in items {
                roster.add_provisional(now_ms, &[item]);
            }
        }
        Arrival::PeerList => {
            roster.apply_peer_change(now_ms, change(Revision::default(), items));
        }
        Arrival::PeerChange => {
            roster.apply_peer_change(now_ms, change(roster.revision(), items));
        }
    }
}

struct OddNeighbour {
    first: Arrival,
    then: Arrival,
    start_ms: u64,
}

/// Guards against an entry with a start time that removes the upstreams of the same service whose
/// entries have none. They stay whatever the order of arrival, and after the entry has gone.
#[rstest]
#[case::listed(OddNeighbour { first: Arrival::List, then: Arrival::List, start_ms: 9 })]
#[case::stale(OddNeighbour { first: Arrival::StaleList, then: Arrival::List, start_ms: 9 })]
#[case::watched(OddNeighbour { first: Arrival::Watch, then: Arrival::Watch, start_ms: 0 })]
#[case::by_page(OddNeighbour { first: Arrival::Pages, then: Arrival::PeerList, start_ms: u64::MAX })]
#[case::by_peers(OddNeighbour { first: Arrival::PeerList, then: Arrival::PeerChange, start_ms: u64::MAX })]
#[case::listed_then_watched(OddNeighbour { first: Arrival::List, then: Arrival::Watch, start_ms: u64::MAX })]
fn a_start_time_affects_only_its_own_upstream(#[case] case: OddNeighbour) {
    let sound = || ["i-1", "i-3"].map(|name| registration(name, RegisteredState::Ready));
    let odd = registration_of_start("i-2", Some(case.start_ms));
    for position in 0..3 {
        let mut roster = Roster::default();
        let mut items = sound().to_vec();
        items.insert(position, odd.clone());
        arrive(&mut roster, case.first, 1, items.clone());
        assert_eq!(names(&roster), ["i-1", "i-2", "i-3"], "first, {position}");
        arrive(&mut roster, case.then, 2, items);
        assert_eq!(names(&roster), ["i-1", "i-2", "i-3"], "then, {position}");
        roster.replace(3, snapshot(3, &["i-1", "i-3"]));
        roster.replace(4, snapshot(4, &["i-1", "i-3", "i-4"]));
        assert_eq!(
            names(&roster),
            ["i-1", "i-3", "i-4"],
            "without it, {position}"
        );
    }
}

/// Guards against an entry without a start time over the own entry of an upstream that has stated
/// one: it isn't used, also if it comes again or after a removal, until it has outlived the time in
/// which the upstream would have overwritten it.
#[rstest]
#[case::watched(Arrival::Watch)]
#[case::listed(Arrival::List)]
#[case::by_a_peer(Arrival::PeerChange)]
fn an_entry_that_lacks_the_stated_start_time_waits(#[case] arrival: Arrival) {
    let mut roster = Roster::new(3_600);
    let without = || vec![registration_of_start("i-1", None)];
    let with = || vec![registration_of_start("i-1", Some(9))];
    arrive(&mut roster, arrival, 10, with());
    for revision in [20, 21] {
        arrive(&mut roster, arrival, revision, without());
        assert!(names(&roster).is_empty(), "overwritten at {revision}");
    }
    arrive(&mut roster, arrival, 30, with());
    assert_eq!(names(&roster), ["i-1"], "its own entry again");
    roster.expire(9_000);
    assert_eq!(roster.directory().registrations[0].started_at_ms, Some(9));
    roster.apply(9_001, gone(31, "i-1"));
    arrive(&mut roster, arrival, 40, without());
    assert!(names(&roster).is_empty(), "written after the removal");
    roster.expire(40 + 3_999);
    assert!(names(&roster).is_empty());
    roster.expire(40 + 4_000);
    assert_eq!(names(&roster), ["i-1"], "still listed");
    arrive(&mut roster, arrival, 50, without());
    assert_eq!(names(&roster), ["i-1"], "confirmed");
}

/// Entries of a few upstreams of one service, each under one of the names and with or without a
/// start time.
fn any_entries() -> impl Strategy<Value = Vec<Registration>> {
    let entry = (
        0..4_u8,
        prop::option::of(prop_oneof![0..4_u64, Just(u64::MAX)]),
    );
    let entry =
        entry.prop_map(|(name, start_ms)| registration_of_start(&format!("i-{name}"), start_ms));
    prop::collection::vec(entry, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an upstream whose presence depends on the entries of others: each name's state
    /// is the same as if only its own entries had arrived.
    #[test]
    fn each_upstream_depends_on_its_own_entries(entries in any_entries()) {
        let apply = |entries: Vec<Registration>| {
            let mut roster = Roster::default();
            for (number, entry) in entries.into_iter().enumerate() {
                arrive(&mut roster, Arrival::Watch, number as u64 + 1, vec![entry]);
            }
            roster.directory().registrations
        };
        let together = apply(entries.clone());
        for name in ["i-0", "i-1", "i-2", "i-3"] {
            let own = entries.iter().filter(|entry| entry.instance == name).cloned();
            let alone = apply(own.collect());
            let together = together.iter().filter(|entry| entry.instance == name);
            prop_assert!(alone.iter().eq(together), "{name}");
        }
    }
}

/// Guards against an entry of the previous incarnation that arrives after the upstream itself has
/// reported its restart.
#[test]
fn own_report_precedes_entry() {
    let mut roster = Roster::default();
    let listed = |revision, started_at_ms| Snapshot {
        revision: at(revision),
        items: vec![registration_of_start("i-1", Some(started_at_ms))],
        unusable: Vec::new(),
    };
    roster.replace(0, listed(1, 5));
    assert!(roster.observe_restart("i-1", 9));
    assert!(!roster.observe_restart("i-1", 9), "the start is known");
    assert!(!roster.observe_restart("i-1", 5), "the start is earlier");
    assert!(!roster.observe_restart("i-2", 9), "the upstream is unknown");
    roster.replace(1, listed(2, 5));
    assert_eq!(roster.directory().registrations[0].started_at_ms, Some(9));
}

/// Guards against a stale list that outlives a confirmed one. A host has loaded a list that may be
/// stale. The first change from a watcher is a complete list: upstreams that it does not name were
/// gone already. The first change from another watcher, of an earlier revision, is ignored.
#[test]
fn complete_list_replaces_provisional_list() {
    let complete_change = |revision, instances| {
        let mut watcher = Roster::default();
        watcher.replace(0, snapshot(revision, instances));
        watcher.change_since(0, Directory::PROVISIONAL)
    };
    let mut roster = Roster::default();
    roster.load_provisional(0, snapshot(40, &["i-1", "i-old"]));
    assert_eq!(roster.revision(), Directory::PROVISIONAL);
    assert!(roster.apply_peer_change(10, complete_change(50, &["i-1", "i-2"])));
    assert!(!roster.apply_peer_change(20, complete_change(49, &["i-1"])));
    assert_eq!(roster.revision(), at(50));
    assert_eq!(names(&roster), ["i-1", "i-2"]);
}

fn numbered(count: usize) -> Snapshot<Registration> {
    let names: Vec<String> = (0..count).map(|number| format!("i-{number:06}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    snapshot(5, &names)
}

struct FleetSize {
    upstreams: usize,
}

/// Guards against hosts that apply the whole list for each change of one upstream: in a large fleet
/// all of a small host's processor time would go into it. What is applied is in proportion to the
/// changes, whatever the number of upstreams.
#[rstest]
#[case::hundred(FleetSize { upstreams: 100 })]
#[case::ten_thousand(FleetSize { upstreams: 10_000 })]
fn changes_to_apply_do_not_grow_with_the_fleet(#[case] size: FleetSize) {
    let mut roster = Roster::default();
    roster.replace(0, numbered(size.upstreams));
    assert_eq!(roster.take_changes().len(), size.upstreams);
    let draining = registration("i-000007", RegisteredState::Draining);
    let changes = vec![
        Change::Put(draining.clone()),
        Change::Put(registration("i-000008", RegisteredState::Ready)),
        Change::Removed("i-000009".to_owned()),
    ];
    let revision = at(6);
    roster.apply(10, Changes { revision, changes });
    let mut changes = roster.take_changes();
    changes.sort_by_key(|change| change.after.is_none());
    let before = |name| Some(registration(name, RegisteredState::Ready));
    assert_eq!(
        changes,
        [
            RegistrationChange {
                before: before("i-000007"),
                after: Some(draining),
            },
            RegistrationChange {
                before: before("i-000009"),
                after: None,
            },
        ]
    );
    assert!(roster.take_changes().is_empty());
}

/// Guards against changes that are applied although they cancel each other out before a host
/// applies them, and against lost ones: the first state before and the last one count.
#[test]
fn changes_since_the_last_application_are_merged() {
    let mut roster = Roster::default();
    roster.replace(0, snapshot(5, &["a", "b"]));
    roster.take_changes();
    roster.apply(1, gone(6, "a"));
    roster.apply(2, put(7, "a"));
    roster.apply(3, put(8, "c"));
    roster.apply(4, gone(9, "c"));
    roster.apply(5, gone(10, "b"));
    let changes = roster.take_changes();
    assert_eq!(changes.len(), 1);
    let before = changes[0].before.as_ref();
    assert_eq!(before.map(|before| before.instance.as_str()), Some("b"));
    assert_eq!(changes[0].after, None);
}

struct NoticeCase {
    is_gone: bool,
    started_at_ms: Option<u64>,
    /// Whether it was unknown and changes the view.
    expected: bool,
}

/// Guards against a home that starts generations on a leaving engine until the change has passed
/// the tree of announcements, and against a notice of an earlier process that stops its successor.
/// The change itself, which comes later, finds nothing left to change.
#[rstest]
#[case::draining(NoticeCase { is_gone: false, started_at_ms: Some(4), expected: true })]
#[case::gone(NoticeCase { is_gone: true, started_at_ms: Some(4), expected: true })]
#[case::earlier_process(NoticeCase { is_gone: false, started_at_ms: Some(3), expected: false })]
#[case::earlier_process_gone(NoticeCase { is_gone: true, started_at_ms: Some(3), expected: false })]
fn departure_notice_precedes_the_change(#[case] case: NoticeCase) {
    let ready = Registration {
        started_at_ms: Some(4),
        ..registration("a", RegisteredState::Ready)
    };
    let mut roster = Roster::default();
    let snapshot = Snapshot {
        revision: at(5),
        items: vec![
            ready.clone(),
            Registration {
                instance: "b".into(),
                ..ready.clone()
            },
        ],
        unusable: Vec::new(),
    };
    roster.replace(0, snapshot);
    roster.take_changes();
    let notice = DepartureNotice {
        departure: Departure {
            instance: "a".into(),
            started_at_ms: case.started_at_ms,
            at: at(6),
        },
        is_gone: case.is_gone,
    };
    assert_eq!(roster.observe_departure(10, &notice), case.expected);
    assert!(!roster.observe_departure(11, &notice));
    assert_eq!(roster.take_changes().len(), usize::from(case.expected));
    let draining = Registration {
        state: RegisteredState::Draining,
        ..ready.clone()
    };
    let change = DirectoryChange {
        from_revision: at(5),
        revision: at(6),
        put: if case.is_gone {
            Vec::new()
        } else {
            vec![draining]
        },
        gone: match case.is_gone {
            true => vec![notice.departure],
            false => Vec::new(),
        },
        expired: Vec::new(),
    };
    roster.apply_peer_change(12, change);
    assert_eq!(roster.take_changes().is_empty(), case.expected);
}

struct PartsCase {
    upstreams: usize,
    parts: usize,
}

/// Guards against a list that exceeds what one message to a host with a slow link may hold: it is
/// read in parts of a bounded size, which together hold every upstream once.
#[rstest]
#[case::none(PartsCase { upstreams: 0, parts: 1 })]
#[case::short(PartsCase { upstreams: 99, parts: 1 })]
#[case::exactly_one(PartsCase { upstreams: 100, parts: 2 })]
#[case::long(PartsCase { upstreams: 1_050, parts: 11 })]
fn list_is_read_in_parts(#[case] case: PartsCase) {
    let mut source = Roster::default();
    source.replace(0, numbered(case.upstreams));
    let mut receiver = Roster::default();
    let mut after: Option<String> = None;
    let mut parts = 0;
    loop {
        let part = source.part_after(1, after.as_deref(), 100);
        assert!(part.put.len() <= 100);
        parts += 1;
        receiver.add_provisional(1, &part.put);
        after = part.put.last().map(|last| last.instance.clone());
        if part.is_last {
            break;
        }
    }
    assert_eq!(parts, case.parts);
    assert_eq!(names(&receiver), names(&source));
    assert!(receiver.revision() <= Directory::PROVISIONAL);
}

/// Guards against parts of a list that change a list which this host already holds completely.
#[test]
fn part_is_ignored_once_the_list_is_complete() {
    let mut roster = Roster::default();
    roster.replace(0, snapshot(5, &["a"]));
    let part = [registration("b", RegisteredState::Ready)];
    assert!(!roster.add_provisional(1, &part));
    assert_eq!(names(&roster), ["a"]);
}

struct DecisionCase {
    /// Upstreams whose entries expire in an outage.
    expired: usize,
    expected: &'static [&'static str],
}

/// Guards against decisions about upstreams without an entry that leave no trace in the log, and
/// against log lines that grow with the number of upstreams.
#[rstest]
#[case::none(DecisionCase { expired: 0, expected: &[] })]
#[case::few(DecisionCase {
    expired: 2,
    expected: &["2 kept without an entry: i-000000, i-000001"],
})]
#[case::many(DecisionCase {
    expired: 1_000,
    expected: &["1000 kept without an entry: i-000000, i-000001, i-000002, i-000003 and 996 more"],
})]
fn decisions_on_missing_upstreams_are_reported(#[case] case: DecisionCase) {
    let mut roster = Roster::default();
    roster.replace(500, numbered(1_000));
    roster.mark_store_unavailable(1_000);
    roster.mark_store_available(6_000);
    let mut listed = numbered(1_000);
    listed.items.drain(..case.expired);
    listed.revision = at(9);
    roster.replace(6_000, listed);
    assert_eq!(roster.take_decisions(), case.expected);
    assert!(roster.take_decisions().is_empty());
}

/// Guards against an upstream whose drop after the grace period, or whose return after that, leaves
/// no trace in the log.
#[test]
fn drop_and_return_of_a_missing_upstream_are_reported() {
    let mut roster = Roster::default();
    roster.replace(500, snapshot(5, &["i-1", "i-2"]));
    roster.mark_store_unavailable(1_000);
    roster.mark_store_available(6_000);
    roster.replace(6_000, snapshot(9, &["i-1"]));
    roster.take_decisions();
    roster.expire(9_000);
    let dropped = "1 dropped, as not registered again in time: i-2";
    assert_eq!(roster.take_decisions(), [dropped]);
    roster.apply(9_500, put(10, "i-2"));
    let returned = "1 present again after having left: i-2";
    assert_eq!(roster.take_decisions(), [returned]);
}

/// Guards against a host that holds only the beginning of a list and offers it to its peers: they
/// fetch it in place of a complete list, and each passes on its own beginning.
#[test]
fn part_of_a_list_is_not_offered_to_peers() {
    let mut source = Roster::default();
    source.replace(0, numbered(250));
    let mut host = Roster::default();
    let part = source.part_after(0, None, 100);
    assert!(host.add_provisional(1, &part.put));
    assert_eq!(names(&host).len(), 100);
    assert_eq!(host.revision(), Revision::default());
    assert!(host.apply_peer_change(2, source.change_since(2, host.revision())));
    assert_eq!((names(&host).len(), host.revision()), (250, at(5)));
}
