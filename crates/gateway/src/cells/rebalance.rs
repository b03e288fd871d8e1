//! Migrates generations between engines that stay, before their answers become late.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Migration, MigrationOutcome};
use fulmarpath_wire::CellKey;
use spdlog::info;

use crate::cells::homes::{log_name, metric_label};
use crate::gateway::Gateway;
use crate::metrics::TransferLabels;

/// Between two checks of the cells of which this host is the home. A prompt is prefilled beside an
/// answer for some hundred milliseconds, and a migration takes more than a hundred.
const REBALANCE_PERIOD: Duration = Duration::from_millis(25);

impl Gateway {
    /// Finds answers that are likely to become late where they run, and migrates them. Each check
    /// starts at most one migration in each cell.
    pub(crate) async fn rebalance(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REBALANCE_PERIOD).await;
            let now_ms = self.clock.now_ms();
            let migrations = self
                .cells
                .next_rebalancings(now_ms, |cell| self.is_home(cell));
            for (cell, migration) in migrations {
                tokio::spawn(self.clone().rebalance_one(cell, migration));
            }
        }
    }

    async fn rebalance_one(self: Arc<Self>, cell: CellKey, migration: Migration) {
        let started_ms = self.clock.now_ms();
        let outcome: MigrationOutcome = self.request_migration(migration).await;
        let ended_ms = self.clock.now_ms();
        info!(
            "cells: rebalanced {:016x} from {:016x} to {:016x}: {} after {} ms",
            migration.run.0,
            migration.from.0,
            migration.to.0,
            log_name(outcome),
            ended_ms.saturating_sub(started_ms)
        );
        let labels = TransferLabels {
            end: metric_label(outcome),
        };
        self.metrics.rebalanced.get_or_create(&labels).inc();
        self.cells
            .finish_migration(ended_ms, cell, migration, outcome);
    }
}
