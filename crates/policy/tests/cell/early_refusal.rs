//! Requests that are refused at once because they cannot start in time, and when their callers
//! return.

use fulmarpath_policy::{Placement, PlacementRequest, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, request, statement};

/// Refused requests return at this share of their caller's time, at the latest.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

struct Case {
    /// Tokens that the generations on the two full engines still have to decode.
    left_tokens: u32,
    /// Requests that wait already.
    waiting: u64,
    request: PlacementRequest,
    is_refused: bool,
    /// The retry delay of a refused request.
    retry_after_ms: std::ops::Range<u64>,
}

fn patient(run: u64) -> PlacementRequest {
    PlacementRequest {
        max_wait_ms: 1_000,
        left_ms: 20_000,
        ..request(run, 3_000, 1_768, 1_500)
    }
}

/// Guards against callers that wait for an answer that they cannot get, and against refusals of
/// requests that would have started. Two full engines run 16 generations. A request is refused at
/// once only if far more memory is requested before it than becomes free in its time.
#[rstest]
#[case::nothing_waits(Case {
    left_tokens: 1_500, waiting: 0, request: patient(1), is_refused: false, retry_after_ms: 0..1,
})]
#[case::some_wait(Case {
    left_tokens: 1_500, waiting: 4, request: patient(1), is_refused: false, retry_after_ms: 0..1,
})]
#[case::far_too_many_wait(Case {
    left_tokens: 1_500, waiting: 30, request: PlacementRequest { left_ms: 14_000, ..patient(1) },
    is_refused: true, retry_after_ms: 3_780..4_480,
})]
#[case::generations_end_soon(Case {
    left_tokens: 40, waiting: 30, request: patient(1), is_refused: false, retry_after_ms: 0..1,
})]
#[case::more_urgent_than_the_others(Case {
    left_tokens: 1_500, waiting: 30, request: PlacementRequest { priority: 0, ..patient(1) },
    is_refused: false, retry_after_ms: 0..1,
})]
#[case::has_waited_as_long_as_it_may(Case {
    left_tokens: 1_500, waiting: 0, request: PlacementRequest { is_final_attempt: true, ..patient(1) },
    is_refused: true, retry_after_ms: 4_000..6_400,
})]
fn only_hopeless_requests_are_refused_at_once(#[case] case: Case) {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let out_tokens = 1_768 - case.left_tokens;
    let running = (0..16).map(|run| RunStatement {
        prompt_tokens: 3_600 - out_tokens,
        priority: 1,
        ..statement(500 + run, 1 + run % 2, out_tokens, 1_768)
    });
    let running: Vec<RunStatement> = running.collect();
    cell.restate(0, HOST, &running);
    for run in 0..case.waiting {
        cell.place(0, &patient(100 + run));
    }
    let Placement::Full {
        retry_after_ms,
        is_refused,
        ..
    } = cell.place(50, &case.request)
    else {
        panic!("placed on a full engine");
    };
    assert_eq!(is_refused, case.is_refused);
    if is_refused {
        let latest_ms = (case.request.left_ms as f64 * MAX_RETRY_SHARE) as u64;
        assert!(retry_after_ms <= latest_ms, "{retry_after_ms}");
        assert!(
            case.retry_after_ms.contains(&retry_after_ms),
            "{retry_after_ms}"
        );
    }
}
