//! When events of a stream are passed on.

use fulmarpath_policy::{Millis, Playout};
use rstest::rstest;

const GAP_TARGET_MS: Millis = 180;
const DELAY_BOUND_MS: Millis = 200;

struct Stream {
    /// Time from each event to the next at the engine.
    pauses_ms: &'static [Millis],
    /// The longest pause that its caller sees.
    longest_ms: Millis,
}

/// Releases of events with these pauses between them: arrival and release of each.
fn play(pauses_ms: &[Millis], gap_target_ms: Millis) -> Vec<(Millis, Millis)> {
    let mut playout = Playout::new(gap_target_ms, DELAY_BOUND_MS);
    let mut arrived_ms = 1_000;
    let mut events = vec![(arrived_ms, playout.release(arrived_ms).at_ms)];
    for pause_ms in pauses_ms {
        arrived_ms += pause_ms;
        events.push((arrived_ms, playout.release(arrived_ms).at_ms));
    }
    events
}

fn longest_pause_ms(events: &[(Millis, Millis)]) -> Millis {
    let pauses = events.windows(2).map(|pair| pair[1].1 - pair[0].1);
    pauses.max().unwrap_or_default()
}

/// Load: streams beside prefills on an engine whose machine is shared for some hundred ms, streams
/// that are migrated, and streams whose engine is slow or preempts them.
#[rstest]
#[case::regular(Stream { pauses_ms: &[50; 20], longest_ms: 130 })]
#[case::one_long_pause(Stream { pauses_ms: &[50, 50, 190, 50, 50], longest_ms: 171 })]
#[case::a_shared_phase(Stream { pauses_ms: &[75, 75, 187, 187, 187, 75], longest_ms: 171 })]
#[case::a_migration(Stream { pauses_ms: &[50, 50, 250, 50, 50], longest_ms: 171 })]
#[case::pauses_apart(Stream { pauses_ms: &[50, 190, 50, 50, 190, 50], longest_ms: 171 })]
#[case::a_preemption(Stream { pauses_ms: &[50, 50, 900, 50], longest_ms: 820 })]
#[case::as_slow_as_the_bound(Stream { pauses_ms: &[175; 5], longest_ms: 175 })]
fn callers_see_shorter_pauses(#[case] stream: Stream) {
    let events = play(stream.pauses_ms, GAP_TARGET_MS);
    let longest_ms = longest_pause_ms(&events);
    assert!(longest_ms <= stream.longest_ms, "{longest_ms}: {events:?}");
}

/// Guards against events that are held beyond the operator's bound on their delay, out of order, or
/// before they arrive; the first one is not held.
#[rstest]
#[case::fast(&[5; 100])]
#[case::bursts(&[0, 0, 0, 300, 0, 0, 0, 300, 0])]
#[case::irregular(&[10, 190, 3, 400, 70, 70, 187, 187, 187, 187, 20])]
fn no_event_is_held_for_long(#[case] pauses_ms: &[Millis]) {
    let events = play(pauses_ms, GAP_TARGET_MS);
    assert_eq!(events[0].0, events[0].1);
    assert!(events.is_sorted_by_key(|(_, released_ms)| *released_ms));
    for (arrived_ms, released_ms) in events {
        let held_ms = released_ms
            .checked_sub(arrived_ms)
            .expect("not before its arrival");
        assert!(held_ms <= DELAY_BOUND_MS / 2, "{held_ms}");
    }
}

/// A stream without room for pauses is passed on as it comes.
#[test]
fn nothing_is_held_without_a_gap_target() {
    let events = play(&[20, 40, 300], 0);
    assert!(
        events
            .iter()
            .all(|(arrived_ms, released_ms)| arrived_ms == released_ms)
    );
}

/// Guards against homes that spare engines whose pauses no caller notices: a single pause of this
/// length is on time, a longer one is not.
#[test]
fn the_longest_pause_of_an_engine_is_on_time() {
    let bound_ms = Playout::new(GAP_TARGET_MS, DELAY_BOUND_MS).max_engine_pause_ms();
    let on_time = longest_pause_ms(&play(&[50, 50, bound_ms, 50], GAP_TARGET_MS));
    let late = longest_pause_ms(&play(&[50, 50, bound_ms + 20, 50], GAP_TARGET_MS));
    assert!(on_time <= GAP_TARGET_MS, "{on_time}");
    assert!(late > GAP_TARGET_MS, "{late}");
}

/// Guards against a count of hidden pauses that an operator can't rely on: pauses that are on time
/// anyway, or too long for the caller as well, don't count.
#[rstest]
#[case::on_time(&[50, 50, 170, 50], 0)]
#[case::hidden(&[50, 50, 190, 50, 50, 190], 2)]
#[case::too_long(&[50, 50, 900, 50], 0)]
fn hidden_pauses_are_counted(#[case] pauses_ms: &[Millis], #[case] hidden: usize) {
    let mut playout = Playout::new(GAP_TARGET_MS, DELAY_BOUND_MS);
    let mut arrived_ms = 1_000;
    playout.release(arrived_ms);
    let releases = pauses_ms.iter().map(|pause_ms| {
        arrived_ms += pause_ms;
        playout.release(arrived_ms)
    });
    assert_eq!(
        releases.filter(|release| release.hides_pause).count(),
        hidden
    );
}
