//! Hands requests on to the homes of other cells of their service, as the home of the cell in which
//! they arrived.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{
    Ask, IncomingMigration, MigrationOutcome, Millis, OtherCells, Placement, PlacementRequest,
    Pool, PoolAnswer, RunKey, UpstreamKey,
};
use fulmarpath_wire::{CellKey, OverflowAnswer};
use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time for the answer of another home. A relaying host waits 150 ms for its placement, in which
/// two homes may be asked one after the other.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// The table of a cell at its home.
pub trait OwnCell: Send + Sync {
    /// The present time.
    fn now_ms(&self) -> Millis;
    /// Whether the service has another cell.
    fn has_others(&self, cell: CellKey) -> bool;
    /// The other cells of the service.
    fn others(&self, cell: CellKey) -> OtherCells<CellKey>;
    /// Places or queues a request.
    fn place(&self, cell: CellKey, request: &PlacementRequest) -> Placement;
    /// Places or queues a request, unless it costs `max_cost_ms` or more; `None` for any cost.
    ///
    /// # Errors
    /// The cost in ms.
    fn place_unless_costly(
        &self,
        cell: CellKey,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<Placement, f32>;
    /// Forgets a request that another cell has taken.
    fn withdraw(&self, cell: CellKey, request: &PlacementRequest);
    /// Counts a request to another home.
    fn count(&self, outcome: Overflow);
}

/// The homes of other cells.
#[async_trait]
pub trait OtherHomes: Send + Sync {
    /// Asks the home of a cell to take a request; `None` if it does not answer.
    async fn place_overflow(
        &self,
        cell: CellKey,
        request: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Option<OverflowAnswer>;
    /// Tells the home of a cell that a generation that it has taken does not run there.
    async fn release(&self, cell: CellKey, run: RunKey);
    /// Asks the home of a cell to reserve an engine for a generation of a leaving engine; `None` if
    /// it does not answer.
    async fn reserve_incoming(
        &self,
        cell: CellKey,
        incoming: IncomingMigration,
    ) -> Option<Reservation>;
    /// Tells the home of a cell how a migration ended for which it had reserved an engine.
    async fn finish_incoming(&self, cell: CellKey, run: RunKey, outcome: MigrationOutcome);
}

/// The answer of a cell's home to a migration from another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// This engine is reserved.
    At(UpstreamKey),
    /// No engine has room and time for it.
    Declined,
}

/// What became of a request that a home tried to hand on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overflow {
    /// Another cell has taken it.
    HandedOn,
    /// Another home has declined it.
    Declined,
    /// Another home has not answered in time.
    Unanswered,
}

/// What the homes of cells on this host know of the other cells.
#[derive(Debug, Default)]
pub struct CellPools {
    pools: Mutex<HashMap<CellKey, Pools>>,
}

/// What the home of one cell knows of the other cells.
#[derive(Debug, Default)]
struct Pools {
    requests: Pool<CellKey>,
    /// Kept apart, because a cell may have room for a request but not for a transfer in time, and
    /// the other way round.
    migrations: Pool<CellKey>,
}

impl CellPools {
    /// Places a request in its own cell, or in another one if the own one has no room or is more
    /// expensive.
    pub async fn place(
        &self,
        own: Arc<dyn OwnCell>,
        homes: Arc<dyn OtherHomes>,
        cell: CellKey,
        request: PlacementRequest,
    ) -> Placement {
        if !own.has_others(cell) {
            return own.place(cell, &request);
        }
        let now_ms = own.now_ms();
        let max_cost_ms = self.with(cell, |pool| pool.undisputed_cost_ms(now_ms));
        let placed = own.place_unless_costly(cell, &request, max_cost_ms);
        let own_cost_ms = match placed {
            Ok(placement @ (Placement::On { .. } | Placement::TooLarge)) => return placement,
            Ok(Placement::Full { .. } | Placement::NoEngine) => None,
            Err(cost_ms) => Some(cost_ms),
        };
        if let Some(placement) = self
            .hand_on(&own, &homes, cell, &request, own_cost_ms)
            .await
        {
            own.withdraw(cell, &request);
            return placement;
        }
        match placed {
            Ok(placement) => placement,
            Err(_) => own.place(cell, &request),
        }
    }

    /// Asks other homes one after the other; `None` if none of them takes the request.
    async fn hand_on(
        &self,
        own: &Arc<dyn OwnCell>,
        homes: &Arc<dyn OtherHomes>,
        cell: CellKey,
        request: &PlacementRequest,
        own_cost_ms: Option<f32>,
    ) -> Option<Placement> {
        let others = own.others(cell);
        let mut asked = Vec::new();
        loop {
            let now_ms = own.now_ms();
            let draw = rand::random();
            let next = self.with(cell, |pool| {
                pool.candidate(now_ms, own_cost_ms, &others, draw, &asked)
            });
            let Ask {
                cell: other,
                max_cost_ms,
            } = next?;
            asked.push(other);
            let answer = ask_to_place(homes.clone(), other, request.clone(), max_cost_ms).await;
            let now_ms = own.now_ms();
            self.with(cell, |pool| {
                record(pool, now_ms, other, own_cost_ms, pool_answer(answer));
            });
            own.count(outcome(answer));
            if let Some(OverflowAnswer::Placed { placement, .. }) = answer {
                let run = request.run;
                info!("cells: {:016x} handed on to cell {:016x}", run.0, other.0);
                return Some(placement);
            }
        }
    }

    /// Forgets what the homes of other cells than these knew.
    pub fn retain(&self, is_home: impl Fn(CellKey) -> bool) {
        self.pools.lock().retain(|cell, _| is_home(*cell));
    }

    /// Finds an engine of another cell for a generation of a leaving engine, and reserves it there.
    pub async fn reserve(
        &self,
        own: &dyn OwnCell,
        homes: &Arc<dyn OtherHomes>,
        cell: CellKey,
        incoming: IncomingMigration,
    ) -> Option<(CellKey, UpstreamKey)> {
        if !own.has_others(cell) {
            return None;
        }
        let others = own.others(cell);
        let mut asked = Vec::new();
        loop {
            let now_ms = own.now_ms();
            let draw = rand::random();
            let next = self.with_pools(cell, |pools| {
                pools
                    .migrations
                    .candidate(now_ms, None, &others, draw, &asked)
            });
            let other = next?.cell;
            asked.push(other);
            let answer = ask_to_reserve(homes.clone(), other, incoming).await;
            let now_ms = own.now_ms();
            let recorded = match answer {
                // All cells with room are alike, so the last one that had room is asked first.
                Some(Reservation::At(_)) => PoolAnswer::Placed { cost_ms: 0.0 },
                Some(Reservation::Declined) => PoolAnswer::Declined { cost_ms: None },
                None => PoolAnswer::Silent,
            };
            self.with_pools(cell, |pools| {
                record(&mut pools.migrations, now_ms, other, None, recorded);
            });
            if let Some(Reservation::At(to)) = answer {
                return Some((other, to));
            }
        }
    }

    fn with<T>(&self, cell: CellKey, decide: impl FnOnce(&mut Pool<CellKey>) -> T) -> T {
        self.with_pools(cell, |pools| decide(&mut pools.requests))
    }

    fn with_pools<T>(&self, cell: CellKey, decide: impl FnOnce(&mut Pools) -> T) -> T {
        decide(self.pools.lock().entry(cell).or_default())
    }
}

async fn ask_to_place(
    homes: Arc<dyn OtherHomes>,
    cell: CellKey,
    request: PlacementRequest,
    max_cost_ms: Option<f32>,
) -> Option<OverflowAnswer> {
    let run = request.run;
    let call = {
        let homes = homes.clone();
        async move { homes.place_overflow(cell, request, max_cost_ms).await }
    };
    let undo = async move |answer| {
        if matches!(answer, OverflowAnswer::Placed { .. }) {
            homes.release(cell, run).await;
        }
    };
    ask(call, undo).await
}

async fn ask_to_reserve(
    homes: Arc<dyn OtherHomes>,
    cell: CellKey,
    incoming: IncomingMigration,
) -> Option<Reservation> {
    let call = {
        let homes = homes.clone();
        async move { homes.reserve_incoming(cell, incoming).await }
    };
    let undo = async move |answer| {
        if matches!(answer, Reservation::At(_)) {
            let outcome = MigrationOutcome::NotMoved;
            homes
                .finish_incoming(cell, incoming.statement.run, outcome)
                .await;
        }
    };
    ask(call, undo).await
}

/// Waits [`ANSWER_TIMEOUT`] for the answer of another home. The call continues after that, or if the
/// relaying host has given up; its answer is undone then.
async fn ask<T, U>(
    call: impl Future<Output = Option<T>> + Send + 'static,
    undo: impl FnOnce(T) -> U + Send + 'static,
) -> Option<T>
where
    T: Send + 'static,
    U: Future<Output = ()> + Send,
{
    let (send, mut answered) = oneshot::channel();
    tokio::spawn(async move {
        if let Err(Some(late)) = send.send(call.await) {
            undo(late).await;
        }
    });
    match timeout(ANSWER_TIMEOUT, &mut answered).await {
        Ok(answer) => answer.ok().flatten(),
        Err(_) => {
            answered.close();
            answered.try_recv().ok().flatten()
        }
    }
}

/// Records the answer of a cell, and logs the first time that its home is silent.
fn record(
    pool: &mut Pool<CellKey>,
    now_ms: Millis,
    cell: CellKey,
    own_cost_ms: Option<f32>,
    answer: PoolAnswer,
) {
    if answer == PoolAnswer::Silent && !pool.is_silent(now_ms, cell) {
        warn!("cells: no answer from the home of cell {:016x}", cell.0);
    }
    pool.record(now_ms, cell, own_cost_ms, answer);
}

fn pool_answer(answer: Option<OverflowAnswer>) -> PoolAnswer {
    match answer {
        Some(OverflowAnswer::Placed { cost_ms, .. }) => PoolAnswer::Placed { cost_ms },
        Some(OverflowAnswer::Declined { cost_ms }) => PoolAnswer::Declined { cost_ms },
        Some(OverflowAnswer::NotHome) => PoolAnswer::NotHome,
        None => PoolAnswer::Silent,
    }
}

fn outcome(answer: Option<OverflowAnswer>) -> Overflow {
    match answer {
        Some(OverflowAnswer::Placed { .. }) => Overflow::HandedOn,
        Some(OverflowAnswer::Declined { .. } | OverflowAnswer::NotHome) => Overflow::Declined,
        None => Overflow::Unanswered,
    }
}
