//! Anti-entropy of membership: when hosts exchange their member lists.

use fulmarpath_policy::Drift;
use rstest::rstest;

struct Case {
    /// When a ping of a peer arrived, and whether its member list was the same.
    pings: &'static [(u64, bool)],
    /// When this host exchanged lists with it.
    exchanges_ms: &'static [u64],
}

/// A host that has just started exchanges lists with any peer that differs. Later it exchanges only
/// if it agrees with no peer for longer than updates take to spread, and not at each ping. A host
/// that agrees with some peers is up to date: the differing peer has missed something.
#[rstest]
#[case::agrees(Case { pings: &[(10_000, true), (10_250, true)], exchanges_ms: &[] })]
#[case::updates_are_spreading(Case {
    pings: &[(10_000, false), (10_250, false), (11_250, false), (11_400, true), (11_600, false)],
    exchanges_ms: &[],
})]
#[case::has_missed_updates(Case {
    pings: &[(10_000, false), (11_000, false), (11_600, false), (12_000, false), (14_700, false)],
    exchanges_ms: &[11_600, 14_700],
})]
#[case::one_peer_has_missed_updates(Case {
    pings: &[(10_000, false), (10_500, true), (11_000, false), (11_700, true), (13_000, false)],
    exchanges_ms: &[],
})]
#[case::has_just_started(Case {
    pings: &[(200, false), (400, false), (650, false), (2_000, false)],
    exchanges_ms: &[200, 650, 2_000],
})]
fn exchanges_after_missed_updates(#[case] case: Case) {
    let mut drift = Drift::new(0);
    let pings = case.pings.iter();
    let exchanges: Vec<u64> = pings
        .filter(|(now_ms, is_same)| drift.should_exchange(*now_ms, *is_same))
        .map(|(now_ms, _)| *now_ms)
        .collect();
    assert_eq!(exchanges, case.exchanges_ms);
}
