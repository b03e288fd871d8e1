//! Migration of generations off a leaving engine, and its interaction with backup copies.

use fulmarpath_policy::{
    Cell, CellEngine, Migration, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey,
    RunStatement, UpstreamKey,
};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, REMOTE, cell, engine, engine_of, request, statement};

fn migrations(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<Migration> {
    let next = || cell.next_migration(now_ms, UpstreamKey(from));
    std::iter::from_fn(next).collect()
}

/// Migrates generations one by one, each as soon as the previous one has moved.
fn migrate_one_by_one(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<u64> {
    let mut runs = Vec::new();
    while let Some(migration) = cell.next_migration(now_ms, UpstreamKey(from)) {
        runs.push(migration.run.0);
        cell.finish_migration(now_ms, migration, MigrationOutcome::Moved);
    }
    runs
}

/// Guards against the wrong order of migrations after an engine gives notice. Generations that
/// would be lost are migrated, the largest loss first. One that ends in time by itself stays, and
/// one that has not started yet cannot be migrated.
#[test]
fn migrates_what_would_be_lost() {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let held = [
        statement(1, 1, 100, 900),
        statement(2, 1, 100, 400),
        statement(3, 1, 10, 14),
    ];
    cell.restate(0, HOST, &held);
    cell.place(
        0,
        &PlacementRequest {
            excluded: vec![UpstreamKey(2)],
            ..request(4, 6_000, 900, 800)
        },
    );
    cell.set_engines(10, &[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    assert_eq!(cell.leaving_engines(), [UpstreamKey(1)]);
    assert_eq!(migrate_one_by_one(&mut cell, 20, 1), [1, 2]);
    let later = migrate_one_by_one(&mut cell, 900, 1);
    assert_eq!(later, [4], "its prompt is prefilled by now");
}

/// Selects destinations for the generations of a leaving engine: local engines first, then the one
/// with a free link, never one that is leaving or full.
#[rstest]
#[case::local(vec![engine(2, REMOTE, false), engine(3, LOCAL, false)], vec![], Some(3))]
#[case::remote_if_local_leaves(vec![engine(2, REMOTE, false), engine(3, LOCAL, true)], vec![], Some(2))]
#[case::not_where_it_is_full(
    vec![engine(2, REMOTE, false), engine(3, LOCAL, false)],
    (50..58).map(|run| statement(run, 3, 100, 900)).collect(),
    Some(2)
)]
#[case::nowhere(vec![engine(3, LOCAL, true)], vec![], None)]
fn migrates_to_engines_with_room(
    #[case] others: Vec<CellEngine>,
    #[case] held: Vec<RunStatement>,
    #[case] expected: Option<u64>,
) {
    let mut engines = vec![engine(1, LOCAL, true)];
    engines.extend(others);
    let mut cell = cell(&engines);
    let mut all = vec![statement(1, 1, 100, 900)];
    all.extend(held);
    cell.restate(0, HOST, &all);
    let to = cell
        .next_migration(5, UpstreamKey(1))
        .map(|migration| migration.to.0);
    assert_eq!(to, expected);
}

/// Two generations that leave together use the links of two destinations instead of waiting for
/// one.
#[test]
fn transfers_use_free_links() {
    let mut cell = cell(&[
        engine(1, LOCAL, true),
        engine(2, LOCAL, false),
        engine(3, LOCAL, false),
    ]);
    cell.restate(
        0,
        HOST,
        &[statement(1, 1, 100, 900), statement(2, 1, 100, 900)],
    );
    let mut to: Vec<u64> = migrations(&mut cell, 5, 1)
        .iter()
        .map(|migration| migration.to.0)
        .collect();
    to.sort_unstable();
    assert_eq!(to, [2, 3]);
}

/// Guards against stopped generations that wait behind the long copy of another transfer. Two
/// engines leave and one destination is left, so it takes one transfer at a time. The second starts
/// when the first is over, or overdue because the host that performs it is frozen.
#[rstest]
#[case::ended(Some(MigrationOutcome::Moved), 300)]
#[case::refused(Some(MigrationOutcome::Refused), 600)]
#[case::overdue(None, 1_200)]
fn a_destination_takes_one_transfer_at_a_time(
    #[case] end: Option<MigrationOutcome>,
    #[case] then_ms: u64,
) {
    let mut cell = cell(&[
        engine(1, LOCAL, true),
        engine(2, LOCAL, true),
        engine(3, LOCAL, false),
    ]);
    cell.restate(
        0,
        HOST,
        &[statement(1, 1, 100, 900), statement(2, 2, 100, 900)],
    );
    let first = cell.next_migration(5, UpstreamKey(1)).expect("a migration");
    assert_eq!(cell.next_migration(10, UpstreamKey(2)), None);
    if let Some(end) = end {
        cell.finish_migration(250, first, end);
    }
    let second = cell.next_migration(then_ms, UpstreamKey(2));
    assert_eq!(second.map(|migration| migration.run.0), Some(2));
}

struct TimeLeft {
    /// Time left as stated by the engine, 600 ms after its notice.
    stated_ms: Option<u64>,
    /// When the transfer would start.
    at_ms: u64,
    starts: bool,
}

/// Guards against transfers that are cut by the end of their engine, which save nothing and take
/// memory on their destination. A transfer takes about 170 ms here and starts only if the engine
/// remains that long. If the engine has not stated its remaining time, the shortest notice is
/// assumed.
#[rstest]
#[case::shortest_notice(TimeLeft { stated_ms: None, at_ms: 1_200, starts: true })]
#[case::after_shortest_notice(TimeLeft { stated_ms: None, at_ms: 1_400, starts: false })]
#[case::longer_notice(TimeLeft { stated_ms: Some(2_100), at_ms: 1_800, starts: true })]
#[case::nearly_ended(TimeLeft { stated_ms: Some(2_100), at_ms: 2_000, starts: false })]
fn starts_no_transfer_that_would_be_cut(#[case] case: TimeLeft) {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    cell.restate(0, HOST, &[statement(1, 1, 100, 1_700)]);
    if let Some(stated_ms) = case.stated_ms {
        assert!(cell.set_time_left(600, UpstreamKey(1), stated_ms));
    }
    let migration = cell.next_migration(case.at_ms, UpstreamKey(1));
    assert_eq!(migration.is_some(), case.starts);
}

/// Guards against placing generations into memory that an orphaned copy holds. A transfer is cut by
/// the end of its engine, and its partial copy holds memory on the destination for about 9 s. A
/// prompt that would fit otherwise waits, and is placed afterwards.
#[test]
fn orphaned_copy_takes_memory() {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    let mut held = vec![statement(1, 1, 100, 900)];
    held.extend((50..56).map(|run| statement(run, 2, 400, 900)));
    cell.restate(0, HOST, &held);
    let migration = cell.next_migration(5, UpstreamKey(1)).expect("a migration");
    cell.finish_migration(200, migration, MigrationOutcome::Orphaned);
    let next = request(9, 4_000, 900, 800);
    assert!(matches!(cell.place(300, &next), Placement::Full { .. }));
    cell.restate(9_300, HOST, &held);
    assert_eq!(engine_of(cell.place(9_300, &next)), Some(2));
}

struct Outcome {
    end: MigrationOutcome,
    /// Number of migrations selected next, immediately and a while later.
    immediately: usize,
    later: usize,
    left: usize,
}

/// A generation that has moved is no longer migrated, one that has not moved is retried after a
/// short backoff in which others go, and one that has ended is removed.
#[rstest]
#[case::moved(Outcome { end: MigrationOutcome::Moved, immediately: 0, later: 0, left: 1 })]
#[case::not_moved(Outcome { end: MigrationOutcome::NotMoved, immediately: 0, later: 1, left: 1 })]
#[case::refused(Outcome { end: MigrationOutcome::Refused, immediately: 0, later: 1, left: 1 })]
#[case::orphaned(Outcome { end: MigrationOutcome::Orphaned, immediately: 0, later: 1, left: 1 })]
#[case::ended(Outcome { end: MigrationOutcome::Ended, immediately: 0, later: 0, left: 0 })]
fn outcomes_of_transfers(#[case] case: Outcome) {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    let migration = cell.next_migration(5, UpstreamKey(1)).expect("a migration");
    cell.finish_migration(200, migration, case.end);
    assert_eq!(migrations(&mut cell, 210, 1).len(), case.immediately);
    assert_eq!(migrations(&mut cell, 500, 1).len(), case.later);
    assert_eq!(cell.run_count(), case.left);
}

/// Guards against backup copies that delay migrations. The first part of a backup, the whole
/// prompt, would keep a generation that is stopped for its final short copy waiting. After an
/// engine gives notice, new generations get no backup until its own have left; once it is empty,
/// they get backups again.
#[test]
fn no_backup_starts_while_an_engine_drains() {
    let three = |leaves| {
        [
            engine(1, LOCAL, leaves),
            engine(2, LOCAL, false),
            engine(3, LOCAL, false),
        ]
    };
    let mut cell = cell(&three(false));
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    let placement_request = |run| PlacementRequest {
        can_back_up: true,
        ..request(run, 3_000, 900, 100)
    };
    let has_backup = |placed| match placed {
        Placement::On { backup, .. } => backup.is_some(),
        other => panic!("{other:?}"),
    };
    assert!(has_backup(cell.place(10, &placement_request(10))));
    cell.set_engines(20, &three(true));
    assert!(!has_backup(cell.place(30, &placement_request(11))));
    for run in [1, 10, 11] {
        cell.end(35, RunKey(run), RunEnd::default());
    }
    assert!(has_backup(cell.place(40, &placement_request(12))));
}

/// Guards against a migration that shares a link with a new backup copy. An engine gives notice
/// just after a generation has started elsewhere, whose backup is being copied to one of two
/// others. The migration goes to the third one.
#[test]
fn migration_avoids_links_with_new_backups() {
    let four = |leaves| [1, 2, 3, 4].map(|key| engine(key, LOCAL, leaves && key == 1));
    let mut cell = cell(&four(false));
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    let placement_request = PlacementRequest {
        can_back_up: true,
        ..request(10, 3_000, 900, 100)
    };
    let placed = cell.place(10, &placement_request);
    let Placement::On {
        engine: first,
        backup: Some(copy),
        ..
    } = placed
    else {
        panic!("{placed:?}");
    };
    cell.set_engines(20, &four(true));
    let migration = cell
        .next_migration(30, UpstreamKey(1))
        .expect("a migration");
    assert!(
        migration.to != copy && migration.to != first,
        "{migration:?}, copy at {copy:?}"
    );
}

/// Guards against new prompts that take the last room for a migration. An engine gives notice while
/// the only other one has room for one more generation. That room is reserved for the leaving
/// generation, whose prompt was already prefilled; a new one waits meanwhile.
#[test]
fn room_is_reserved_for_migration() {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let mut held = vec![statement(1, 1, 100, 900)];
    held.extend((50..57).map(|run| statement(run, 2, 400, 500)));
    cell.restate(0, HOST, &held);
    let new = request(9, 3_000, 900, 100);
    cell.set_engines(10, &[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    assert!(matches!(cell.place(20, &new), Placement::Full { .. }));
    let migration = cell
        .next_migration(30, UpstreamKey(1))
        .expect("a migration");
    assert_eq!(migration.to, UpstreamKey(2));
}

struct LateMigration {
    prompt_tokens: u32,
    now_ms: u64,
    is_migrated: bool,
}

/// Guards against losing a generation that only an overfull engine could take. An engine gives
/// notice, and the only other one has little room. Early in the notice period its generation waits
/// until something ends there. Near its end it is migrated even if the other engine becomes
/// slightly too full: that pauses a generation briefly, whereas staying would cut it permanently. A
/// far too large one stays, because it would pause several.
#[rstest]
#[case::early(LateMigration { prompt_tokens: 3_000, now_ms: 100, is_migrated: false })]
#[case::late(LateMigration { prompt_tokens: 3_000, now_ms: 1_050, is_migrated: true })]
#[case::late_and_large(LateMigration { prompt_tokens: 5_000, now_ms: 1_050, is_migrated: false })]
#[case::too_late(LateMigration { prompt_tokens: 3_000, now_ms: 1_450, is_migrated: false })]
fn late_migration_may_overfill_an_engine(#[case] case: LateMigration) {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    let leaves = RunStatement {
        prompt_tokens: case.prompt_tokens,
        ..statement(1, 1, 100, 900)
    };
    let stays = (50..58).map(|run| statement(run, 2, 490, 500));
    let held: Vec<RunStatement> = stays.chain([leaves]).collect();
    // Stated at the time of the migration, so no output since then is extrapolated.
    cell.restate(case.now_ms, HOST, &held);
    let migration = cell.next_migration(case.now_ms, UpstreamKey(1));
    assert_eq!(migration.is_some(), case.is_migrated, "{migration:?}");
}
