//! Callers that return after a refusal.

use fulmarpath_policy::{Cell, Placement, PlacementRequest, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

const RETURNED_MS: u64 = 10_000;

/// One engine with this many generations, each of which holds an eighth of its room.
fn restate(cell: &mut Cell, now_ms: u64, count: u64) {
    let runs = (50..50 + count).map(|run| statement(run, 1, 400, 500));
    let running: Vec<RunStatement> = runs.collect();
    cell.restate(now_ms, HOST, &running);
}

/// The second attempt of a caller whose first one was refused at 1 s.
fn second_attempt() -> PlacementRequest {
    PlacementRequest {
        retry_key: 1,
        left_ms: 20_000,
        ..request(2, 3_000, 900, 100)
    }
}

/// A full cell whose caller was refused once and has waited with its second attempt, as its host
/// does, for `waited_ms`.
fn after_second_wait(waited_ms: u64) -> (Cell, Placement) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    restate(&mut cell, 0, 8);
    let first = PlacementRequest {
        is_final_attempt: true,
        ..request(1, 3_000, 900, 100)
    };
    let waits = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(100, &waits), Placement::Full { .. }));
    let refused = cell.place(1_000, &first);
    assert!(matches!(
        refused,
        Placement::Full {
            is_refused: true,
            ..
        }
    ));
    let mut last = refused;
    for since_ms in (0..=waited_ms).step_by(200) {
        let attempt = PlacementRequest {
            is_final_attempt: since_ms > 1_000,
            max_wait_ms: 1_800_u64.saturating_sub(since_ms),
            left_ms: 20_000 - since_ms,
            ..second_attempt()
        };
        last = cell.place(RETURNED_MS + since_ms, &attempt);
    }
    (cell, last)
}

struct Wait {
    waited_ms: u64,
    is_refused: bool,
}

/// Guards against callers that are refused twice. A request that returned waits for its turn for a
/// part of its caller's time, longer than a request that can be on time, and no longer.
#[rstest]
#[case::at_once(Wait { waited_ms: 0, is_refused: false })]
#[case::as_long_as_a_first_attempt(Wait { waited_ms: 1_200, is_refused: false })]
#[case::longer(Wait { waited_ms: 4_000, is_refused: false })]
#[case::until_too_little_time_is_left(Wait { waited_ms: 4_800, is_refused: true })]
fn returned_request_waits_for_its_turn(#[case] case: Wait) {
    let (_, last) = after_second_wait(case.waited_ms);
    let Placement::Full { is_refused, .. } = last else {
        panic!("{last:?}");
    };
    assert_eq!(is_refused, case.is_refused);
}

struct Turn {
    /// Generations that are left on the engine.
    left: u64,
    /// Whether a request that can be on time waits too.
    other_waits: bool,
    starts: bool,
}

/// Guards against late answers in the room of those on time. A request that returned takes only
/// room that is plentiful, and only after others that wait.
#[rstest]
#[case::plenty_of_room(Turn { left: 4, other_waits: false, starts: true })]
#[case::little_room(Turn { left: 6, other_waits: false, starts: false })]
#[case::another_is_on_time(Turn { left: 4, other_waits: true, starts: false })]
fn returned_request_leaves_room_to_others(#[case] case: Turn) {
    let (mut cell, _) = after_second_wait(2_000);
    let now_ms = RETURNED_MS + 2_100;
    let other = request(3, 3_000, 900, 100);
    if case.other_waits {
        assert!(matches!(cell.place(now_ms, &other), Placement::Full { .. }));
    }
    restate(&mut cell, now_ms + 10, case.left);
    let attempt = PlacementRequest {
        is_final_attempt: true,
        max_wait_ms: 0,
        left_ms: 17_800,
        ..second_attempt()
    };
    let placed = cell.place(now_ms + 50, &attempt);
    assert_eq!(engine_of(placed).is_some(), case.starts, "{placed:?}");
    let placed = cell.place(now_ms + 60, &other);
    assert_eq!(engine_of(placed), Some(1), "{placed:?}");
}
