//! Memory that a home has to count around the end of a migration.

use fulmarpath_policy::{
    Cell, Migration, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunStatement,
    UpstreamKey,
};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

/// Tokens of a generation, and of a request, that fit on an engine one at a time.
const LARGE_TOKENS: u32 = 20_000;

/// A cell in which a large generation is migrated from one engine to the only other one.
fn migrating() -> (Cell, Migration) {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    let held = RunStatement {
        prompt_tokens: LARGE_TOKENS,
        ..statement(1, 1, 100, 900)
    };
    cell.restate(0, HOST, &[held]);
    let migration = cell.next_migration(10, UpstreamKey(1));
    (cell, migration.expect("a migration"))
}

fn is_placed(cell: &mut Cell, now_ms: u64) -> bool {
    let request = request(9, LARGE_TOKENS, 64, 64);
    matches!(cell.place(now_ms, &request), Placement::On { .. })
}

/// How the host learns that a generation has ended during its transfer.
#[derive(Debug, Clone, Copy)]
enum LearnedBy {
    End,
    Statement,
}

/// Guards against an engine that gets more than its memory holds after a generation has ended, or
/// its caller has left, during its transfer: the copy takes memory at the destination until the
/// host has discarded it, which the outcome of the migration reports; and longer if it could not.
#[rstest]
#[case::by_its_end(LearnedBy::End, MigrationOutcome::Ended)]
#[case::by_a_statement(LearnedBy::Statement, MigrationOutcome::Ended)]
#[case::not_discarded(LearnedBy::End, MigrationOutcome::Orphaned)]
fn a_copy_of_an_ended_generation_takes_memory(
    #[case] learned_by: LearnedBy,
    #[case] outcome: MigrationOutcome,
) {
    let (mut cell, migration) = migrating();
    let now_ms = 2_000;
    match learned_by {
        LearnedBy::End => cell.end(now_ms, migration.run, RunEnd::default()),
        LearnedBy::Statement => cell.restate(now_ms, HOST, &[]),
    }
    assert!(!is_placed(&mut cell, now_ms), "the copy is still there");
    cell.finish_migration(now_ms + 10, migration, outcome);
    let is_discarded = outcome == MigrationOutcome::Ended;
    assert_eq!(is_placed(&mut cell, now_ms + 20), is_discarded);
}

/// Guards against an engine that gets more than its memory holds after a migration, because a
/// statement from before it arrives after its outcome and names the earlier engine.
#[test]
fn a_statement_from_before_a_migration_does_not_undo_it() {
    let mut cell = cell(&[
        engine(1, LOCAL, true),
        engine(2, LOCAL, false),
        engine(3, LOCAL, false),
    ]);
    let held = RunStatement {
        prompt_tokens: LARGE_TOKENS,
        ..statement(1, 1, 100, 900)
    };
    cell.restate(0, HOST, &[held]);
    let migration = cell.next_migration(10, UpstreamKey(1));
    let migration = migration.expect("a migration");
    assert_eq!(migration.to, UpstreamKey(2));
    cell.finish_migration(200, migration, MigrationOutcome::Moved);
    cell.restate(210, HOST, &[held]);
    let on_second = |run, prompt_tokens| PlacementRequest {
        excluded: vec![UpstreamKey(3)],
        ..request(run, prompt_tokens, 64, 64)
    };
    let small = cell.place(220, &on_second(8, 1_000));
    assert_eq!(engine_of(small), Some(2));
    let large = cell.place(230, &on_second(9, LARGE_TOKENS));
    assert_eq!(engine_of(large), None, "the migrated generation is there");
}
