//! Requests that end upstreams: who is blamed, who is let run, and for how long.

use fulmarpath_policy::{
    Admission, Alibis, ContentKey, CrashRecord, Millis, Ruling, Rulings, Standing, UpstreamKey,
};
use rstest::rstest;

/// After this the reports of a crash are in.
const SETTLED_MS: Millis = 300;
const FIRST_TERM_MS: Millis = 300_000;
const P: ContentKey = ContentKey(1);
const X: ContentKey = ContentKey(2);

/// A home with its rulings.
#[derive(Default)]
struct Home {
    record: CrashRecord,
    rulings: Rulings,
    now_ms: Millis,
}

impl Home {
    /// An upstream ends; these contents had just begun there.
    fn crash(&mut self, upstream: u64, contents: &[ContentKey]) {
        for content in contents {
            let upstream = UpstreamKey(upstream);
            self.record.strike(self.now_ms, *content, upstream);
        }
    }

    fn settle(&mut self) -> Vec<Ruling> {
        self.now_ms += SETTLED_MS;
        self.record.judge(self.now_ms, &mut self.rulings)
    }

    fn standing(&self, content: ContentKey) -> Standing {
        let ruling = self.rulings.find(content);
        ruling.map_or(Standing::Free, |ruling| ruling.standing)
    }

    fn admit(&self, content: ContentKey) -> Admission {
        self.rulings.admit(self.now_ms, content)
    }

    fn clear(&mut self, content: ContentKey) -> Option<Ruling> {
        self.record.clear(self.now_ms, content, &mut self.rulings)
    }
}

/// Who had begun on each of the upstreams that ended, and how the two contents stand then.
struct Case {
    crashes: &'static [&'static [ContentKey]],
    p: Standing,
    x: Standing,
}

/// One request ends one upstream after another. Others begin beside it, some more than once; each
/// crash blames all of them alike. The home has to find the one and let the others run.
#[rstest]
#[case::one_crash(Case { crashes: &[&[P, X]], p: Standing::Free, x: Standing::Free })]
#[case::two_crashes(Case { crashes: &[&[P], &[P, X]], p: Standing::OneAtATime, x: Standing::Free })]
#[case::three(Case { crashes: &[&[P], &[P], &[P]], p: Standing::Barred, x: Standing::Free })]
#[case::beside_two_of_three(
    Case { crashes: &[&[P, X], &[P, X], &[P]], p: Standing::Barred, x: Standing::Free }
)]
#[case::in_step(
    Case { crashes: &[&[P, X], &[P, X], &[P, X]], p: Standing::OneAtATime, x: Standing::OneAtATime }
)]
#[case::in_step_until_the_fourth(
    Case {
        crashes: &[&[P, X], &[P, X], &[P, X], &[P]],
        p: Standing::Barred,
        x: Standing::Free,
    }
)]
#[case::two_that_end_upstreams(
    Case {
        crashes: &[&[P, X], &[P], &[X], &[P], &[X], &[X]],
        p: Standing::Barred,
        x: Standing::Barred,
    }
)]
fn finds_what_ends_upstreams(#[case] case: Case) {
    for all_at_once in [false, true] {
        let mut home = Home::default();
        for (upstream, contents) in case.crashes.iter().enumerate() {
            home.crash(upstream as u64, contents);
            if !all_at_once {
                home.settle();
            }
        }
        home.settle();
        assert_eq!(home.standing(P), case.p, "at once: {all_at_once}");
        assert_eq!(home.standing(X), case.x, "at once: {all_at_once}");
    }
}

/// Two requests were sent on in step and are blamed alike. One is let run and ends well: it is free
/// at once, and the other one is barred without another crash.
#[test]
fn an_answer_tells_two_in_step_apart() {
    let mut home = Home::default();
    for upstream in 0..3 {
        home.crash(upstream, &[P, X]);
    }
    home.settle();
    assert_eq!(home.admit(X), Admission::AskHome);
    assert!(home.record.grant(home.now_ms, X));
    let freed = home.clear(X).expect("it had a ruling");
    assert_eq!(freed.standing, Standing::Free);
    assert!(home.record.has_unjudged());
    home.settle();
    assert_eq!(home.standing(P), Standing::Barred);
}

/// A caller comes again four times a second, so that the next crash is reported before the one before has
/// settled. Ruled on only once reports stop, its content ended whatever there was; each crash settles
/// by itself.
#[test]
fn crashes_in_quick_succession_are_ruled_on() {
    let mut home = Home::default();
    let mut crashes = 0;
    while !matches!(home.admit(P), Admission::Refused { .. }) {
        if home.now_ms.is_multiple_of(250) && home.admit(P) == Admission::Free {
            home.crash(crashes, &[P]);
            crashes += 1;
        }
        home.now_ms += 50;
        home.record.judge(home.now_ms, &mut home.rulings);
        assert!(home.now_ms < 3_000, "{crashes} crashes and no bar");
        if home.admit(P) == Admission::AskHome && home.record.grant(home.now_ms, P) {
            home.crash(crashes, &[P]);
            crashes += 1;
        }
    }
    assert!(crashes <= 4, "{crashes}");
}

/// One at a time: a second try waits until the first has ended well, or may be taken for lost.
#[test]
fn one_runs_at_a_time() {
    let mut home = Home::default();
    home.crash(0, &[P]);
    home.crash(1, &[P]);
    home.settle();
    assert!(home.record.grant(home.now_ms, P));
    assert!(!home.record.grant(home.now_ms + 4_999, P));
    assert!(home.record.grant(home.now_ms + 5_000, P));
    home.now_ms += 5_000;
    home.clear(P);
    assert_eq!(home.admit(P), Admission::Free);
}

/// Reports of one crash come from several hosts, and for several tries of one caller.
#[test]
fn one_crash_counts_once() {
    let mut home = Home::default();
    for _ in 0..5 {
        home.crash(7, &[P]);
    }
    home.settle();
    assert_eq!(home.standing(P), Standing::Free);
}

/// A report that comes late, of a crash whose cause is known, blames nobody else.
#[test]
fn a_known_cause_is_the_only_one() {
    let mut home = Home::default();
    for upstream in 0..3 {
        home.crash(upstream, &[P]);
    }
    home.settle();
    for upstream in 0..3 {
        home.crash(upstream, &[X]);
    }
    assert!(home.settle().is_empty());
    assert_eq!(home.standing(X), Standing::Free);
}

/// Requests that were on their way as their content was barred end upstreams still. The term stays
/// as it is; only a crash after it makes the next one longer.
#[test]
fn terms_grow_by_crashes_after_them() {
    let mut home = Home::default();
    for upstream in 0..3 {
        home.crash(upstream, &[P]);
    }
    home.settle();
    let until_ms = home.now_ms + FIRST_TERM_MS;
    home.crash(3, &[P]);
    assert!(home.settle().is_empty());
    let retry_after_ms = until_ms - home.now_ms;
    assert_eq!(home.admit(P), Admission::Refused { retry_after_ms });
    home.now_ms = until_ms;
    assert_eq!(home.admit(P), Admission::AskHome);
    home.crash(4, &[P]);
    home.settle();
    let retry_after_ms = 12 * FIRST_TERM_MS;
    assert_eq!(home.admit(P), Admission::Refused { retry_after_ms });
}

/// A host that becomes home has the rulings alone. The next crash bars, as at the home before.
#[test]
fn a_new_home_goes_on_from_the_rulings() {
    let mut before = Home::default();
    before.crash(0, &[P]);
    before.crash(1, &[P]);
    let rulings = before.settle();
    let mut home = Home::default();
    for ruling in rulings {
        assert!(home.rulings.adopt(0, ruling));
    }
    home.crash(1, &[P]);
    home.settle();
    assert_eq!(home.standing(P), Standing::OneAtATime, "a crash told again");
    home.crash(2, &[P]);
    home.settle();
    assert_eq!(home.standing(P), Standing::Barred);
}

/// Hosts hear of rulings in any order and more than once, and from two homes at once.
#[test]
fn all_hosts_come_to_hold_the_same() {
    let ruling = |turn, standing| Ruling {
        content: P,
        turn,
        standing,
        bars: 1,
        crashes: Vec::new(),
        age_ms: 0,
    };
    let told = [
        ruling(1, Standing::OneAtATime),
        ruling(2, Standing::OneAtATime),
        ruling(2, Standing::Barred),
    ];
    let mut digests = Vec::new();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut rulings = Rulings::default();
        for place in order {
            rulings.adopt(0, told[place].clone());
            assert!(!rulings.adopt(0, told[place].clone()), "told twice");
        }
        assert_eq!(rulings.find(P), Some(&told[2]));
        digests.push(rulings.digest(0));
    }
    assert!(digests.windows(2).all(|pair| pair[0] == pair[1]));
    let mut forgetting = Rulings::default();
    forgetting.adopt(0, told[2].clone());
    assert_eq!(forgetting.digest(86_400_000), 0, "forgotten after a day");
    let old = Ruling {
        age_ms: 86_400_000,
        ..told[2].clone()
    };
    assert!(
        !forgetting.adopt(0, old),
        "not taken back from a slower host"
    );
}

/// Somebody sends contents without end, each of which ends an upstream. Nothing grows with them.
#[test]
fn memory_is_bounded() {
    let mut home = Home::default();
    for number in 0..10_000 {
        let content = ContentKey(number);
        home.now_ms += 1;
        home.crash(number, &[content]);
        let ruling = Ruling {
            content,
            turn: 1,
            standing: Standing::Barred,
            bars: 1,
            crashes: Vec::new(),
            age_ms: 0,
        };
        home.rulings.adopt(home.now_ms, ruling);
    }
    assert!(home.rulings.all(home.now_ms).len() <= 1_024);
    let text = format!("{:?}", home.record);
    assert!(text.matches("Suspect {").count() <= 4_096);
}

/// Another writer has left a bar in the store that no home would write. It takes no more memory than
/// others, and an answer frees its content all the same.
#[test]
fn a_strange_bar_does_no_harm() {
    let mut home = Home::default();
    let strange = Ruling {
        content: P,
        turn: 1,
        standing: Standing::Barred,
        bars: u32::MAX,
        crashes: (0..100_000).map(UpstreamKey).collect(),
        age_ms: 0,
    };
    assert!(home.rulings.adopt(0, strange));
    let kept = home.rulings.find(P).expect("it is kept");
    assert!(kept.crashes.len() <= 8);
    assert!(matches!(home.admit(P), Admission::Refused { .. }));
    home.now_ms = 86_399_999;
    home.crash(100_000, &[P]);
    home.settle();
    home.clear(P).expect("it had a ruling");
    assert_eq!(home.admit(P), Admission::Free);
}

/// A content that ended well lately is no cause. Its word is forgotten after a while.
#[test]
fn an_answer_is_an_alibi_for_a_while() {
    let mut alibis = Alibis::default();
    alibis.note(0, P);
    assert!(alibis.has(29_999, P));
    assert!(alibis.has(45_000, P));
    assert!(!alibis.has(75_000, P));
    assert!(!alibis.has(75_000, X));
}

/// Guards against a content that is barred once more for crashes it was barred for already, as another
/// one that was on the same upstream ends well.
#[test]
fn anothers_answer_bars_nobody_once_more() {
    let mut home = Home::default();
    let crashes: [&[ContentKey]; 6] = [&[P, X], &[P], &[X], &[P], &[X], &[X]];
    for (upstream, contents) in crashes.into_iter().enumerate() {
        home.crash(upstream as u64, contents);
        home.settle();
    }
    assert_eq!(
        (home.standing(P), home.standing(X)),
        (Standing::Barred, Standing::Barred)
    );
    // Requests of both were on their way to one upstream.
    home.crash(6, &[P, X]);
    home.settle();
    home.now_ms += FIRST_TERM_MS;
    assert_eq!(home.admit(P), Admission::AskHome);
    assert!(home.record.grant(home.now_ms, X));
    home.clear(X).expect("it had a ruling");
    assert!(home.settle().is_empty(), "nothing has crashed since");
    assert_eq!(home.admit(P), Admission::AskHome);
}
