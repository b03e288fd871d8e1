//! Rate at which request starts are granted.

use fulmarpath_policy::Pacer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The operator's bound applies to windows of this length.
const WINDOW_MS: u64 = 4_000;

struct Rate {
    per_s: f32,
    /// Interval between two attempts.
    step_ms: usize,
    /// Minimum number of starts in a minute, so that the rate is fully used.
    min_starts_per_minute: usize,
}

fn granted_ms(rate: &Rate) -> Vec<u64> {
    let mut pacer = Pacer::default();
    let attempts_ms = (0..60_000).step_by(rate.step_ms);
    attempts_ms
        .filter(|now_ms| pacer.grant(*now_ms, rate.per_s).is_ok())
        .collect()
}

/// Asserts that no window has more starts than the operator allows.
fn assert_within_bound(per_s: f32, granted_ms: &[u64]) {
    let max_starts = (per_s * WINDOW_MS as f32 / 1_000.0 * 1.5 + 5.0) as usize;
    for from_ms in granted_ms {
        let window = *from_ms..from_ms + WINDOW_MS;
        let count = granted_ms.iter().filter(|at| window.contains(at)).count();
        assert!(
            count <= max_starts,
            "{count} from {from_ms} ms on, {max_starts} are allowed"
        );
    }
}

/// Guards against an upstream that gets more than its limit in some window, or much less.
#[rstest]
#[case::slow(Rate { per_s: 0.4, step_ms: 7, min_starts_per_minute: 24 })]
#[case::usual(Rate { per_s: 2.9, step_ms: 3, min_starts_per_minute: 172 })]
#[case::rare_attempts(Rate { per_s: 3.5, step_ms: 250, min_starts_per_minute: 200 })]
#[case::fast(Rate { per_s: 80.0, step_ms: 1, min_starts_per_minute: 4_760 })]
#[case::nothing_at_all(Rate { per_s: 0.0, step_ms: 7, min_starts_per_minute: 12 })]
fn a_rate_is_kept_and_used(#[case] rate: Rate) {
    let granted_ms = granted_ms(&rate);
    assert_within_bound(rate.per_s, &granted_ms);
    assert!(
        granted_ms.len() >= rate.min_starts_per_minute,
        "{}",
        granted_ms.len()
    );
}

/// Guards against callers that are told to retry before a start is available.
#[test]
fn the_wait_is_exact() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.grant(1_000, 2.0), Ok(()));
    assert_eq!(pacer.grant(1_000, 2.0), Ok(()));
    assert_eq!(pacer.grant(1_100, 2.0), Err(400));
    assert_eq!(pacer.grant(1_499, 2.0), Err(1));
    assert_eq!(pacer.grant(1_500, 2.0), Ok(()));
}

/// Guards against unused starts that accumulate and hit an overloaded upstream as a burst.
#[test]
fn unused_starts_do_not_accumulate() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.grant(0, 4.0), Ok(()));
    let burst = (0..20).filter(|_| pacer.grant(60_000, 4.0).is_ok());
    assert_eq!(burst.count(), 3);
}

struct Shares {
    per_s: f32,
    hosts: usize,
    /// Interval between two attempts of one host.
    step_ms: usize,
}

/// Guards against hosts that all begin with a start at the same time when they split a rate
/// without coordination.
#[rstest]
#[case::few(Shares { per_s: 3.0, hosts: 9, step_ms: 200 })]
#[case::many(Shares { per_s: 3.0, hosts: 410, step_ms: 700 })]
#[case::many_and_fast(Shares { per_s: 80.0, hosts: 410, step_ms: 50 })]
fn shares_together_stay_within_the_rate(#[case] shares: Shares) {
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
    assert_within_bound(shares.per_s, &granted_ms);
    assert!(!granted_ms.is_empty());
}

struct Succession {
    per_s: f32,
    /// How long both grant starts, until the earlier home learns of its successor.
    overlap_ms: u64,
}

/// Guards against exceeding the bound whenever another host takes over that doesn't know the
/// starts granted before.
#[rstest]
#[case::at_once(Succession { per_s: 3.0, overlap_ms: 0 })]
#[case::both_for_a_second(Succession { per_s: 3.0, overlap_ms: 1_000 })]
#[case::both_for_a_second_of_a_high_rate(Succession { per_s: 80.0, overlap_ms: 1_000 })]
fn a_change_of_the_home_keeps_the_bound(#[case] case: Succession) {
    const TAKEOVER_MS: u64 = 10_000;
    let mut homes = [Pacer::default(), Pacer::default()];
    let mut granted_ms = Vec::new();
    for now_ms in 0..20_000 {
        let is_home = [
            now_ms < TAKEOVER_MS + case.overlap_ms,
            now_ms >= TAKEOVER_MS,
        ];
        for (home, is_home) in homes.iter_mut().zip(is_home) {
            if is_home && home.grant(now_ms, case.per_s).is_ok() {
                granted_ms.push(now_ms);
            }
        }
    }
    assert_within_bound(case.per_s, &granted_ms);
}
