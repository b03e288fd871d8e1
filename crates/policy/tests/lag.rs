//! When a host asks a peer for all that it holds.

use fulmarpath_policy::{Lag, Revision};
use rstest::rstest;

/// The revision of a case: up to the provisional one in no era, then in one.
fn at(number: u64) -> Revision {
    Revision::new(u64::from(number > 1), number)
}

struct Case {
    /// When a peer was heard, what this host held, what the peer held.
    heard: &'static [(u64, u64, u64)],
    /// Whether the last of them makes this host ask.
    asks: bool,
}

/// Peers tell which version they hold. A host that starts asks at once; one that follows a steady
/// flow of news a little late never does; one that has missed news does after a while, and not
/// again before another.
#[rstest]
#[case::starts(Case { heard: &[(0, 0, 9)], asks: true })]
#[case::holds_something_provisional(Case { heard: &[(0, 1, 9)], asks: true })]
#[case::nothing_new(Case { heard: &[(0, 9, 9), (900, 9, 8)], asks: false })]
#[case::a_little_behind(Case { heard: &[(0, 8, 9), (250, 9, 9)], asks: false })]
#[case::always_a_little_behind(Case {
    heard: &[(0, 8, 9), (250, 18, 19), (500, 28, 29), (750, 38, 39)],
    asks: false,
})]
#[case::missed_something(Case { heard: &[(0, 8, 9), (250, 8, 19), (500, 8, 29)], asks: true })]
#[case::asked_just_now(Case {
    heard: &[(0, 8, 9), (300, 8, 19), (400, 8, 29)],
    asks: false,
})]
#[case::asks_again(Case { heard: &[(0, 8, 9), (300, 8, 19), (600, 8, 29)], asks: true })]
fn asks_only_where_it_missed_something(#[case] case: Case) {
    let mut lag = Lag::default();
    let mut asks = false;
    for (now_ms, own, theirs) in case.heard {
        asks = lag.should_fetch(*now_ms, at(*own), at(*theirs), Revision::new(0, 1), 300);
    }
    assert_eq!(asks, case.asks);
}
