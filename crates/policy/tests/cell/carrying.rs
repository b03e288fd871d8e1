//! The way of generations off a leaving engine, and the copies beside them.

use fulmarpath_policy::{
    Cell, CellEngine, Migration, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey,
    RunStatement, UpstreamKey,
};
use rstest::rstest;

use crate::fixtures::{FAR, ME, NEAR, cell, engine, engine_of, request, statement};

fn carries(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<Migration> {
    let next = || cell.next_migration(now_ms, UpstreamKey(from));
    std::iter::from_fn(next).collect()
}

/// Carries one generation after the other, each as soon as the one before has moved.
fn carried_in_turn(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<u64> {
    let mut runs = Vec::new();
    while let Some(carry) = cell.next_migration(now_ms, UpstreamKey(from)) {
        runs.push(carry.run.0);
        cell.finish_migration(now_ms, carry, MigrationOutcome::Moved);
    }
    runs
}

/// An engine gives notice. What would be lost goes, the larger loss first; what ends in time by
/// itself stays; what hasn't begun can't be moved yet.
#[test]
fn carries_what_would_be_lost() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, false)]);
    let held = [
        statement(1, 1, 100, 900),
        statement(2, 1, 100, 400),
        statement(3, 1, 10, 14),
    ];
    cell.restate(0, ME, &held);
    cell.place(
        0,
        &PlacementRequest {
            excluded: vec![UpstreamKey(2)],
            ..request(4, 6_000, 900, 800)
        },
    );
    cell.set_engines(10, &[engine(1, NEAR, true), engine(2, NEAR, false)]);
    assert_eq!(cell.leaving_engines(), [UpstreamKey(1)]);
    assert_eq!(carried_in_turn(&mut cell, 20, 1), [1, 2]);
    let later = carried_in_turn(&mut cell, 900, 1);
    assert_eq!(later, [4], "its prompt has been read by now");
}

/// Where generations of a leaving engine go: near engines first, to the one whose link is free,
/// never to one that leaves as well or is full.
#[rstest]
#[case::near(vec![engine(2, FAR, false), engine(3, NEAR, false)], vec![], Some(3))]
#[case::far_where_near_leaves(vec![engine(2, FAR, false), engine(3, NEAR, true)], vec![], Some(2))]
#[case::not_where_it_is_full(
    vec![engine(2, FAR, false), engine(3, NEAR, false)],
    (50..58).map(|run| statement(run, 3, 100, 900)).collect(),
    Some(2)
)]
#[case::nowhere(vec![engine(3, NEAR, true)], vec![], None)]
fn carries_to_engines_with_room(
    #[case] others: Vec<CellEngine>,
    #[case] held: Vec<RunStatement>,
    #[case] expected: Option<u64>,
) {
    let mut engines = vec![engine(1, NEAR, true)];
    engines.extend(others);
    let mut cell = cell(&engines);
    let mut all = vec![statement(1, 1, 100, 900)];
    all.extend(held);
    cell.restate(0, ME, &all);
    let to = cell
        .next_migration(5, UpstreamKey(1))
        .map(|carry| carry.to.0);
    assert_eq!(to, expected);
}

/// Two generations that leave together use two destinations' links rather than wait for one.
#[test]
fn transfers_use_free_links() {
    let mut cell = cell(&[
        engine(1, NEAR, true),
        engine(2, NEAR, false),
        engine(3, NEAR, false),
    ]);
    cell.restate(
        0,
        ME,
        &[statement(1, 1, 100, 900), statement(2, 1, 100, 900)],
    );
    let mut to: Vec<u64> = carries(&mut cell, 5, 1)
        .iter()
        .map(|carry| carry.to.0)
        .collect();
    to.sort_unstable();
    assert_eq!(to, [2, 3]);
}

/// Two engines leave, and one destination is left: it takes one transfer at a time, so that no
/// stopped generation waits behind another's long copy. The second begins when the first is over,
/// or overdue because the host that carries it is frozen.
#[rstest]
#[case::over(Some(MigrationOutcome::Moved), 300)]
#[case::refused(Some(MigrationOutcome::Refused), 600)]
#[case::overdue(None, 1_200)]
fn a_destination_takes_one_transfer_at_a_time(
    #[case] end: Option<MigrationOutcome>,
    #[case] then_ms: u64,
) {
    let mut cell = cell(&[
        engine(1, NEAR, true),
        engine(2, NEAR, true),
        engine(3, NEAR, false),
    ]);
    cell.restate(
        0,
        ME,
        &[statement(1, 1, 100, 900), statement(2, 2, 100, 900)],
    );
    let first = cell
        .next_migration(5, UpstreamKey(1))
        .expect("it is carried");
    assert_eq!(cell.next_migration(10, UpstreamKey(2)), None);
    if let Some(end) = end {
        cell.finish_migration(250, first, end);
    }
    let second = cell.next_migration(then_ms, UpstreamKey(2));
    assert_eq!(second.map(|carry| carry.run.0), Some(2));
}

struct TimeLeft {
    /// What the engine has said, 600 ms after its notice.
    stated_ms: Option<u64>,
    /// When the transfer would begin.
    at_ms: u64,
    begins: bool,
}

/// A transfer takes some 170 ms here. It begins only if the engine is there for so long: what is
/// cut saves nothing and takes memory at its destination. An engine that has not said when it goes
/// is trusted for the shortest notice.
#[rstest]
#[case::shortest_notice(TimeLeft { stated_ms: None, at_ms: 1_200, begins: true })]
#[case::after_it(TimeLeft { stated_ms: None, at_ms: 1_400, begins: false })]
#[case::longer_notice(TimeLeft { stated_ms: Some(2_100), at_ms: 1_800, begins: true })]
#[case::nearly_gone(TimeLeft { stated_ms: Some(2_100), at_ms: 2_000, begins: false })]
fn begins_no_transfer_that_would_be_cut(#[case] case: TimeLeft) {
    let mut cell = cell(&[engine(1, NEAR, true), engine(2, NEAR, false)]);
    cell.restate(0, ME, &[statement(1, 1, 100, 1_700)]);
    if let Some(stated_ms) = case.stated_ms {
        assert!(cell.set_time_left(600, UpstreamKey(1), stated_ms));
    }
    let carry = cell.next_migration(case.at_ms, UpstreamKey(1));
    assert_eq!(carry.is_some(), case.begins);
}

/// A transfer is cut by its engine's end. What it brought so far holds memory at the destination
/// for some 9 s, so a prompt that would fit without it waits, and is let in afterwards.
#[test]
fn what_a_cut_transfer_left_behind_takes_memory() {
    let mut cell = cell(&[engine(1, NEAR, true), engine(2, NEAR, false)]);
    let mut held = vec![statement(1, 1, 100, 900)];
    held.extend((50..56).map(|run| statement(run, 2, 400, 900)));
    cell.restate(0, ME, &held);
    let carry = cell
        .next_migration(5, UpstreamKey(1))
        .expect("it is carried");
    cell.finish_migration(200, carry, MigrationOutcome::Orphaned);
    let next = request(9, 4_000, 900, 800);
    assert!(matches!(cell.place(300, &next), Placement::Full { .. }));
    cell.restate(9_300, ME, &held);
    assert_eq!(engine_of(cell.place(9_300, &next)), Some(2));
}

struct End {
    end: MigrationOutcome,
    /// Generations that are carried next, at once and a while later.
    at_once: usize,
    later: usize,
    left: usize,
}

/// A transfer ends: a moved generation is gone from there, one that stayed is tried again after a
/// short rest in which others go, one that is over is forgotten.
#[rstest]
#[case::moved(End { end: MigrationOutcome::Moved, at_once: 0, later: 0, left: 1 })]
#[case::stayed(End { end: MigrationOutcome::NotMoved, at_once: 0, later: 1, left: 1 })]
#[case::refused(End { end: MigrationOutcome::Refused, at_once: 0, later: 1, left: 1 })]
#[case::left_behind(End { end: MigrationOutcome::Orphaned, at_once: 0, later: 1, left: 1 })]
#[case::over(End { end: MigrationOutcome::Ended, at_once: 0, later: 0, left: 0 })]
fn ends_of_transfers(#[case] case: End) {
    let mut cell = cell(&[engine(1, NEAR, true), engine(2, NEAR, false)]);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    let carry = cell
        .next_migration(5, UpstreamKey(1))
        .expect("it is carried");
    cell.finish_migration(200, carry, case.end);
    assert_eq!(carries(&mut cell, 210, 1).len(), case.at_once);
    assert_eq!(carries(&mut cell, 500, 1).len(), case.later);
    assert_eq!(cell.run_count(), case.left);
}

/// An engine gives notice. New generations get no running copy until its own have left, since the first
/// part of a copy, the whole prompt, would keep a generation that stands still for its last short one
/// waiting. Once it is empty, they get copies again.
#[test]
fn no_copy_begins_while_an_engine_empties() {
    let three = |leaves| {
        [
            engine(1, NEAR, leaves),
            engine(2, NEAR, false),
            engine(3, NEAR, false),
        ]
    };
    let mut cell = cell(&three(false));
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    let asked = |run| PlacementRequest {
        can_back_up: true,
        ..request(run, 3_000, 900, 100)
    };
    let has_copy = |placed| match placed {
        Placement::On { backup, .. } => backup.is_some(),
        other => panic!("{other:?}"),
    };
    assert!(has_copy(cell.place(10, &asked(10))));
    cell.set_engines(20, &three(true));
    assert!(!has_copy(cell.place(30, &asked(11))));
    for run in [1, 10, 11] {
        cell.end(35, RunKey(run), RunEnd::default());
    }
    assert!(has_copy(cell.place(40, &asked(12))));
}

/// An engine gives notice just after a generation has begun elsewhere, whose running copy is on its way
/// to one of two others. What leaves goes to the third, where nothing is in its way.
#[test]
fn what_leaves_keeps_off_links_with_new_copies() {
    let four = |leaves| [1, 2, 3, 4].map(|key| engine(key, NEAR, leaves && key == 1));
    let mut cell = cell(&four(false));
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    let asked = PlacementRequest {
        can_back_up: true,
        ..request(10, 3_000, 900, 100)
    };
    let placed = cell.place(10, &asked);
    let Placement::On {
        engine: first,
        backup: Some(copy),
        ..
    } = placed
    else {
        panic!("{placed:?}");
    };
    cell.set_engines(20, &four(true));
    let carry = cell
        .next_migration(30, UpstreamKey(1))
        .expect("it is carried");
    assert!(
        carry.to != copy && carry.to != first,
        "{carry:?}, copy at {copy:?}"
    );
}

/// An engine gives notice while the only other one has room for one generation more. That room is
/// kept for the generation that leaves, whose prompt was read already; a new one waits until then.
#[test]
fn room_is_kept_for_what_leaves() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, false)]);
    let mut held = vec![statement(1, 1, 100, 900)];
    held.extend((50..57).map(|run| statement(run, 2, 400, 500)));
    cell.restate(0, ME, &held);
    let new = request(9, 3_000, 900, 100);
    cell.set_engines(10, &[engine(1, NEAR, true), engine(2, NEAR, false)]);
    assert!(matches!(cell.place(20, &new), Placement::Full { .. }));
    let carry = cell
        .next_migration(30, UpstreamKey(1))
        .expect("it is carried");
    assert_eq!(carry.to, UpstreamKey(2));
}

struct LastMoments {
    prompt_tokens: u32,
    now_ms: u64,
    is_carried: bool,
}

/// An engine gives notice, and the only other one has little room. Early in the notice its generation
/// waits until something ends there. Near its end it goes all the same, where the other engine would be
/// a little too full: that pauses somebody for a moment, and staying would cut it for good. Far too much
/// stays: it would pause several.
#[rstest]
#[case::early(LastMoments { prompt_tokens: 3_000, now_ms: 100, is_carried: false })]
#[case::late(LastMoments { prompt_tokens: 3_000, now_ms: 1_050, is_carried: true })]
#[case::late_and_large(LastMoments { prompt_tokens: 5_000, now_ms: 1_050, is_carried: false })]
#[case::too_late(LastMoments { prompt_tokens: 3_000, now_ms: 1_450, is_carried: false })]
fn a_fuller_engine_takes_what_would_be_cut(#[case] case: LastMoments) {
    let mut cell = cell(&[engine(1, NEAR, true), engine(2, NEAR, false)]);
    let leaves = RunStatement {
        prompt_tokens: case.prompt_tokens,
        ..statement(1, 1, 100, 900)
    };
    let stays = (50..58).map(|run| statement(run, 2, 490, 500));
    let held: Vec<RunStatement> = stays.chain([leaves]).collect();
    // Restated at the same moment, nothing more is expected to be out.
    cell.restate(case.now_ms, ME, &held);
    let carry = cell.next_migration(case.now_ms, UpstreamKey(1));
    assert_eq!(carry.is_some(), case.is_carried, "{carry:?}");
}
