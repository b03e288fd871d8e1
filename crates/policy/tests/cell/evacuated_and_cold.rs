//! Evacuated and cold engines under many short prompts.

use fulmarpath_policy::{Cold, MigrationOutcome, Placement, RunEnd, RunKey, UpstreamKey};

use crate::fixtures::{HOST, LOCAL, REMOTE, cell, engine, engine_of, request, statement};

const COLD: Cold = Cold {
    until_ms: 3_000,
    starts: 3,
};

/// Guards against new work in an evacuated data centre, and against generations that are cut there.
#[test]
fn evacuated_engine_keeps_its_generations_only() {
    let mut evacuated = engine(1, LOCAL, false);
    let mut cell = cell(&[evacuated, engine(2, REMOTE, false)]);
    let first = engine_of(cell.place(0, &request(1, 2_000, 400, 200)));
    assert_eq!(first, Some(1), "local and equally empty");
    evacuated.is_evacuated = true;
    cell.set_engines(10, &[evacuated, engine(2, REMOTE, false)]);
    for run in 2..8 {
        let placed = engine_of(cell.place(20, &request(run, 500, 16, 8)));
        assert_eq!(placed, Some(2));
    }
    assert!(
        cell.leaving_engines().is_empty(),
        "its generations stay there"
    );
}

/// Guards against migrations of a leaving engine's generations into an evacuated data centre.
#[test]
fn nothing_migrates_to_an_evacuated_engine() {
    let mut evacuated = engine(2, LOCAL, false);
    evacuated.is_evacuated = true;
    let mut cell = cell(&[engine(1, LOCAL, true), evacuated, engine(3, REMOTE, false)]);
    cell.restate(0, HOST, &[statement(1, 1, 40, 900)]);
    let migration = cell
        .next_migration(10, UpstreamKey(1))
        .expect("a migration");
    assert_eq!(migration.to, UpstreamKey(3));
}

/// Guards against callers that wait for room when all data centres are evacuated.
#[test]
fn no_engine_if_all_are_evacuated() {
    let mut evacuated = engine(1, LOCAL, false);
    evacuated.is_evacuated = true;
    let placed = cell(&[evacuated]).place(0, &request(1, 2_000, 400, 200));
    assert_eq!(placed, Placement::NoEngine);
}

/// Guards against a cold engine that attracts many requests because it is the emptiest, and crashes
/// under them.
#[test]
fn cold_engine_keeps_its_start_rate() {
    let mut cold = engine(1, LOCAL, false);
    cold.cold = Some(COLD);
    let mut cell = cell(&[cold]);
    let mut started_ms = Vec::new();
    for (run, now_ms) in (0..2_900_u64).step_by(20).enumerate() {
        let run = run as u64;
        let placed = cell.place(now_ms, &request(run, 100, 8, 4));
        match engine_of(placed) {
            Some(_) => {
                started_ms.push(now_ms);
                cell.end(now_ms, RunKey(run), RunEnd::default());
            }
            None => assert!(matches!(placed, Placement::Full { .. })),
        }
    }
    for from_ms in &started_ms {
        let second = *from_ms..*from_ms + 1_000;
        let starts = started_ms
            .iter()
            .filter(|start_ms| second.contains(start_ms))
            .count();
        assert!(starts <= 3, "{starts} from {from_ms} ms on");
    }
    assert!(started_ms.len() >= 8);
    let warm = cell.place(3_000, &request(9_000, 100, 8, 4));
    assert_eq!(engine_of(warm), Some(1), "warm again");
}

/// Guards against migrations that exceed the start rate of a cold engine.
#[test]
fn migrations_count_as_starts() {
    let mut cold = engine(2, LOCAL, false);
    cold.cold = Some(Cold { starts: 1, ..COLD });
    let mut cell = cell(&[engine(1, LOCAL, true), cold]);
    let runs = [statement(1, 1, 40, 900), statement(2, 1, 50, 900)];
    cell.restate(0, HOST, &runs);
    let first = cell
        .next_migration(10, UpstreamKey(1))
        .expect("a migration");
    cell.finish_migration(60, first, MigrationOutcome::Moved);
    assert_eq!(cell.next_migration(70, UpstreamKey(1)), None);
    assert!(cell.next_migration(1_010, UpstreamKey(1)).is_some());
}
