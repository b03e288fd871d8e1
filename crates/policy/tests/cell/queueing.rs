//! Requests that wait for room on an overloaded cell: their order, and which ones are refused.

use fulmarpath_policy::{Placement, PlacementRequest, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, REMOTE, cell, engine, engine_of, request, statement};

/// Guards against a large prompt that never gets room. It finds none and polls, as its host does.
/// Room is reserved for it on the emptier of two engines. A cheaper request that comes too late to
/// overtake it finds the other engine full and does not get the reserved room. Once enough memory
/// is free, the large one is placed.
#[test]
fn large_prompt_is_eventually_placed() {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, REMOTE, false)]);
    let running = |left: u64| -> Vec<RunStatement> {
        let local = (0..left).map(|run| statement(run, 1, 400, 500));
        let remote = (50..58).map(|run| statement(run, 2, 400, 500));
        local.chain(remote).collect()
    };
    cell.restate(0, HOST, &running(7));
    let large = request(90, 6_000, 900, 100);
    for now_ms in [2_000, 2_200, 2_400] {
        assert!(matches!(cell.place(now_ms, &large), Placement::Full { .. }));
    }
    let small = request(91, 3_000, 900, 100);
    assert!(matches!(cell.place(2_410, &small), Placement::Full { .. }));
    cell.restate(2_450, HOST, &running(6));
    assert_eq!(engine_of(cell.place(2_460, &large)), Some(1));
}

struct QueuedPair {
    first: PlacementRequest,
    then: PlacementRequest,
    /// How much later the second request comes.
    delay_ms: u64,
    /// The request that gets the remaining room, which is enough for one.
    expected: u64,
}

/// Two requests wait and there is room for one of them, whichever polls first. It goes to the more
/// urgent one, otherwise to the one whose latest start, delayed by its cost, is earlier. A cheaper
/// request, with a smaller prompt or a shorter expected answer, overtakes one that came a little
/// earlier, but not one that came much earlier, whose wait therefore does not grow with later
/// arrivals.
#[rstest]
#[case::by_arrival(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: request(2, 3_000, 900, 100),
    delay_ms: 10,
    expected: 1,
})]
#[case::urgent_first(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { priority: 0, ..request(2, 3_000, 900, 100) },
    delay_ms: 10,
    expected: 2,
})]
#[case::larger_not_first(QueuedPair {
    first: request(1, 2_100, 900, 100),
    then: request(2, 3_000, 900, 100),
    delay_ms: 10,
    expected: 1,
})]
#[case::smaller_first(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: request(2, 2_100, 900, 100),
    delay_ms: 60,
    expected: 2,
})]
#[case::not_overtaken(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: request(2, 2_100, 900, 100),
    delay_ms: 400,
    expected: 1,
})]
#[case::shorter_first(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: request(2, 3_000, 300, 100),
    delay_ms: 60,
    expected: 2,
})]
#[case::shorter_target_first(QueuedPair {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { max_wait_ms: 1_500, ..request(2, 3_000, 900, 100) },
    delay_ms: 200,
    expected: 2,
})]
fn room_is_given_in_queue_order(#[case] case: QueuedPair) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let running = |count: u64| -> Vec<RunStatement> {
        (50..50 + count)
            .map(|run| statement(run, 1, 400, 500))
            .collect()
    };
    cell.restate(0, HOST, &running(8));
    let then_ms = 2_000 + case.delay_ms;
    // The first one keeps polling, as its host does; otherwise it would count as abandoned.
    for now_ms in (2_000..then_ms).step_by(200) {
        let placed = cell.place(now_ms, &case.first);
        assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    }
    let placed = cell.place(then_ms, &case.then);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    cell.restate(then_ms + 10, HOST, &running(7));
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

/// Guards against retries that make others late. A request is refused after its wait and its caller
/// retries, soon or at most as late as the retry delay, and can no longer be on time. The retry
/// gets only the room that others leave: none on a nearly full engine, where a new request still
/// starts, and room where there is plenty.
#[rstest]
#[case::soon(3_000)]
#[case::after_the_longest_retry_delay(14_150)]
#[case::just_before_its_timeout(39_000)]
fn late_retry_does_not_delay_others(#[case] retry_ms: u64) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let running = |count: u64| -> Vec<RunStatement> {
        let runs = 50..50 + count;
        runs.map(|run| statement(run, 1, 400, 500)).collect()
    };
    cell.restate(0, HOST, &running(8));
    let first = PlacementRequest {
        is_final_attempt: true,
        max_wait_ms: 800,
        ..request(1, 3_000, 900, 100)
    };
    let waits = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(1_000, &waits), Placement::Full { .. }));
    assert!(matches!(cell.place(1_200, &first), Placement::Full { .. }));
    let retry = PlacementRequest {
        retry_key: 1,
        ..request(2, 3_000, 900, 100)
    };
    let other = request(3, 3_000, 900, 100);
    cell.restate(retry_ms - 50, HOST, &running(7));
    let placed = cell.place(retry_ms, &retry);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    assert_eq!(engine_of(cell.place(retry_ms + 10, &other)), Some(1));
    cell.end(retry_ms + 20, RunKey(3), RunEnd::default());
    cell.restate(retry_ms + 2_000, HOST, &running(4));
    assert_eq!(engine_of(cell.place(retry_ms + 2_010, &retry)), Some(1));
}

/// Guards against room that stays reserved for an abandoned request, whose host or caller is gone.
/// The room is free again after a moment.
#[test]
fn abandoned_requests_lose_their_room() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let running: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, HOST, &running);
    let abandoned = request(1, 3_000, 900, 100);
    assert!(matches!(
        cell.place(2_000, &abandoned),
        Placement::Full { .. }
    ));
    let next = request(2, 3_000, 900, 100);
    cell.restate(2_300, HOST, &running[1..]);
    assert!(matches!(cell.place(2_100, &next), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(2_400, &next)), Some(1));
}

struct Refusal {
    retry_key: u64,
    left_ms: u64,
    /// The retry delay that the caller gets.
    after_ms: std::ops::Range<u64>,
}

/// Guards against callers that are refused together and return together. Each gets its own retry
/// delay of a fifth to a third of its remaining time, after which most overloads are over.
#[rstest]
#[case::long_timeout(Refusal { retry_key: 0, left_ms: 38_000, after_ms: 7_600..7_601 })]
#[case::long_timeout_late_in_range(Refusal { retry_key: 999, left_ms: 38_000, after_ms: 12_000..12_161 })]
#[case::short_timeout(Refusal { retry_key: 500, left_ms: 5_000, after_ms: 1_290..1_311 })]
#[case::no_time_left(Refusal { retry_key: 500, left_ms: 0, after_ms: 0..1 })]
fn refused_callers_retry_at_different_times(#[case] case: Refusal) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let running: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, HOST, &running);
    let refused = PlacementRequest {
        retry_key: case.retry_key,
        left_ms: case.left_ms,
        is_final_attempt: true,
        ..request(1, 3_000, 900, 100)
    };
    let placed = cell.place(1_000, &refused);
    let Placement::Full { retry_after_ms, .. } = placed else {
        panic!("{placed:?}");
    };
    assert!(case.after_ms.contains(&retry_after_ms), "{retry_after_ms}");
}

struct FinalAttempt {
    prompt_tokens: u32,
    max_wait_ms: u64,
    /// Generations on the only engine.
    running: u64,
    starts: bool,
}

/// A request has waited as long as it may. If its prompt can still be prefilled in time, it starts
/// in any room. Otherwise it starts only on an engine with plenty of room, because a late answer
/// has little value and takes the room of one that would be on time.
#[rstest]
#[case::in_time(FinalAttempt { prompt_tokens: 2_000, max_wait_ms: 800, running: 7, starts: true })]
#[case::too_late(FinalAttempt { prompt_tokens: 2_000, max_wait_ms: 200, running: 7, starts: false })]
#[case::too_late_with_plenty(FinalAttempt { prompt_tokens: 2_000, max_wait_ms: 200, running: 3, starts: true })]
#[case::too_long_to_prefill(FinalAttempt { prompt_tokens: 4_000, max_wait_ms: 400, running: 6, starts: false })]
fn late_requests_need_plenty_of_room(#[case] case: FinalAttempt) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let runs = 50..50 + case.running;
    let running: Vec<RunStatement> = runs.map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, HOST, &running);
    let placement_request = PlacementRequest {
        max_wait_ms: case.max_wait_ms,
        is_final_attempt: true,
        ..request(1, case.prompt_tokens, 900, 100)
    };
    let placed = cell.place(2_000, &placement_request);
    assert_eq!(engine_of(placed).is_some(), case.starts, "{placed:?}");
}
