//! Migrates generations of leaving engines to engines of other cells, and takes those of other
//! cells.

use std::sync::Arc;

use fulmarpath_policy::{Cell, IncomingMigration, MigrationOutcome, UpstreamKey};
use fulmarpath_wire::{CellKey, GatewayPeerClient};
use spdlog::info;

use crate::cells::homes::metric_label;
use crate::cells::overflow::CALL_TIMEOUT;
use crate::cells::pool::OtherHomes;
use crate::gateway::Gateway;

impl Gateway {
    /// Asks another host, the home of a cell, to reserve an engine for a migration; `None` if it does
    /// not answer.
    pub(super) async fn ask_to_reserve(
        &self,
        cell: CellKey,
        incoming: IncomingMigration,
    ) -> Option<Option<UpstreamKey>> {
        let (_, member) = self.home_of(cell)?;
        let call = |client: GatewayPeerClient, context| async move {
            client.reserve_incoming(context, cell, incoming).await
        };
        let peers = &self.fleet.peers;
        let sent = peers.call_with_timeout(member.address, CALL_TIMEOUT, call);
        // The pool logs which homes do not answer, once while they stay silent.
        sent.await.ok()
    }

    /// Reserves an engine for a generation of another cell, as the home of this one.
    pub(crate) fn handle_reserve_incoming(
        &self,
        cell: CellKey,
        incoming: &IncomingMigration,
    ) -> Option<UpstreamKey> {
        if !self.is_home(cell) {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let decide = |cell: &mut Cell| cell.reserve_incoming(now_ms, incoming);
        self.cells.with_cell(cell, decide).flatten()
    }

    /// Migrates the next generation of a leaving engine that finds no destination in its cell to an
    /// engine of another one; `None` if there is none.
    pub(crate) async fn migrate_over_border(
        self: &Arc<Self>,
        cell: CellKey,
        from: UpstreamKey,
    ) -> Option<MigrationOutcome> {
        if !self.cells.has_others(cell) {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let find = |cell: &mut Cell| cell.unplaceable_migration(now_ms, from);
        let outgoing = self.cells.with_cell(cell, find).flatten()?;
        let homes: Arc<dyn OtherHomes> = self.clone();
        let pools = &self.cell_duties.pools;
        let reserved = pools.reserve(self.as_ref(), &homes, cell, outgoing).await;
        let (other, to) = reserved?;
        let run = outgoing.statement.run;
        let begin = |cell: &mut Cell| cell.begin_outgoing(run, from, to);
        let outcome = match self.cells.with_cell(cell, begin).flatten() {
            Some(migration) => {
                let outcome = self.perform_migration(migration).await;
                let now_ms = self.clock.now_ms();
                let finish = |cell: &mut Cell| cell.finish_outgoing(now_ms, migration, outcome);
                self.cells.with_cell(cell, finish);
                self.metrics.border_transfer(metric_label(outcome));
                info!("cells: {:016x} to cell {:016x}", run.0, other.0);
                outcome
            }
            None => MigrationOutcome::NotMoved,
        };
        tokio::spawn(async move { homes.finish_incoming(other, run, outcome).await });
        Some(outcome)
    }
}
