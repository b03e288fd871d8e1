//! Starts at upstreams that fall over if they turn many requests away.

use fulmarpath_policy::BrittleStarts;
use rstest::rstest;

/// Time that a request takes; a start counts as present for 46 ms.
const DURATION_MS: f32 = 40.0;

enum Event {
    /// A start is requested, with the expected wait; 0 if it is granted.
    Start { wait_ms: u64 },
    /// The upstream has turned a request away.
    Rejection,
}

use Event::{Rejection, Start};

struct StartCase {
    slots: u32,
    /// Events with their times.
    events: Vec<(u64, Event)>,
}

/// Guards against more requests at a brittle upstream than it can hold, and against one that is
/// spared for long after it was full once.
#[rstest]
#[case::up_to_its_slots(StartCase { slots: 2, events: vec![(1_000, Start { wait_ms: 0 }), (1_010, Start { wait_ms: 0 }), (1_020, Start { wait_ms: 26 })] })]
#[case::a_slot_is_free_again(StartCase { slots: 2, events: vec![(1_000, Start { wait_ms: 0 }), (1_010, Start { wait_ms: 0 }), (1_046, Start { wait_ms: 0 }), (1_047, Start { wait_ms: 9 })] })]
#[case::half_after_a_rejection(StartCase { slots: 4, events: vec![(1_000, Start { wait_ms: 0 }), (1_001, Start { wait_ms: 0 }), (1_002, Start { wait_ms: 0 }), (1_003, Start { wait_ms: 0 }), (1_010, Rejection), (1_049, Start { wait_ms: 0 }), (1_050, Start { wait_ms: 0 }), (1_051, Start { wait_ms: 44 })] })]
#[case::rejections_of_one_moment_count_once(StartCase { slots: 4, events: vec![(1_000, Start { wait_ms: 0 }), (1_001, Start { wait_ms: 0 }), (1_002, Start { wait_ms: 0 }), (1_003, Start { wait_ms: 0 }), (1_010, Rejection), (1_012, Rejection), (1_014, Rejection), (1_060, Start { wait_ms: 0 }), (1_061, Start { wait_ms: 0 }), (1_062, Start { wait_ms: 44 })] })]
#[case::one_at_least(StartCase { slots: 4, events: vec![(1_000, Rejection), (1_010, Start { wait_ms: 0 }), (1_020, Start { wait_ms: 36 })] })]
#[case::grows_again(StartCase { slots: 4, events: vec![(1_000, Rejection), (1_500, Start { wait_ms: 0 }), (1_501, Start { wait_ms: 0 }), (1_502, Start { wait_ms: 44 }), (2_500, Start { wait_ms: 0 }), (2_501, Start { wait_ms: 0 }), (2_502, Start { wait_ms: 0 }), (2_503, Start { wait_ms: 0 }), (2_504, Start { wait_ms: 42 })] })]
#[case::no_slots_stated(StartCase { slots: 0, events: vec![(1_000, Start { wait_ms: 0 }), (1_010, Start { wait_ms: 36 })] })]
fn starts_stay_within_the_room(#[case] case: StartCase) {
    let mut starts = BrittleStarts::default();
    for (now_ms, event) in case.events {
        match event {
            Rejection => starts.record_rejection(now_ms),
            Start { wait_ms } => {
                let granted = starts.grant(now_ms, case.slots, DURATION_MS);
                assert_eq!(granted.err().unwrap_or_default(), wait_ms, "at {now_ms}");
            }
        }
    }
}

/// Guards against upstreams that are remembered for ever.
#[test]
fn unused_upstreams_are_forgotten() {
    let mut starts = BrittleStarts::default();
    starts.record_rejection(1_000);
    let _ = starts.grant(2_000, 4, DURATION_MS);
    assert_eq!(
        [11_999, 12_000].map(|now_ms| starts.is_idle(now_ms)),
        [false, true]
    );
}
