//! The cells' tables on this host. They cover all generations of a cell if this host is its home,
//! otherwise only the generations that this host relays.

use std::collections::HashMap;

use fulmarpath_policy::{
    Cell, CellEngine, CellPartitioning, EngineCapacity, HostKey, Migration, MigrationOutcome,
    Millis, Placement, PlacementRequest, RunEnd, RunKey, UpstreamKey, Verdict,
};
use fulmarpath_wire::{CellKey, RelayedRuns};
use parking_lot::Mutex;

use crate::availability::Availability;
use crate::cell_layout::{self, CellsByEngine};
use crate::configuration::{ActiveConfiguration, EngineTraits};
use crate::control::EngineStatus;
use crate::directory::{Directory, RegisteredState, Registration};
use crate::key::{data_centre_key, name_key, upstream_key};

struct Table {
    service: String,
    cell: Cell,
}

/// How a service is partitioned into cells after an update.
struct PartitioningChange {
    partitioning: CellPartitioning,
    /// Whether engines belong to other cells than before.
    has_changed: bool,
}

/// The cells' tables.
///
/// Lock order: tables, partitionings, by engine.
#[derive(Default)]
pub(crate) struct Cells {
    tables: Mutex<HashMap<CellKey, Table>>,
    /// The partitioning of each service into cells.
    partitionings: Mutex<HashMap<String, CellPartitioning>>,
    by_engine: Mutex<CellsByEngine>,
}

impl Cells {
    /// Applies the registered engines; returns whether homes need new statements of the running
    /// generations.
    pub(crate) fn apply_directory(
        &self,
        now_ms: Millis,
        active: &ActiveConfiguration,
        directory: &Directory,
        availability_of: impl Fn(UpstreamKey) -> Availability,
    ) -> bool {
        let mut by_service: HashMap<&str, Vec<&Registration>> = HashMap::new();
        for registration in &directory.registrations {
            by_service
                .entry(&registration.service)
                .or_default()
                .push(registration);
        }
        let mut by_engine = CellsByEngine::new();
        let mut has_new_layout = false;
        let mut tables = self.tables.lock();
        for service in &active.configuration.services {
            let Some(traits) = &service.engine else {
                continue;
            };
            let registered = by_service.remove(service.name.as_str()).unwrap_or_default();
            let partitioning_change = self.update_partitioning(&service.name, &registered);
            let by_cell = cell_layout::group_by_cell(
                &partitioning_change.partitioning,
                &service.name,
                &registered,
            );
            if partitioning_change.has_changed {
                has_new_layout = true;
                // The tables are discarded, since engines that moved to another cell would be taken
                // for leaving engines; homes learn of the generations from the next statements.
                tables.retain(|_, table| table.service != service.name);
            }
            // In a cell without registered engines, all earlier engines count as leaving.
            for (key, table) in tables.iter_mut() {
                if table.service == service.name && !by_cell.contains_key(key) {
                    table.cell.set_engines(now_ms, &[]);
                }
            }
            for (cell, engines) in by_cell {
                let engines = engines.iter().map(|registration| {
                    let availability = availability_of(upstream_key(registration));
                    engine(registration, traits, availability)
                });
                let engines: Vec<CellEngine> = engines.collect();
                by_engine.extend(engines.iter().map(|engine| (engine.key, cell)));
                let table = tables.entry(cell).or_insert_with(|| Table {
                    service: service.name.clone(),
                    cell: Cell::default(),
                });
                table.cell.set_engines(now_ms, &engines);
            }
        }
        tables.retain(|_, table| !table.cell.is_idle());
        *self.by_engine.lock() = by_engine;
        has_new_layout
    }

    fn update_partitioning(
        &self,
        service: &str,
        registered: &[&Registration],
    ) -> PartitioningChange {
        let mut partitionings = self.partitionings.lock();
        let before = partitionings.get(service).cloned().unwrap_or_default();
        let partitioning = before.updated(&cell_layout::count_by_data_centre(registered));
        partitionings.insert(service.to_owned(), partitioning.clone());
        PartitioningChange {
            has_changed: !partitioning.has_same_cells(&before),
            partitioning,
        }
    }

    /// The cell to which an engine belongs.
    pub(crate) fn cell_of_engine(&self, engine: UpstreamKey) -> Option<CellKey> {
        self.by_engine.lock().get(&engine).copied()
    }

    pub(crate) fn keys(&self) -> Vec<CellKey> {
        self.tables.lock().keys().copied().collect()
    }

    /// The cell for a generation that a host in `data_centre` starts.
    pub(crate) fn cell_for(&self, service: &str, data_centre: &str, run: RunKey) -> CellKey {
        let partitionings = self.partitionings.lock();
        let partitioning = partitionings.get(service).cloned().unwrap_or_default();
        cell_layout::cell_for(&partitioning, service, data_centre, run)
    }

    pub(crate) fn place(
        &self,
        now_ms: Millis,
        cell: CellKey,
        request: &PlacementRequest,
    ) -> Placement {
        let mut tables = self.tables.lock();
        let table = tables.get_mut(&cell);
        table.map_or(Placement::NoEngine, |table| {
            table.cell.place(now_ms, request)
        })
    }

    pub(crate) fn end(&self, now_ms: Millis, cell: CellKey, run: RunKey, end: RunEnd) {
        if let Some(table) = self.tables.lock().get_mut(&cell) {
            table.cell.end(now_ms, run, end);
        }
    }

    pub(crate) fn restate(&self, now_ms: Millis, relayed_runs: &RelayedRuns) {
        if let Some(table) = self.tables.lock().get_mut(&relayed_runs.cell) {
            table
                .cell
                .restate(now_ms, relayed_runs.host, &relayed_runs.runs);
        }
    }

    pub(crate) fn retain_hosts(&self, is_present: impl Fn(HostKey) -> bool) {
        for table in self.tables.lock().values_mut() {
            table.cell.retain_hosts(&is_present);
        }
    }

    /// Leaving engines that still have generations.
    pub(crate) fn leaving(&self) -> Vec<(CellKey, UpstreamKey)> {
        let tables = self.tables.lock();
        let all = tables.iter().flat_map(|(cell, table)| {
            let leaving = table.cell.leaving_engines().into_iter();
            leaving.map(|engine| (*cell, engine))
        });
        all.collect()
    }

    /// Whether an engine is leaving and still has generations.
    pub(crate) fn is_leaving(&self, cell: CellKey, engine: UpstreamKey) -> bool {
        let tables = self.tables.lock();
        let table = tables.get(&cell);
        table.is_some_and(|table| table.cell.is_leaving(engine))
    }

    /// Records that a generation failed to start on an engine, or broke off there.
    pub(crate) fn record_failure(
        &self,
        now_ms: Millis,
        cell: CellKey,
        engine: UpstreamKey,
        verdict: Verdict,
    ) {
        if let Some(table) = self.tables.lock().get_mut(&cell) {
            table.cell.record_failure(now_ms, engine, verdict);
        }
    }

    /// Applies the result of a probe; returns whether it changes the engine's known state.
    pub(crate) fn apply_probe(
        &self,
        now_ms: Millis,
        cell: CellKey,
        engine: UpstreamKey,
        status: EngineStatus,
    ) -> bool {
        let mut tables = self.tables.lock();
        let Some(table) = tables.get_mut(&cell) else {
            return false;
        };
        match status {
            EngineStatus::There => table.cell.mark_reachable(engine),
            EngineStatus::Leaving { left_ms } => table.cell.set_time_left(now_ms, engine, left_ms),
            EngineStatus::Gone => table.cell.mark_unreachable(engine),
            EngineStatus::Unknown => false,
        }
    }

    /// All engines, and whether each was unreachable at its last probe.
    pub(crate) fn engines(&self) -> Vec<(CellKey, UpstreamKey, bool)> {
        let tables = self.tables.lock();
        let all = tables.iter().flat_map(|(cell, table)| {
            let engines = table.cell.engines();
            engines.map(|(engine, is_unreachable)| (*cell, engine, is_unreachable))
        });
        all.collect()
    }

    pub(crate) fn next_migration(
        &self,
        now_ms: Millis,
        cell: CellKey,
        from: UpstreamKey,
    ) -> Option<Migration> {
        let mut tables = self.tables.lock();
        tables.get_mut(&cell)?.cell.next_migration(now_ms, from)
    }

    pub(crate) fn finish_migration(
        &self,
        now_ms: Millis,
        cell: CellKey,
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        if let Some(table) = self.tables.lock().get_mut(&cell) {
            table.cell.finish_migration(now_ms, migration, outcome);
        }
    }
}

fn engine(
    registration: &Registration,
    traits: &EngineTraits,
    availability: Availability,
) -> CellEngine {
    CellEngine {
        key: upstream_key(registration),
        name: name_key(registration),
        data_centre: data_centre_key(&registration.data_centre),
        is_draining: registration.state == RegisteredState::Draining,
        is_evacuated: availability.is_evacuated,
        cold: availability.cold,
        capacity: EngineCapacity {
            memory_tokens: traits.memory_tokens,
            slots: traits.slots,
            token_bytes: traits.token_bytes,
            link_mbps: traits.link_mbps,
            copy_ttl_ms: traits.copy_ttl_ms,
        },
    }
}
