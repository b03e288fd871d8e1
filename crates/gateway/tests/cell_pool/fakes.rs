//! Fakes in place of the own cell and of the homes of other cells.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_gateway::{OtherHomes, Overflow, OwnCell, Reservation};
use fulmarpath_policy::{
    EngineSnapshot, HostKey, IncomingMigration, MigrationOutcome, Millis, OrganisationKey,
    OtherCells, Placement, PlacementRequest, RunKey, UpstreamKey,
};
use fulmarpath_wire::{CellKey, OverflowAnswer};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

pub(crate) const OWN: CellKey = CellKey(1);
pub(crate) const OTHERS: [CellKey; 3] = [CellKey(2), CellKey(3), CellKey(4)];

pub(crate) const FULL: Placement = Placement::Full {
    retry_after_ms: 900,
    is_refused: false,
    lacks_protected_room: false,
};

pub(crate) const fn on(engine: u64) -> Placement {
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

pub(crate) const TAKEN: OverflowAnswer = OverflowAnswer::Placed {
    placement: on(200),
    cost_ms: 20.0,
};
pub(crate) const NO_ROOM: OverflowAnswer = OverflowAnswer::Declined { cost_ms: None };
pub(crate) const TOO_COSTLY: OverflowAnswer = OverflowAnswer::Declined {
    cost_ms: Some(400.0),
};

/// What the own cell answers to a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OwnState {
    Full,
    Costs(f32),
    HasNoEngine,
}

pub(crate) struct FakeCell {
    pub(crate) state: OwnState,
    pub(crate) others: usize,
    pub(crate) started: Instant,
    pub(crate) withdrawn: Mutex<Vec<RunKey>>,
    /// Searches for an engine.
    pub(crate) searches: Mutex<usize>,
    pub(crate) outcomes: Mutex<Vec<Overflow>>,
}

impl FakeCell {
    pub(crate) fn new(state: OwnState, others: usize) -> Arc<Self> {
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
pub(crate) struct FakeHomes {
    /// Time until each answer, and the answer; `None` if it is lost.
    pub(crate) answers: Mutex<VecDeque<(u64, Option<OverflowAnswer>)>>,
    /// The same for migrations.
    pub(crate) reservations: Mutex<VecDeque<(u64, Option<Reservation>)>>,
    pub(crate) asked: Mutex<Vec<(CellKey, Option<f32>)>>,
    pub(crate) released: Mutex<Vec<RunKey>>,
    pub(crate) finished: Mutex<Vec<MigrationOutcome>>,
}

impl FakeHomes {
    pub(crate) fn new(answers: &[(u64, Option<OverflowAnswer>)]) -> Arc<Self> {
        Self::with(answers, &[])
    }

    pub(crate) fn with(
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

pub(crate) fn request(run: u64) -> PlacementRequest {
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
