//! What the home of a cell does with the answers of other homes, without a network.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_gateway::{CellPools, OtherHomes, Overflow, OwnCell, Reservation};
use fulmarpath_policy::{
    EngineSnapshot, HostKey, IncomingMigration, MigrationOutcome, Millis, OrganisationKey,
    OtherCells, Placement, PlacementRequest, RunKey, RunStatement, UpstreamKey,
};
use fulmarpath_wire::{CellKey, OverflowAnswer};
use parking_lot::Mutex;
use rstest::rstest;
use tokio::time::{Instant, sleep};

const OWN: CellKey = CellKey(1);
const OTHERS: [CellKey; 3] = [CellKey(2), CellKey(3), CellKey(4)];

const FULL: Placement = Placement::Full {
    retry_after_ms: 900,
    is_refused: false,
    lacks_protected_room: false,
};

const fn on(engine: u64) -> Placement {
    Placement::On {
        engine: UpstreamKey(engine),
        backup: None,
        seen: EngineSnapshot {
            running: 0,
            peak_permille: 0,
            prefill_wait_ms: 0,
        },
    }
}

const TAKEN: OverflowAnswer = OverflowAnswer::Placed {
    placement: on(200),
    cost_ms: 20.0,
};
const NO_ROOM: OverflowAnswer = OverflowAnswer::Declined { cost_ms: None };
const TOO_COSTLY: OverflowAnswer = OverflowAnswer::Declined {
    cost_ms: Some(400.0),
};

/// What the own cell answers to a request.
#[derive(Debug, Clone, Copy)]
enum OwnState {
    Full,
    Costs(f32),
    HasNoEngine,
}

struct FakeCell {
    state: OwnState,
    others: usize,
    started: Instant,
    withdrawn: Mutex<Vec<RunKey>>,
    /// Searches for an engine.
    searches: Mutex<usize>,
    outcomes: Mutex<Vec<Overflow>>,
}

impl FakeCell {
    fn new(state: OwnState, others: usize) -> Arc<Self> {
        Arc::new(Self {
            state,
            others,
            started: Instant::now(),
            withdrawn: Mutex::default(),
            searches: Mutex::default(),
            outcomes: Mutex::default(),
        })
    }
}

impl OwnCell for FakeCell {
    fn now_ms(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis + 5_000
    }

    fn has_others(&self, _: CellKey) -> bool {
        self.others > 0
    }

    fn others(&self, _: CellKey) -> OtherCells<CellKey> {
        OtherCells {
            near: OTHERS[..self.others].to_vec(),
            far: Vec::new(),
        }
    }

    fn place(&self, _: CellKey, _: &PlacementRequest) -> Placement {
        *self.searches.lock() += 1;
        match self.state {
            OwnState::Full => FULL,
            OwnState::Costs(_) => on(100),
            OwnState::HasNoEngine => Placement::NoEngine,
        }
    }

    fn place_unless_costly(
        &self,
        cell: CellKey,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<Placement, f32> {
        match self.state {
            OwnState::Costs(cost_ms) if max_cost_ms.is_some_and(|max_ms| cost_ms >= max_ms) => {
                *self.searches.lock() += 1;
                Err(cost_ms)
            }
            _ => Ok(self.place(cell, request)),
        }
    }

    fn withdraw(&self, _: CellKey, request: &PlacementRequest) {
        self.withdrawn.lock().push(request.run);
    }

    fn count(&self, outcome: Overflow) {
        self.outcomes.lock().push(outcome);
    }
}

/// Homes that give the same answers in turn, whichever of them is asked.
struct FakeHomes {
    /// Time until each answer, and the answer; `None` if it is lost.
    answers: Mutex<VecDeque<(u64, Option<OverflowAnswer>)>>,
    /// The same for migrations.
    reservations: Mutex<VecDeque<(u64, Option<Reservation>)>>,
    asked: Mutex<Vec<(CellKey, Option<f32>)>>,
    released: Mutex<Vec<RunKey>>,
    finished: Mutex<Vec<MigrationOutcome>>,
}

impl FakeHomes {
    fn new(answers: &[(u64, Option<OverflowAnswer>)]) -> Arc<Self> {
        Self::with(answers, &[])
    }

    fn with(
        answers: &[(u64, Option<OverflowAnswer>)],
        reservations: &[(u64, Option<Reservation>)],
    ) -> Arc<Self> {
        Arc::new(Self {
            answers: Mutex::new(answers.iter().copied().collect()),
            reservations: Mutex::new(reservations.iter().copied().collect()),
            finished: Mutex::default(),
            asked: Mutex::default(),
            released: Mutex::default(),
        })
    }
}

#[async_trait]
impl OtherHomes for FakeHomes {
    async fn place_overflow(
        &self,
        cell: CellKey,
        _: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Option<OverflowAnswer> {
        self.asked.lock().push((cell, max_cost_ms));
        let answer = self.answers.lock().pop_front();
        let (after_ms, answer) = answer.expect("an expected call");
        sleep(Duration::from_millis(after_ms)).await;
        answer
    }

    async fn release(&self, _: CellKey, run: RunKey) {
        self.released.lock().push(run);
    }

    async fn reserve_incoming(&self, cell: CellKey, _: IncomingMigration) -> Option<Reservation> {
        self.asked.lock().push((cell, None));
        let answer = self.reservations.lock().pop_front();
        let (after_ms, answer) = answer.expect("an expected call");
        sleep(Duration::from_millis(after_ms)).await;
        answer
    }

    async fn finish_incoming(&self, _: CellKey, _: RunKey, outcome: MigrationOutcome) {
        self.finished.lock().push(outcome);
    }
}

fn request(run: u64) -> PlacementRequest {
    PlacementRequest {
        run: RunKey(run),
        host: HostKey(7),
        organisation: OrganisationKey(0),
        data_centre: 1,
        prompt_tokens: 1_000,
        limit_tokens: 600,
        hint_tokens: None,
        retry_key: run,
        priority: 1,
        gap_target_ms: None,
        max_wait_ms: 1_500,
        left_ms: 8_000,
        is_final_attempt: false,
        excluded: Vec::new(),
        can_back_up: false,
    }
}

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

fn outgoing() -> IncomingMigration {
    IncomingMigration {
        statement: RunStatement {
            run: RunKey(9),
            organisation: OrganisationKey(0),
            engine: UpstreamKey(1),
            backup: None,
            prompt_tokens: 1_000,
            out_tokens: 50,
            limit_tokens: 600,
            hint_tokens: None,
            gap_target_ms: None,
            longest_pause_ms: 0,
            priority: 0,
        },
        host: HostKey(7),
        data_centre: 1,
        left_ms: 1_500,
    }
}

struct MigrationCase {
    others: usize,
    reservations: &'static [(u64, Option<Reservation>)],
    expected: Option<UpstreamKey>,
    /// Whether another home is told that the generation does not come.
    is_finished: bool,
}

const RESERVED: Reservation = Reservation::At(UpstreamKey(200));
const MIGRATION_CASE: MigrationCase = MigrationCase {
    others: 3,
    reservations: &[],
    expected: None,
    is_finished: false,
};

/// Guards against a generation that stays on its leaving engine because one home has no room or does
/// not answer, and against memory that stays reserved after an answer that came too late.
#[rstest]
#[case::single_cell(MigrationCase { others: 0, ..MIGRATION_CASE })]
#[case::reserved(MigrationCase {
    reservations: &[(1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::reserved_by_the_second(MigrationCase {
    reservations: &[(1, Some(Reservation::Declined)), (1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::home_is_gone(MigrationCase {
    reservations: &[(0, None), (1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::declined_twice(MigrationCase {
    reservations: &[(1, Some(Reservation::Declined)), (1, Some(Reservation::Declined))],
    ..MIGRATION_CASE
})]
#[case::answer_comes_late(MigrationCase {
    reservations: &[(60, Some(RESERVED)), (1, Some(Reservation::Declined))],
    is_finished: true,
    ..MIGRATION_CASE
})]
#[tokio::test(start_paused = true)]
async fn reserves_by_the_answers(#[case] case: MigrationCase) {
    let own = FakeCell::new(OwnState::Full, case.others);
    let fake = FakeHomes::with(&[], case.reservations);
    let homes: Arc<dyn OtherHomes> = fake.clone();
    let pools = CellPools::default();
    let reserved = pools.reserve(own.as_ref(), &homes, OWN, outgoing()).await;
    assert_eq!(reserved.map(|(_, to)| to), case.expected);
    assert_eq!(fake.asked.lock().len(), case.reservations.len());
    sleep(Duration::from_millis(200)).await;
    let finished = case.is_finished.then_some(MigrationOutcome::NotMoved);
    assert_eq!(*fake.finished.lock(), Vec::from_iter(finished));
}

/// Guards against requests that are refused because a cell could not take a migration, which needs
/// more room and an idle link.
#[tokio::test(start_paused = true)]
async fn migrations_and_requests_are_declined_apart() {
    let own = FakeCell::new(OwnState::Full, 1);
    let fake = FakeHomes::with(&[(1, Some(TAKEN))], &[(1, Some(Reservation::Declined))]);
    let homes: Arc<dyn OtherHomes> = fake.clone();
    let pools = CellPools::default();
    let reserved = pools.reserve(own.as_ref(), &homes, OWN, outgoing()).await;
    assert_eq!(reserved, None);
    let placement = pools.place(own.clone(), homes, OWN, request(10)).await;
    assert_eq!(placement, on(200));
}
