//! The cells' tables on this host: of all generations where it is a cell's home, else of its own.

use std::collections::{HashMap, HashSet};

use fulmarpath_policy::{
    Carry, CarryEnd, Cell, CellEngine, EngineFigures, HostKey, Millis, Placement, PlacementRequest,
    RunKey, UpstreamKey,
};
use fulmarpath_wire::{CellKey, Restatement};
use parking_lot::Mutex;

use crate::configuration::{EngineTraits, InForce};
use crate::control::EngineSight;
use crate::directory::{Directory, RegisteredState, Registration};
use crate::key::{cell_of, centre_of, upstream_of};

/// Engines of a service that one home places on. With more of them each data centre is a cell of
/// its own: a home then has some 10 engines and 100 placements a second at 600 engines of 7 models
/// and 6,000 requests a second, while moves within a data centre are the short ones anyway.
const CELL_ENGINES: usize = 64;

/// The cells' tables.
#[derive(Default)]
pub(crate) struct Cells {
    tables: Mutex<HashMap<CellKey, Cell>>,
    /// The services that stand in more than one cell.
    divided: Mutex<HashSet<String>>,
}

impl Cells {
    /// Takes the engines that are registered now.
    pub(crate) fn adopt(&self, now_ms: Millis, in_force: &InForce, directory: &Directory) {
        let mut by_service: HashMap<&str, Vec<&Registration>> = HashMap::new();
        for one in &directory.registrations {
            by_service.entry(&one.service).or_default().push(one);
        }
        let mut tables = self.tables.lock();
        for service in &in_force.configuration.services {
            let Some(traits) = &service.engine else {
                continue;
            };
            let registered = by_service.remove(service.name.as_str()).unwrap_or_default();
            let is_divided = registered.len() > CELL_ENGINES;
            self.divide(&service.name, is_divided);
            let mut by_cell: HashMap<CellKey, Vec<CellEngine>> = HashMap::new();
            if !is_divided {
                // Without any engine the cell still has to hear that the last ones left.
                by_cell.insert(cell_of(&service.name, "", false), Vec::new());
            }
            for one in registered {
                let cell = cell_of(&service.name, &one.data_centre, is_divided);
                by_cell.entry(cell).or_default().push(engine(one, traits));
            }
            for (cell, engines) in by_cell {
                tables
                    .entry(cell)
                    .or_default()
                    .set_engines(now_ms, &engines);
            }
        }
    }

    fn divide(&self, service: &str, is_divided: bool) {
        let mut divided = self.divided.lock();
        match is_divided {
            true => divided.insert(service.to_owned()),
            false => divided.remove(service),
        };
    }

    /// All cells that are known.
    pub(crate) fn keys(&self) -> Vec<CellKey> {
        self.tables.lock().keys().copied().collect()
    }

    /// The cell for a request of a host in `data_centre`.
    pub(crate) fn cell_for(&self, service: &str, data_centre: &str) -> CellKey {
        let is_divided = self.divided.lock().contains(service);
        cell_of(service, data_centre, is_divided)
    }

    pub(crate) fn place(
        &self,
        now_ms: Millis,
        cell: CellKey,
        request: &PlacementRequest,
    ) -> Placement {
        let mut tables = self.tables.lock();
        let table = tables.get_mut(&cell);
        table.map_or(Placement::NoEngine, |table| table.place(now_ms, request))
    }

    pub(crate) fn end(&self, cell: CellKey, run: RunKey) {
        if let Some(table) = self.tables.lock().get_mut(&cell) {
            table.end(run);
        }
    }

    pub(crate) fn restate(&self, now_ms: Millis, restatement: &Restatement) {
        if let Some(table) = self.tables.lock().get_mut(&restatement.cell) {
            table.restate(now_ms, restatement.host, &restatement.runs);
        }
    }

    pub(crate) fn keep_hosts(&self, is_present: impl Fn(HostKey) -> bool) {
        for table in self.tables.lock().values_mut() {
            table.keep_hosts(&is_present);
        }
    }

    /// Leaving engines that still have generations.
    pub(crate) fn leaving(&self) -> Vec<(CellKey, UpstreamKey)> {
        let tables = self.tables.lock();
        let all = tables
            .iter()
            .flat_map(|(cell, table)| table.leaving().into_iter().map(|engine| (*cell, engine)));
        all.collect()
    }

    /// Takes what an engine has shown; true where it changes what is believed of it.
    pub(crate) fn see(
        &self,
        now_ms: Millis,
        cell: CellKey,
        engine: UpstreamKey,
        sight: EngineSight,
    ) -> bool {
        let mut tables = self.tables.lock();
        let Some(table) = tables.get_mut(&cell) else {
            return false;
        };
        match sight {
            EngineSight::There => table.see_there(engine),
            EngineSight::Leaving { left_ms } => table.see_leaving(now_ms, engine, left_ms),
            EngineSight::Gone => table.see_gone(engine),
            EngineSight::Unknown => false,
        }
    }

    /// All engines, and whether each could not be reached lately.
    pub(crate) fn engines(&self) -> Vec<(CellKey, UpstreamKey, bool)> {
        let tables = self.tables.lock();
        let all = tables.iter().flat_map(|(cell, table)| {
            let engines = table.engines();
            engines.map(|(engine, is_gone)| (*cell, engine, is_gone))
        });
        all.collect()
    }

    pub(crate) fn next_carry(
        &self,
        now_ms: Millis,
        cell: CellKey,
        from: UpstreamKey,
    ) -> Option<Carry> {
        let mut tables = self.tables.lock();
        tables.get_mut(&cell)?.next_carry(now_ms, from)
    }

    pub(crate) fn carried(&self, now_ms: Millis, cell: CellKey, carry: Carry, end: CarryEnd) {
        if let Some(table) = self.tables.lock().get_mut(&cell) {
            table.carried(now_ms, carry, end);
        }
    }
}

fn engine(registration: &Registration, traits: &EngineTraits) -> CellEngine {
    CellEngine {
        key: upstream_of(&registration.instance),
        data_centre: centre_of(&registration.data_centre),
        is_draining: registration.state == RegisteredState::Draining,
        figures: EngineFigures {
            memory_tokens: traits.memory_tokens,
            slots: traits.slots,
            token_bytes: traits.token_bytes,
            link_mbps: traits.link_mbps,
            copy_ttl_ms: traits.copy_ttl_ms,
        },
    }
}
