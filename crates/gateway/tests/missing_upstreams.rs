//! Tests how long upstreams without an entry count as present after an outage of the store, when
//! hosts also learn of them from each other.

use std::net::SocketAddr;

use fulmarpath_gateway::{
    Change, Changes, DirectoryChange, RegisteredState, Registration, Roster, Snapshot,
};
use fulmarpath_policy::Revision;
use rstest::rstest;

/// When a host reads the store for the first time after the outage, which began at 1,000 ms.
const RETURN_MS: u64 = 6_000;

fn registration(instance: &str) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: None,
        service: "portal".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc-a".to_owned(),
        slots: 6,
        state: RegisteredState::Ready,
        cold_ms: 0,
    }
}

fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn list(roster: &mut Roster, now_ms: u64, revision: u64, instances: &[&str]) {
    let items = instances.iter().map(|name| registration(name));
    roster.mark_store_available(now_ms);
    let list = Snapshot {
        revision: at(revision),
        items: items.collect(),
        unusable: Vec::new(),
    };
    roster.replace(now_ms, list);
}

fn watch(roster: &mut Roster, now_ms: u64, revision: u64, change: Change<Registration>) {
    roster.mark_store_available(now_ms);
    let changes = Changes {
        revision: at(revision),
        changes: vec![change],
    };
    roster.apply(now_ms, changes);
}

fn register(roster: &mut Roster, now_ms: u64, revision: u64, instance: &str) {
    watch(
        roster,
        now_ms,
        revision,
        Change::Put(registration(instance)),
    );
}

fn remove(roster: &mut Roster, now_ms: u64, revision: u64, instance: &str) {
    watch(
        roster,
        now_ms,
        revision,
        Change::Removed(instance.to_owned()),
    );
}

fn change_since(roster: &Roster, now_ms: u64, revision: u64) -> DirectoryChange {
    roster.change_since(now_ms, at(revision))
}

/// Sends a host all that a peer has learnt since a revision.
fn tell(peer: &Roster, host: &mut Roster, now_ms: u64, since: u64) {
    host.apply_peer_change(now_ms, change_since(peer, now_ms, since));
}

fn present(roster: &mut Roster, now_ms: u64) -> Vec<String> {
    roster.expire(now_ms);
    let registrations = roster.directory().registrations.into_iter();
    let mut names: Vec<String> = registrations.map(|known| known.instance).collect();
    names.sort();
    names
}

/// Two hosts that know the upstreams a and b at revision 10.
fn two_hosts() -> (Roster, Roster) {
    let mut roster = Roster::default();
    list(&mut roster, 500, 10, &["a", "b"]);
    let mut other = Roster::default();
    list(&mut other, 500, 10, &["a", "b"]);
    (roster, other)
}

struct MissingCase {
    /// What a peer, which reads the store, and a host learn, up to the time of the check.
    events: fn(peer: &mut Roster, host: &mut Roster),
    at_ms: u64,
    /// The upstreams that count as present at the host.
    present: &'static [&'static str],
}

/// Both hosts read the store again at its return, when no entry is left.
fn both_return(peer: &mut Roster, host: &mut Roster) {
    peer.mark_store_unavailable(1_000);
    host.mark_store_unavailable(1_000);
    list(peer, RETURN_MS, 20, &[]);
    list(host, RETURN_MS + 40, 20, &[]);
}

/// Guards against requests to an upstream that has left after an outage of the store. Its entry was
/// removed when all upstreams had had time to register again, but a host keeps it as one whose
/// entry has expired, because messages of its peers have extended or restarted the grace period.
#[rstest]
#[case::removal_after_messages_on_missing_upstreams(MissingCase {
    events: |peer, host| {
        both_return(peer, host);
        register(peer, 7_000, 21, "a");
        tell(peer, host, 7_100, 20);
        register(peer, 7_900, 22, "b");
        tell(peer, host, 8_000, 21);
        remove(host, 9_000, 23, "b");
    },
    at_ms: 9_100,
    present: &["a"],
})]
#[case::missing_upstream_named_again_and_again(MissingCase {
    events: |peer, host| {
        both_return(peer, host);
        for step in 0..5 {
            let now_ms = RETURN_MS + 400 * (step + 1);
            register(peer, now_ms, 21 + step, "a");
            tell(peer, host, now_ms, 20 + step);
        }
    },
    at_ms: 8_300,
    present: &["a"],
})]
#[case::told_late_in_the_grace_period(MissingCase {
    events: |peer, host| {
        peer.mark_store_unavailable(1_000);
        list(peer, RETURN_MS, 20, &["a"]);
        tell(peer, host, 8_000, 10);
    },
    at_ms: 8_400,
    present: &["a"],
})]
#[case::departure_told_after_an_expiry_at_the_same_revision(MissingCase {
    events: |peer, host| {
        let (mut late, _) = two_hosts();
        late.mark_store_unavailable(1_000);
        list(&mut late, 8_000, 20, &["a", "b"]);
        remove(&mut late, 9_000, 21, "b");
        tell(&late, host, 9_100, 10);
        list(peer, RETURN_MS, 20, &["a", "b"]);
        remove(peer, 9_000, 21, "b");
        tell(peer, host, 9_110, 20);
    },
    at_ms: 9_200,
    present: &["a"],
})]
#[case::store_read_again_long_after_peers(MissingCase {
    events: |peer, host| {
        host.mark_store_unavailable(1_000);
        host.mark_store_unavailable(5_800);
        list(peer, RETURN_MS, 20, &["a", "b"]);
        tell(peer, host, RETURN_MS + 100, 10);
        watch(host, 9_500, 20, Change::Put(registration("a")));
        remove(host, 9_600, 21, "b");
    },
    at_ms: 9_700,
    present: &["a"],
})]
#[case::refused_by_a_store_that_peers_read(MissingCase {
    events: |peer, host| {
        peer.mark_store_unavailable(1_000);
        host.mark_store_unavailable(1_000);
        list(peer, RETURN_MS, 20, &["a"]);
        tell(peer, host, RETURN_MS + 100, 10);
    },
    at_ms: 8_400,
    present: &["a"],
})]
#[case::peer_refused_by_a_store_that_this_host_reads(MissingCase {
    events: |_, host| {
        list(host, 5_900, 20, &["a", "b"]);
        host.mark_store_unavailable_to_peer(RETURN_MS, 5_000);
        watch(host, 6_500, 21, Change::Put(registration("a")));
        remove(host, 6_600, 22, "b");
    },
    at_ms: 6_700,
    present: &["a"],
})]
fn departure_after_an_outage_is_no_expiry(#[case] case: MissingCase) {
    let (mut peer, mut host) = two_hosts();
    (case.events)(&mut peer, &mut host);
    assert_eq!(present(&mut host, case.at_ms), case.present);
}

/// Guards against dropping upstreams before they have had time to register again: all of them at
/// once after an outage, so that every caller is refused.
#[rstest]
#[case::expired_entry(MissingCase {
    events: both_return,
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::expired_entry_known_from_a_peer(MissingCase {
    events: |peer, host| {
        peer.mark_store_unavailable(1_000);
        list(peer, RETURN_MS, 20, &[]);
        tell(peer, host, RETURN_MS + 100, 10);
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::entry_that_expires_after_the_return(MissingCase {
    events: |peer, host| {
        both_return(peer, host);
        register(peer, 6_100, 21, "b");
        tell(peer, host, 6_200, 20);
        remove(host, 6_300, 22, "b");
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::late_message_from_before_the_outage(MissingCase {
    events: |peer, host| {
        register(peer, 950, 11, "a");
        host.mark_store_unavailable(1_000);
        tell(peer, host, 1_100, 10);
        host.mark_store_unavailable(2_600);
        list(host, RETURN_MS, 20, &[]);
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::second_outage_before_all_have_registered(MissingCase {
    events: |peer, host| {
        both_return(peer, host);
        host.mark_store_unavailable(7_000);
        list(host, 9_000, 30, &[]);
    },
    at_ms: 11_100,
    present: &["a", "b"],
})]
#[case::called_in_place_of_a_peer_that_failed(MissingCase {
    events: |_, host| {
        host.mark_store_unavailable_to_peer(5_000, 4_000);
        host.mark_store_unavailable(5_500);
        list(host, RETURN_MS, 20, &[]);
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::first_call_in_place_of_a_peer_succeeds(MissingCase {
    events: |_, host| {
        host.mark_store_unavailable_to_peer(1_000, 0);
        host.mark_store_unavailable_to_peer(5_800, 4_800);
        list(host, RETURN_MS, 20, &[]);
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
#[case::departure_told_before_it_registered_again(MissingCase {
    events: |peer, host| {
        remove(peer, 900, 11, "b");
        let departed = change_since(peer, 900, 10);
        register(host, 950, 12, "b");
        both_return(peer, host);
        host.apply_peer_change(RETURN_MS + 100, departed);
    },
    at_ms: 8_100,
    present: &["a", "b"],
})]
fn expired_upstreams_have_time_to_register_again(#[case] case: MissingCase) {
    let (mut peer, mut host) = two_hosts();
    (case.events)(&mut peer, &mut host);
    assert_eq!(present(&mut host, case.at_ms), case.present);
}

/// Guards against messages that grow with the number of upstreams after an outage: a peer is told
/// of each missing upstream once, and of all of them with a complete list.
#[rstest]
#[case::before_the_expiry(20, 1)]
#[case::after_the_expiry(21, 0)]
#[case::complete_list(9, 1)]
fn missing_upstreams_are_told_once(#[case] since: u64, #[case] told: usize) {
    let (mut host, _) = two_hosts();
    host.mark_store_unavailable(1_000);
    list(&mut host, RETURN_MS, 20, &["a", "b"]);
    remove(&mut host, RETURN_MS + 100, 21, "b");
    register(&mut host, RETURN_MS + 200, 22, "c");
    let change = change_since(&host, RETURN_MS + 300, since);
    assert_eq!(change.expired.len(), told);
}
