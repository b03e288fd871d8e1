//! Tests of the membership table, with the time as an argument.

use fulmarpath_cluster::Members;
use fulmarpath_policy::HostKey;
use fulmarpath_wire::{MemberInfo, MemberState, Rumour};
use rstest::rstest;

fn info(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.to_owned(),
        data_centre: name.split('/').next().unwrap_or_default().to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn rumour(name: &str, state: MemberState, incarnation: u64) -> Rumour {
    Rumour {
        member: info(name),
        state,
        incarnation,
    }
}

fn state_of(members: &Members, name: &str) -> Option<MemberState> {
    members.find(HostKey::of(name)).map(|rumour| rumour.state)
}

struct RumourCase {
    first: (MemberState, u64),
    second: (MemberState, u64),
    expected: Option<MemberState>,
}

#[test]
fn higher_incarnation_precedes_worse_state() {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    let cases = [
        RumourCase {
            first: (Alive, 1),
            second: (Suspect, 1),
            expected: Some(Suspect),
        },
        RumourCase {
            first: (Suspect, 1),
            second: (Alive, 1),
            expected: Some(Suspect),
        },
        RumourCase {
            first: (Suspect, 1),
            second: (Alive, 2),
            expected: Some(Alive),
        },
        RumourCase {
            first: (Leaving, 2),
            second: (Alive, 2),
            expected: Some(Leaving),
        },
        RumourCase {
            first: (Dead, 1),
            second: (Alive, 1),
            expected: None,
        },
        RumourCase {
            first: (Dead, 1),
            second: (Alive, 2),
            expected: Some(Alive),
        },
    ];
    for case in cases {
        let mut members = Members::new(info("zrh-a/me"), 1);
        members.apply(1, rumour("zrh-a/other", case.first.0, case.first.1));
        members.apply(2, rumour("zrh-a/other", case.second.0, case.second.1));
        assert_eq!(state_of(&members, "zrh-a/other"), case.expected);
    }
}

/// A silent member becomes suspect, stays eligible as a home, and is dead after the suspicion
/// timeout.
#[test]
fn silent_member_is_dead_after_suspicion() {
    let mut members = Members::new(info("zrh-a/me"), 1);
    members.seed(1_000, info("zrh-a/other"));
    members.suspect(2_000, HostKey::of("zrh-a/other"));
    members.expire(3_000);
    assert_eq!(
        state_of(&members, "zrh-a/other"),
        Some(MemberState::Suspect)
    );
    assert_eq!(members.homes().count(), 2);
    members.expire(3_500);
    assert_eq!(state_of(&members, "zrh-a/other"), None);
    assert_eq!(members.homes().count(), 1);
}

/// Guards against a paused host that stays dead to others: when it receives a rumour of its own
/// death, it raises its incarnation above that of the rumour.
#[test]
fn paused_host_refutes_its_death() {
    let mut members = Members::new(info("zrh-a/me"), 4);
    members.apply(1, rumour("zrh-a/me", MemberState::Dead, 4));
    assert_eq!(members.own_rumour().incarnation, 5);
    assert_eq!(members.own_rumour().state, MemberState::Alive);
}

#[test]
fn leaving_host_is_not_a_home() {
    let mut members = Members::new(info("zrh-a/me"), 1);
    members.seed(1, info("zrh-a/other"));
    members.leave();
    let homes = members.homes_of(77, 5);
    assert_eq!(homes.len(), 1);
    assert_eq!(homes[0].1.name, "zrh-a/other");
}

#[test]
fn homes_are_local_where_possible() {
    let mut members = Members::new(info("zrh-a/me"), 1);
    members.seed(1, info("zrh-b/one"));
    members.seed(1, info("zrh-b/two"));
    let local = members.homes_in(5, "zrh-b", 3);
    assert_eq!(local.len(), 2);
    assert_eq!(members.homes_in(5, "zrh-c", 3).len(), 3);
}

/// Guards against pings full of stale rumours after all hosts have started: members that reach
/// every host by announcement are not gossiped as well. A suspicion raised by this host is.
#[test]
fn announced_members_are_not_gossiped() {
    let mut members = Members::new(info("zrh-a/me"), 1);
    assert!(members.apply_unrelayed(1, rumour("zrh-a/new", MemberState::Alive, 1)));
    assert!(!members.apply_unrelayed(2, rumour("zrh-a/new", MemberState::Alive, 1)));
    assert_eq!(members.rumours(), Vec::new());
    members.suspect(3, HostKey::of("zrh-a/new"));
    assert_eq!(
        members.rumours(),
        [rumour("zrh-a/new", MemberState::Suspect, 1)]
    );
}

/// Guards against membership tables that stay different. Digests are equal independent of the order
/// of updates and of a suspicion after a missed ping, and differ where a host has missed a joining
/// host or a death. Exchanging the tables makes them equal, and dead members stay dead.
#[test]
fn exchanged_tables_agree() {
    let names = ["zrh-a/1", "zrh-b/2", "zrh-c/3"];
    let mut first = Members::new(info("zrh-a/me"), 1);
    let mut second = Members::new(info("zrh-a/other"), 1);
    for name in names {
        first.apply_unrelayed(1, rumour(name, MemberState::Alive, 1));
    }
    for name in names.into_iter().rev() {
        second.apply_unrelayed(1, rumour(name, MemberState::Alive, 1));
    }
    first.apply_unrelayed(1, second.own_rumour());
    second.apply_unrelayed(1, first.own_rumour());
    assert_eq!(first.digest(), second.digest());
    second.suspect(2, HostKey::of(names[1]));
    assert_eq!(first.digest(), second.digest());
    first.apply_unrelayed(3, rumour(names[0], MemberState::Dead, 1));
    second.apply_unrelayed(3, rumour("zrh-c/late", MemberState::Alive, 1));
    assert_ne!(first.digest(), second.digest());
    let (own, received) = (first.snapshot(), second.snapshot());
    for update in received {
        first.apply_unrelayed(4, update);
    }
    for update in own {
        second.apply_unrelayed(4, update);
    }
    assert_eq!(first.digest(), second.digest());
    assert_eq!(state_of(&second, names[0]), None);
    assert_eq!(state_of(&first, "zrh-c/late"), Some(MemberState::Alive));
}

struct PingCase {
    name: &'static str,
    /// Other members in this host's data centre, and members in another one.
    local: usize,
    remote: usize,
    /// Expected pings to the other data centre, of 360.
    sent_remote: std::ops::RangeInclusive<usize>,
}

/// In a large data centre most pings stay local, but no member goes without pings for long. A host
/// in a small data centre pings all members equally often.
#[test]
fn most_pings_stay_local() {
    let cases = [
        PingCase {
            name: "many local members",
            local: 39,
            remote: 156,
            sent_remote: 90..=100,
        },
        PingCase {
            name: "few local members",
            local: 3,
            remote: 9,
            sent_remote: 270..=270,
        },
        PingCase {
            name: "no local members",
            local: 0,
            remote: 9,
            sent_remote: 360..=360,
        },
        PingCase {
            name: "no remote members",
            local: 20,
            remote: 0,
            sent_remote: 0..=0,
        },
    ];
    for case in cases {
        let mut members = Members::new(info("zrh-a/me"), 1);
        let local = (0..case.local).map(|number| format!("zrh-a/{number}"));
        let remote = (0..case.remote).map(|number| format!("zrh-b/{number}"));
        for name in local.chain(remote) {
            members.apply_unrelayed(0, rumour(&name, MemberState::Alive, 1));
        }
        let targets: Vec<MemberInfo> = (0..360)
            .filter_map(|draw| members.next_target(draw))
            .collect();
        let is_remote = |info: &&MemberInfo| info.data_centre == "zrh-b";
        let sent_remote = targets.iter().filter(is_remote).count();
        assert!(
            case.sent_remote.contains(&sent_remote),
            "{}: {sent_remote}",
            case.name
        );
        let pinged: std::collections::BTreeSet<&str> =
            targets.iter().map(|info| info.name.as_str()).collect();
        let local = pinged.iter().filter(|name| name.starts_with("zrh-a"));
        assert_eq!(local.count(), case.local, "{}", case.name);
        assert!(
            pinged.len() - case.local >= case.remote.min(90),
            "{}",
            case.name
        );
    }
}

fn info_at(name: &str, port: u16) -> MemberInfo {
    MemberInfo {
        address: ([127, 0, 0, 1], port).into(),
        ..info(name)
    }
}

/// A joining host gets live members of its own data centre first, and others if those are few.
#[test]
fn sample_prefers_local_members() {
    let mut members = Members::new(info("zrh-a/me"), 1);
    for name in ["zrh-b/1", "zrh-b/2", "zrh-c/1", "zrh-c/2", "zrh-c/3"] {
        members.apply_unrelayed(0, rumour(name, MemberState::Alive, 1));
    }
    members.suspect(0, HostKey::of("zrh-b/2"));
    let joining = info_at("zrh-b/new", 9);
    for draw in 0..20 {
        let sample = members.sample(&joining, draw, 3);
        assert_eq!(sample[0].member.name, "zrh-b/1");
        assert_eq!(sample.len(), 3);
        assert!(
            sample
                .iter()
                .all(|rumour| rumour.state == MemberState::Alive)
        );
    }
}

/// Guards against a restarted host that queries itself: its earlier instance has another name and
/// the same address, and must not be in its sample.
#[test]
fn sample_excludes_earlier_instance_of_joining_host() {
    let mut members = Members::new(info_at("zrh-a/me", 1), 1);
    let before = Rumour {
        member: info_at("zrh-a/before", 9),
        ..rumour("zrh-a/before", MemberState::Alive, 1)
    };
    members.apply_unrelayed(0, before);
    let joining = info_at("zrh-a/again", 9);
    for draw in 0..20 {
        let sample = members.sample(&joining, draw, 3);
        let names: Vec<&str> = sample
            .iter()
            .map(|rumour| rumour.member.name.as_str())
            .collect();
        assert_eq!(names, ["zrh-a/me"]);
    }
}

struct DataCentreSize {
    hosts: usize,
}

/// Guards against traffic between data centres that grows with the fleet. The pings of all hosts of
/// a large data centre to other ones add up to the same number, whatever its size.
#[rstest]
#[case::forty(DataCentreSize { hosts: 40 })]
#[case::two_hundred(DataCentreSize { hosts: 200 })]
#[case::four_hundred(DataCentreSize { hosts: 400 })]
fn pings_between_data_centres_do_not_grow_with_the_fleet(#[case] size: DataCentreSize) {
    const PINGS: u64 = 1_200;
    let mut members = Members::new(info("zrh-a/me"), 1);
    for number in 1..size.hosts {
        let name = format!("zrh-a/{number}");
        members.apply_unrelayed(0, rumour(&name, MemberState::Alive, 1));
    }
    for number in 0..4 * size.hosts {
        let name = format!("zrh-b/{number}");
        members.apply_unrelayed(0, rumour(&name, MemberState::Alive, 1));
    }
    let targets = (0..PINGS).filter_map(|draw| members.next_target(draw));
    let sent_remote = targets
        .filter(|target| target.data_centre == "zrh-b")
        .count();
    let of_all_hosts = sent_remote as f64 / PINGS as f64 * size.hosts as f64;
    assert!(
        (8.0..=16.0).contains(&of_all_hosts),
        "{of_all_hosts} at a time"
    );
}
