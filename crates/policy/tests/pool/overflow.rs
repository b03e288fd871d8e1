//! Requests that a cell takes from another one, or that another one takes from it.

use fulmarpath_policy::{Cell, HostKey, OrganisationKey, Placement, PlacementRequest};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

/// A cell of one engine, on which this many generations of 3,500 tokens run; nine fill it.
fn cell_with(runs: u64) -> Cell {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let runs: Vec<_> = (0..runs).map(|run| statement(run, 1, 400, 900)).collect();
    cell.restate(0, HOST, &runs);
    cell
}

/// Guards against requests that a cell takes although it is worse off than the one that asks, and
/// against a second search for a request that its own cell places anyway.
#[rstest]
#[case::empty_at_any_cost(0, None, Ok(()))]
#[case::empty_below_its_cost(0, Some(1.0), Err(true))]
#[case::loaded_above_its_cost(5, Some(1_000.0), Ok(()))]
#[case::loaded_below_its_cost(5, Some(100.0), Err(true))]
#[case::full(9, None, Err(false))]
fn takes_what_is_cheap(
    #[case] runs: u64,
    #[case] max_cost_ms: Option<f32>,
    #[case] expected: Result<(), bool>,
) {
    let mut taking = cell_with(runs);
    let request = request(100, 3_000, 900, 400);
    let taken = taking.place_below(1_000, &request, max_cost_ms);
    assert_eq!(taken.map(|_| ()).map_err(|cost| cost.is_some()), expected);
    let counted = taking.run_count() as u64 - runs;
    assert_eq!(counted, u64::from(expected.is_ok()));
    let mut own = cell_with(runs);
    let placed = own.place_unless_costly(1_000, &request, max_cost_ms);
    match expected {
        Ok(()) => assert!(matches!(placed, Ok(Placement::On { .. }))),
        Err(true) => assert!(placed.is_err()),
        Err(false) => assert!(matches!(placed, Ok(Placement::Full { .. }))),
    }
}

/// A large request of the cell itself, which waits for room.
fn wait_for_room(cell: &mut Cell) -> PlacementRequest {
    let large = PlacementRequest {
        organisation: OrganisationKey(5),
        ..request(90, 9_000, 900, 100)
    };
    assert!(matches!(cell.place(1_900, &large), Placement::Full { .. }));
    large
}

fn small(run: u64, priority: u8) -> PlacementRequest {
    PlacementRequest {
        priority,
        organisation: OrganisationKey(6),
        ..request(run, 3_000, 900, 100)
    }
}

/// Guards against a request of another cell that takes the room for which a request of the own cell
/// waits that comes first in the queue.
#[rstest]
#[case::less_urgent(2, false)]
#[case::more_urgent(0, true)]
fn own_requests_that_come_first_keep_their_room(#[case] priority: u8, #[case] is_taken: bool) {
    let mut cell = cell_with(6);
    wait_for_room(&mut cell);
    let taken = cell.place_below(1_950, &small(91, priority), None);
    assert_eq!(taken.is_ok(), is_taken, "{taken:?}");
}

/// Guards against memory that stays reserved for a request that another cell has taken.
#[test]
fn a_withdrawn_request_waits_no_longer() {
    let mut cell = cell_with(6);
    let large = wait_for_room(&mut cell);
    let small = small(91, 2);
    assert!(matches!(cell.place(1_910, &small), Placement::Full { .. }));
    cell.withdraw(&large);
    assert_eq!(engine_of(cell.place(1_920, &small)), Some(1));
}

/// Guards against memory that is lost for good where the answer to the asking home was lost: no
/// host runs the generation, and its host may relay nothing else in this cell. Once its host has
/// stated it, it is counted until it ends.
#[rstest]
#[case::never_stated(false, 3_400, 1)]
#[case::never_stated_for_long(false, 3_500, 0)]
#[case::stated(true, 20_000, 1)]
fn an_unconfirmed_generation_expires(
    #[case] is_stated: bool,
    #[case] now_ms: u64,
    #[case] expected: usize,
) {
    let mut cell = cell_with(0);
    let request = request(100, 3_000, 900, 400);
    assert!(cell.place_below(1_000, &request, None).is_ok());
    if is_stated {
        cell.restate(2_000, HOST, &[statement(100, 1, 10, 900)]);
    }
    let other_host = HostKey(8);
    cell.restate(now_ms, other_host, &[]);
    assert_eq!(cell.run_count(), expected);
}
