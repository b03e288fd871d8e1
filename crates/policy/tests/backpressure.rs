//! What an upstream asks of its callers, as one host has heard it.

use fulmarpath_policy::{Backpressure, Signals};
use rstest::rstest;

const LIMITED: Signals = Signals {
    limit_per_s: Some(3.0),
    is_leaving: false,
    backoff_ms: None,
};
const LEAVING: Signals = Signals {
    limit_per_s: None,
    is_leaving: true,
    backoff_ms: None,
};

struct Told {
    /// What another host was told, and when.
    per_s: f32,
    heard_ms: u64,
    limit_per_s: Option<f32>,
}

/// Guards against an old word of another host that brings a limit back which is over, or undoes a newer one.
#[rstest]
#[case::later(Told { per_s: 5.0, heard_ms: 1_001, limit_per_s: Some(5.0) })]
#[case::at_the_same_time(Told { per_s: 5.0, heard_ms: 1_000, limit_per_s: Some(3.0) })]
#[case::earlier(Told { per_s: 5.0, heard_ms: 400, limit_per_s: Some(3.0) })]
fn the_newest_word_on_a_limit_counts(#[case] told: Told) {
    let mut asked = Backpressure::default();
    asked.update(1_000, LIMITED);
    asked.merge_limit(told.per_s, told.heard_ms);
    assert_eq!(asked.limit_per_s(), told.limit_per_s);
    asked.update(2_000, Signals::default());
    asked.merge_limit(told.per_s, told.heard_ms);
    assert_eq!(asked.limit_per_s(), None);
}

/// Guards against an upstream that is left alone after its limit is over.
#[test]
fn nothing_is_held_back_behind_a_limit() {
    let mut asked = Backpressure::default();
    asked.update(1_000, LIMITED);
    asked.throttle_until(1_400);
    assert!(asked.blocked_until_ms() > 1_399);
    assert!(asked.blocked_until_ms() <= 1_400);
    asked.throttle_until(9_000);
    asked.update(1_500, Signals::default());
    assert!(asked.blocked_until_ms() <= 1_500);
}

/// Guards against a late answer without the word, which would bring one that leaves back.
#[test]
fn one_that_leaves_stays_closed() {
    let mut asked = Backpressure::default();
    asked.update(1_000, LEAVING);
    asked.update(1_100, Signals::default());
    assert!(asked.is_blocked(600_000));
}

fn rest(rest_ms: u64) -> Signals {
    Signals {
        backoff_ms: Some(rest_ms),
        ..Signals::default()
    }
}

struct Rests {
    /// When answers came, and for how long each asked for rest.
    asked: &'static [(u64, u64)],
    /// When the host may send again.
    over_ms: u64,
}

/// Guards against a rest that a later answer, with a shorter one or with none, cuts off.
#[rstest]
#[case::one(Rests { asked: &[(1_000, 3_000)], over_ms: 4_000 })]
#[case::a_shorter_one_later(Rests { asked: &[(1_000, 3_000), (1_100, 500)], over_ms: 4_000 })]
#[case::a_longer_one_later(Rests { asked: &[(1_000, 3_000), (1_100, 5_000)], over_ms: 6_100 })]
#[case::one_without_end(Rests { asked: &[(1_000, u64::MAX)], over_ms: u64::MAX })]
fn the_longest_rest_counts(#[case] case: Rests) {
    let mut asked = Backpressure::default();
    for (now_ms, rest_ms) in case.asked {
        asked.update(*now_ms, rest(*rest_ms));
    }
    asked.update(1_200, Signals::default());
    assert!(asked.is_blocked(case.over_ms - 1));
    assert!(!asked.is_blocked(case.over_ms));
}

/// Guards against generations that go on one after the other at an upstream that rests, each of them the
/// only one in its host's eyes.
#[test]
fn one_generation_goes_on_in_a_rest() {
    let mut asked = Backpressure::default();
    assert!(asked.may_continue(500));
    asked.update(1_000, rest(3_000));
    assert!(asked.may_continue(1_100));
    assert!(!asked.may_continue(1_200));
    // The same rest, though it is asked for once more.
    asked.update(1_300, rest(3_000));
    assert!(!asked.may_continue(1_400));
    assert!(asked.may_continue(4_300));
    asked.update(5_000, rest(1_000));
    assert!(asked.may_continue(5_100));
}
