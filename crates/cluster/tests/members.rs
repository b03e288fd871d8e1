//! Beliefs about members, with the time as an argument.

use fulmarpath_cluster::Members;
use fulmarpath_policy::HostKey;
use fulmarpath_wire::{MemberInfo, MemberState, Rumour};

fn note(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.to_owned(),
        data_centre: name.split('/').next().unwrap_or_default().to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn rumour(name: &str, state: MemberState, incarnation: u64) -> Rumour {
    Rumour {
        member: note(name),
        state,
        incarnation,
    }
}

fn state_of(members: &Members, name: &str) -> Option<MemberState> {
    members.find(HostKey::of(name)).map(|rumour| rumour.state)
}

struct Heard {
    first: (MemberState, u64),
    then: (MemberState, u64),
    believed: Option<MemberState>,
}

#[test]
fn the_higher_incarnation_goes_before_and_then_the_worse_state() {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    let cases = [
        Heard {
            first: (Alive, 1),
            then: (Suspect, 1),
            believed: Some(Suspect),
        },
        Heard {
            first: (Suspect, 1),
            then: (Alive, 1),
            believed: Some(Suspect),
        },
        Heard {
            first: (Suspect, 1),
            then: (Alive, 2),
            believed: Some(Alive),
        },
        Heard {
            first: (Leaving, 2),
            then: (Alive, 2),
            believed: Some(Leaving),
        },
        Heard {
            first: (Dead, 1),
            then: (Alive, 1),
            believed: None,
        },
        Heard {
            first: (Dead, 1),
            then: (Alive, 2),
            believed: Some(Alive),
        },
    ];
    for case in cases {
        let mut members = Members::new(note("zrh-a/me"), 1);
        members.apply(1, rumour("zrh-a/other", case.first.0, case.first.1));
        members.apply(2, rumour("zrh-a/other", case.then.0, case.then.1));
        assert_eq!(state_of(&members, "zrh-a/other"), case.believed);
    }
}

/// A member stops answering: it is suspected, still home of its things, and dead after the time
/// it had to refute.
#[test]
fn a_silent_member_dies_after_suspicion() {
    let mut members = Members::new(note("zrh-a/me"), 1);
    members.seed(1_000, note("zrh-a/other"));
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

/// A host that was paused hears that it is dead: it raises its incarnation above the rumour's.
#[test]
fn a_paused_host_refutes_its_death() {
    let mut members = Members::new(note("zrh-a/me"), 4);
    members.apply(1, rumour("zrh-a/me", MemberState::Dead, 4));
    assert_eq!(members.own_rumour().incarnation, 5);
    assert_eq!(members.own_rumour().state, MemberState::Alive);
}

#[test]
fn a_leaving_host_is_home_of_nothing() {
    let mut members = Members::new(note("zrh-a/me"), 1);
    members.seed(1, note("zrh-a/other"));
    members.leave();
    let homes = members.homes_of(77, 5);
    assert_eq!(homes.len(), 1);
    assert_eq!(homes[0].1.name, "zrh-a/other");
}

#[test]
fn homes_are_near_where_anybody_is() {
    let mut members = Members::new(note("zrh-a/me"), 1);
    members.seed(1, note("zrh-b/one"));
    members.seed(1, note("zrh-b/two"));
    let near = members.homes_in(5, "zrh-b", 3);
    assert_eq!(near.len(), 2);
    assert_eq!(members.homes_in(5, "zrh-c", 3).len(), 3);
}

/// What reaches all members by an announcement isn't passed on as a rumour too, which would fill pings
/// with old news after all hosts have started. A death that this host finds is.
#[test]
fn announced_newcomers_are_not_told_again() {
    let mut members = Members::new(note("zrh-a/me"), 1);
    assert!(members.apply_unrelayed(1, rumour("zrh-a/new", MemberState::Alive, 1)));
    assert!(!members.apply_unrelayed(2, rumour("zrh-a/new", MemberState::Alive, 1)));
    assert_eq!(members.rumours(), Vec::new());
    members.suspect(3, HostKey::of("zrh-a/new"));
    assert_eq!(
        members.rumours(),
        [rumour("zrh-a/new", MemberState::Suspect, 1)]
    );
}

/// Two hosts compare what they believe by a hash: equal in whatever order they heard, and while a
/// missed ping makes one of them suspect a member; different where one has missed a newcomer or a
/// death. An exchange of all beliefs makes them equal, and the dead stay dead.
#[test]
fn exchanged_beliefs_agree() {
    let names = ["zrh-a/1", "zrh-b/2", "zrh-c/3"];
    let mut first = Members::new(note("zrh-a/me"), 1);
    let mut second = Members::new(note("zrh-a/other"), 1);
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
    let (told, heard) = (first.snapshot(), second.snapshot());
    for belief in heard {
        first.apply_unrelayed(4, belief);
    }
    for belief in told {
        second.apply_unrelayed(4, belief);
    }
    assert_eq!(first.digest(), second.digest());
    assert_eq!(state_of(&second, names[0]), None);
    assert_eq!(state_of(&first, "zrh-c/late"), Some(MemberState::Alive));
}

struct Pings {
    what: &'static str,
    /// Other members in this host's data centre, and in another one.
    near: usize,
    far: usize,
    /// Pings of 360 that go to the other data centre.
    sent_far: std::ops::RangeInclusive<usize>,
}

/// Where many stand near, most pings stay near; nobody is left out for long, and a small data centre
/// hears of the others as often as of itself.
#[test]
fn most_pings_stay_near() {
    let cases = [
        Pings {
            what: "many near",
            near: 39,
            far: 156,
            sent_far: 90..=100,
        },
        Pings {
            what: "few near",
            near: 3,
            far: 9,
            sent_far: 270..=270,
        },
        Pings {
            what: "nobody near",
            near: 0,
            far: 9,
            sent_far: 360..=360,
        },
        Pings {
            what: "nobody far",
            near: 20,
            far: 0,
            sent_far: 0..=0,
        },
    ];
    for case in cases {
        let mut members = Members::new(note("zrh-a/me"), 1);
        let near = (0..case.near).map(|number| format!("zrh-a/{number}"));
        let far = (0..case.far).map(|number| format!("zrh-b/{number}"));
        for name in near.chain(far) {
            members.apply_unrelayed(0, rumour(&name, MemberState::Alive, 1));
        }
        let targets: Vec<MemberInfo> = (0..360)
            .filter_map(|draw| members.next_target(draw))
            .collect();
        let is_far = |note: &&MemberInfo| note.data_centre == "zrh-b";
        let sent_far = targets.iter().filter(is_far).count();
        assert!(
            case.sent_far.contains(&sent_far),
            "{}: {sent_far}",
            case.what
        );
        let pinged: std::collections::BTreeSet<&str> =
            targets.iter().map(|note| note.name.as_str()).collect();
        let near = pinged.iter().filter(|name| name.starts_with("zrh-a"));
        assert_eq!(near.count(), case.near, "{}", case.what);
        assert!(
            pinged.len() - case.near >= case.far.min(90),
            "{}",
            case.what
        );
    }
}

fn note_at(name: &str, port: u16) -> MemberInfo {
    MemberInfo {
        address: ([127, 0, 0, 1], port).into(),
        ..note(name)
    }
}

/// A newcomer is told of members of its own data centre first, and of others where those are few.
#[test]
fn a_sample_is_near_first() {
    let mut members = Members::new(note("zrh-a/me"), 1);
    for name in ["zrh-b/1", "zrh-b/2", "zrh-c/1", "zrh-c/2", "zrh-c/3"] {
        members.apply_unrelayed(0, rumour(name, MemberState::Alive, 1));
    }
    members.suspect(0, HostKey::of("zrh-b/2"));
    let newcomer = note_at("zrh-b/new", 9);
    for draw in 0..20 {
        let sample = members.sample(&newcomer, draw, 3);
        assert_eq!(sample[0].member.name, "zrh-b/1");
        assert_eq!(sample.len(), 3);
        assert!(sample.iter().all(|one| one.state == MemberState::Alive));
    }
}

/// Guards against a host that starts again and asks itself, by the name it had before, for what all hold.
#[test]
fn a_newcomer_is_not_told_of_its_own_start_before() {
    let mut members = Members::new(note_at("zrh-a/me", 1), 1);
    let before = Rumour {
        member: note_at("zrh-a/before", 9),
        ..rumour("zrh-a/before", MemberState::Alive, 1)
    };
    members.apply_unrelayed(0, before);
    let newcomer = note_at("zrh-a/again", 9);
    for draw in 0..20 {
        let sample = members.sample(&newcomer, draw, 3);
        let names: Vec<&str> = sample.iter().map(|one| one.member.name.as_str()).collect();
        assert_eq!(names, ["zrh-a/me"]);
    }
}
