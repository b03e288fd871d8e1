//! Backpressure state that one host keeps of an upstream.

use fulmarpath_policy::{Backpressure, Signals};
use rstest::rstest;

const LIMITED: Signals = Signals {
    limit_per_s: Some(3.0),
    is_leaving: false,
    brittle_at: None,
    backoff_ms: None,
};
const LEAVING: Signals = Signals {
    limit_per_s: None,
    is_leaving: true,
    brittle_at: None,
    backoff_ms: None,
};

struct PeerLimit {
    /// The limit that another host received, and when.
    per_s: f32,
    updated_ms: u64,
    limit_per_s: Option<f32>,
}

/// Guards against an older limit from another host that restores an ended limit or overrides a
/// newer one.
#[rstest]
#[case::later(PeerLimit { per_s: 5.0, updated_ms: 1_001, limit_per_s: Some(5.0) })]
#[case::at_the_same_time(PeerLimit { per_s: 5.0, updated_ms: 1_000, limit_per_s: Some(3.0) })]
#[case::earlier(PeerLimit { per_s: 5.0, updated_ms: 400, limit_per_s: Some(3.0) })]
fn the_latest_limit_wins(#[case] peer: PeerLimit) {
    let mut backpressure = Backpressure::default();
    backpressure.update(1_000, LIMITED);
    backpressure.merge_limit(peer.per_s, peer.updated_ms);
    assert_eq!(backpressure.limit_per_s(), peer.limit_per_s);
    backpressure.update(2_000, Signals::default());
    backpressure.merge_limit(peer.per_s, peer.updated_ms);
    assert_eq!(backpressure.limit_per_s(), None);
}

/// Guards against a limit that a home keeps although another host knows that it has ended, and
/// against an older end that lifts a limit.
#[rstest]
#[case::later(1_001, None, 0)]
#[case::earlier(999, Some(3.0), 1_400)]
fn the_end_of_a_limit_is_adopted_from_other_hosts(
    #[case] ended_ms: u64,
    #[case] limit_per_s: Option<f32>,
    #[case] blocked_until_ms: u64,
) {
    let mut backpressure = Backpressure::default();
    backpressure.update(1_000, LIMITED);
    backpressure.throttle_until(1_400);
    backpressure.merge_limit_end(ended_ms);
    assert_eq!(backpressure.limit_per_s(), limit_per_s);
    assert_eq!(backpressure.blocked_until_ms(), blocked_until_ms);
    // A host that was told of the limit before asks for a start.
    backpressure.merge_limit(3.0, 900);
    assert_eq!(backpressure.limit_per_s(), limit_per_s);
}

/// Guards against an upstream that gets no requests after its limit has ended.
#[test]
fn throttling_ends_with_the_limit() {
    let mut backpressure = Backpressure::default();
    backpressure.update(1_000, LIMITED);
    backpressure.throttle_until(1_400);
    assert!(backpressure.blocked_until_ms() > 1_399);
    assert!(backpressure.blocked_until_ms() <= 1_400);
    backpressure.throttle_until(9_000);
    backpressure.update(1_500, Signals::default());
    assert!(backpressure.blocked_until_ms() <= 1_500);
}

/// Guards against a late response without the leaving signal that would reopen the upstream.
#[test]
fn a_leaving_upstream_stays_blocked() {
    let mut backpressure = Backpressure::default();
    backpressure.update(1_000, LEAVING);
    backpressure.update(1_100, Signals::default());
    assert!(backpressure.is_blocked(600_000));
}

fn backoff(backoff_ms: u64) -> Signals {
    Signals {
        backoff_ms: Some(backoff_ms),
        ..Signals::default()
    }
}

struct Backoffs {
    /// When responses arrived, and the backoff in each.
    responses: &'static [(u64, u64)],
    /// When the host may send again.
    ends_ms: u64,
}

/// Guards against a backoff that is cut short by a later response with a shorter one or none.
#[rstest]
#[case::one(Backoffs { responses: &[(1_000, 3_000)], ends_ms: 4_000 })]
#[case::a_shorter_one_later(Backoffs { responses: &[(1_000, 3_000), (1_100, 500)], ends_ms: 4_000 })]
#[case::a_longer_one_later(Backoffs { responses: &[(1_000, 3_000), (1_100, 5_000)], ends_ms: 6_100 })]
#[case::one_without_end(Backoffs { responses: &[(1_000, u64::MAX)], ends_ms: u64::MAX })]
fn the_longest_backoff_wins(#[case] case: Backoffs) {
    let mut backpressure = Backpressure::default();
    for (now_ms, backoff_ms) in case.responses {
        backpressure.update(*now_ms, backoff(*backoff_ms));
    }
    backpressure.update(1_200, Signals::default());
    assert!(backpressure.is_blocked(case.ends_ms - 1));
    assert!(!backpressure.is_blocked(case.ends_ms));
}

/// Guards against several generations that continue one after the other at an upstream during one
/// backoff period.
#[test]
fn one_generation_continues_per_backoff_period() {
    let mut backpressure = Backpressure::default();
    assert!(backpressure.may_continue(500));
    backpressure.update(1_000, backoff(3_000));
    assert!(backpressure.may_continue(1_100));
    assert!(!backpressure.may_continue(1_200));
    // The same backoff period, although it is requested again.
    backpressure.update(1_300, backoff(3_000));
    assert!(!backpressure.may_continue(1_400));
    assert!(backpressure.may_continue(4_300));
    backpressure.update(5_000, backoff(1_000));
    assert!(backpressure.may_continue(5_100));
}
