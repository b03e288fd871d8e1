//! What an upstream asks of its callers, as one host has heard it.

use fulmarpath_policy::{Backpressure, Signals};
use rstest::rstest;

const LIMITED: Signals = Signals {
    limit_per_s: Some(3.0),
    is_leaving: false,
    rest_ms: None,
};
const LEAVING: Signals = Signals {
    limit_per_s: None,
    is_leaving: true,
    rest_ms: None,
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
    asked.hear(1_000, LIMITED);
    asked.hear_limit(told.per_s, told.heard_ms);
    assert_eq!(asked.limit_per_s(), told.limit_per_s);
    asked.hear(2_000, Signals::default());
    asked.hear_limit(told.per_s, told.heard_ms);
    assert_eq!(asked.limit_per_s(), None);
}

/// Guards against an upstream that is left alone after its limit is over.
#[test]
fn nothing_is_held_back_behind_a_limit() {
    let mut asked = Backpressure::default();
    asked.hear(1_000, LIMITED);
    asked.hold(1_400);
    assert!(asked.opens_ms() > 1_399);
    assert!(asked.opens_ms() <= 1_400);
    asked.hold(9_000);
    asked.hear(1_500, Signals::default());
    assert!(asked.opens_ms() <= 1_500);
}

/// Guards against a late answer without the word, which would bring one that leaves back.
#[test]
fn one_that_leaves_stays_closed() {
    let mut asked = Backpressure::default();
    asked.hear(1_000, LEAVING);
    asked.hear(1_100, Signals::default());
    assert!(asked.is_closed(600_000));
}
