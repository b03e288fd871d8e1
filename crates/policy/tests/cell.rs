//! Placement of generations on a cell's engines, and the way off a leaving one.

use fulmarpath_policy::{
    Carry, CarryEnd, Cell, CellEngine, EngineFigures, HostKey, Placement, PlacementRequest, RunKey,
    RunStatement, UpstreamKey,
};
use rstest::rstest;

const NEAR: u64 = 1;
const FAR: u64 = 2;
const ME: HostKey = HostKey(7);
const FIGURES: EngineFigures = EngineFigures {
    memory_tokens: 30_000,
    slots: 24,
    token_bytes: 18_432,
    link_mbps: 2_700.0,
    copy_ttl_ms: 5_000,
};

fn engine(key: u64, data_centre: u64, is_draining: bool) -> CellEngine {
    CellEngine {
        name: key,
        key: UpstreamKey(key),
        data_centre,
        is_draining,
        figures: FIGURES,
    }
}

fn cell(engines: &[CellEngine]) -> Cell {
    let mut cell = Cell::default();
    cell.set_engines(0, engines);
    cell
}

fn request(run: u64, prompt_tokens: u32, limit_tokens: u32, hint_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        run: RunKey(run),
        host: ME,
        data_centre: NEAR,
        prompt_tokens,
        limit_tokens,
        hint_tokens: Some(hint_tokens),
        likeness: run,
        priority: 1,
        patience_ms: 1_800,
        left_ms: 39_000,
        is_last_call: false,
        without: Vec::new(),
        can_back_up: false,
    }
}

fn statement(run: u64, engine: u64, out_tokens: u32, limit_tokens: u32) -> RunStatement {
    RunStatement {
        run: RunKey(run),
        engine: UpstreamKey(engine),
        backup: None,
        prompt_tokens: 3_000,
        out_tokens,
        limit_tokens,
        hint_tokens: Some(limit_tokens),
    }
}

fn engine_of(placement: Placement) -> Option<u64> {
    match placement {
        Placement::On { engine, .. } => Some(engine.0),
        Placement::Full { .. } | Placement::TooLarge | Placement::NoEngine => None,
    }
}

struct Choice {
    engines: Vec<CellEngine>,
    held: Vec<RunStatement>,
    request: PlacementRequest,
    expected: Option<u64>,
}

/// One generation asks for an engine of a cell in a given state.
#[rstest]
#[case::near_goes_before_far(Choice {
    engines: vec![engine(1, FAR, false), engine(2, NEAR, false)],
    held: vec![],
    request: request(9, 3_000, 900, 800),
    expected: Some(2),
})]
#[case::a_leaving_engine_gets_nothing(Choice {
    engines: vec![engine(1, FAR, false), engine(2, NEAR, true)],
    held: vec![],
    request: request(9, 3_000, 900, 800),
    expected: Some(1),
})]
#[case::the_emptier_one_is_chosen(Choice {
    engines: vec![engine(1, NEAR, false), engine(2, NEAR, false)],
    held: vec![statement(1, 1, 100, 900), statement(2, 1, 100, 900)],
    request: request(9, 3_000, 900, 800),
    expected: Some(2),
})]
#[case::one_that_refused_is_left_out(Choice {
    engines: vec![engine(1, NEAR, false), engine(2, NEAR, false)],
    held: vec![],
    request: PlacementRequest { without: vec![UpstreamKey(1)], ..request(9, 3_000, 900, 800) },
    expected: Some(2),
})]
#[case::a_full_engine_is_full(Choice {
    engines: vec![engine(1, NEAR, false)],
    held: (0..8).map(|run| statement(run, 1, 100, 900)).collect(),
    request: request(9, 3_000, 900, 800),
    expected: None,
})]
#[case::a_short_answer_fits_where_a_long_one_does_not(Choice {
    engines: vec![engine(1, NEAR, false)],
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
fn places_by_room_and_nearness(#[case] case: Choice) {
    let mut cell = cell(&case.engines);
    cell.restate(0, ME, &case.held);
    assert_eq!(engine_of(cell.place(10, &case.request)), case.expected);
}

/// A prompt that fits into no engine, however empty, is said to be too large at once; one that only
/// lacks room now is told to come back.
#[test]
fn what_never_fits_is_told_so() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let huge = request(1, 30_000, 900, 800);
    assert_eq!(cell.place(10, &huge), Placement::TooLarge);
    let held: Vec<RunStatement> = (10..18).map(|run| statement(run, 1, 100, 900)).collect();
    cell.restate(10, ME, &held);
    let usual = request(2, 3_000, 900, 800);
    assert!(matches!(cell.place(20, &usual), Placement::Full { .. }));
}

/// Prompts that come together go to different engines: each delays the tokens of all others there.
#[test]
fn prompts_are_spread() {
    let engines: Vec<CellEngine> = (1..=5).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let mut used: Vec<u64> = (0..10)
        .filter_map(|run| engine_of(cell.place(5, &request(run, 3_000, 900, 800))))
        .collect();
    used.sort_unstable();
    assert_eq!(used, [1, 1, 2, 2, 3, 3, 4, 4, 5, 5]);
}

/// Running copies are kept while engines have room, and never hold a generation back.
#[rstest]
#[case::room(0, true)]
#[case::crowded(1, false)]
fn keeps_copies_while_there_is_room(#[case] held_each: u64, #[case] expected: bool) {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, false)]);
    let held: Vec<RunStatement> = (0..held_each)
        .flat_map(|run| {
            [
                statement(run, 1, 100, 900),
                statement(100 + run, 2, 100, 900),
            ]
        })
        .collect();
    cell.restate(0, ME, &held);
    let asked = PlacementRequest {
        can_back_up: true,
        ..request(999, 3_000, 900, 800)
    };
    let Placement::On { engine, backup, .. } = cell.place(10, &asked) else {
        panic!("there is room for the generation itself");
    };
    assert_eq!(backup.is_some(), expected);
    assert_ne!(backup, Some(engine));
}

fn carries(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<Carry> {
    let next = || cell.next_carry(now_ms, UpstreamKey(from));
    std::iter::from_fn(next).collect()
}

/// Carries one generation after the other, each as soon as the one before has moved.
fn carried_in_turn(cell: &mut Cell, now_ms: u64, from: u64) -> Vec<u64> {
    let mut runs = Vec::new();
    while let Some(carry) = cell.next_carry(now_ms, UpstreamKey(from)) {
        runs.push(carry.run.0);
        cell.carried(now_ms, carry, CarryEnd::Moved);
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
            without: vec![UpstreamKey(2)],
            ..request(4, 6_000, 900, 800)
        },
    );
    cell.set_engines(10, &[engine(1, NEAR, true), engine(2, NEAR, false)]);
    assert_eq!(cell.leaving(), [UpstreamKey(1)]);
    assert_eq!(carried_in_turn(&mut cell, 20, 1), [1, 2]);
    let later = carried_in_turn(&mut cell, 800, 1);
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
    let to = cell.next_carry(5, UpstreamKey(1)).map(|carry| carry.to.0);
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
#[case::over(Some(CarryEnd::Moved), 300)]
#[case::refused(Some(CarryEnd::Refused), 600)]
#[case::overdue(None, 1_200)]
fn a_destination_takes_one_transfer_at_a_time(#[case] end: Option<CarryEnd>, #[case] then_ms: u64) {
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
    let first = cell.next_carry(5, UpstreamKey(1)).expect("it is carried");
    assert_eq!(cell.next_carry(10, UpstreamKey(2)), None);
    if let Some(end) = end {
        cell.carried(250, first, end);
    }
    let second = cell.next_carry(then_ms, UpstreamKey(2));
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
        assert!(cell.see_leaving(600, UpstreamKey(1), stated_ms));
    }
    let carry = cell.next_carry(case.at_ms, UpstreamKey(1));
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
    let carry = cell.next_carry(5, UpstreamKey(1)).expect("it is carried");
    cell.carried(200, carry, CarryEnd::LeftBehind);
    let next = request(9, 4_000, 900, 800);
    assert!(matches!(cell.place(300, &next), Placement::Full { .. }));
    cell.restate(9_300, ME, &held);
    assert_eq!(engine_of(cell.place(9_300, &next)), Some(2));
}

struct End {
    end: CarryEnd,
    /// Generations that are carried next, at once and a while later.
    at_once: usize,
    later: usize,
    left: usize,
}

/// A transfer ends: a moved generation is gone from there, one that stayed is tried again after a
/// short rest in which others go, one that is over is forgotten.
#[rstest]
#[case::moved(End { end: CarryEnd::Moved, at_once: 0, later: 0, left: 1 })]
#[case::stayed(End { end: CarryEnd::Stayed, at_once: 0, later: 1, left: 1 })]
#[case::refused(End { end: CarryEnd::Refused, at_once: 0, later: 1, left: 1 })]
#[case::left_behind(End { end: CarryEnd::LeftBehind, at_once: 0, later: 1, left: 1 })]
#[case::over(End { end: CarryEnd::Over, at_once: 0, later: 0, left: 0 })]
fn ends_of_transfers(#[case] case: End) {
    let mut cell = cell(&[engine(1, NEAR, true), engine(2, NEAR, false)]);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    let carry = cell.next_carry(5, UpstreamKey(1)).expect("it is carried");
    cell.carried(200, carry, case.end);
    assert_eq!(carries(&mut cell, 210, 1).len(), case.at_once);
    assert_eq!(carries(&mut cell, 500, 1).len(), case.later);
    assert_eq!(cell.run_count(), case.left);
}

/// An engine's entry vanishes without a notice while it has generations: they are carried off as
/// after a notice, and the engine is forgotten with the last of them.
#[test]
fn an_engine_that_vanishes_is_leaving() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, false)]);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    cell.set_engines(10, &[engine(2, NEAR, false)]);
    assert_eq!(cell.leaving(), [UpstreamKey(1)]);
    cell.end(RunKey(1));
    cell.set_engines(20, &[engine(2, NEAR, false)]);
    assert_eq!(cell.leaving(), []);
}

/// A home learns what it didn't see and forgets what a host no longer states, but not a placement
/// that its host couldn't state yet; generations of a dead host are over.
#[test]
fn statements_mend_the_table() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    cell.place(0, &request(1, 3_000, 900, 800));
    cell.restate(1_000, ME, &[statement(2, 1, 50, 900)]);
    assert_eq!(
        cell.run_count(),
        2,
        "the placement is too fresh to be missing"
    );
    cell.restate(2_000, ME, &[statement(2, 1, 150, 900)]);
    assert_eq!(cell.run_count(), 1);
    cell.keep_hosts(|host| host != ME);
    assert_eq!(cell.run_count(), 0);
}

/// A large prompt finds no room and asks again, as its host does. Meanwhile smaller ones come. They
/// get what the large one can't use, on another engine, but not the room that it waits for: once
/// enough is free, the large one is placed.
#[test]
fn a_large_prompt_gets_its_turn() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, FAR, false)]);
    let crowd = |left: u64| -> Vec<RunStatement> {
        let near = (0..left).map(|run| statement(run, 1, 400, 500));
        let far = (50..58).map(|run| statement(run, 2, 400, 500));
        near.chain(far).collect()
    };
    cell.restate(0, ME, &crowd(7));
    let large = request(90, 6_000, 900, 100);
    assert!(matches!(cell.place(2_000, &large), Placement::Full { .. }));
    let small = request(91, 3_000, 900, 100);
    assert!(matches!(cell.place(2_010, &small), Placement::Full { .. }));
    cell.restate(2_050, ME, &crowd(6));
    assert_eq!(engine_of(cell.place(2_060, &large)), Some(1));
}

struct Turns {
    first: PlacementRequest,
    then: PlacementRequest,
    /// How much later the other one comes.
    apart_ms: u64,
    /// Which of the two gets the room that is left for one.
    expected: u64,
}

/// Two requests wait and there is room for one of them. It goes to the more urgent one, else to the
/// one that has to start first to be on time, whoever asks first now: the one that came first, or a
/// larger one that came a little later, as its prompt takes longer to be read. One that came earlier
/// by more than that is not overtaken, so the wait of none grows with what comes after it.
#[rstest]
#[case::by_arrival(Turns {
    first: request(1, 3_000, 900, 100),
    then: request(2, 3_000, 900, 100),
    apart_ms: 10,
    expected: 1,
})]
#[case::urgent_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { priority: 0, ..request(2, 3_000, 900, 100) },
    apart_ms: 10,
    expected: 2,
})]
#[case::larger_first(Turns {
    first: request(1, 2_100, 900, 100),
    then: request(2, 3_000, 900, 100),
    apart_ms: 90,
    expected: 2,
})]
#[case::not_overtaken(Turns {
    first: request(1, 2_100, 900, 100),
    then: request(2, 3_000, 900, 100),
    apart_ms: 110,
    expected: 1,
})]
#[case::shorter_target_first(Turns {
    first: request(1, 3_000, 900, 100),
    then: PlacementRequest { patience_ms: 1_500, ..request(2, 3_000, 900, 100) },
    apart_ms: 200,
    expected: 2,
})]
fn room_goes_by_turn(#[case] case: Turns) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd = |count: u64| -> Vec<RunStatement> {
        (50..50 + count)
            .map(|run| statement(run, 1, 400, 500))
            .collect()
    };
    cell.restate(0, ME, &crowd(8));
    let then_ms = 2_000 + case.apart_ms;
    for (asked, now_ms) in [(&case.first, 2_000), (&case.then, then_ms)] {
        assert!(matches!(cell.place(now_ms, asked), Placement::Full { .. }));
    }
    cell.restate(then_ms + 10, ME, &crowd(7));
    let (winner, other) = match case.expected {
        1 => (&case.first, &case.then),
        _ => (&case.then, &case.first),
    };
    assert!(matches!(
        cell.place(then_ms + 20, other),
        Placement::Full { .. }
    ));
    assert_eq!(engine_of(cell.place(then_ms + 30, winner)), Some(1));
}

/// A request is refused after its wait and its caller comes back with another, which can't be on
/// time any more. It gets what is left beside those that can: no room in an engine that is nearly
/// full, where a request that comes for the first time still starts, and room where there is plenty.
#[test]
fn what_comes_back_late_makes_nobody_else_late() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd = |count: u64| -> Vec<RunStatement> {
        let runs = 50..50 + count;
        runs.map(|run| statement(run, 1, 400, 500)).collect()
    };
    cell.restate(0, ME, &crowd(8));
    let first = PlacementRequest {
        is_last_call: true,
        patience_ms: 800,
        ..request(1, 3_000, 900, 100)
    };
    let waits = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(1_000, &waits), Placement::Full { .. }));
    assert!(matches!(cell.place(1_200, &first), Placement::Full { .. }));
    let back = PlacementRequest {
        likeness: 1,
        ..request(2, 3_000, 900, 100)
    };
    let other = request(3, 3_000, 900, 100);
    cell.restate(2_950, ME, &crowd(7));
    assert!(matches!(cell.place(3_000, &back), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(3_010, &other)), Some(1));
    cell.end(RunKey(3));
    cell.restate(5_000, ME, &crowd(4));
    assert_eq!(engine_of(cell.place(5_010, &back)), Some(1));
}

/// A request that waits is not heard of any more: its host is gone, or its caller has left. The
/// room that was kept for it is free again after a moment.
#[test]
fn room_is_not_kept_for_the_silent() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let silent = request(1, 3_000, 900, 100);
    assert!(matches!(cell.place(2_000, &silent), Placement::Full { .. }));
    let next = request(2, 3_000, 900, 100);
    cell.restate(2_300, ME, &crowd[1..]);
    assert!(matches!(cell.place(2_100, &next), Placement::Full { .. }));
    assert_eq!(engine_of(cell.place(2_400, &next)), Some(1));
}

/// The store is away, and an engine goes without a word that anybody could hear. A host could not
/// reach it and its home neither: it gets nothing new, though it looks the emptiest, until it can
/// be reached again.
#[test]
fn an_engine_that_cannot_be_reached_gets_nothing() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let held: Vec<RunStatement> = (2..=4).map(|key| statement(key, key, 100, 900)).collect();
    cell.restate(0, ME, &held);
    assert!(cell.see_gone(UpstreamKey(1)));
    assert!(!cell.see_gone(UpstreamKey(1)), "it is known");
    let placed = engine_of(cell.place(10, &request(9, 3_000, 900, 800)));
    assert_ne!(placed, Some(1));
    assert!(cell.see_there(UpstreamKey(1)));
    let placed = engine_of(cell.place(20, &request(10, 3_000, 900, 800)));
    assert_eq!(placed, Some(1));
}

/// A home that is cut off reaches no engine. It goes on with half of them rather than with none:
/// the hosts that ask it may well reach them.
#[test]
fn a_home_that_is_cut_off_closes_half_at_the_most() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let closed = (1..=4).filter(|key| cell.see_gone(UpstreamKey(*key)));
    assert_eq!(closed.count(), 2);
    assert!(engine_of(cell.place(10, &request(9, 3_000, 900, 800))).is_some());
}

/// The store is away, and an engine that is registered as ready says that it leaves. Its
/// generations are carried off, also where an older entry comes again meanwhile.
#[test]
fn an_engine_is_believed_before_its_entry() {
    let engines = [engine(1, NEAR, false), engine(2, NEAR, false)];
    let mut cell = cell(&engines);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    assert_eq!(cell.next_carry(5, UpstreamKey(1)), None);
    assert!(cell.see_leaving(10, UpstreamKey(1), 1_500));
    cell.set_engines(20, &engines);
    let carry = cell.next_carry(30, UpstreamKey(1));
    assert_eq!(carry.map(|carry| carry.run.0), Some(1));
}

/// An engine starts again under its name: what ran there is lost with the start before, and so is the
/// running copy of another's. The home neither carries it off nor counts it, and the new start is as
/// empty as it is; a late word of the lost generation's end changes nothing.
#[test]
fn what_was_at_an_earlier_start_is_forgotten() {
    let engines = [engine(1, NEAR, false), engine(2, NEAR, false)];
    let mut cell = cell(&engines);
    let placed = cell.place(0, &request(1, 3_000, 900, 800));
    let Placement::On { engine: first, .. } = placed else {
        panic!("{placed:?}");
    };
    cell.place(0, &request(2, 3_000, 900, 800));
    let again = CellEngine {
        key: UpstreamKey(first.0 + 10),
        ..engine(first.0, NEAR, false)
    };
    let other = engine(3 - first.0, NEAR, false);
    cell.set_engines(2_000, &[again, other]);
    assert_eq!(cell.run_count(), 1);
    assert!(cell.leaving().is_empty());
    assert!(!cell.is_leaving(first));
    cell.end(RunKey(1));
    let next = cell.place(2_000, &request(3, 3_000, 900, 800));
    assert!(
        matches!(next, Placement::On { engine, seen, .. } if engine == again.key && seen.running == 0),
        "{next:?}"
    );
}

struct Refusal {
    likeness: u64,
    left_ms: u64,
    /// When the caller is told to come back.
    after_ms: std::ops::Range<u64>,
}

/// Callers are refused together in a crowd. Each is told to come back when a fifth to a third of the
/// time that it has left is over, when most crowds are, and each at another moment.
#[rstest]
#[case::patient(Refusal { likeness: 0, left_ms: 38_000, after_ms: 7_600..7_601 })]
#[case::patient_later(Refusal { likeness: 999, left_ms: 38_000, after_ms: 12_000..12_161 })]
#[case::impatient(Refusal { likeness: 500, left_ms: 5_000, after_ms: 1_290..1_311 })]
#[case::out_of_time(Refusal { likeness: 500, left_ms: 0, after_ms: 0..1 })]
fn refused_callers_come_back_apart(#[case] case: Refusal) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let crowd: Vec<RunStatement> = (50..58).map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let refused = PlacementRequest {
        likeness: case.likeness,
        left_ms: case.left_ms,
        is_last_call: true,
        ..request(1, 3_000, 900, 100)
    };
    let placed = cell.place(1_000, &refused);
    let Placement::Full { retry_after_ms } = placed else {
        panic!("{placed:?}");
    };
    assert!(case.after_ms.contains(&retry_after_ms), "{retry_after_ms}");
}

struct LastCall {
    prompt_tokens: u32,
    patience_ms: u64,
    /// Generations on the only engine.
    crowd: u64,
    starts: bool,
}

/// A request has waited as long as it may. Where its prompt can still be read in time it starts in any
/// room; where it can't, only on an engine with plenty, since late it is worth little to its caller
/// and takes the room of one that would be on time.
#[rstest]
#[case::in_time(LastCall { prompt_tokens: 2_000, patience_ms: 800, crowd: 7, starts: true })]
#[case::too_late(LastCall { prompt_tokens: 2_000, patience_ms: 200, crowd: 7, starts: false })]
#[case::too_late_with_plenty(LastCall { prompt_tokens: 2_000, patience_ms: 200, crowd: 3, starts: true })]
#[case::too_long_to_read(LastCall { prompt_tokens: 4_000, patience_ms: 400, crowd: 6, starts: false })]
fn what_would_be_late_needs_plenty_of_room(#[case] case: LastCall) {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let runs = 50..50 + case.crowd;
    let crowd: Vec<RunStatement> = runs.map(|run| statement(run, 1, 400, 500)).collect();
    cell.restate(0, ME, &crowd);
    let asked = PlacementRequest {
        patience_ms: case.patience_ms,
        is_last_call: true,
        ..request(1, case.prompt_tokens, 900, 100)
    };
    let placed = cell.place(2_000, &asked);
    assert_eq!(engine_of(placed).is_some(), case.starts, "{placed:?}");
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
        cell.end(RunKey(run));
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
    let carry = cell.next_carry(30, UpstreamKey(1)).expect("it is carried");
    assert!(
        carry.to != copy && carry.to != first,
        "{carry:?}, copy at {copy:?}"
    );
}
