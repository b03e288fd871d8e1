//! When the final copy of a live migration stops its generation.

use fulmarpath_policy::{EventIntervals, Millis, StopMoment};
use rstest::rstest;

use StopMoment::{AfterEvent, Now};

struct Stream {
    /// Intervals between its events, up to the last one.
    intervals_ms: &'static [Millis],
    /// Time since its last event when the first copy is complete.
    age_ms: Millis,
    gap_target_ms: Option<Millis>,
    /// The wait for the next event, or none.
    expected_wait_ms: Option<Millis>,
}

const STEADY: &[Millis] = &[60; 20];
const UNSTEADY: &[Millis] = &[40, 80, 40, 80, 40, 80, 40, 80, 40, 80];
const TARGET_MS: Option<Millis> = Some(180);

/// Guards against a stop in the middle of an event, which adds the part of the event that is
/// computed twice to the pause of the migration; and against a wait that endangers the copy or
/// gains nothing. Events of four steps take about 60 ms, and pauses are bounded by 180 ms.
#[rstest]
#[case::in_the_middle(Stream { intervals_ms: STEADY, age_ms: 30, gap_target_ms: TARGET_MS, expected_wait_ms: Some(60) })]
#[case::just_before_the_next(Stream { intervals_ms: STEADY, age_ms: 59, gap_target_ms: TARGET_MS, expected_wait_ms: Some(60) })]
#[case::late_event(Stream { intervals_ms: STEADY, age_ms: 100, gap_target_ms: TARGET_MS, expected_wait_ms: Some(60) })]
#[case::just_after_an_event(Stream { intervals_ms: STEADY, age_ms: 2, gap_target_ms: TARGET_MS, expected_wait_ms: None })]
#[case::no_bound(Stream { intervals_ms: STEADY, age_ms: 30, gap_target_ms: None, expected_wait_ms: None })]
#[case::low_bound(Stream { intervals_ms: STEADY, age_ms: 30, gap_target_ms: Some(100), expected_wait_ms: Some(50) })]
#[case::due_after_the_longest_wait(Stream { intervals_ms: STEADY, age_ms: 30, gap_target_ms: Some(50), expected_wait_ms: None })]
#[case::unsteady_events_are_waited_for_longer(Stream { intervals_ms: UNSTEADY, age_ms: 30, gap_target_ms: TARGET_MS, expected_wait_ms: Some(90) })]
#[case::slow_events(Stream { intervals_ms: &[200; 10], age_ms: 20, gap_target_ms: TARGET_MS, expected_wait_ms: None })]
#[case::slow_event_that_is_due(Stream { intervals_ms: &[200; 10], age_ms: 150, gap_target_ms: TARGET_MS, expected_wait_ms: Some(90) })]
#[case::no_interval_is_known(Stream { intervals_ms: &[], age_ms: 30, gap_target_ms: TARGET_MS, expected_wait_ms: None })]
fn stops_after_an_event(#[case] case: Stream) {
    let mut intervals = EventIntervals::default();
    let mut now_ms = 1_000;
    intervals.record(now_ms, 1);
    for interval_ms in case.intervals_ms {
        now_ms += interval_ms;
        intervals.record(now_ms, 1);
    }
    now_ms += case.age_ms;
    let expected = case.expected_wait_ms.map_or(Now, |wait_ms| AfterEvent {
        until_ms: now_ms + wait_ms,
    });
    assert_eq!(intervals.stop_moment(now_ms, case.gap_target_ms), expected);
}

/// Guards against a wait for an event before the first one, of which nothing is known.
#[test]
fn does_not_wait_before_the_first_event() {
    let intervals = EventIntervals::default();
    assert_eq!(intervals.stop_moment(1_000, TARGET_MS), Now);
}

/// Guards against a usual interval that includes the pause of an earlier migration, or counts
/// events that arrived together as none: the wait would be too long.
#[test]
fn pauses_of_migrations_are_not_learned() {
    let mut intervals = EventIntervals::default();
    for event in 0..=20 {
        intervals.record(event * 60, 1);
    }
    intervals.switch_engine();
    assert_eq!(intervals.stop_moment(1_230, TARGET_MS), Now, "no event yet");
    intervals.record(2_200, 1);
    intervals.record(2_320, 2);
    assert_eq!(
        intervals.stop_moment(2_350, TARGET_MS),
        AfterEvent { until_ms: 2_410 }
    );
}
