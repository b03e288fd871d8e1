//! Tests which registered upstreams count as present after the store was restored from a backup.

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

/// An event at a store that may be restored from a backup, as a host observes it.
enum StoreEvent {
    /// A list of ready upstreams, at an era and a number.
    Listed(u64, u64, &'static [&'static str]),
    /// An upstream has written that it is draining.
    Draining(u64, u64, &'static str),
    /// An upstream has written its entry anew, as ready.
    Written(u64, u64, &'static str),
    /// The store has removed an entry.
    Removed(u64, u64, &'static str),
    /// Time in milliseconds that passes.
    Elapsed(u64),
}
use StoreEvent::{Draining, Elapsed, Listed, Removed, Written};

struct RestoreCase {
    events: &'static [StoreEvent],
    /// Upstreams that count as present and accept work.
    ready: &'static [&'static str],
}

fn changes(revision: Revision, change: Change<Registration>) -> Changes<Registration> {
    Changes {
        revision,
        changes: vec![change],
    }
}

fn apply_event(roster: &mut Roster, now_ms: u64, event: &StoreEvent) {
    match event {
        Listed(era, number, instances) => {
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
        Draining(era, number, name) => {
            let change = Change::Put(registration(name, RegisteredState::Draining));
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Written(era, number, name) => {
            let change = Change::Put(registration(name, RegisteredState::Ready));
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Removed(era, number, name) => {
            let change = Change::Removed((*name).to_owned());
            roster.apply(now_ms, changes(Revision::new(*era, *number), change));
        }
        Elapsed(_) => {}
    }
    roster.expire(now_ms);
}

fn ready(roster: &Roster) -> Vec<String> {
    let all = roster.directory().registrations.into_iter();
    let ready = all.filter(|registration| registration.state == RegisteredState::Ready);
    let mut ready: Vec<String> = ready.map(|registration| registration.instance).collect();
    ready.sort();
    ready
}

/// Guards against hosts that take an earlier state of the store for its latest one, or drop its
/// latest state for an earlier one, after a restore from a backup.
#[rstest]
#[case::lower_number_in_later_era(RestoreCase {
    events: &[Listed(1, 50, &["a"]), Listed(2, 40, &["a", "b"])], ready: &["a", "b"],
})]
#[case::higher_number_in_earlier_era(RestoreCase {
    events: &[Listed(2, 40, &["a"]), Listed(1, 50, &["b"])], ready: &["a"],
})]
#[case::late_answer_of_earlier_era(RestoreCase {
    events: &[Listed(1, 50, &["a"]), Listed(2, 40, &["a"]), Written(1, 51, "b")], ready: &["a"],
})]
#[case::changes_of_unlisted_era(RestoreCase {
    events: &[Listed(1, 50, &["a"]), Written(2, 60, "b")], ready: &["a"],
})]
#[case::changes_after_list(RestoreCase {
    events: &[Listed(1, 50, &["a"]), Listed(2, 40, &["a"]), Written(2, 41, "b")],
    ready: &["a", "b"],
})]
#[case::two_restores(RestoreCase {
    events: &[Listed(1, 50, &["a"]), Listed(2, 40, &["a"]), Listed(3, 30, &["a", "b"])],
    ready: &["a", "b"],
})]
#[case::draining_before_restore(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Draining(1, 51, "b"),
        Listed(2, 40, &["a", "b"]), Written(2, 45, "b"),
    ],
    ready: &["a"],
})]
#[case::missing_within_grace(RestoreCase {
    events: &[Listed(1, 50, &["a", "b"]), Listed(2, 40, &["a"]), Elapsed(2_000)],
    ready: &["a", "b"],
})]
#[case::missing_after_grace(RestoreCase {
    events: &[Listed(1, 50, &["a", "b"]), Listed(2, 40, &["a"]), Elapsed(2_300)], ready: &["a"],
})]
#[case::departed(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"), Listed(2, 40, &["a", "b"]), Elapsed(3_900),
    ],
    ready: &["a"],
})]
#[case::departed_then_removed(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"),
        Listed(2, 40, &["a", "b"]), Removed(2, 41, "b"),
        Elapsed(9_000),
    ],
    ready: &["a"],
})]
#[case::departed_then_missing_in_list(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"),
        Listed(2, 40, &["a", "b"]), Listed(2, 44, &["a"]),
        Elapsed(9_000),
    ],
    ready: &["a"],
})]
#[case::departed_then_written(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"),
        Listed(2, 40, &["a", "b"]), Written(2, 41, "b"),
    ],
    ready: &["a", "b"],
})]
#[case::departed_then_kept_beyond_ttl(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"), Listed(2, 40, &["a", "b"]), Elapsed(4_100),
    ],
    ready: &["a", "b"],
})]
#[case::departed_then_listed_again(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"), Listed(2, 40, &["a", "b"]), Elapsed(3_000),
        Listed(2, 44, &["a", "b"]), Elapsed(1_200),
    ],
    ready: &["a", "b"],
})]
#[case::departed_before_two_restores(RestoreCase {
    events: &[
        Listed(1, 50, &["a", "b"]), Removed(1, 51, "b"),
        Listed(2, 40, &["a", "b"]), Listed(3, 35, &["a", "b"]),
    ],
    ready: &["a"],
})]
fn later_era_precedes_any_number(#[case] case: RestoreCase) {
    let mut roster = Roster::default();
    let mut now_ms = 0;
    for event in case.events {
        if let Elapsed(ms) = event {
            now_ms += ms;
        }
        apply_event(&mut roster, now_ms, event);
    }
    assert_eq!(ready(&roster), case.ready);
}

/// Guards against a host that starts after a restore and does not learn which upstreams its peers
/// saw leave before.
#[test]
fn joining_host_learns_departures() {
    let mut peer = Roster::default();
    for event in [
        Listed(1, 50, &["a", "b"]),
        Removed(1, 51, "b"),
        Listed(2, 40, &["a", "b"]),
    ] {
        apply_event(&mut peer, 0, &event);
    }
    let mut joining = Roster::default();
    joining.apply_peer_change(0, peer.change_since(0, Revision::default()));
    apply_event(&mut joining, 0, &Listed(2, 42, &["a", "b"]));
    assert_eq!(ready(&joining), ["a"]);
}

/// Guards against a change of an earlier era at a host that knows a later one, and against an
/// incremental change across a restore.
#[test]
fn peers_send_complete_change_across_restore() {
    let mut watcher = Roster::default();
    apply_event(&mut watcher, 0, &Listed(1, 50, &["a", "b"]));
    let mut behind = Roster::default();
    behind.apply_peer_change(0, watcher.change_since(0, Revision::default()));
    let mut outdated = Roster::default();
    outdated.apply_peer_change(0, watcher.change_since(0, Revision::default()));
    apply_event(&mut outdated, 0, &Written(1, 51, "c"));
    apply_event(&mut watcher, 0, &Listed(2, 40, &["a", "d"]));
    let change = watcher.change_since(0, behind.revision());
    assert!(change.is_complete());
    assert!(behind.apply_peer_change(0, change));
    assert_eq!(behind.revision(), Revision::new(2, 40));
    assert!(!behind.apply_peer_change(0, outdated.change_since(0, Revision::default())));
    assert_eq!(
        ready(&behind),
        ["a", "b", "d"],
        "b has time to register again"
    );
}
