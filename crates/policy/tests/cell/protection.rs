//! Room that less urgent requests leave to more urgent ones.

use fulmarpath_policy::{Cell, Placement, PlacementRequest, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

const LEARNING_MS: u64 = 20_000;
const URGENT_RUNS: std::ops::Range<u64> = 200..204;

fn urgent(run: u64) -> PlacementRequest {
    PlacementRequest {
        priority: 0,
        ..request(run, 2_200, 40, 12)
    }
}

fn long(run: u64) -> PlacementRequest {
    request(run, 3_400, 900, 100)
}

fn urgent_statement(run: u64) -> RunStatement {
    RunStatement {
        prompt_tokens: 2_200,
        priority: 0,
        ..statement(run, 1, 4, 40)
    }
}

/// Lets the home observe both classes. The urgent one holds four generations in every other
/// second, or always.
fn learn(cell: &mut Cell, urgent_is_steady: bool) {
    for now_ms in (0..LEARNING_MS).step_by(100) {
        let is_on = urgent_is_steady || now_ms / 1_000 % 2 == 0;
        match is_on {
            true => {
                let statements: Vec<_> = URGENT_RUNS.map(urgent_statement).collect();
                cell.restate(now_ms, HOST, &statements);
            }
            false => end_urgent(cell, now_ms),
        }
        cell.quote(now_ms, &urgent(1_000 + now_ms));
        cell.quote(now_ms, &long(2_000 + now_ms));
    }
}

fn end_urgent(cell: &mut Cell, now_ms: u64) {
    for run in URGENT_RUNS {
        cell.end(now_ms, RunKey(run), RunEnd::default());
    }
}

struct Case {
    /// Whether requests of both classes are known.
    has_classes: bool,
    urgent_is_steady: bool,
    /// Urgent generations that run now.
    urgent: u64,
    /// Other generations that run now.
    long: u64,
    request: PlacementRequest,
    /// Whether it is placed; otherwise, whether it lacks only protected room.
    expected: Result<(), bool>,
}

/// Guards against urgent short requests that find no room because long ones took the last of it,
/// and against room that stays idle for an urgent class that does not exist, does not vary or holds
/// what it needs already.
#[rstest]
#[case::last_room_is_kept_from_a_long_one(Case {
    has_classes: true, urgent_is_steady: false, urgent: 0, long: 7, request: long(1), expected: Err(true),
})]
#[case::last_room_is_given_to_an_urgent_one(Case {
    has_classes: true, urgent_is_steady: false, urgent: 0, long: 7, request: urgent(1), expected: Ok(()),
})]
#[case::plenty_of_room(Case {
    has_classes: true, urgent_is_steady: false, urgent: 0, long: 5, request: long(1), expected: Ok(()),
})]
#[case::no_room_at_all(Case {
    has_classes: true, urgent_is_steady: false, urgent: 0, long: 8, request: long(1), expected: Err(false),
})]
#[case::one_class_only(Case {
    has_classes: false, urgent_is_steady: false, urgent: 0, long: 7, request: long(1), expected: Ok(()),
})]
#[case::steady_urgent_class_holds_what_it_needs(Case {
    has_classes: true, urgent_is_steady: true, urgent: 4, long: 4, request: long(1), expected: Ok(()),
})]
#[case::urgent_class_holds_more_than_usual(Case {
    has_classes: true, urgent_is_steady: false, urgent: 4, long: 4, request: long(1), expected: Ok(()),
})]
fn less_urgent_requests_leave_room(#[case] case: Case) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    if case.has_classes {
        learn(&mut cell, case.urgent_is_steady);
    }
    end_urgent(&mut cell, LEARNING_MS);
    let now_ms = LEARNING_MS + 2_000;
    let long_runs = (0..case.long).map(|run| RunStatement {
        priority: 1,
        ..statement(300 + run, 1, 400, 500)
    });
    let urgent_runs = URGENT_RUNS.take(case.urgent as usize).map(urgent_statement);
    let running: Vec<RunStatement> = long_runs.chain(urgent_runs).collect();
    cell.restate(now_ms, HOST, &running);
    let placed = cell.place(now_ms, &case.request);
    match (case.expected, placed) {
        (Ok(()), placed) => assert_eq!(engine_of(placed), Some(1), "{placed:?}"),
        (
            Err(expected),
            Placement::Full {
                lacks_protected_room,
                ..
            },
        ) => assert_eq!(lacks_protected_room, expected),
        (Err(_), placed) => panic!("{placed:?}"),
    }
}
