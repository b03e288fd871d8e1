//! Organisations before engines without room to spare, one of them with many times its usual.

use fulmarpath_policy::{HostKey, OrganisationKey, Placement, PlacementRequest, RunStatement};
use rstest::rstest;

use crate::fixtures::{ME, NEAR, cell, engine, engine_of, request, statement};

const FLOODS: u64 = 1;
const OTHER: u64 = 2;

fn of(organisation: u64, request: PlacementRequest) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(organisation),
        ..request
    }
}

/// Generations that run, by organisation; each holds what an eighth of the engine has room for.
fn running(of_flood: u64, of_other: u64) -> Vec<RunStatement> {
    let all = of_flood + of_other;
    (0..all)
        .map(|run| RunStatement {
            organisation: OrganisationKey(if run < of_flood { FLOODS } else { OTHER }),
            ..statement(run, 1, 400, 500)
        })
        .collect()
}

struct Case {
    /// Generations of the organisation that floods and of the other one as the engine is full.
    before: (u64, u64),
    flood: PlacementRequest,
    other: PlacementRequest,
    /// The organisation whose request gets the room that comes free; the flood's came first.
    expected: u64,
}

/// An organisation holds nearly all of the engine and its next request has waited longest. The room that
/// comes free goes to the organisation below its share, whose request came later, costs no less and may
/// be less urgent; among equals, and where the other has its share already, it goes by time as before. A
/// request that is late already takes nobody's room, whoever sent it.
#[rstest]
#[case::the_other_holds_nothing(Case {
    before: (8, 0), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::the_other_is_below_its_share(Case {
    before: (7, 1), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::a_flood_of_urgent_ones(Case {
    before: (7, 1),
    flood: PlacementRequest { priority: 0, ..request(90, 3_000, 900, 100) },
    other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::a_larger_one_of_the_other(Case {
    before: (7, 1), flood: request(90, 2_100, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::the_other_has_as_much(Case {
    before: (4, 4), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: FLOODS,
})]
#[case::the_other_has_more(Case {
    before: (1, 7), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: FLOODS,
})]
fn room_goes_to_those_below_their_share(#[case] case: Case) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let (of_flood, of_other) = case.before;
    cell.restate(0, ME, &running(of_flood, of_other));
    let flood = of(FLOODS, case.flood);
    let other = of(OTHER, case.other);
    for now_ms in [2_000, 2_150] {
        assert!(matches!(cell.place(now_ms, &flood), Placement::Full { .. }));
    }
    assert!(matches!(cell.place(2_200, &other), Placement::Full { .. }));
    let mut left = running(of_flood, of_other);
    left.remove(0);
    cell.restate(2_210, ME, &left);
    let (winner, loser) = match case.expected {
        OTHER => (&other, &flood),
        _ => (&flood, &other),
    };
    assert!(matches!(cell.place(2_220, loser), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(2_230, winner)), Some(1));
}

/// Nobody else asks for anything: the organisation that floods is served all there is, and what it is
/// served is not held against it when it asks again after the others have come and gone.
#[test]
fn what_nobody_else_wants_is_the_floods() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let mut placed = 0;
    for run in 0..20 {
        let asked = of(FLOODS, request(run, 3_000, 500, 400));
        placed += u32::from(engine_of(cell.place(1_000 + run * 400, &asked)).is_some());
    }
    assert!(placed >= 7, "{placed}");
    cell.restate(20_000, ME, &[]);
    let again = of(FLOODS, request(90, 3_000, 900, 100));
    assert_eq!(engine_of(cell.place(20_010, &again)), Some(1));
}

/// The home of the cell dies during a flood. The next one hears from the hosts what runs and whose it is,
/// and goes on as the one before: the other organisation's request comes first.
#[test]
fn the_next_home_knows_whose_memory_it_is() {
    let hosts = [ME, HostKey(8)];
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let (near, far): (Vec<RunStatement>, Vec<RunStatement>) = running(8, 0)
        .into_iter()
        .partition(|one| one.run.0 % 2 == 0);
    for (host, runs) in hosts.into_iter().zip([near, far]) {
        cell.restate(0, host, &runs);
    }
    let flood = of(FLOODS, request(90, 3_000, 900, 100));
    let other = of(OTHER, request(91, 3_000, 900, 100));
    assert!(matches!(cell.place(2_000, &flood), Placement::Full { .. }));
    assert!(matches!(cell.place(2_100, &other), Placement::Full { .. }));
    cell.retain_hosts(|host| host == hosts[0]);
    assert_eq!(engine_of(cell.place(2_110, &other)), Some(1));
}
