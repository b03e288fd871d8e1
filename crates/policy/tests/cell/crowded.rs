//! Who waits for room where there is too little, who goes first, and who is refused.

use fulmarpath_policy::{Placement, PlacementRequest, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{FAR, ME, NEAR, cell, engine, engine_of, request, statement};

/// A large prompt finds no room and asks again, as its host does. Those that cost less and come soon
/// after it go first, but not one that comes later than the large one is put off: it gets what the large
/// one can't use, on another engine, and not the room that is kept. Once enough is free, the large one
/// is placed.
#[test]
fn a_large_prompt_gets_its_turn() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, FAR, false)]);
    let crowd = |left: u64| -> Vec<RunStatement> {
        let near = (0..left).map(|run| statement(run, 1, 400, 500));
        let far = (50..58).map(|run| statement(run, 2, 400, 500));
        near.chain(far).collect()
    };
    cell.restate(0, ME, &crowd(7));
    let large = request(90, 6_000, 900, 100);
    for now_ms in [2_000, 2_200, 2_400] {
        assert!(matches!(cell.place(now_ms, &large), Placement::Full { .. }));
    }
    let small = request(91, 3_000, 900, 100);
    assert!(matches!(cell.place(2_410, &small), Placement::Full { .. }));
    cell.restate(2_450, ME, &crowd(6));
    assert_eq!(engine_of(cell.place(2_460, &large)), Some(1));
}

struct Turns {
    first: PlacementRequest,
    then: PlacementRequest,
    /// How much later the other one comes.
    apart_ms: u64,
    /// Which of the two gets the room that is left for one.
    expected: u64,
}

/// Two requests wait and there is room for one of them. It goes to the more urgent one, else to the
/// one that has to start first to be on time, whoever asks first now: the one that came first, or one
/// that came a little later and costs the others less, by its prompt or by its expected length. One that
/// came earlier by more than it is put off is not overtaken, so no wait grows with what comes after it.
#[rstest]
#[case::by_arrival(Turns {
    first: request(1, 3_000, 900, 100),
    then: request(2, 3_000, 900, 100),
    apart_ms: 10,
    expected: 1,
})]
#[case::urgent_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { priority: 0, ..request(2, 3_000, 900, 100) },
    apart_ms: 10,
    expected: 2,
})]
#[case::larger_not_first(Turns {
    first: request(1, 2_100, 900, 100),
    then: request(2, 3_000, 900, 100),
    apart_ms: 10,
    expected: 1,
})]
#[case::smaller_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: request(2, 2_100, 900, 100),
    apart_ms: 60,
    expected: 2,
})]
#[case::not_overtaken(Turns {
    first: request(1, 3_000, 900, 100),
    then: request(2, 2_100, 900, 100),
    apart_ms: 400,
    expected: 1,
})]
#[case::shorter_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: request(2, 3_000, 300, 100),
    apart_ms: 60,
    expected: 2,
})]
#[case::shorter_target_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { max_wait_ms: 1_500, ..request(2, 3_000, 900, 100) },
    apart_ms: 200,
    expected: 2,
})]
fn room_goes_by_turn(#[case] case: Turns) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd = |count: u64| -> Vec<RunStatement> {
        (50..50 + count)
            .map(|run| statement(run, 1, 400, 500))
            .collect()
    };
    cell.restate(0, ME, &crowd(8));
    let then_ms = 2_000 + case.apart_ms;
    // The first one asks on, as its host does: one that is silent is taken for gone.
    for now_ms in (2_000..then_ms).step_by(200) {
        let placed = cell.place(now_ms, &case.first);
        assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    }
    let placed = cell.place(then_ms, &case.then);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    cell.restate(then_ms + 10, ME, &crowd(7));
    let (winner, other) = match case.expected {
        1 => (&case.first, &case.then),
        _ => (&case.then, &case.first),
    };
    assert!(matches!(
        cell.place(then_ms + 20, other),
        Placement::Full { .. }
    ));
    assert_eq!(engine_of(cell.place(then_ms + 30, winner)), Some(1));
}

/// A request is refused after its wait and its caller comes back with another, which can't be on
/// time any more: soon, or as late as it was told at the most. It gets what is left beside those that
/// can: no room in an engine that is nearly full, where a request that comes for the first time still
/// starts, and room where there is plenty.
#[rstest]
#[case::soon(3_000)]
#[case::as_late_as_it_was_told(14_150)]
#[case::just_before_its_time_is_over(39_000)]
fn what_comes_back_late_makes_nobody_else_late(#[case] back_ms: u64) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd = |count: u64| -> Vec<RunStatement> {
        let runs = 50..50 + count;
        runs.map(|run| statement(run, 1, 400, 500)).collect()
    };
    cell.restate(0, ME, &crowd(8));
    let first = PlacementRequest {
        is_final_attempt: true,
        max_wait_ms: 800,
        ..request(1, 3_000, 900, 100)
    };
    let waits = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(1_000, &waits), Placement::Full { .. }));
    assert!(matches!(cell.place(1_200, &first), Placement::Full { .. }));
    let back = PlacementRequest {
        retry_key: 1,
        ..request(2, 3_000, 900, 100)
    };
    let other = request(3, 3_000, 900, 100);
    cell.restate(back_ms - 50, ME, &crowd(7));
    let placed = cell.place(back_ms, &back);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    assert_eq!(engine_of(cell.place(back_ms + 10, &other)), Some(1));
    cell.end(back_ms + 20, RunKey(3), RunEnd::default());
    cell.restate(back_ms + 2_000, ME, &crowd(4));
    assert_eq!(engine_of(cell.place(back_ms + 2_010, &back)), Some(1));
}

/// A request that waits is not heard of any more: its host is gone, or its caller has left. The
/// room that was kept for it is free again after a moment.
#[test]
fn room_is_not_kept_for_the_silent() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let silent = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(2_000, &silent), Placement::Full { .. }));
    let next = request(2, 3_000, 900, 100);
    cell.restate(2_300, ME, &crowd[1..]);
    assert!(matches!(cell.place(2_100, &next), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(2_400, &next)), Some(1));
}

struct Refusal {
    retry_key: u64,
    left_ms: u64,
    /// When the caller is told to come back.
    after_ms: std::ops::Range<u64>,
}

/// Callers are refused together in a crowd. Each is told to come back when a fifth to a third of the
/// time that it has left is over, when most crowds are, and each at another moment.
#[rstest]
#[case::patient(Refusal { retry_key: 0, left_ms: 38_000, after_ms: 7_600..7_601 })]
#[case::patient_later(Refusal { retry_key: 999, left_ms: 38_000, after_ms: 12_000..12_161 })]
#[case::impatient(Refusal { retry_key: 500, left_ms: 5_000, after_ms: 1_290..1_311 })]
#[case::out_of_time(Refusal { retry_key: 500, left_ms: 0, after_ms: 0..1 })]
fn refused_callers_come_back_apart(#[case] case: Refusal) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let refused = PlacementRequest {
        retry_key: case.retry_key,
        left_ms: case.left_ms,
        is_final_attempt: true,
        ..request(1, 3_000, 900, 100)
    };
    let placed = cell.place(1_000, &refused);
    let Placement::Full { retry_after_ms } = placed else {
        panic!("{placed:?}");
    };
    assert!(case.after_ms.contains(&retry_after_ms), "{retry_after_ms}");
}

struct LastCall {
    prompt_tokens: u32,
    max_wait_ms: u64,
    /// Generations on the only engine.
    crowd: u64,
    starts: bool,
}

/// A request has waited as long as it may. Where its prompt can still be read in time it starts in any
/// room; where it can't, only on an engine with plenty, since late it is worth little to its caller
/// and takes the room of one that would be on time.
#[rstest]
#[case::in_time(LastCall { prompt_tokens: 2_000, max_wait_ms: 800, crowd: 7, starts: true })]
#[case::too_late(LastCall { prompt_tokens: 2_000, max_wait_ms: 200, crowd: 7, starts: false })]
#[case::too_late_with_plenty(LastCall { prompt_tokens: 2_000, max_wait_ms: 200, crowd: 3, starts: true })]
#[case::too_long_to_read(LastCall { prompt_tokens: 4_000, max_wait_ms: 400, crowd: 6, starts: false })]
fn what_would_be_late_needs_plenty_of_room(#[case] case: LastCall) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let runs = 50..50 + case.crowd;
    let crowd: Vec<RunStatement> = runs.map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let asked = PlacementRequest {
        max_wait_ms: case.max_wait_ms,
        is_final_attempt: true,
        ..request(1, case.prompt_tokens, 900, 100)
    };
    let placed = cell.place(2_000, &asked);
    assert_eq!(engine_of(placed).is_some(), case.starts, "{placed:?}");
}
