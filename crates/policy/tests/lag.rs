//! When a host fetches a peer's complete list.

use fulmarpath_policy::{Lag, Revision};
use rstest::rstest;

/// The revision of a case: era 0 up to the provisional revision, era 1 after it.
fn at(number: u64) -> Revision {
    Revision::new(u64::from(number > 1), number)
}

struct Case {
    /// When a ping arrived, the number that this host held, and the peer's.
    pings: &'static [(u64, u64, u64)],
    /// Whether the last ping makes this host fetch the list.
    fetches: bool,
}

/// Guards against fetching the complete list at each ping of a peer that is slightly ahead. A
/// starting host fetches at once. One that follows a steady flow of updates with a short delay
/// never does. One that has missed an update fetches after the bound, and again only when the bound
/// has passed once more.
#[rstest]
#[case::starts(Case { pings: &[(0, 0, 9)], fetches: true })]
#[case::holds_a_provisional_revision(Case { pings: &[(0, 1, 9)], fetches: true })]
#[case::nothing_new(Case { pings: &[(0, 9, 9), (900, 9, 8)], fetches: false })]
#[case::a_little_behind(Case { pings: &[(0, 8, 9), (250, 9, 9)], fetches: false })]
#[case::always_a_little_behind(Case {
    pings: &[(0, 8, 9), (250, 18, 19), (500, 28, 29), (750, 38, 39)],
    fetches: false,
})]
#[case::missed_an_update(Case { pings: &[(0, 8, 9), (250, 8, 19), (500, 8, 29)], fetches: true })]
#[case::fetched_just_now(Case {
    pings: &[(0, 8, 9), (300, 8, 19), (400, 8, 29)],
    fetches: false,
})]
#[case::fetches_again(Case { pings: &[(0, 8, 9), (300, 8, 19), (600, 8, 29)], fetches: true })]
fn fetches_only_after_a_missed_update(#[case] case: Case) {
    let mut lag = Lag::default();
    let mut fetches = false;
    for (now_ms, own, theirs) in case.pings {
        fetches = lag.should_fetch(*now_ms, at(*own), at(*theirs), Revision::new(0, 1), 300);
    }
    assert_eq!(fetches, case.fetches);
}
