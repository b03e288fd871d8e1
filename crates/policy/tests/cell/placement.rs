//! Selection of the engine on which a generation starts.

use std::collections::BTreeMap;

use fulmarpath_policy::{CellEngine, Placement, PlacementRequest, RunStatement, UpstreamKey};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, REMOTE, cell, engine, engine_of, request, statement};

struct Choice {
    engines: Vec<CellEngine>,
    held: Vec<RunStatement>,
    request: PlacementRequest,
    expected: Option<u64>,
}

/// Places one generation in a cell of a given state.
#[rstest]
#[case::local_before_remote(Choice {
    engines: vec![engine(1, REMOTE, false), engine(2, LOCAL, false)],
    held: vec![],
    request: request(9, 3_000, 900, 800),
    expected: Some(2),
})]
#[case::leaving_engine_gets_nothing(Choice {
    engines: vec![engine(1, REMOTE, false), engine(2, LOCAL, true)],
    held: vec![],
    request: request(9, 3_000, 900, 800),
    expected: Some(1),
})]
#[case::emptier_engine_is_chosen(Choice {
    engines: vec![engine(1, LOCAL, false), engine(2, LOCAL, false)],
    held: vec![statement(1, 1, 100, 900), statement(2, 1, 100, 900)],
    request: request(9, 3_000, 900, 800),
    expected: Some(2),
})]
#[case::excluded_engine_is_skipped(Choice {
    engines: vec![engine(1, LOCAL, false), engine(2, LOCAL, false)],
    held: vec![],
    request: PlacementRequest { excluded: vec![UpstreamKey(1)], ..request(9, 3_000, 900, 800) },
    expected: Some(2),
})]
#[case::a_full_engine_is_full(Choice {
    engines: vec![engine(1, LOCAL, false)],
    held: (0..8).map(|run| statement(run, 1, 100, 900)).collect(),
    request: request(9, 3_000, 900, 800),
    expected: None,
})]
#[case::a_short_answer_fits_where_a_long_one_does_not(Choice {
    engines: vec![engine(1, LOCAL, false)],
    held: (0..7).map(|run| statement(run, 1, 100, 900)).collect(),
    request: request(9, 1_000, 40, 20),
    expected: Some(1),
})]
#[case::no_engine(Choice {
    engines: vec![],
    held: vec![],
    request: request(9, 3_000, 900, 800),
    expected: None,
})]
fn places_by_room_and_distance(#[case] case: Choice) {
    let mut cell = cell(&case.engines);
    cell.restate(0, HOST, &case.held);
    assert_eq!(engine_of(cell.place(10, &case.request)), case.expected);
}

/// A prompt that fits into no engine, however empty, is refused as too large at once; one that only
/// lacks room now gets a retry delay.
#[test]
fn oversized_prompt_is_refused_at_once() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let huge = request(1, 30_000, 900, 800);
    assert_eq!(cell.place(10, &huge), Placement::TooLarge);
    let held: Vec<RunStatement> = (10..18).map(|run| statement(run, 1, 100, 900)).collect();
    cell.restate(10, HOST, &held);
    let usual = request(2, 3_000, 900, 800);
    assert!(matches!(cell.place(20, &usual), Placement::Full { .. }));
}

/// Guards against prompts that arrive together on one engine: each delays the tokens of all others
/// there.
#[test]
fn prompts_are_spread() {
    let engines: Vec<CellEngine> = (1..=5).map(|key| engine(key, LOCAL, false)).collect();
    let mut cell = cell(&engines);
    let mut used: Vec<u64> = (0..10)
        .filter_map(|run| engine_of(cell.place(5, &request(run, 3_000, 900, 800))))
        .collect();
    used.sort_unstable();
    assert_eq!(used, [1, 1, 2, 2, 3, 3, 4, 4, 5, 5]);
}

/// Backup copies are kept while engines have room, and never delay a generation.
#[rstest]
#[case::room(0, true)]
#[case::crowded(1, false)]
fn keeps_backups_while_there_is_room(#[case] held_each: u64, #[case] expected: bool) {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let held: Vec<RunStatement> = (0..held_each)
        .flat_map(|run| {
            [
                statement(run, 1, 100, 900),
                statement(100 + run, 2, 100, 900),
            ]
        })
        .collect();
    cell.restate(0, HOST, &held);
    let placement_request = PlacementRequest {
        can_back_up: true,
        ..request(999, 3_000, 900, 800)
    };
    let Placement::On { engine, backup, .. } = cell.place(10, &placement_request) else {
        panic!("no engine for the generation itself");
    };
    assert_eq!(backup.is_some(), expected);
    assert_ne!(backup, Some(engine));
}

/// Guards against generations that meet on one engine when no home answers, as while all hosts
/// start: each host places by its own table, in which all engines look idle.
#[test]
fn hosts_without_a_home_use_different_engines() {
    let engines: Vec<CellEngine> = (1..=64).map(|key| engine(key, LOCAL, false)).collect();
    let mut placed: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for run in 0..64 {
        let mut own_table = cell(&engines);
        let request = request(run, 3_000, 900, 800);
        let Placement::On { engine, .. } = own_table.place_without_home(0, &request) else {
            panic!("generation {run} is not placed");
        };
        *placed.entry(engine).or_default() += 1;
    }
    let most = placed.values().max().copied().unwrap_or_default();
    assert!(most <= 6, "{most} of 64 generations on one of 64 engines");
}
