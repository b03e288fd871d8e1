//! Takes requests of other cells, and connects the pool of cells with this host's tables and peers.

use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{
    IncomingMigration, MigrationOutcome, Millis, OtherCells, Placement, PlacementRequest, RunEnd,
    RunKey,
};
use fulmarpath_wire::{CellKey, GatewayPeerClient, OverflowAnswer};
use spdlog::warn;

use crate::cells::Cells;
use crate::cells::pool::{OtherHomes, Overflow, OwnCell, Reservation};
use crate::gateway::Gateway;

/// After this time the relaying host has no use for an answer any more. Longer than the time that
/// the asking home waits, because a call that fails closes its connection.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(150);

impl Cells {
    pub(super) fn has_others(&self, cell: CellKey) -> bool {
        let tables = self.tables.lock();
        let layouts = self.layouts.lock();
        let layout = tables
            .get(&cell)
            .and_then(|table| layouts.get(&table.service));
        layout.is_some_and(|layout| layout.groups.has_others(cell))
    }

    fn others(&self, cell: CellKey) -> OtherCells<CellKey> {
        let groups = {
            let tables = self.tables.lock();
            let layouts = self.layouts.lock();
            let layout = tables
                .get(&cell)
                .and_then(|table| layouts.get(&table.service));
            layout.map(|layout| layout.groups.clone())
        };
        groups.unwrap_or_default().others(cell)
    }

    fn place_unless_costly(
        &self,
        now_ms: Millis,
        cell: CellKey,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<Placement, f32> {
        let placed = self.with_cell(cell, |cell| {
            cell.place_unless_costly(now_ms, request, max_cost_ms)
        });
        placed.unwrap_or(Ok(Placement::NoEngine))
    }

    fn place_below(
        &self,
        now_ms: Millis,
        cell: CellKey,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<(Placement, f32), Option<f32>> {
        let placed = self.with_cell(cell, |cell| cell.place_below(now_ms, request, max_cost_ms));
        placed.unwrap_or(Err(None))
    }

    fn withdraw(&self, cell: CellKey, request: &PlacementRequest) {
        self.with_cell(cell, |cell| cell.withdraw(request));
    }
}

impl OwnCell for Gateway {
    fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    fn has_others(&self, cell: CellKey) -> bool {
        self.cells.has_others(cell)
    }

    fn others(&self, cell: CellKey) -> OtherCells<CellKey> {
        self.cells.others(cell)
    }

    fn place(&self, cell: CellKey, request: &PlacementRequest) -> Placement {
        self.cells.place(self.clock.now_ms(), cell, request, true)
    }

    fn place_unless_costly(
        &self,
        cell: CellKey,
        request: &PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Result<Placement, f32> {
        let now_ms = self.clock.now_ms();
        self.cells
            .place_unless_costly(now_ms, cell, request, max_cost_ms)
    }

    fn withdraw(&self, cell: CellKey, request: &PlacementRequest) {
        self.cells.withdraw(cell, request);
    }

    fn count(&self, outcome: Overflow) {
        self.metrics.overflow(match outcome {
            Overflow::HandedOn => "handed_on",
            Overflow::Declined => "declined",
            Overflow::Unanswered => "unanswered",
        });
    }
}

#[async_trait]
impl OtherHomes for Gateway {
    async fn place_overflow(
        &self,
        cell: CellKey,
        request: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> Option<OverflowAnswer> {
        if self.is_home(cell) {
            return Some(self.handle_place_overflow(cell, request, max_cost_ms));
        }
        let (_, member) = self.home_of(cell)?;
        let call = |client: GatewayPeerClient, context| async move {
            client
                .place_overflow(context, cell, request, max_cost_ms)
                .await
        };
        let peers = &self.fleet.peers;
        let sent = peers.call_with_timeout(member.address, CALL_TIMEOUT, call);
        // The pool logs which homes do not answer, once while they stay silent.
        sent.await.ok()
    }

    async fn release(&self, cell: CellKey, run: RunKey) {
        self.report_end_to_home(cell, run, RunEnd::default()).await;
    }

    async fn reserve_incoming(
        &self,
        cell: CellKey,
        incoming: IncomingMigration,
    ) -> Option<Reservation> {
        let reserved = match self.is_home(cell) {
            true => self.handle_reserve_incoming(cell, &incoming),
            false => self.ask_to_reserve(cell, incoming).await?,
        };
        Some(reserved.map_or(Reservation::Declined, Reservation::At))
    }

    async fn finish_incoming(&self, cell: CellKey, run: RunKey, outcome: MigrationOutcome) {
        let Some((key, member)) = self.home_of(cell) else {
            return;
        };
        if key == self.host_key() {
            let now_ms = self.clock.now_ms();
            return self.cells.finish_incoming(now_ms, cell, run, outcome);
        }
        let call = |client: GatewayPeerClient, context| async move {
            client.finish_incoming(context, cell, run, outcome).await
        };
        if let Err(error) = self.fleet.peers.call(member.address, call).await {
            // The reservation ends with the statements, or after its time.
            warn!(
                "cells: could not report the migration of {:016x} to the home of cell {:016x}: {error}",
                run.0, cell.0
            );
        }
    }
}

impl Gateway {
    /// Takes a generation of another cell as the home of this one, if there is room and it costs
    /// less than `max_cost_ms`.
    pub(crate) fn handle_place_overflow(
        &self,
        cell: CellKey,
        request: PlacementRequest,
        max_cost_ms: Option<f32>,
    ) -> OverflowAnswer {
        if !self.is_home(cell) {
            return OverflowAnswer::NotHome;
        }
        let request = self.without_uncounted_starts(request);
        let now_ms = self.clock.now_ms();
        match self.cells.place_below(now_ms, cell, &request, max_cost_ms) {
            Ok((placement, cost_ms)) => {
                self.metrics.overflow("taken");
                OverflowAnswer::Placed { placement, cost_ms }
            }
            Err(cost_ms) => OverflowAnswer::Declined { cost_ms },
        }
    }
}
