//! Upstream statistics, the choice between upstreams, and the retry limit.

use fulmarpath_policy::{
    Choice, Draws, ReportedLoad, RetryBound, RetryWindow, UpstreamKey, UpstreamStats, Verdict,
    choose,
};
use rstest::rstest;

struct Health {
    verdicts: &'static [Verdict],
    latency_ms: u64,
    /// Whether it costs more than a healthy upstream with two requests in flight.
    costs_more: bool,
}

/// An upstream that fails or answers slowly costs more than a healthy one with more load.
#[rstest]
#[case::healthy(Health { verdicts: &[Verdict::Good; 8], latency_ms: 30, costs_more: false })]
#[case::fails(Health { verdicts: &[Verdict::Failed; 8], latency_ms: 30, costs_more: true })]
#[case::fails_half(Health {
    verdicts: &[Verdict::Good, Verdict::Failed, Verdict::Good, Verdict::Failed, Verdict::Failed],
    latency_ms: 30,
    costs_more: true,
})]
#[case::sheds(Health { verdicts: &[Verdict::Shed; 8], latency_ms: 30, costs_more: true })]
#[case::slow(Health { verdicts: &[Verdict::Good; 8], latency_ms: 240, costs_more: true })]
fn failing_and_slow_upstreams_cost_more(#[case] case: Health) {
    let mut tested = UpstreamStats::default();
    let mut healthy = UpstreamStats::default();
    for (index, verdict) in case.verdicts.iter().enumerate() {
        let now_ms = 1_000 + index as u64 * 50;
        let request = tested.start(now_ms);
        tested.record_latency(1_000, case.latency_ms);
        tested.end(now_ms + 40, request, *verdict);
        let request = healthy.start(now_ms);
        healthy.record_latency(1_000, 30);
        healthy.end(now_ms + 30, request, Verdict::Good);
    }
    healthy.start(1_500);
    healthy.start(1_500);
    assert_eq!(tested.cost(1_510) > healthy.cost(1_510), case.costs_more);
}

/// Guards against preferring an upstream that hangs and sends no response: the age of its oldest
/// request raises its cost.
#[test]
fn a_hanging_upstream_costs_more() {
    let mut hanging = UpstreamStats::default();
    hanging.start(1_000);
    assert!(hanging.cost(2_000) > 10.0 * hanging.cost(1_010));
}

/// A failing upstream is tried again after some time without failures.
#[test]
fn failures_decay() {
    let mut stats = UpstreamStats::default();
    stats.record_unreachable(1_000);
    assert!(stats.failure_share(1_000) > 0.99);
    assert!(stats.failure_share(12_000) < 0.06);
}

/// A load report is combined with the requests that this host has sent since, and expires.
#[test]
fn a_load_report_is_combined_with_own_requests() {
    let mut stats = UpstreamStats::default();
    let load = ReportedLoad {
        running: 5,
        waiting: 1,
        slots: 6,
        work_time_percent: None,
    };
    stats.record_load(1_000, load);
    stats.start(1_000);
    assert!((stats.occupancy(1_000) - 7.0).abs() < 0.01);
    assert!((stats.occupancy(4_000) - 1.0).abs() < 0.01);
}

struct Pick {
    choices: &'static [(u64, f32, bool)],
    draw: f32,
    /// Upstreams that need a trial, and whether this request is for trials.
    untried: &'static [u64],
    is_trial: bool,
    expected: Option<u64>,
}

impl Default for Pick {
    fn default() -> Self {
        Self {
            choices: &[],
            draw: 0.0,
            untried: &[],
            is_trial: false,
            expected: None,
        }
    }
}

#[rstest]
#[case::cheapest(Pick { choices: &[(1, 50.0, true), (2, 10.0, true)], draw: 0.0, expected: Some(2), ..Pick::default() })]
#[case::local_before_remote(Pick { choices: &[(1, 10.0, false), (2, 8.0, true)], draw: 0.0, expected: Some(2), ..Pick::default() })]
#[case::equals_by_draw(Pick { choices: &[(1, 10.0, true), (2, 10.5, true)], draw: 0.9, expected: Some(2), ..Pick::default() })]
#[case::tried_whatever_its_cost(Pick { choices: &[(1, 10.0, true), (2, 90.0, true)], untried: &[2], is_trial: true, expected: Some(2), ..Pick::default() })]
#[case::not_each_request_is_for_trials(Pick { choices: &[(1, 10.0, true), (2, 90.0, true)], untried: &[2], expected: Some(1), ..Pick::default() })]
#[case::one_of_the_untried(Pick { choices: &[(1, 10.0, true), (2, 90.0, true), (3, 50.0, false)], draw: 0.6, untried: &[2, 3], is_trial: true, expected: Some(3) })]
#[case::nothing_to_try(Pick { choices: &[(1, 10.0, true), (2, 90.0, true)], draw: 0.9, is_trial: true, expected: Some(1), ..Pick::default() })]
#[case::none(Pick { choices: &[], draw: 0.5, expected: None, ..Pick::default() })]
fn chooses(#[case] case: Pick) {
    let choices: Vec<Choice<UpstreamKey>> = case
        .choices
        .iter()
        .map(|(key, cost, is_local)| Choice {
            key: UpstreamKey(*key),
            cost: *cost,
            is_local: *is_local,
            needs_trial: case.untried.contains(key),
        })
        .collect();
    let draws = Draws {
        among: case.draw,
        trial: if case.is_trial { 0.0 } else { 0.99 },
    };
    assert_eq!(choose(&choices, draws).map(|key| key.0), case.expected);
}

struct Budget {
    hosts: usize,
    requests_each: usize,
}

/// All hosts of a fleet retry as often as they may. Together they stay within the operator's bound
/// in every window, for any distribution of the requests.
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

/// A retry counts until the window has passed.
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

/// Engines leave, and each of their generations continues elsewhere and reaches the service once
/// more. Continuations are never throttled, but they leave fewer retries within the window.
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
