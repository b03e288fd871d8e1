//! Migrations between two cells, for generations of a leaving engine without a destination in its
//! own cell.

use fulmarpath_policy::{
    Cell, HostKey, IncomingMigration, Migration, MigrationOutcome, Millis, RunKey, RunStatement,
    UpstreamKey,
};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, REMOTE, cell, engine, engine_of, request, statement};

const LEAVING: UpstreamKey = UpstreamKey(1);

/// A cell whose engine 1 leaves at 10 ms with two long generations, and that has this many
/// generations on its other engine.
fn leaving_cell(others: u64) -> Cell {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let leaving = [statement(1, 1, 300, 900), statement(2, 1, 100, 900)];
    let others = (10..10 + others).map(|run| statement(run, 2, 100, 900));
    let all: Vec<RunStatement> = leaving.into_iter().chain(others).collect();
    cell.restate(0, HOST, &all);
    cell.set_engines(10, &[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    cell
}

/// The cell that takes generations, with this many on its engine 50.
fn taking_cell(runs: u64) -> Cell {
    let mut cell = cell(&[engine(50, REMOTE, false)]);
    let runs: Vec<RunStatement> = (100..100 + runs)
        .map(|run| statement(run, 50, 100, 900))
        .collect();
    cell.restate(0, HOST, &runs);
    cell
}

fn incoming(left_ms: Millis) -> IncomingMigration {
    IncomingMigration {
        statement: statement(1, 1, 300, 900),
        host: HOST,
        data_centre: LOCAL,
        left_ms,
    }
}

struct Leaving {
    /// Generations on the other engine of the cell; eight fill it.
    others: u64,
    now_ms: Millis,
    expected: Option<u64>,
}

/// Guards against generations that cross the border although their own cell has room, and against
/// those that are lost although another cell could take them. One with the largest loss goes first;
/// none does if no transfer ends in time.
#[rstest]
#[case::room_in_the_own_cell(Leaving { others: 0, now_ms: 20, expected: None })]
#[case::no_room_in_the_own_cell(Leaving { others: 9, now_ms: 20, expected: Some(1) })]
#[case::little_time_left(Leaving { others: 0, now_ms: 1_200, expected: Some(1) })]
#[case::no_time_left(Leaving { others: 9, now_ms: 1_400, expected: None })]
fn leaves_the_cell_if_it_must(#[case] case: Leaving) {
    let cell = leaving_cell(case.others);
    let outgoing = cell.unplaceable_migration(case.now_ms, LEAVING);
    let run = outgoing.map(|outgoing| outgoing.statement.run.0);
    assert_eq!(run, case.expected);
    if let Some(outgoing) = outgoing {
        assert_eq!(outgoing.host, HOST);
        assert_eq!(outgoing.left_ms, 1_510 - case.now_ms);
        assert!(outgoing.statement.out_tokens >= 300);
    }
}

/// Guards against a second transfer over the source's link, and against a generation that its former
/// home goes on counting or migrating.
#[rstest]
#[case::moved(MigrationOutcome::Moved, &[2])]
#[case::not_moved(MigrationOutcome::NotMoved, &[2, 1])]
#[case::ended(MigrationOutcome::Ended, &[2])]
fn the_source_follows_the_outcome(#[case] outcome: MigrationOutcome, #[case] then: &[u64]) {
    let mut cell = leaving_cell(9);
    let next = |cell: &Cell, now_ms| {
        let outgoing = cell.unplaceable_migration(now_ms, LEAVING)?;
        Some(outgoing.statement.run.0)
    };
    assert_eq!(next(&cell, 20), Some(1));
    let to = UpstreamKey(50);
    let migration = cell.begin_outgoing(RunKey(1), LEAVING, to);
    let migration = migration.expect("it runs there");
    let expected = Migration {
        run: RunKey(1),
        host: HOST,
        from: LEAVING,
        to,
    };
    assert_eq!(migration, expected);
    assert_eq!(cell.begin_outgoing(RunKey(1), LEAVING, to), None);
    cell.finish_outgoing(30, migration, outcome);
    let mut left = Vec::new();
    for now_ms in [40, 200] {
        if let Some(run) = next(&cell, now_ms) {
            left.push(run);
            let migration = cell.begin_outgoing(RunKey(run), LEAVING, to);
            let migration = migration.expect("it runs there");
            cell.finish_outgoing(now_ms, migration, MigrationOutcome::Moved);
        }
    }
    assert_eq!(left, then);
}

/// Guards against a destination without room, or without time for the transfer.
#[rstest]
#[case::empty(0, 1_500, true)]
#[case::has_room(5, 1_500, true)]
#[case::full(8, 1_500, false)]
#[case::too_late(0, 200, false)]
fn reserves_where_there_is_room(
    #[case] runs: u64,
    #[case] left_ms: Millis,
    #[case] is_reserved: bool,
) {
    let mut cell = taking_cell(runs);
    let reserved = cell.reserve_incoming(100, &incoming(left_ms));
    assert_eq!(reserved, is_reserved.then_some(UpstreamKey(50)));
    assert_eq!(cell.run_count() as u64, runs + u64::from(is_reserved));
}

/// Guards against two transfers to one engine at a time: the final short copies, during which the
/// generations are stopped, would wait for each other.
#[test]
fn a_destination_receives_one_at_a_time() {
    let mut cell = taking_cell(0);
    let second = IncomingMigration {
        statement: statement(2, 1, 300, 900),
        ..incoming(1_500)
    };
    assert!(cell.reserve_incoming(100, &incoming(1_500)).is_some());
    assert_eq!(cell.reserve_incoming(110, &second), None);
    cell.finish_incoming(400, RunKey(1), MigrationOutcome::Moved);
    assert!(cell.reserve_incoming(410, &second).is_some());
}

/// Guards against a generation that is lost because one from another cell took the room of the own
/// cell's leaving engine.
#[test]
fn own_leaving_generations_come_first() {
    let mut cell = cell(&[engine(50, REMOTE, false), engine(51, REMOTE, false)]);
    let leaving = [statement(200, 51, 100, 900)];
    let runs = (100..106).map(|run| statement(run, 50, 100, 900));
    let all: Vec<RunStatement> = leaving.into_iter().chain(runs).collect();
    cell.restate(0, HOST, &all);
    let before = cell.reserve_incoming(10, &incoming(1_500));
    assert_eq!(before, Some(UpstreamKey(51)));
    cell.finish_incoming(20, RunKey(1), MigrationOutcome::Ended);
    cell.set_engines(30, &[engine(50, REMOTE, false), engine(51, REMOTE, true)]);
    let large = IncomingMigration {
        statement: RunStatement {
            prompt_tokens: 5_000,
            ..statement(1, 1, 300, 900)
        },
        ..incoming(1_500)
    };
    assert_eq!(cell.reserve_incoming(40, &large), None);
    assert!(cell.next_migration(50, UpstreamKey(51)).is_some());
}

struct Reserved {
    /// Whether its host states it here before the outcome is reported.
    is_stated: bool,
    outcome: Option<MigrationOutcome>,
    /// Generations that are counted at the end: right after the outcome, and after the reservation.
    counted: [usize; 2],
}

/// Guards against memory that stays reserved for a generation that never came, and against one that
/// runs here uncounted.
#[rstest]
#[case::moved_and_stated(Reserved { is_stated: true, outcome: Some(MigrationOutcome::Moved), counted: [1, 1] })]
#[case::moved_but_never_stated(Reserved { is_stated: false, outcome: Some(MigrationOutcome::Moved), counted: [1, 0] })]
#[case::not_moved(Reserved { is_stated: false, outcome: Some(MigrationOutcome::NotMoved), counted: [0, 0] })]
#[case::refused(Reserved { is_stated: false, outcome: Some(MigrationOutcome::Refused), counted: [0, 0] })]
#[case::orphaned(Reserved { is_stated: false, outcome: Some(MigrationOutcome::Orphaned), counted: [0, 0] })]
#[case::unconfirmed_but_stated(Reserved { is_stated: true, outcome: Some(MigrationOutcome::Orphaned), counted: [1, 1] })]
#[case::ended(Reserved { is_stated: true, outcome: Some(MigrationOutcome::Ended), counted: [0, 0] })]
#[case::never_reported(Reserved { is_stated: false, outcome: None, counted: [1, 0] })]
#[case::stated_but_never_reported(Reserved { is_stated: true, outcome: None, counted: [1, 1] })]
fn a_reservation_ends(#[case] case: Reserved) {
    let mut cell = taking_cell(0);
    assert!(cell.reserve_incoming(100, &incoming(1_500)).is_some());
    if case.is_stated {
        cell.restate(300, HOST, &[statement(1, 50, 320, 900)]);
    }
    if let Some(outcome) = case.outcome {
        cell.finish_incoming(400, RunKey(1), outcome);
    }
    assert_eq!(cell.run_count(), case.counted[0]);
    cell.restate(3_000, HostKey(8), &[]);
    assert_eq!(cell.run_count(), case.counted[1]);
}

/// Guards against a destination that looks empty: a partial copy whose id is unknown holds memory
/// there, and one that had no room has none a moment later.
#[rstest]
#[case::orphaned(MigrationOutcome::Orphaned, 400)]
#[case::refused(MigrationOutcome::Refused, 400)]
fn a_failed_transfer_is_counted(#[case] outcome: MigrationOutcome, #[case] now_ms: Millis) {
    let mut cell = taking_cell(7);
    assert!(cell.reserve_incoming(100, &incoming(1_500)).is_some());
    cell.finish_incoming(now_ms, RunKey(1), outcome);
    assert_eq!(cell.reserve_incoming(now_ms, &incoming(1_500)), None);
}

/// Guards against new generations on memory that is reserved for one that is on its way.
#[test]
fn reserved_memory_is_not_given_away() {
    let mut cell = taking_cell(7);
    let new = request(300, 3_000, 900, 800);
    assert!(cell.reserve_incoming(100, &incoming(1_500)).is_some());
    assert_eq!(engine_of(cell.place(110, &new)), None);
    cell.finish_incoming(120, RunKey(1), MigrationOutcome::NotMoved);
    assert_eq!(engine_of(cell.place(130, &new)), Some(50));
}
