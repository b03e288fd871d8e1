//! Organisations that share engines without spare room, one of them sending many times its usual
//! load.

use fulmarpath_policy::{HostKey, OrganisationKey, Placement, PlacementRequest, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

const FLOODING: u64 = 1;
const OTHER: u64 = 2;

fn of(organisation: u64, request: PlacementRequest) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(organisation),
        ..request
    }
}

/// Running generations by organisation; each holds an eighth of the engine's room.
fn running(of_flooding: u64, of_other: u64) -> Vec<RunStatement> {
    let all = of_flooding + of_other;
    (0..all)
        .map(|run| RunStatement {
            organisation: OrganisationKey(if run < of_flooding { FLOODING } else { OTHER }),
            ..statement(run, 1, 400, 500)
        })
        .collect()
}

struct Case {
    /// Generations of the flooding and the other organisation on the full engine.
    before: (u64, u64),
    flood: PlacementRequest,
    other: PlacementRequest,
    /// The organisation whose request gets the room that becomes free; the flooding one sent
    /// its request first.
    expected: u64,
}

/// Guards against an organisation that takes the room of others by sending more. It holds nearly
/// all of the engine and its next request has waited longest. The room that becomes free goes to
/// the organisation below its share, whose request came later, costs no less and may be less
/// urgent. Between equals, and if the other one already has its share, the order is by time as
/// usual. A late request takes no room from others, whoever sent it.
#[rstest]
#[case::the_other_holds_nothing(Case {
    before: (8, 0), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::the_other_is_below_its_share(Case {
    before: (7, 1), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::flood_of_urgent_requests(Case {
    before: (7, 1),
    flood: PlacementRequest { priority: 0, ..request(90, 3_000, 900, 100) },
    other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::other_request_is_larger(Case {
    before: (7, 1), flood: request(90, 2_100, 900, 100), other: request(91, 3_000, 900, 100),
    expected: OTHER,
})]
#[case::the_other_has_as_much(Case {
    before: (4, 4), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: FLOODING,
})]
#[case::the_other_has_more(Case {
    before: (1, 7), flood: request(90, 3_000, 900, 100), other: request(91, 3_000, 900, 100),
    expected: FLOODING,
})]
fn room_goes_to_organisations_below_their_share(#[case] case: Case) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let (of_flooding, of_other) = case.before;
    cell.restate(0, HOST, &running(of_flooding, of_other));
    let flood = of(FLOODING, case.flood);
    let other = of(OTHER, case.other);
    for now_ms in [2_000, 2_150] {
        assert!(matches!(cell.place(now_ms, &flood), Placement::Full { .. }));
    }
    assert!(matches!(cell.place(2_200, &other), Placement::Full { .. }));
    let mut left = running(of_flooding, of_other);
    left.remove(0);
    cell.restate(2_210, HOST, &left);
    let (winner, loser) = match case.expected {
        OTHER => (&other, &flood),
        _ => (&flood, &other),
    };
    assert!(matches!(cell.place(2_220, loser), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(2_230, winner)), Some(1));
}

/// Guards against unused room, and against a flood that is held against its sender later. If no
/// other organisation sends requests, the flooding one may use everything, and it is served
/// normally afterwards.
#[test]
fn unused_room_goes_to_the_flooding_organisation() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let mut placed = 0;
    for run in 0..20 {
        let placement_request = of(FLOODING, request(run, 3_000, 500, 400));
        placed += u32::from(engine_of(cell.place(1_000 + run * 400, &placement_request)).is_some());
    }
    assert!(placed >= 7, "{placed}");
    cell.restate(20_000, HOST, &[]);
    let later = of(FLOODING, request(90, 3_000, 900, 100));
    assert_eq!(engine_of(cell.place(20_010, &later)), Some(1));
}

/// Guards against a change of homes that loses the shares. The home of the cell dies during a
/// flood. The next one learns from the statements of the hosts what is running and for which
/// organisation, and places the other organisation's request first.
#[test]
fn new_home_learns_holdings_from_statements() {
    let hosts = [HOST, HostKey(8)];
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let (even, odd): (Vec<RunStatement>, Vec<RunStatement>) = running(8, 0)
        .into_iter()
        .partition(|statement| statement.run.0 % 2 == 0);
    for (host, runs) in hosts.into_iter().zip([even, odd]) {
        cell.restate(0, host, &runs);
    }
    let flood = of(FLOODING, request(90, 3_000, 900, 100));
    let other = of(OTHER, request(91, 3_000, 900, 100));
    assert!(matches!(cell.place(2_000, &flood), Placement::Full { .. }));
    assert!(matches!(cell.place(2_100, &other), Placement::Full { .. }));
    cell.retain_hosts(|host| host == hosts[0]);
    assert_eq!(engine_of(cell.place(2_110, &other)), Some(1));
}
