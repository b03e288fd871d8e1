//! The cells' tables on this host. They cover all generations of a cell if this host is its home,
//! otherwise only the generations that this host relays.

pub(crate) mod border;
pub(crate) mod departures;
pub(crate) mod homes;
pub(crate) mod layout;
pub(crate) mod overflow;
pub(crate) mod pool;
pub(crate) mod probe;
pub(crate) mod rebalance;
pub(crate) mod runs;
pub(crate) mod speeds;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use fulmarpath_policy::{
    Cell, CellEngine, CellPartitioning, EngineCapacity, HostKey, Migration, MigrationOutcome,
    Millis, Placement, PlacementRequest, RunEnd, RunKey, UpstreamKey, Verdict,
};
use fulmarpath_wire::{CellKey, RelayedRuns};
use parking_lot::Mutex;

use crate::cells::layout::{CellGroups, CellsByEngine};
use crate::cells::speeds::SpeedRange;
use crate::configuration::{ActiveConfiguration, EngineTraits};
use crate::control::EngineStatus;
use crate::key::{data_centre_key, name_key, upstream_key};
use crate::roster::directory::{Directory, RegisteredState, Registration, RegistrationChange};
use crate::upstreams::availability::Availability;

struct Table {
    service: String,
    cell: Cell,
}

impl Table {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            cell: Cell::default(),
        }
    }
}

/// How the engines of one service are divided into cells.
#[derive(Default)]
struct Layout {
    partitioning: CellPartitioning,
    /// Number of registered engines in each data centre.
    counts: BTreeMap<String, usize>,
    /// The cells of the partitioning that have engines.
    groups: Arc<CellGroups>,
}

impl Layout {
    /// The layout that follows this one.
    fn updated(&self, service: &str, counts: BTreeMap<String, usize>) -> Self {
        let partitioning = self.partitioning.updated(&counts);
        let groups = match partitioning == self.partitioning {
            true => self.groups.clone(),
            false => Arc::new(CellGroups::new(&partitioning, service)),
        };
        Self {
            partitioning,
            counts,
            groups,
        }
    }
}

/// Engines belong to other cells than before, so changes can't be applied one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LayoutChanged;

/// The cells' tables.
///
/// Lock order: tables, layouts, by engine.
#[derive(Default)]
pub(crate) struct Cells {
    tables: Mutex<HashMap<CellKey, Table>>,
    /// The layout of each service.
    layouts: Mutex<HashMap<String, Layout>>,
    by_engine: Mutex<CellsByEngine>,
    /// The partitioning of a service without engines.
    unpartitioned: CellPartitioning,
}

impl Cells {
    /// Replaces the maximum number of engines in a cell.
    pub(crate) fn set_max_cell_engines(&mut self, max_cell_engines: usize) {
        self.unpartitioned = CellPartitioning::new(max_cell_engines);
    }

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
        let mut layouts = self.layouts.lock();
        for service in &active.configuration.services {
            let Some(traits) = &service.engine else {
                continue;
            };
            let registered = by_service.remove(service.name.as_str()).unwrap_or_default();
            let layout = layouts
                .entry(service.name.clone())
                .or_insert_with(|| Layout {
                    partitioning: self.unpartitioned.clone(),
                    ..Layout::default()
                });
            let updated = layout.updated(&service.name, layout::count_by_data_centre(&registered));
            if !updated.partitioning.has_same_cells(&layout.partitioning) {
                has_new_layout = true;
                // The tables are discarded, since engines that moved to another cell would be taken
                // for leaving engines; homes learn of the generations from the next statements.
                tables.retain(|_, table| table.service != service.name);
            }
            *layout = updated;
            let by_cell = layout::group_by_cell(&layout.partitioning, &service.name, &registered);
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
                let table = tables
                    .entry(cell)
                    .or_insert_with(|| Table::new(&service.name));
                table.cell.set_engines(now_ms, &engines);
            }
        }
        tables.retain(|_, table| !table.cell.is_idle());
        *self.by_engine.lock() = by_engine;
        has_new_layout
    }

    /// Applies changes of registered engines, each to its own cell.
    ///
    /// # Errors
    /// [`LayoutChanged`] if they change the partitioning; nothing is applied then.
    pub(crate) fn apply_changes(
        &self,
        now_ms: Millis,
        active: &ActiveConfiguration,
        changes: &[RegistrationChange],
        availability_of: impl Fn(UpstreamKey) -> Availability,
    ) -> Result<(), LayoutChanged> {
        let mut tables = self.tables.lock();
        let mut layouts = self.layouts.lock();
        update_counts(active, changes, &mut layouts)?;
        let mut by_engine = self.by_engine.lock();
        for change in changes {
            let cell_before = change.before.as_ref().and_then(|before| {
                let known = by_engine.remove(&upstream_key(before))?;
                Some((known, upstream_key(before)))
            });
            let after = change.after.as_ref().and_then(|after| {
                let service = active.service(&after.service)?;
                let layout = layouts.get(&service.name)?;
                let cell = layout::cell_of(&layout.partitioning, after);
                Some((cell, after, service.engine.as_ref()?))
            });
            // A restarted engine replaces its previous process within its cell.
            let is_replaced =
                after.as_ref().map(|(cell, ..)| *cell) == cell_before.map(|(cell, _)| cell);
            if let Some((cell, key)) = cell_before.filter(|_| !is_replaced)
                && let Some(table) = tables.get_mut(&cell)
            {
                table.cell.unregister(now_ms, key);
                if table.cell.is_idle() {
                    tables.remove(&cell);
                }
            }
            if let Some((cell, registration, traits)) = after {
                let availability = availability_of(upstream_key(registration));
                let table = tables
                    .entry(cell)
                    .or_insert_with(|| Table::new(&registration.service));
                let entry = engine(registration, traits, availability);
                table.cell.register(now_ms, entry);
                by_engine.insert(entry.key, cell);
            }
        }
        Ok(())
    }

    /// The cell to which an engine belongs.
    pub(crate) fn cell_of_engine(&self, engine: UpstreamKey) -> Option<CellKey> {
        self.by_engine.lock().get(&engine).copied()
    }

    pub(crate) fn count(&self) -> usize {
        self.tables.lock().len()
    }

    /// Whether a cell fulfils a condition.
    pub(crate) fn any(&self, condition: impl Fn(CellKey) -> bool) -> bool {
        self.tables.lock().keys().any(|cell| condition(*cell))
    }

    /// The cell for a generation that a host in `data_centre` starts.
    pub(crate) fn cell_for(&self, service: &str, data_centre: &str, run: RunKey) -> CellKey {
        let layouts = self.layouts.lock();
        let layout = layouts.get(service);
        let partitioning = layout.map_or(&self.unpartitioned, |layout| &layout.partitioning);
        layout::cell_for(partitioning, service, data_centre, run)
    }

    /// Calls a function with a cell that has engines or generations; `None` if it has neither.
    pub(crate) fn with_cell<T>(
        &self,
        cell: CellKey,
        decide: impl FnOnce(&mut Cell) -> T,
    ) -> Option<T> {
        let mut tables = self.tables.lock();
        let table = tables.get_mut(&cell)?;
        Some(decide(&mut table.cell))
    }

    /// Places a generation, as the home of its cell or in place of one.
    pub(crate) fn place(
        &self,
        now_ms: Millis,
        cell: CellKey,
        request: &PlacementRequest,
        is_home: bool,
    ) -> Placement {
        let placement = self.with_cell(cell, |cell| match is_home {
            true => cell.place(now_ms, request),
            false => cell.place_without_home(now_ms, request),
        });
        placement.unwrap_or(Placement::NoEngine)
    }

    pub(crate) fn end(&self, now_ms: Millis, cell: CellKey, run: RunKey, end: RunEnd) {
        self.with_cell(cell, |cell| cell.end(now_ms, run, end));
    }

    pub(crate) fn restate(&self, now_ms: Millis, relayed_runs: &RelayedRuns) {
        self.with_cell(relayed_runs.cell, |cell| {
            cell.restate(now_ms, relayed_runs.host, &relayed_runs.runs);
        });
    }

    pub(crate) fn retain_hosts(&self, is_present: impl Fn(HostKey) -> bool) {
        let mut tables = self.tables.lock();
        for table in tables.values_mut() {
            table.cell.retain_hosts(&is_present);
        }
        tables.retain(|_, table| !table.cell.is_idle());
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
        self.with_cell(cell, |cell| cell.record_failure(now_ms, engine, verdict));
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

    /// Engines to probe in the cells of which this host is the home: the unreachable ones, and
    /// those in use if registrations can't show which are leaving.
    pub(crate) fn engines_to_probe(
        &self,
        is_uncertain: bool,
        is_home: impl Fn(CellKey) -> bool,
    ) -> Vec<(CellKey, UpstreamKey)> {
        let tables = self.tables.lock();
        let own = tables.iter().filter(|(cell, _)| is_home(**cell));
        let all = own.flat_map(|(cell, table)| {
            let in_use = is_uncertain.then(|| table.cell.engines_in_use());
            let in_use = in_use.into_iter().flatten();
            let engines = table.cell.unreachable_engines().chain(in_use);
            engines.map(|engine| (*cell, engine))
        });
        all.collect()
    }

    /// The speeds of the engines of some cells.
    pub(crate) fn speed_ranges(
        &self,
        is_included: impl Fn(CellKey) -> bool,
    ) -> Vec<(CellKey, SpeedRange)> {
        let tables = self.tables.lock();
        let included = tables.iter().filter(|(cell, _)| is_included(**cell));
        let ranges = included.filter_map(|(cell, table)| {
            let factors = || table.cell.pace_factors().map(|(_, factor)| factor);
            let range = SpeedRange {
                fastest_factor: factors().reduce(f32::min)?,
                slowest_factor: factors().reduce(f32::max)?,
            };
            Some((*cell, range))
        });
        ranges.collect()
    }

    /// The next migration between engines that stay in each of some cells, if there is one.
    pub(crate) fn next_rebalancings(
        &self,
        now_ms: Millis,
        is_included: impl Fn(CellKey) -> bool,
    ) -> Vec<(CellKey, Migration)> {
        let mut tables = self.tables.lock();
        let at_risk = tables
            .iter_mut()
            .filter(|(_, table)| table.cell.has_answers_at_risk());
        let included = at_risk.filter(|(cell, _)| is_included(**cell));
        let next = included.filter_map(|(cell, table)| {
            let migration = table.cell.next_rebalancing(now_ms)?;
            Some((*cell, migration))
        });
        next.collect()
    }

    pub(crate) fn finish_migration(
        &self,
        now_ms: Millis,
        cell: CellKey,
        migration: Migration,
        outcome: MigrationOutcome,
    ) {
        self.with_cell(cell, |cell| {
            cell.finish_migration(now_ms, migration, outcome);
        });
    }

    pub(crate) fn finish_incoming(
        &self,
        now_ms: Millis,
        cell: CellKey,
        run: RunKey,
        outcome: MigrationOutcome,
    ) {
        self.with_cell(cell, |cell| cell.finish_incoming(now_ms, run, outcome));
    }
}

/// Updates the number of engines in each data centre.
fn update_counts(
    active: &ActiveConfiguration,
    changes: &[RegistrationChange],
    layouts: &mut HashMap<String, Layout>,
) -> Result<(), LayoutChanged> {
    let mut counts: HashMap<&str, BTreeMap<String, usize>> = HashMap::new();
    let registered_before = changes.iter().filter_map(|change| change.before.as_ref());
    let registered_now = changes.iter().filter_map(|change| change.after.as_ref());
    let all = registered_now
        .map(|registration| (registration, true))
        .chain(registered_before.map(|registration| (registration, false)));
    for (registration, is_added) in all {
        let service = registration.service.as_str();
        if active
            .service(service)
            .is_none_or(|service| service.engine.is_none())
        {
            continue;
        }
        let layout = layouts.get(service).ok_or(LayoutChanged)?;
        let counts = counts
            .entry(service)
            .or_insert_with(|| layout.counts.clone());
        let count = counts.entry(registration.data_centre.clone()).or_default();
        *count = match is_added {
            true => *count + 1,
            false => count.saturating_sub(1),
        };
    }
    let mut updated = Vec::new();
    for (service, mut counts) in counts {
        counts.retain(|_, count| *count > 0);
        let layout = layouts.get(service).ok_or(LayoutChanged)?;
        let after = layout.updated(service, counts);
        if !after.partitioning.has_same_cells(&layout.partitioning) {
            return Err(LayoutChanged);
        }
        updated.push((service.to_owned(), after));
    }
    layouts.extend(updated);
    Ok(())
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
