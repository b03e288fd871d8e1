//! Bounds on the pauses of running answers, which prompts and migrations beside them may exceed.

use fulmarpath_policy::{
    Cell, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey, RunStatement, UpstreamKey,
};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

pub(crate) const BOUND_MS: u64 = 180;
pub(crate) const FAST: u64 = 3;
pub(crate) const SLOW: u64 = 2;
/// The time that each takes, as a multiple of the usual time.
const FACTORS: [(u64, f32); 2] = [(SLOW, 1.2), (FAST, 0.6)];
/// Until then, the home has learned.
pub(crate) const LEARNED_MS: u64 = 12_000;

/// A prompt that may start on one engine only.
pub(crate) fn only_on(key: u64, request: PlacementRequest) -> PlacementRequest {
    let others = [1, SLOW, FAST].into_iter().filter(|other| *other != key);
    PlacementRequest {
        excluded: others.map(UpstreamKey).collect(),
        max_wait_ms: 60_000,
        ..request
    }
}

/// A statement of an answer without a bound that has run at the speed of its engine.
fn learning(run: u64, key: u64, factor: f32, now_ms: u64, pause_ms: f32) -> RunStatement {
    let tokens = (now_ms as f32 / 11.0 / factor) as u32;
    RunStatement {
        longest_pause_ms: (pause_ms * factor) as u64,
        ..statement(run, key, tokens - tokens % 4, 40_000)
    }
}

/// A home that has learned that one engine is fast and one slow, and that prefills make the pauses
/// on the slow one exceed the bound at times. Engine 1 is empty.
pub(crate) fn learned_cell() -> Cell {
    let mut cell = cell(&[1, SLOW, FAST].map(|key| engine(key, LOCAL, false)));
    for second in 0..=LEARNED_MS / 1_000 {
        let now_ms = second * 1_000;
        // In each third second no prompt is prefilled.
        let pause_ms = match second % 6 {
            1 | 4 => 50.0,
            0 => 170.0,
            _ => 100.0,
        };
        let statements = FACTORS.map(|(key, factor)| {
            [0, 1].map(|run| learning(10 * key + run, key, factor, now_ms + 100, pause_ms))
        });
        cell.restate(now_ms, HOST, &statements.concat());
        if now_ms == LEARNED_MS || second % 3 == 0 {
            continue;
        }
        for (key, factor) in FACTORS {
            let run = 1_000 + 10 * second + key;
            let placed = cell.place(now_ms, &only_on(key, request(run, 2_800, 16, 8)));
            assert!(matches!(placed, Placement::On { .. }));
            let first_ms = (400.0 * factor) as u64;
            let end = RunEnd {
                out_tokens: 8,
                is_complete: true,
                first_ms: Some(first_ms),
            };
            cell.end(now_ms + first_ms, RunKey(run), end);
        }
    }
    cell
}

struct Beside {
    /// Bound of the answers on the slow engine, and the longest pause that they have had.
    running_bound_ms: Option<u64>,
    longest_pause_ms: u64,
    /// Bound of the answer that starts.
    own_bound_ms: Option<u64>,
    expected: u64,
}

/// Guards against answers that become late because a prompt is prefilled beside them on a slow
/// engine, although a fast one would finish it in time after a short wait. An answer that is late
/// already has nothing more to lose, and neither has one without a bound.
#[rstest]
#[case::no_bound(Beside {
    running_bound_ms: None, longest_pause_ms: 100, own_bound_ms: None, expected: SLOW,
})]
#[case::running_answers_at_risk(Beside {
    running_bound_ms: Some(BOUND_MS), longest_pause_ms: 100, own_bound_ms: None, expected: FAST,
})]
#[case::running_answers_are_late(Beside {
    running_bound_ms: Some(BOUND_MS), longest_pause_ms: 200, own_bound_ms: None, expected: SLOW,
})]
#[case::loose_bound(Beside {
    running_bound_ms: Some(1_000), longest_pause_ms: 100, own_bound_ms: None, expected: SLOW,
})]
#[case::own_answer_at_risk(Beside {
    running_bound_ms: None, longest_pause_ms: 100, own_bound_ms: Some(BOUND_MS), expected: FAST,
})]
fn prompts_start_where_no_answer_becomes_late(#[case] case: Beside) {
    let mut cell = learned_cell();
    let running = (0..4).map(|run| RunStatement {
        gap_target_ms: case.running_bound_ms,
        longest_pause_ms: case.longest_pause_ms,
        ..statement(200 + run, SLOW, 100, 900)
    });
    cell.restate(LEARNED_MS, HOST, &running.collect::<Vec<_>>());
    cell.register(LEARNED_MS, engine(1, LOCAL, true));
    // The fast engine prefills this for about 0.5 s.
    cell.place(LEARNED_MS, &only_on(FAST, request(300, 6_000, 16, 8)));
    let placement_request = PlacementRequest {
        gap_target_ms: case.own_bound_ms,
        ..request(9, 2_000, 900, 800)
    };
    let placed = cell.place(LEARNED_MS, &placement_request);
    assert_eq!(engine_of(placed), Some(case.expected));
}

/// Migrates a generation with a bound to the empty engine several times, each with this pause.
fn learn_migrations(cell: &mut Cell, pause_ms: u64) {
    for turn in 0..8 {
        let now_ms = LEARNED_MS + 1 + turn * 500;
        let run = 400 + turn;
        let bounded = |key, tokens, longest_pause_ms| RunStatement {
            gap_target_ms: Some(BOUND_MS),
            longest_pause_ms,
            ..statement(run, key, tokens, 900)
        };
        cell.restate(now_ms, HOST, &[bounded(1, 100, 40)]);
        cell.register(now_ms, engine(1, LOCAL, true));
        let migration = cell
            .next_migration(now_ms, UpstreamKey(1))
            .expect("a migration");
        let moved_ms = now_ms + 50;
        cell.finish_migration(moved_ms, migration, MigrationOutcome::Moved);
        cell.restate(
            moved_ms + 410,
            HOST,
            &[bounded(migration.to.0, 140, pause_ms)],
        );
        cell.register(moved_ms + 410, engine(1, LOCAL, false));
    }
    cell.restate(LEARNED_MS + 4_100, HOST, &[]);
}

/// A leaving engine with a generation that may migrate to an empty slow or an empty fast engine.
fn leaving_cell(now_ms: u64, bound_ms: Option<u64>) -> Cell {
    let mut cell = learned_cell();
    learn_migrations(&mut cell, 170);
    cell.register(now_ms, engine(1, LOCAL, true));
    let leaving = RunStatement {
        gap_target_ms: bound_ms,
        longest_pause_ms: 40,
        ..statement(500, 1, 100, 900)
    };
    cell.restate(now_ms, HOST, &[leaving]);
    cell
}

/// Guards against destinations on which the next event comes so late that the pause of the
/// migration exceeds the bound. Without a risk the first engine by key is used.
#[rstest]
#[case::no_bound(None, SLOW)]
#[case::bound(Some(160), FAST)]
#[case::already_late(Some(30), SLOW)]
#[case::loose_bound(Some(2_000), SLOW)]
fn migrations_resume_within_the_bound(#[case] bound_ms: Option<u64>, #[case] expected: u64) {
    let now_ms = LEARNED_MS + 8_000;
    let mut cell = leaving_cell(now_ms, bound_ms);
    let migration = cell
        .next_migration(now_ms, UpstreamKey(1))
        .expect("a migration");
    assert_eq!(migration.to.0, expected);
}

/// Guards against a prompt whose prefill delays the next event of a generation that is about to
/// resume on the same engine.
#[rstest]
#[case::none_resumes(false, FAST)]
#[case::one_resumes(true, SLOW)]
fn prompts_avoid_engines_of_resuming_generations(#[case] resumes: bool, #[case] expected: u64) {
    let now_ms = LEARNED_MS + 8_000;
    let mut cell = leaving_cell(now_ms, Some(160));
    if resumes {
        let migration = cell
            .next_migration(now_ms, UpstreamKey(1))
            .expect("a migration");
        assert_eq!(migration.to.0, FAST);
    }
    let placed = cell.place(now_ms + 20, &request(9, 2_000, 16, 8));
    assert_eq!(engine_of(placed), Some(expected));
}
