//! When hosts exchange all that they believe of members.

use fulmarpath_policy::Drift;
use rstest::rstest;

struct Case {
    /// When a peer was heard, and whether it believed the same.
    heard: &'static [(u64, bool)],
    /// When this host exchanged with it.
    exchanges_ms: &'static [u64],
}

/// A host that has just started exchanges with whoever differs; later one that agrees with nobody
/// for longer than news take does, and not at each ping. One that agrees with some has what all
/// have: it is the other that lacks something.
#[rstest]
#[case::agrees(Case { heard: &[(10_000, true), (10_250, true)], exchanges_ms: &[] })]
#[case::news_are_on_their_way(Case {
    heard: &[(10_000, false), (10_250, false), (11_250, false), (11_400, true), (11_600, false)],
    exchanges_ms: &[],
})]
#[case::has_missed_news(Case {
    heard: &[(10_000, false), (11_000, false), (11_600, false), (12_000, false), (14_700, false)],
    exchanges_ms: &[11_600, 14_700],
})]
#[case::one_peer_has_missed_news(Case {
    heard: &[(10_000, false), (10_500, true), (11_000, false), (11_700, true), (13_000, false)],
    exchanges_ms: &[],
})]
#[case::has_just_started(Case {
    heard: &[(200, false), (400, false), (650, false), (2_000, false)],
    exchanges_ms: &[200, 650, 2_000],
})]
fn exchanges_where_news_were_missed(#[case] case: Case) {
    let mut drift = Drift::new(0);
    let heard = case.heard.iter();
    let exchanges: Vec<u64> = heard
        .filter(|(now_ms, is_same)| drift.should_exchange(*now_ms, *is_same))
        .map(|(now_ms, _)| *now_ms)
        .collect();
    assert_eq!(exchanges, case.exchanges_ms);
}
