//! Determines the home of each cell, and exchanges placements, statements and migrations with it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{
    Cell, HostKey, Migration, MigrationOutcome, Millis, Placement, PlacementRequest, RunEnd,
    RunKey, UpstreamKey,
};
use fulmarpath_wire::{CellKey, GatewayPeerClient, MemberInfo, MigrationAnswer, RelayedRuns};
use parking_lot::Mutex;
use spdlog::{info, warn};

use crate::cells::pool::CellPools;
use crate::gateway::Gateway;
use crate::metrics::TransferLabels;

/// Between two statements of what this host relays: how long a new home has incomplete data.
const RESTATE_PERIOD: Duration = Duration::from_millis(1_000);
/// A home that does not answer in time delays its caller's first token by this much.
const PLACE_TIMEOUT: Duration = Duration::from_millis(150);
/// A transfer takes about 200 ms within a data centre, and may wait for another at its destination.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between two checks of a leaving engine that has nothing to migrate at the moment.
const MIGRATION_CHECK_PERIOD: Duration = Duration::from_millis(25);

/// State of this host's work as the home of cells, and in place of homes that do not answer.
#[derive(Default)]
pub(crate) struct CellDuties {
    /// Engines from which this host is migrating generations.
    migrating_off: Mutex<HashSet<UpstreamKey>>,
    /// Cells whose home did not answer lately: this host acts for the generations that it relays
    /// itself.
    unreachable_homes: Mutex<HashSet<CellKey>>,
    /// What this host knows of the other cells of its services.
    pub(crate) pools: CellPools,
    /// Triggers an immediate statement of what this host relays.
    pub(crate) restate_now: tokio::sync::Notify,
}

impl Gateway {
    pub(crate) fn home_of(&self, cell: CellKey) -> Option<(HostKey, MemberInfo)> {
        let mut members = self.fleet.members.lock();
        let key = members.home_of(cell.0)?;
        let member = members.find(key)?.member.clone();
        Some((key, member))
    }

    pub(crate) fn host_key(&self) -> HostKey {
        self.fleet.members.lock().own_key()
    }

    /// Whether this host is the home of any cell.
    pub fn is_home_of_any_cell(&self) -> bool {
        self.cells.any(|cell| self.is_home(cell))
    }

    pub(crate) fn is_home(&self, cell: CellKey) -> bool {
        let mut members = self.fleet.members.lock();
        let home = members.home_of(cell.0);
        home.is_none_or(|key| key == members.own_key())
    }

    /// Asks the cell's home where to start a generation. If the home does not answer, this host
    /// decides by its own table, which covers only its own generations: an imperfect placement is
    /// better than none.
    pub(crate) async fn place(
        self: &Arc<Self>,
        cell: CellKey,
        request: PlacementRequest,
    ) -> Placement {
        if self.is_home(cell) {
            return self.place_as_home(cell, request).await;
        }
        if let Some((key, member)) = self.home_of(cell)
            && key != self.host_key()
        {
            let request_copy = request.clone();
            let call = |client: GatewayPeerClient, context| async move {
                client.place(context, cell, request_copy).await
            };
            let peers = &self.fleet.peers;
            match peers
                .call_with_timeout(member.address, PLACE_TIMEOUT, call)
                .await
            {
                Ok(Some(placement)) => return placement,
                Ok(None) => {}
                Err(error) => warn!("cells: placed without a home: {error}"),
            }
        }
        let request = self.without_uncounted_starts(request);
        let now_ms = self.clock.now_ms();
        let placement = self.cells.place(now_ms, cell, &request, false);
        // A cell's home counts the generations that start at a cold engine; a host that places in
        // its stead has to request each start from the engine's home.
        if let Placement::On { engine, .. } = placement
            && let Err(retry_after_ms) = self.request_start_if_cold(engine).await
        {
            return Placement::Full {
                retry_after_ms,
                is_refused: false,
                lacks_protected_room: false,
            };
        }
        placement
    }

    /// Places a generation as the cell's home; `None` if this host is not the home.
    pub(crate) async fn handle_place(
        self: &Arc<Self>,
        cell: CellKey,
        request: PlacementRequest,
    ) -> Option<Placement> {
        if !self.is_home(cell) {
            return None;
        }
        Some(self.place_as_home(cell, request).await)
    }

    /// Places a generation in the own cell, or in another one that has more room.
    async fn place_as_home(
        self: &Arc<Self>,
        cell: CellKey,
        request: PlacementRequest,
    ) -> Placement {
        let request = self.without_uncounted_starts(request);
        let pools = &self.cell_duties.pools;
        pools.place(self.clone(), self.clone(), cell, request).await
    }

    /// Excludes cold engines from a request while their starts can't be counted.
    ///
    /// A host that has just started considers itself the home of every cell until it has met other
    /// hosts. If all hosts start at once, each would start as many generations as a cold engine can
    /// take. Cold engines are therefore excluded until there has been contact with other hosts.
    pub(crate) fn without_uncounted_starts(
        &self,
        mut request: PlacementRequest,
    ) -> PlacementRequest {
        let now_ms = self.clock.now_ms();
        if !self.fleet.has_recent_contact(now_ms) {
            request.excluded.extend(self.instances.cold(now_ms));
        }
        request
    }

    /// Reports the end of a generation to the home of the cell of its engine, or of the cell in
    /// which it arrived if it was sent to no engine.
    pub(crate) fn report_end(
        self: &Arc<Self>,
        arrived_in: CellKey,
        run: RunKey,
        is_complete: bool,
        first_ms: Option<Millis>,
    ) {
        let ended = self
            .runs
            .remove(run, |engine| self.cells.cell_of_engine(engine));
        let cell = ended.map_or(arrived_in, |ended| ended.cell);
        let end = RunEnd {
            out_tokens: ended.map_or(0, |ended| ended.out_tokens),
            is_complete,
            first_ms,
        };
        self.cells.end(self.clock.now_ms(), cell, run, end);
        if !self.is_home(cell) {
            let gateway = self.clone();
            tokio::spawn(async move { gateway.report_end_to_home(cell, run, end).await });
        }
    }

    /// Tells the home of a cell that a generation has ended.
    pub(crate) async fn report_end_to_home(&self, cell: CellKey, run: RunKey, end: RunEnd) {
        let Some((key, member)) = self.home_of(cell) else {
            return;
        };
        if key == self.host_key() {
            return self.cells.end(self.clock.now_ms(), cell, run, end);
        }
        let call = |client: GatewayPeerClient, context| async move {
            client.ended(context, cell, run, end).await
        };
        if let Err(error) = self.fleet.peers.call(member.address, call).await {
            // The next statement conveys the end as well.
            warn!(
                "cells: could not report the end of {:016x} to its home: {error}",
                run.0
            );
        }
    }

    /// Reports to each cell's home which generations this host relays, periodically and on request.
    pub(crate) async fn restate_runs(self: Arc<Self>) {
        let mut uneven = HashSet::new();
        loop {
            let notified = self.cell_duties.restate_now.notified();
            let _ = tokio::time::timeout(RESTATE_PERIOD, notified).await;
            let present: HashSet<HostKey> = {
                let members = self.fleet.members.lock();
                members.homes().map(|(key, _)| key).collect()
            };
            self.cells.retain_hosts(|host| present.contains(&host));
            self.cell_duties.pools.retain(|cell| self.is_home(cell));
            let cell_of_engine = |engine| self.cells.cell_of_engine(engine);
            for relayed_runs in self.runs.restatements(self.host_key(), cell_of_engine) {
                self.restate(relayed_runs).await;
            }
            self.report_engine_speeds(&mut uneven);
        }
    }

    async fn restate(&self, relayed_runs: RelayedRuns) {
        let cell = relayed_runs.cell;
        self.cells.restate(self.clock.now_ms(), &relayed_runs);
        let Some((key, member)) = self.home_of(cell) else {
            return;
        };
        if key == self.host_key() {
            self.cell_duties.unreachable_homes.lock().remove(&cell);
            return;
        }
        let call = |client: GatewayPeerClient, context| async move {
            client.restate(context, relayed_runs).await
        };
        let sent = self.fleet.peers.call(member.address, call).await;
        let mut unreachable_homes = self.cell_duties.unreachable_homes.lock();
        let changed = match sent {
            Ok(()) => unreachable_homes.remove(&cell),
            Err(_) => unreachable_homes.insert(cell),
        };
        if changed && sent.is_err() {
            warn!(
                "cells: {} does not answer as the home of cell {:016x}",
                member.name, cell.0
            );
        }
    }

    /// Whether this host migrates generations of a cell: as its home, or in place of an unreachable
    /// home for the generations that this host relays itself.
    fn acts_for(&self, cell: CellKey) -> bool {
        self.is_home(cell) || self.cell_duties.unreachable_homes.lock().contains(&cell)
    }

    /// Finds leaving engines and starts the migration of their generations.
    pub(crate) async fn migrate_off_leaving(self: Arc<Self>) {
        loop {
            tokio::time::sleep(MIGRATION_CHECK_PERIOD).await;
            for (cell, engine) in self.cells.leaving() {
                if !self.acts_for(cell) || !self.cell_duties.migrating_off.lock().insert(engine) {
                    continue;
                }
                tokio::spawn(self.clone().probe_time_left(cell, engine));
                let gateway = self.clone();
                tokio::spawn(async move {
                    gateway.migrate_off(cell, engine).await;
                    gateway.cell_duties.migrating_off.lock().remove(&engine);
                });
            }
        }
    }

    /// Migrates an engine's generations one after the other until none are left.
    async fn migrate_off(self: &Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        let mut moved = 0;
        while self.cells.is_leaving(cell, engine) && self.acts_for(cell) {
            let now_ms = self.clock.now_ms();
            let next = |cell: &mut Cell| cell.next_migration(now_ms, engine);
            let outcome = match self.cells.with_cell(cell, next).flatten() {
                Some(migration) => {
                    let outcome = self.perform_migration(migration).await;
                    self.cells
                        .finish_migration(self.clock.now_ms(), cell, migration, outcome);
                    Some(outcome)
                }
                None => self.migrate_over_border(cell, engine).await,
            };
            moved += u32::from(outcome == Some(MigrationOutcome::Moved));
            if outcome.is_none() {
                tokio::time::sleep(MIGRATION_CHECK_PERIOD).await;
            }
        }
        info!("cells: {moved} generations carried off {:016x}", engine.0);
    }

    /// Has a generation migrated by the host that relays it.
    pub(crate) async fn perform_migration(
        self: &Arc<Self>,
        migration: Migration,
    ) -> MigrationOutcome {
        let now_ms = self.clock.now_ms();
        let outcome = self.request_migration(migration).await;
        info!(
            "cells: {:016x} from {:016x} to {:016x}: {} after {} ms",
            migration.run.0,
            migration.from.0,
            migration.to.0,
            log_name(outcome),
            self.clock.now_ms().saturating_sub(now_ms)
        );
        let labels = TransferLabels {
            end: metric_label(outcome),
        };
        self.metrics.transfers.get_or_create(&labels).inc();
        outcome
    }

    pub(crate) async fn request_migration(
        self: &Arc<Self>,
        migration: Migration,
    ) -> MigrationOutcome {
        let Migration { run, to, host, .. } = migration;
        if host == self.host_key() {
            return migration_outcome(self.migrate_relayed_run(run, to).await);
        }
        let member = {
            let members = self.fleet.members.lock();
            members.find(host).map(|rumour| rumour.member.clone())
        };
        let Some(member) = member else {
            return MigrationOutcome::Ended;
        };
        let call = |client: GatewayPeerClient, context| async move {
            client.carry(context, run, to).await
        };
        let peers = &self.fleet.peers;
        match peers
            .call_with_timeout(member.address, MIGRATION_TIMEOUT, call)
            .await
        {
            Ok(answer) => migration_outcome(answer),
            Err(error) => {
                warn!(
                    "cells: could not confirm the migration of {:016x} to {:016x}: {error}",
                    run.0, to.0
                );
                MigrationOutcome::Orphaned
            }
        }
    }

    /// Migrates a generation that this host relays to another engine.
    pub(crate) async fn migrate_relayed_run(
        &self,
        run: RunKey,
        to: UpstreamKey,
    ) -> MigrationAnswer {
        let Some(destination) = self.instances.destination(self.clock.now_ms(), to) else {
            return MigrationAnswer::Stayed;
        };
        self.runs.migrate(run, destination).await
    }
}

pub(crate) fn metric_label(outcome: MigrationOutcome) -> &'static str {
    match outcome {
        MigrationOutcome::Moved => "moved",
        MigrationOutcome::NotMoved => "stayed",
        MigrationOutcome::Refused => "refused",
        MigrationOutcome::Orphaned => "left_behind",
        MigrationOutcome::Ended => "over",
    }
}

/// The name in log lines, which operators match.
pub(crate) fn log_name(outcome: MigrationOutcome) -> &'static str {
    match outcome {
        MigrationOutcome::Moved => "Moved",
        MigrationOutcome::NotMoved => "Stayed",
        MigrationOutcome::Refused => "Refused",
        MigrationOutcome::Orphaned => "LeftBehind",
        MigrationOutcome::Ended => "Over",
    }
}

fn migration_outcome(answer: MigrationAnswer) -> MigrationOutcome {
    match answer {
        MigrationAnswer::Moved => MigrationOutcome::Moved,
        MigrationAnswer::Stayed => MigrationOutcome::NotMoved,
        MigrationAnswer::Refused => MigrationOutcome::Refused,
        MigrationAnswer::LeftBehind => MigrationOutcome::Orphaned,
        MigrationAnswer::Over => MigrationOutcome::Ended,
    }
}
