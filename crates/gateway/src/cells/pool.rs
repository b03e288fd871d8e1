//! Hands requests on to the homes of other cells of their service, as the home of the cell in which
//! they arrived.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{
    Ask, Millis, OtherCells, Placement, PlacementRequest, Pool, PoolAnswer, RunKey,
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
    pools: Mutex<HashMap<CellKey, Pool<CellKey>>>,
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
            let answer = ask(homes.clone(), other, request.clone(), max_cost_ms).await;
            let now_ms = own.now_ms();
            self.with(cell, |pool| {
                pool.record(now_ms, other, own_cost_ms, pool_answer(answer));
            });
            own.count(outcome(answer));
            if let Some(OverflowAnswer::Placed { placement, .. }) = answer {
                let run = request.run;
                info!("cells: {:016x} handed on to cell {:016x}", run.0, other.0);
                return Some(placement);
            }
            if answer.is_none() {
                warn!("cells: no answer from the home of cell {:016x}", other.0);
            }
        }
    }

    /// Forgets what the homes of other cells than these knew.
    pub fn retain(&self, is_home: impl Fn(CellKey) -> bool) {
        self.pools.lock().retain(|cell, _| is_home(*cell));
    }

    fn with<T>(&self, cell: CellKey, decide: impl FnOnce(&mut Pool<CellKey>) -> T) -> T {
        decide(self.pools.lock().entry(cell).or_default())
    }
}

/// Asks another home. The call continues after [`ANSWER_TIMEOUT`], or if the relaying host has
/// given up: the other home then learns that what it has placed does not run.
async fn ask(
    homes: Arc<dyn OtherHomes>,
    cell: CellKey,
    request: PlacementRequest,
    max_cost_ms: Option<f32>,
) -> Option<OverflowAnswer> {
    let (send, mut answered) = oneshot::channel();
    tokio::spawn(async move {
        let run = request.run;
        let answer = homes.place_overflow(cell, request, max_cost_ms).await;
        if let Err(Some(OverflowAnswer::Placed { .. })) = send.send(answer) {
            homes.release(cell, run).await;
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
