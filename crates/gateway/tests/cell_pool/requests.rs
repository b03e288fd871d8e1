//! Requests that the home of a cell tries to hand on.

use std::time::Duration;

use fulmarpath_gateway::{CellPools, Overflow};
use fulmarpath_policy::{Placement, RunKey};
use fulmarpath_wire::{CellKey, OverflowAnswer};
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::fakes::{
    FULL, FakeCell, FakeHomes, NO_ROOM, OWN, OwnState, TAKEN, TOO_COSTLY, on, request,
};

struct Case {
    own: OwnState,
    others: usize,
    answers: &'static [(u64, Option<OverflowAnswer>)],
    expected: Placement,
    outcomes: &'static [Overflow],
    /// Whether the own cell forgets the request.
    is_withdrawn: bool,
    /// Searches for an engine in the own cell.
    searches: usize,
    /// Whether another home is told that the generation does not run there.
    is_released: bool,
}

const CASE: Case = Case {
    own: OwnState::Full,
    others: 3,
    answers: &[],
    expected: FULL,
    outcomes: &[],
    is_withdrawn: false,
    searches: 1,
    is_released: false,
};

/// Guards against a request that is refused or lost because of what another home answers or does
/// not answer, against two placements of one request, and against a second search where the own
/// cell is cheap.
#[rstest]
#[case::single_cell(Case { others: 0, ..CASE })]
#[case::cheap(Case { own: OwnState::Costs(60.0), expected: on(100), ..CASE })]
#[case::full_and_taken(Case {
    answers: &[(1, Some(TAKEN))],
    expected: on(200),
    outcomes: &[Overflow::HandedOn],
    is_withdrawn: true,
    ..CASE
})]
#[case::no_engine_and_taken(Case {
    own: OwnState::HasNoEngine,
    answers: &[(1, Some(TAKEN))],
    expected: on(200),
    outcomes: &[Overflow::HandedOn],
    is_withdrawn: true,
    ..CASE
})]
#[case::taken_by_the_second(Case {
    answers: &[(1, Some(NO_ROOM)), (1, Some(TAKEN))],
    expected: on(200),
    outcomes: &[Overflow::Declined, Overflow::HandedOn],
    is_withdrawn: true,
    ..CASE
})]
#[case::declined_twice(Case {
    answers: &[(1, Some(NO_ROOM)), (1, Some(OverflowAnswer::NotHome))],
    outcomes: &[Overflow::Declined, Overflow::Declined],
    ..CASE
})]
#[case::home_is_gone(Case {
    answers: &[(0, None), (1, Some(TAKEN))],
    expected: on(200),
    outcomes: &[Overflow::Unanswered, Overflow::HandedOn],
    is_withdrawn: true,
    ..CASE
})]
#[case::homes_are_silent(Case {
    answers: &[(10_000, None), (10_000, None)],
    outcomes: &[Overflow::Unanswered, Overflow::Unanswered],
    ..CASE
})]
#[case::answer_comes_late(Case {
    answers: &[(60, Some(TAKEN)), (1, Some(NO_ROOM))],
    outcomes: &[Overflow::Unanswered, Overflow::Declined],
    is_released: true,
    ..CASE
})]
#[case::refusal_comes_late(Case {
    answers: &[(60, Some(NO_ROOM)), (1, Some(NO_ROOM))],
    outcomes: &[Overflow::Unanswered, Overflow::Declined],
    ..CASE
})]
#[case::costly_and_cheaper_elsewhere(Case {
    own: OwnState::Costs(300.0),
    answers: &[(1, Some(TAKEN))],
    expected: on(200),
    outcomes: &[Overflow::HandedOn],
    is_withdrawn: true,
    ..CASE
})]
#[case::costly_everywhere(Case {
    own: OwnState::Costs(300.0),
    answers: &[(1, Some(TOO_COSTLY))],
    expected: on(100),
    outcomes: &[Overflow::Declined],
    searches: 2,
    ..CASE
})]
#[case::costly_and_silent(Case {
    own: OwnState::Costs(300.0),
    answers: &[(10_000, None)],
    expected: on(100),
    outcomes: &[Overflow::Unanswered],
    searches: 2,
    ..CASE
})]
#[tokio::test(start_paused = true)]
async fn places_by_the_answers(#[case] case: Case) {
    let own = FakeCell::new(case.own, case.others);
    let homes = FakeHomes::new(case.answers);
    let pools = CellPools::default();
    let begun = Instant::now();
    let placement = pools.place(own.clone(), homes.clone(), OWN, request(9));
    assert_eq!(placement.await, case.expected);
    // A relaying host waits 150 ms for its placement.
    assert!(begun.elapsed() < Duration::from_millis(100));
    sleep(Duration::from_millis(200)).await;
    let runs = |is_listed| {
        if is_listed {
            vec![RunKey(9)]
        } else {
            Vec::new()
        }
    };
    assert_eq!(*own.outcomes.lock(), case.outcomes);
    assert_eq!(*own.withdrawn.lock(), runs(case.is_withdrawn));
    assert_eq!(*own.searches.lock(), case.searches);
    assert_eq!(*homes.released.lock(), runs(case.is_released));
    let asked = homes.asked.lock();
    let mut cells: Vec<CellKey> = asked.iter().map(|(cell, _)| *cell).collect();
    cells.sort_unstable();
    cells.dedup();
    assert_eq!(cells.len(), asked.len(), "no cell is asked twice");
    if let OwnState::Costs(cost_ms) = case.own {
        assert!(
            asked
                .iter()
                .all(|(_, max_ms)| *max_ms == Some(cost_ms - 50.0))
        );
    }
}

/// Guards against a placement that nobody uses: the relaying host gives up while another home is
/// asked, which then learns that the generation does not run there.
#[tokio::test(start_paused = true)]
async fn an_abandoned_request_is_released() {
    let own = FakeCell::new(OwnState::Full, 3);
    let homes = FakeHomes::new(&[(30, Some(TAKEN))]);
    let pools = CellPools::default();
    let placement = pools.place(own.clone(), homes.clone(), OWN, request(9));
    let given_up = tokio::time::timeout(Duration::from_millis(10), placement).await;
    assert!(given_up.is_err());
    sleep(Duration::from_millis(100)).await;
    assert_eq!(*homes.released.lock(), [RunKey(9)]);
}

/// Guards against callers that wait for a home that is known to be silent. It is asked again after a
/// second.
#[rstest]
#[case::within_a_second(900, 1)]
#[case::after_a_second(1_100, 2)]
#[tokio::test(start_paused = true)]
async fn a_silent_home_is_asked_again_after_a_second(#[case] wait_ms: u64, #[case] calls: usize) {
    let own = FakeCell::new(OwnState::Full, 1);
    let homes = FakeHomes::new(&[(10_000, None), (1, Some(NO_ROOM))]);
    let pools = CellPools::default();
    for run in [1, 2] {
        let placement = pools.place(own.clone(), homes.clone(), OWN, request(run));
        assert_eq!(placement.await, FULL);
        sleep(Duration::from_millis(wait_ms)).await;
    }
    assert_eq!(homes.asked.lock().len(), calls);
}

/// Guards against what a host knows of other cells growing with the cells of which it was the home.
#[tokio::test(start_paused = true)]
async fn a_former_home_forgets_the_other_cells() {
    let own = FakeCell::new(OwnState::Full, 1);
    let homes = FakeHomes::new(&[(10_000, None), (1, Some(NO_ROOM))]);
    let pools = CellPools::default();
    for run in [1, 2] {
        let placement = pools.place(own.clone(), homes.clone(), OWN, request(run));
        assert_eq!(placement.await, FULL);
        pools.retain(|cell| cell != OWN);
    }
    assert_eq!(homes.asked.lock().len(), 2);
}
