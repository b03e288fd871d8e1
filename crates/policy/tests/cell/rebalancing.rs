//! Migrations between engines that stay, of answers that prompts beside them would make late.

use fulmarpath_policy::{Cell, MigrationOutcome, PlacementRequest, RunStatement, UpstreamKey};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, engine, request, statement};
use crate::pauses::{BOUND_MS, FAST, LEARNED_MS, SLOW, learned_cell, only_on};

struct AtRisk {
    bound_ms: Option<u64>,
    longest_pause_ms: u64,
    /// The engine on which it runs, and on which prompts are queued.
    runs_on: u64,
    queued_on: u64,
    expected: Option<u64>,
}

/// A cell in which a long answer runs on one engine, and prompts are queued.
fn cell_at_risk(case: &AtRisk) -> Cell {
    let mut cell = learned_cell();
    let answer = RunStatement {
        gap_target_ms: case.bound_ms,
        longest_pause_ms: case.longest_pause_ms,
        ..statement(200, case.runs_on, 100, 1_700)
    };
    cell.restate(LEARNED_MS, HOST, &[answer]);
    for run in [300, 301] {
        let prompt: PlacementRequest = request(run, 6_000, 16, 8);
        cell.place(LEARNED_MS, &only_on(case.queued_on, prompt));
    }
    cell
}

/// Guards against answers that become late although another engine has no prompts queued, and
/// against migrations without a gain, whose own pause makes answers late.
#[rstest]
#[case::at_risk(AtRisk {
    bound_ms: Some(BOUND_MS), longest_pause_ms: 100, runs_on: SLOW, queued_on: SLOW, expected: Some(1),
})]
#[case::no_bound(AtRisk {
    bound_ms: None, longest_pause_ms: 100, runs_on: SLOW, queued_on: SLOW, expected: None,
})]
#[case::loose_bound(AtRisk {
    bound_ms: Some(1_000), longest_pause_ms: 100, runs_on: SLOW, queued_on: SLOW, expected: None,
})]
#[case::already_late(AtRisk {
    bound_ms: Some(BOUND_MS), longest_pause_ms: 200, runs_on: SLOW, queued_on: SLOW, expected: None,
})]
#[case::no_prompt_is_queued(AtRisk {
    bound_ms: Some(BOUND_MS), longest_pause_ms: 100, runs_on: SLOW, queued_on: FAST, expected: None,
})]
#[case::fast_engine(AtRisk {
    bound_ms: Some(BOUND_MS), longest_pause_ms: 100, runs_on: FAST, queued_on: FAST, expected: None,
})]
fn answers_move_from_queued_prompts(#[case] case: AtRisk) {
    let mut cell = cell_at_risk(&case);
    let migration = cell.next_rebalancing(LEARNED_MS + 10);
    assert_eq!(migration.map(|migration| migration.to.0), case.expected);
}

const AT_RISK: AtRisk = AtRisk {
    bound_ms: Some(BOUND_MS),
    longest_pause_ms: 100,
    runs_on: SLOW,
    queued_on: SLOW,
    expected: Some(1),
};

/// Guards against two transfers on one link, and against a generation that is moved again while it
/// moves.
#[test]
fn an_engine_has_one_transfer_at_a_time() {
    let mut cell = cell_at_risk(&AT_RISK);
    let answers = [200, 201].map(|run| RunStatement {
        gap_target_ms: Some(BOUND_MS),
        ..statement(run, SLOW, 100, 1_700)
    });
    cell.restate(LEARNED_MS, HOST, &answers);
    let now_ms = LEARNED_MS + 10;
    let migration = cell.next_rebalancing(now_ms).expect("a migration");
    assert_eq!(cell.next_rebalancing(now_ms), None);
    cell.finish_migration(now_ms + 100, migration, MigrationOutcome::Moved);
    let next = cell
        .next_rebalancing(now_ms + 100)
        .expect("the other answer");
    assert_ne!(next.run, migration.run);
}

/// Guards against a generation that is ordered to move again at once after its migration failed,
/// and against answers that are moved off a leaving engine twice.
#[test]
fn failed_and_leaving_ones_are_left_alone() {
    let mut cell = cell_at_risk(&AT_RISK);
    let now_ms = LEARNED_MS + 10;
    let migration = cell.next_rebalancing(now_ms).expect("a migration");
    cell.finish_migration(now_ms + 50, migration, MigrationOutcome::NotMoved);
    assert_eq!(cell.next_rebalancing(now_ms + 60), None);
    assert!(cell.next_rebalancing(now_ms + 300).is_some());

    let mut cell = cell_at_risk(&AT_RISK);
    cell.register(now_ms, engine(SLOW, LOCAL, true));
    assert_eq!(cell.next_rebalancing(now_ms), None);
    let leaving = cell.next_migration(now_ms, UpstreamKey(SLOW));
    assert_eq!(leaving.map(|migration| migration.run.0), Some(200));
}
