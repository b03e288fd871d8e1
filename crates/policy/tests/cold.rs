//! Rate limit for requests to cold upstreams.

use fulmarpath_policy::{ColdBound, ColdStarts};
use rstest::rstest;

struct Rate {
    bound: ColdBound,
    per_second: f32,
    starts: u32,
}

/// Guards against two hosts that both act as the home and together grant more than is allowed.
#[rstest]
#[case::of_a_small_service(Rate { bound: ColdBound { overage: 1.5, slack: 5.0 }, per_second: 8.0, starts: 8 })]
#[case::of_engines(Rate { bound: ColdBound { overage: 1.5, slack: 5.0 }, per_second: 25.0, starts: 21 })]
#[case::no_slack(Rate { bound: ColdBound { overage: 1.0, slack: 0.0 }, per_second: 3.0, starts: 1 })]
#[case::at_least_one(Rate { bound: ColdBound { overage: 1.0, slack: 0.0 }, per_second: 0.0, starts: 1 })]
fn one_home_grants_half_of_the_limit(#[case] case: Rate) {
    assert_eq!(case.bound.starts_per_host(case.per_second), case.starts);
    let all = case.per_second * case.bound.overage + case.bound.slack;
    assert!(case.starts == 1 || case.starts as f32 * 2.0 <= all);
}

/// Guards against a burst across the boundary of two seconds: the limit holds for any window of
/// one second, not for seconds of the clock.
#[test]
fn no_window_exceeds_the_limit() {
    let mut starts = ColdStarts::default();
    let mut at_ms = Vec::new();
    for now_ms in (0..5_000).step_by(7) {
        if starts.grant(now_ms, 8).is_ok() {
            at_ms.push(now_ms);
        }
    }
    for from_ms in &at_ms {
        let second = *from_ms..*from_ms + 1_000;
        assert!(
            at_ms
                .iter()
                .filter(|start_ms| second.contains(start_ms))
                .count()
                <= 8
        );
    }
    assert!(at_ms.len() >= 36, "{} in five seconds", at_ms.len());
}

/// Guards against callers that are told to retry before a start is available.
#[test]
fn the_wait_is_exact() {
    let mut starts = ColdStarts::default();
    assert_eq!(starts.grant(100, 2), Ok(()));
    assert_eq!(starts.grant(400, 2), Ok(()));
    assert_eq!(starts.grant(500, 2), Err(600));
    assert_eq!(starts.grant(1_099, 2), Err(1));
    assert_eq!(starts.grant(1_100, 2), Ok(()));
}
