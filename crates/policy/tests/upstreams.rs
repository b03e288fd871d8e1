//! What one host knows of upstreams, which one it chooses, and how often it tries again.

use fulmarpath_policy::{
    Choice, ReportedLoad, RetryBound, RetryWindow, UpstreamKey, UpstreamStats, Verdict, choose,
};
use rstest::rstest;

struct Sickness {
    verdicts: &'static [Verdict],
    latency_ms: u64,
    /// Whether it costs more than a healthy one that works on two requests.
    is_spared: bool,
}

/// An upstream's answers go wrong, or come late; it is spared for a healthy one with more to do.
#[rstest]
#[case::well(Sickness { verdicts: &[Verdict::Good; 8], latency_ms: 30, is_spared: false })]
#[case::fails(Sickness { verdicts: &[Verdict::Failed; 8], latency_ms: 30, is_spared: true })]
#[case::fails_half(Sickness {
    verdicts: &[Verdict::Good, Verdict::Failed, Verdict::Good, Verdict::Failed, Verdict::Failed],
    latency_ms: 30,
    is_spared: true,
})]
#[case::sheds(Sickness { verdicts: &[Verdict::Shed; 8], latency_ms: 30, is_spared: true })]
#[case::slow(Sickness { verdicts: &[Verdict::Good; 8], latency_ms: 240, is_spared: true })]
fn sick_upstreams_are_spared(#[case] case: Sickness) {
    let mut sick = UpstreamStats::default();
    let mut well = UpstreamStats::default();
    for (turn, verdict) in case.verdicts.iter().enumerate() {
        let now_ms = 1_000 + turn as u64 * 50;
        let flight = sick.start(now_ms);
        sick.record_latency(case.latency_ms);
        sick.end(now_ms + 40, flight, *verdict);
        let flight = well.start(now_ms);
        well.record_latency(30);
        well.end(now_ms + 30, flight, Verdict::Good);
    }
    well.start(1_500);
    well.start(1_500);
    assert_eq!(sick.cost(1_510) > well.cost(1_510), case.is_spared);
}

/// An upstream hangs: nothing comes back, so the age of what it owes makes it dear.
#[test]
fn a_hanging_upstream_grows_dear() {
    let mut hanging = UpstreamStats::default();
    hanging.start(1_000);
    assert!(hanging.cost(2_000) > 10.0 * hanging.cost(1_010));
}

/// What failed is tried again after a while without a failure.
#[test]
fn failures_are_forgiven() {
    let mut gauge = UpstreamStats::default();
    gauge.record_unreachable(1_000);
    assert!(gauge.failure_share(1_000) > 0.99);
    assert!(gauge.failure_share(12_000) < 0.06);
}

/// A stated load counts with what this host has sent since, and fades.
#[test]
fn stated_load_is_brought_up_to_date() {
    let mut gauge = UpstreamStats::default();
    let load = ReportedLoad {
        running: 5,
        waiting: 1,
        slots: 6,
    };
    gauge.record_load(1_000, load);
    gauge.start(1_000);
    assert!((gauge.occupancy(1_000) - 7.0).abs() < 0.01);
    assert!((gauge.occupancy(4_000) - 1.0).abs() < 0.01);
}

struct Pick {
    choices: &'static [(u64, f32, bool)],
    draw: f32,
    expected: Option<u64>,
}

#[rstest]
#[case::cheapest(Pick { choices: &[(1, 50.0, true), (2, 10.0, true)], draw: 0.0, expected: Some(2) })]
#[case::near_before_far(Pick { choices: &[(1, 10.0, false), (2, 8.0, true)], draw: 0.0, expected: Some(2) })]
#[case::equals_by_draw(Pick { choices: &[(1, 10.0, true), (2, 10.5, true)], draw: 0.9, expected: Some(2) })]
#[case::none(Pick { choices: &[], draw: 0.5, expected: None })]
fn chooses(#[case] case: Pick) {
    let choices: Vec<Choice<UpstreamKey>> = case
        .choices
        .iter()
        .map(|(key, cost, near)| Choice {
            key: UpstreamKey(*key),
            cost: *cost,
            is_local: *near,
        })
        .collect();
    assert_eq!(choose(&choices, case.draw).map(|key| key.0), case.expected);
}

struct Budget {
    hosts: usize,
    requests_each: usize,
}

/// All hosts of a fleet retry as often as they may: together they stay within the operator's bound
/// in every window, however their requests are spread.
#[rstest]
#[case::few(Budget { hosts: 3, requests_each: 100 })]
#[case::many(Budget { hosts: 81, requests_each: 10 })]
#[case::idle(Budget { hosts: 9, requests_each: 0 })]
fn retries_stay_within_the_fleets_bound(#[case] case: Budget) {
    let bound = RetryBound {
        ratio: 0.2,
        extra: 58.0,
        window_ms: 10_000,
    };
    let mut retried = 0;
    for _ in 0..case.hosts {
        let mut window = RetryWindow::new(bound);
        for request in 0..case.requests_each {
            window.record_request(request as u64);
        }
        retried += (0..1_000)
            .filter(|_| window.try_retry(100, case.hosts))
            .count();
    }
    let requests = (case.hosts * case.requests_each) as f32;
    let allowed = bound.ratio * requests + bound.extra;
    assert!(retried as f32 <= allowed, "{retried} of {allowed}");
    assert!(
        case.hosts > 50 || retried as f32 > allowed * 0.3,
        "{retried} of {allowed}"
    );
}

/// What was spent counts until its window is over.
#[test]
fn a_window_slides() {
    let bound = RetryBound {
        ratio: 0.0,
        extra: 2.0,
        window_ms: 1_000,
    };
    let mut window = RetryWindow::new(bound);
    assert!(window.try_retry(0, 1));
    assert!(!window.try_retry(900, 1));
    assert!(window.try_retry(1_001, 1));
}

/// Engines leave, and their generations go on elsewhere, each of which arrives at the service once more.
/// They are never held back; the retries beside them are, until the window is over.
#[test]
fn continuations_leave_fewer_retries() {
    let bound = RetryBound {
        ratio: 0.2,
        extra: 0.0,
        window_ms: 1_000,
    };
    let mut window = RetryWindow::new(bound);
    for _ in 0..100 {
        window.record_request(0);
    }
    for _ in 0..13 {
        window.record_continuation(10);
    }
    assert!(window.try_retry(20, 1));
    assert!(!window.try_retry(20, 1));
    for _ in 0..10 {
        window.record_continuation(30);
    }
    assert!(window.remaining(40, 1) < 0.0);
    window.record_request(1_020);
    assert!(!window.try_retry(1_020, 1));
}
