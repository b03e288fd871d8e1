//! The queue order of urgent and less urgent requests of many organisations on engines without
//! spare room.

use fulmarpath_policy::{OrganisationKey, Placement, PlacementRequest, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

const URGENT: u8 = 0;
const USUAL: u8 = 1;
const ENGINES: u64 = 4;
/// Generations that fill all engines.
const RUNS: u64 = 32;

/// Generations of one organisation.
#[derive(Clone, Copy)]
struct Held {
    organisation: u64,
    urgent: u64,
    usual: u64,
}

fn held(organisation: u64, urgent: u64, usual: u64) -> Held {
    Held {
        organisation,
        urgent,
        usual,
    }
}

/// Generations of 24 organisations whose sizes follow Zipf's law. The three largest hold one urgent
/// generation each, as an organisation of their size usually does.
fn zipf() -> Vec<Held> {
    let sizes = [8, 4, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1];
    let organisations = sizes.into_iter().zip(1..);
    let all = organisations.map(|(size, organisation)| match organisation {
        1..=3 => held(organisation, 1, size - 1),
        _ => held(organisation, 0, size),
    });
    all.collect()
}

/// The organisations of [`zipf`], where the largest one sends as many urgent requests as it can.
fn zipf_with_flood() -> Vec<Held> {
    let mut all = zipf();
    all[0] = held(1, 8, 0);
    all
}

fn running(all: &[Held]) -> Vec<RunStatement> {
    let of = |one: &Held| {
        let (organisation, urgent, usual) =
            (OrganisationKey(one.organisation), one.urgent, one.usual);
        let urgent = (0..urgent).map(move |_| (organisation, URGENT));
        urgent.chain((0..usual).map(move |_| (organisation, USUAL)))
    };
    let runs = all.iter().flat_map(of).zip(0..);
    let statements = runs.map(|((organisation, priority), run)| RunStatement {
        organisation,
        priority,
        prompt_tokens: 3_350,
        ..statement(100 + run, 1 + run % ENGINES, 400, 500)
    });
    statements.collect()
}

fn short(organisation: u64, run: u64) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(organisation),
        priority: URGENT,
        ..request(run, 2_200, 40, 12)
    }
}

fn long(organisation: u64, run: u64) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(organisation),
        priority: USUAL,
        ..request(run, 2_200, 900, 100)
    }
}

struct Case {
    held: Vec<Held>,
    /// The request that gets the room of the next generation that ends, although the other one came
    /// first.
    winner: PlacementRequest,
    loser: PlacementRequest,
}

/// Guards against urgent short requests that wait behind long ones, and against floods of urgent
/// requests that block other organisations. Engines are full, two requests wait, and the room of
/// one generation becomes free.
#[rstest]
#[case::kinds_of_one_organisation(Case {
    held: vec![held(1, 2, RUNS - 2)], winner: short(1, 1), loser: long(1, 2),
})]
#[case::kinds_of_two_equal_organisations(Case {
    held: vec![held(1, 1, 15), held(2, 1, 15)], winner: short(1, 1), loser: long(2, 2),
})]
#[case::short_of_an_organisation_above_its_share(Case {
    held: zipf(), winner: short(1, 1), loser: long(9, 2),
})]
#[case::long_of_an_organisation_above_its_share(Case {
    held: zipf(), winner: long(9, 2), loser: long(1, 1),
})]
#[case::short_of_a_small_organisation(Case {
    held: zipf(), winner: short(9, 2), loser: long(1, 1),
})]
#[case::flood_of_urgent_requests_and_a_long_one(Case {
    held: zipf_with_flood(), winner: long(9, 2), loser: short(1, 1),
})]
#[case::flood_of_urgent_requests_and_an_urgent_one(Case {
    held: zipf_with_flood(), winner: short(9, 2), loser: short(1, 1),
})]
#[case::flood_of_urgent_requests_without_urgent_ones_of_others(Case {
    held: vec![held(1, 24, 0), held(2, 0, 8)], winner: long(2, 2), loser: short(1, 1),
})]
#[case::flood_of_long_requests(Case {
    held: vec![held(1, 1, 27), held(2, 0, 2), held(3, 1, 1)], winner: long(2, 2), loser: long(1, 1),
})]
#[case::short_of_an_organisation_that_floods_with_long_ones(Case {
    held: vec![held(1, 0, 28), held(2, 1, 3)], winner: short(1, 1), loser: long(2, 2),
})]
fn urgent_requests_precede_unless_they_are_a_flood(#[case] case: Case) {
    let engines: Vec<_> = (1..=ENGINES).map(|key| engine(key, LOCAL, false)).collect();
    let mut cell = cell(&engines);
    let mut runs = running(&case.held);
    assert_eq!(runs.len() as u64, RUNS);
    cell.restate(0, HOST, &runs);
    for now_ms in [2_000, 2_150] {
        let placed = cell.place(now_ms, &case.loser);
        assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    }
    let placed = cell.place(2_200, &case.winner);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    runs.pop();
    cell.restate(2_210, HOST, &runs);
    let placed = cell.place(2_220, &case.loser);
    assert!(matches!(placed, Placement::Full { .. }), "{placed:?}");
    let placed = cell.place(2_230, &case.winner);
    assert!(engine_of(placed).is_some(), "{placed:?}");
}
