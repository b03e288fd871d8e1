//! At which rate starts are handed out.

use fulmarpath_policy::Pacer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The operator's bound on a limit counts over this span.
const SPAN_MS: u64 = 4_000;

struct Rate {
    per_s: f32,
    /// Between two questions.
    step_ms: usize,
    /// Starts of a long time at least: the rate is used, not a part of it.
    least_in_a_minute: usize,
}

fn granted_ms(rate: &Rate) -> Vec<u64> {
    let mut pacer = Pacer::default();
    let asked_ms = (0..60_000).step_by(rate.step_ms);
    asked_ms
        .filter(|now_ms| pacer.grant(*now_ms, rate.per_s).is_ok())
        .collect()
}

/// In no span there are more starts than the operator allows.
fn assert_keeps(per_s: f32, granted_ms: &[u64]) {
    let most = (per_s * SPAN_MS as f32 / 1_000.0 * 1.5 + 5.0) as usize;
    for from_ms in granted_ms {
        let span = *from_ms..from_ms + SPAN_MS;
        let count = granted_ms.iter().filter(|at| span.contains(at)).count();
        assert!(
            count <= most,
            "{count} from {from_ms} ms on, {most} are allowed"
        );
    }
}

/// Guards against an upstream that gets more than it takes in some span, or much less than that.
#[rstest]
#[case::slow(Rate { per_s: 0.4, step_ms: 7, least_in_a_minute: 24 })]
#[case::usual(Rate { per_s: 2.9, step_ms: 3, least_in_a_minute: 172 })]
#[case::rarely_asked(Rate { per_s: 3.5, step_ms: 250, least_in_a_minute: 200 })]
#[case::fast(Rate { per_s: 80.0, step_ms: 1, least_in_a_minute: 4_760 })]
#[case::nothing_at_all(Rate { per_s: 0.0, step_ms: 7, least_in_a_minute: 12 })]
fn a_rate_is_kept_and_used(#[case] rate: Rate) {
    let granted_ms = granted_ms(&rate);
    assert_keeps(rate.per_s, &granted_ms);
    assert!(
        granted_ms.len() >= rate.least_in_a_minute,
        "{}",
        granted_ms.len()
    );
}

/// Guards against callers that are told to come back before there is a start for them.
#[test]
fn the_wait_is_true() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.grant(1_000, 2.0), Ok(()));
    assert_eq!(pacer.grant(1_000, 2.0), Ok(()));
    assert_eq!(pacer.grant(1_100, 2.0), Err(400));
    assert_eq!(pacer.grant(1_499, 2.0), Err(1));
    assert_eq!(pacer.grant(1_500, 2.0), Ok(()));
}

/// Guards against a rest that is saved up: an upstream in need gets no crowd after it.
#[test]
fn what_was_not_used_is_not_saved() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.grant(0, 4.0), Ok(()));
    let burst = (0..20).filter(|_| pacer.grant(60_000, 4.0).is_ok());
    assert_eq!(burst.count(), 3);
}

struct Shares {
    per_s: f32,
    hosts: usize,
    /// Between two questions of one host.
    step_ms: usize,
}

/// Guards against hosts that each begin with a start of their own where nobody hands them out.
#[rstest]
#[case::few(Shares { per_s: 3.0, hosts: 9, step_ms: 200 })]
#[case::many(Shares { per_s: 3.0, hosts: 410, step_ms: 700 })]
#[case::many_and_fast(Shares { per_s: 80.0, hosts: 410, step_ms: 50 })]
fn shares_together_keep_the_rate(#[case] shares: Shares) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut granted_ms = Vec::new();
    for _ in 0..shares.hosts {
        let mut pacer = Pacer::default();
        let first_ms = rng.random_range(0..shares.step_ms as u64);
        for now_ms in (first_ms..60_000).step_by(shares.step_ms) {
            let draw = rng.random();
            let granted = pacer.grant_share(now_ms, shares.per_s, shares.hosts, draw);
            granted_ms.extend(granted.ok().map(|()| now_ms));
        }
    }
    assert_keeps(shares.per_s, &granted_ms);
    assert!(!granted_ms.is_empty());
}

struct Succession {
    per_s: f32,
    /// How long both hand out starts, before the earlier home has heard of its successor.
    overlap_ms: u64,
}

/// Guards against a bound that is broken whenever another host takes over, which knows nothing of what was
/// handed out.
#[rstest]
#[case::at_once(Succession { per_s: 3.0, overlap_ms: 0 })]
#[case::both_for_a_second(Succession { per_s: 3.0, overlap_ms: 1_000 })]
#[case::both_for_a_second_of_a_high_rate(Succession { per_s: 80.0, overlap_ms: 1_000 })]
fn another_home_keeps_the_bound(#[case] case: Succession) {
    const TAKES_OVER_MS: u64 = 10_000;
    let mut homes = [Pacer::default(), Pacer::default()];
    let mut granted_ms = Vec::new();
    for now_ms in 0..20_000 {
        let is_home = [
            now_ms < TAKES_OVER_MS + case.overlap_ms,
            now_ms >= TAKES_OVER_MS,
        ];
        for (home, is_home) in homes.iter_mut().zip(is_home) {
            if is_home && home.grant(now_ms, case.per_s).is_ok() {
                granted_ms.push(now_ms);
            }
        }
    }
    assert_keeps(case.per_s, &granted_ms);
}
