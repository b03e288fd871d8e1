//! Poison requests: who is suspected, who is let run, and for how long.

use fulmarpath_policy::{
    Admission, Circuit, CircuitState, Circuits, ContentKey, CrashRecord, Millis, RecentSuccesses,
    Restoration, UpstreamKey,
};
use rstest::rstest;

/// After this the reports of a crash are in.
const SETTLED_MS: Millis = 300;
const FIRST_OPEN_MS: Millis = 300_000;
const P: ContentKey = ContentKey(1);
const X: ContentKey = ContentKey(2);

/// A home with its circuits.
#[derive(Default)]
struct Home {
    record: CrashRecord,
    circuits: Circuits,
    now_ms: Millis,
}

impl Home {
    /// An upstream ends; these contents had just begun there.
    fn crash(&mut self, upstream: u64, contents: &[ContentKey]) {
        for content in contents {
            let upstream = UpstreamKey(upstream);
            self.record.report(self.now_ms, *content, upstream);
        }
    }

    fn settle(&mut self) -> Vec<Circuit> {
        self.now_ms += SETTLED_MS;
        self.record.evaluate(self.now_ms, &mut self.circuits)
    }

    fn state(&self, content: ContentKey) -> CircuitState {
        let circuit = self.circuits.find(content);
        circuit.map_or(CircuitState::Closed, |circuit| circuit.state)
    }

    fn admit(&self, content: ContentKey) -> Admission {
        self.circuits.admit(self.now_ms, content)
    }

    fn clear(&mut self, content: ContentKey) -> Option<Circuit> {
        self.record.clear(self.now_ms, content, &mut self.circuits)
    }
}

/// Who had begun on each of the upstreams that ended, and how the two contents stand then.
struct Case {
    crashes: &'static [&'static [ContentKey]],
    p: CircuitState,
    x: CircuitState,
}

/// One request ends one upstream after another. Others begin beside it, some more than once; each
/// crash makes all of them suspects alike. The home has to find the one and let the others run.
#[rstest]
#[case::one_crash(Case { crashes: &[&[P, X]], p: CircuitState::Closed, x: CircuitState::Closed })]
#[case::two_crashes(Case { crashes: &[&[P], &[P, X]], p: CircuitState::HalfOpen, x: CircuitState::Closed })]
#[case::three(Case { crashes: &[&[P], &[P], &[P]], p: CircuitState::Open, x: CircuitState::Closed })]
#[case::beside_two_of_three(
    Case { crashes: &[&[P, X], &[P, X], &[P]], p: CircuitState::Open, x: CircuitState::Closed }
)]
#[case::in_step(
    Case { crashes: &[&[P, X], &[P, X], &[P, X]], p: CircuitState::HalfOpen, x: CircuitState::HalfOpen }
)]
#[case::in_step_until_the_fourth(
    Case {
        crashes: &[&[P, X], &[P, X], &[P, X], &[P]],
        p: CircuitState::Open,
        x: CircuitState::Closed,
    }
)]
#[case::two_that_end_upstreams(
    Case {
        crashes: &[&[P, X], &[P], &[X], &[P], &[X], &[X]],
        p: CircuitState::Open,
        x: CircuitState::Open,
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
        assert_eq!(home.state(P), case.p, "at once: {all_at_once}");
        assert_eq!(home.state(X), case.x, "at once: {all_at_once}");
    }
}

/// Two requests were sent on in step and are suspected alike. One is let run and ends well: its circuit
/// closes at once, and the other one's opens without another crash.
#[test]
fn an_answer_tells_two_in_step_apart() {
    let mut home = Home::default();
    for upstream in 0..3 {
        home.crash(upstream, &[P, X]);
    }
    home.settle();
    assert_eq!(home.admit(X), Admission::NeedsProbe);
    assert!(home.record.grant_probe(home.now_ms, X));
    let freed = home.clear(X).expect("it had a circuit");
    assert_eq!(freed.state, CircuitState::Closed);
    assert!(home.record.has_unevaluated());
    home.settle();
    assert_eq!(home.state(P), CircuitState::Open);
}

/// A caller comes again four times a second, so that the next crash is reported before the one before has
/// settled. Ruled on only once reports stop, its content ended whatever there was; each crash settles
/// by itself.
#[test]
fn crashes_in_quick_succession_are_decided_on() {
    let mut home = Home::default();
    let mut crashes = 0;
    while !matches!(home.admit(P), Admission::Refused { .. }) {
        if home.now_ms.is_multiple_of(250) && home.admit(P) == Admission::Allowed {
            home.crash(crashes, &[P]);
            crashes += 1;
        }
        home.now_ms += 50;
        home.record.evaluate(home.now_ms, &mut home.circuits);
        assert!(home.now_ms < 3_000, "{crashes} crashes, and it is not open");
        if home.admit(P) == Admission::NeedsProbe && home.record.grant_probe(home.now_ms, P) {
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
    assert!(home.record.grant_probe(home.now_ms, P));
    assert!(!home.record.grant_probe(home.now_ms + 4_999, P));
    assert!(home.record.grant_probe(home.now_ms + 5_000, P));
    home.now_ms += 5_000;
    home.clear(P);
    assert_eq!(home.admit(P), Admission::Allowed);
}

/// Reports of one crash come from several hosts, and for several tries of one caller.
#[test]
fn one_crash_counts_once() {
    let mut home = Home::default();
    for _ in 0..5 {
        home.crash(7, &[P]);
    }
    home.settle();
    assert_eq!(home.state(P), CircuitState::Closed);
}

/// A report that comes late, of a crash whose cause is known, makes nobody else a suspect.
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
    assert_eq!(home.state(X), CircuitState::Closed);
}

/// Requests that were on their way as their circuit opened end upstreams still. The time stays
/// as it is; only a crash after it makes the next one longer.
#[test]
fn open_times_grow_by_crashes_after_them() {
    let mut home = Home::default();
    for upstream in 0..3 {
        home.crash(upstream, &[P]);
    }
    home.settle();
    let until_ms = home.now_ms + FIRST_OPEN_MS;
    home.crash(3, &[P]);
    assert!(home.settle().is_empty());
    let retry_after_ms = until_ms - home.now_ms;
    assert_eq!(home.admit(P), Admission::Refused { retry_after_ms });
    home.now_ms = until_ms;
    assert_eq!(home.admit(P), Admission::NeedsProbe);
    home.crash(4, &[P]);
    home.settle();
    let retry_after_ms = 12 * FIRST_OPEN_MS;
    assert_eq!(home.admit(P), Admission::Refused { retry_after_ms });
}

/// A host that becomes home has the circuits alone. The next crash openings, as at the home before.
#[test]
fn a_new_home_goes_on_from_the_circuits() {
    let mut before = Home::default();
    before.crash(0, &[P]);
    before.crash(1, &[P]);
    let circuits = before.settle();
    let mut home = Home::default();
    for circuit in circuits {
        assert!(home.circuits.adopt(0, circuit));
    }
    home.crash(1, &[P]);
    home.settle();
    assert_eq!(home.state(P), CircuitState::HalfOpen, "a crash told again");
    home.crash(2, &[P]);
    home.settle();
    assert_eq!(home.state(P), CircuitState::Open);
}

/// Hosts hear of circuits in any order and more than once, and from two homes at once.
#[test]
fn all_hosts_come_to_hold_the_same() {
    let circuit = |version, state| Circuit {
        content: P,
        version,
        state,
        openings: 1,
        crashes: Vec::new(),
        age_ms: 0,
    };
    let told = [
        circuit(1, CircuitState::HalfOpen),
        circuit(2, CircuitState::HalfOpen),
        circuit(2, CircuitState::Open),
    ];
    let mut digests = Vec::new();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut circuits = Circuits::default();
        for place in order {
            circuits.adopt(0, told[place].clone());
            assert!(!circuits.adopt(0, told[place].clone()), "told twice");
        }
        assert_eq!(circuits.find(P), Some(&told[2]));
        digests.push(circuits.digest(0));
    }
    assert!(digests.windows(2).all(|pair| pair[0] == pair[1]));
    let mut forgetting = Circuits::default();
    forgetting.adopt(0, told[2].clone());
    assert_eq!(forgetting.digest(86_400_000), 0, "forgotten after a day");
    let old = Circuit {
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
        let circuit = Circuit {
            content,
            version: 1,
            state: CircuitState::Open,
            openings: 1,
            crashes: Vec::new(),
            age_ms: 0,
        };
        home.circuits.adopt(home.now_ms, circuit);
    }
    assert!(home.circuits.all(home.now_ms).len() <= 1_024);
    let text = format!("{:?}", home.record);
    assert!(text.matches("Suspect {").count() <= 4_096);
}

/// Another writer has left a circuit in the store that no home would write. It takes no more memory than
/// others, and an answer frees its content all the same.
#[test]
fn a_strange_circuit_does_no_harm() {
    let mut home = Home::default();
    let strange = Circuit {
        content: P,
        version: 1,
        state: CircuitState::Open,
        openings: u32::MAX,
        crashes: (0..100_000).map(UpstreamKey).collect(),
        age_ms: 0,
    };
    assert!(home.circuits.adopt(0, strange));
    let kept = home.circuits.find(P).expect("it is kept");
    assert!(kept.crashes.len() <= 8);
    assert!(matches!(home.admit(P), Admission::Refused { .. }));
    home.now_ms = 86_399_999;
    home.crash(100_000, &[P]);
    home.settle();
    home.clear(P).expect("it had a circuit");
    assert_eq!(home.admit(P), Admission::Allowed);
}

/// A content that ended well lately is no cause. Its word is forgotten after a while.
#[test]
fn a_success_counts_for_a_while() {
    let mut successes = RecentSuccesses::default();
    successes.record(0, P);
    assert!(successes.contains(29_999, P));
    assert!(successes.contains(45_000, P));
    assert!(!successes.contains(75_000, P));
    assert!(!successes.contains(75_000, X));
}

/// Guards against a circuit that opens once more for crashes it was opened for already, as another
/// one that was on the same upstream ends well.
#[test]
fn anothers_answer_opens_nothing_once_more() {
    let mut home = Home::default();
    let crashes: [&[ContentKey]; 6] = [&[P, X], &[P], &[X], &[P], &[X], &[X]];
    for (upstream, contents) in crashes.into_iter().enumerate() {
        home.crash(upstream as u64, contents);
        home.settle();
    }
    assert_eq!(
        (home.state(P), home.state(X)),
        (CircuitState::Open, CircuitState::Open)
    );
    // Requests of both were on their way to one upstream.
    home.crash(6, &[P, X]);
    home.settle();
    home.now_ms += FIRST_OPEN_MS;
    assert_eq!(home.admit(P), Admission::NeedsProbe);
    assert!(home.record.grant_probe(home.now_ms, X));
    home.clear(X).expect("it had a circuit");
    assert!(home.settle().is_empty(), "nothing has crashed since");
    assert_eq!(home.admit(P), Admission::NeedsProbe);
}

struct Mending {
    state: CircuitState,
    openings: u32,
    /// How often the stored circuit was opened; `None` where the store has none.
    stored: Option<u32>,
    writes: bool,
    removes: bool,
}

/// Guards against what homes have decided being lost, or there again, with a store that comes back from a
/// copy.
#[rstest]
#[case::lost(Mending { state: CircuitState::Open, openings: 1, stored: None, writes: true, removes: false })]
#[case::there(Mending { state: CircuitState::Open, openings: 1, stored: Some(1), writes: false, removes: false })]
#[case::opened_again(Mending { state: CircuitState::Open, openings: 2, stored: Some(1), writes: true, removes: false })]
#[case::lost_half_open(Mending { state: CircuitState::HalfOpen, openings: 1, stored: None, writes: true, removes: false })]
#[case::never_opened(Mending { state: CircuitState::HalfOpen, openings: 0, stored: None, writes: false, removes: false })]
#[case::closed_since(Mending { state: CircuitState::Closed, openings: 1, stored: Some(1), writes: false, removes: true })]
#[case::closed(Mending { state: CircuitState::Closed, openings: 1, stored: None, writes: false, removes: false })]
fn a_store_is_brought_to_what_is_known(#[case] case: Mending) {
    let content = ContentKey(7);
    let known = Circuit {
        content,
        version: 3,
        state: case.state,
        openings: case.openings,
        crashes: Vec::new(),
        age_ms: 0,
    };
    let stored = case.stored.map(|openings| (content, openings));
    let restoration = Restoration::of(vec![known], &stored.into_iter().collect());
    assert_eq!(!restoration.write.is_empty(), case.writes);
    assert_eq!(!restoration.remove.is_empty(), case.removes);
}
