//! Partitioning of a service's engines into cells, each with its own home.
//!
//! A home examines all engines and generations of its cell for each placement, so its work per
//! second grows with the square of the cell size. Bounded cells keep this work constant for any
//! fleet size and spread the homes over as many hosts. Engines are divided by data centre first,
//! because transfers within a data centre are the shortest.

use std::collections::BTreeMap;

/// Usual maximum number of engines in a cell. A home examines each engine and each generation of its
/// cell for every arriving request and again for every waiting one.
const MAX_CELL_ENGINES: usize = 64;
/// Partitions are merged only if the merged ones would each have at most this share of
/// the maximum. This applies to halving the partitions of a data centre and to making a
/// service a single cell. Up to a sixth of the engines come and go within seconds, and after each
/// change of the partitioning all homes must rebuild their state.
const MERGE_FILL_SHARE: f32 = 0.5;

/// One data centre of a partitioned service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DataCentre {
    partitions: u64,
    /// Whether it has engines now. Its partitions are kept without any, for engines that return.
    has_engines: bool,
}

/// The partitioning of one service's engines; a single cell by default. Hosts with the same engine
/// list and history compute the same partitioning. A host with a different one calls a home that
/// doesn't know the cell, and then places the request without a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellPartitioning {
    max_cell_engines: usize,
    data_centres: BTreeMap<String, DataCentre>,
}

impl Default for CellPartitioning {
    fn default() -> Self {
        Self::new(MAX_CELL_ENGINES)
    }
}

impl CellPartitioning {
    /// A single cell, until a service has more engines than a cell may have.
    pub fn new(max_cell_engines: usize) -> Self {
        Self {
            max_cell_engines,
            data_centres: BTreeMap::new(),
        }
    }

    /// Whether the service is a single cell.
    pub fn is_single_cell(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// The partitioning that follows this one for the given number of engines per data centre.
    pub fn updated(&self, counts: &BTreeMap<String, usize>) -> Self {
        let total: usize = counts.values().sum();
        let stays_partitioned = total as f32 > self.max_cell_engines as f32 * MERGE_FILL_SHARE;
        if total <= self.max_cell_engines && (self.is_single_cell() || !stays_partitioned) {
            return Self::new(self.max_cell_engines);
        }
        let mut data_centres = self.data_centres.clone();
        for data_centre in data_centres.values_mut() {
            data_centre.has_engines = false;
        }
        for (name, count) in counts.iter().filter(|(_, count)| **count > 0) {
            let partitions = self.partitions_for(name, *count);
            let has_engines = true;
            data_centres.insert(
                name.clone(),
                DataCentre {
                    partitions,
                    has_engines,
                },
            );
        }
        Self {
            max_cell_engines: self.max_cell_engines,
            data_centres,
        }
    }

    fn partitions_for(&self, name: &str, count: usize) -> u64 {
        let wanted = count
            .div_ceil(self.max_cell_engines)
            .next_power_of_two()
            .max(1) as u64;
        let Some(before) = self.data_centres.get(name) else {
            return wanted;
        };
        let merge_limit =
            self.max_cell_engines as f32 * MERGE_FILL_SHARE * before.partitions as f32 / 2.0;
        let stays = wanted < before.partitions && count as f32 > merge_limit;
        if stays { before.partitions } else { wanted }
    }

    /// Whether engines belong to the same cells as under `other`.
    pub fn has_same_cells(&self, other: &Self) -> bool {
        let partitions = |partitioning: &Self| -> Vec<(String, u64)> {
            let all = partitioning.data_centres.iter();
            all.map(|(name, data_centre)| (name.clone(), data_centre.partitions))
                .collect()
        };
        partitions(self) == partitions(other)
    }

    /// The data centre and partition of an engine, or `None` if the service is a single cell.
    /// `draw` is a hash of the engine.
    pub fn partition_of_engine(&self, data_centre: &str, draw: u64) -> Option<(&str, u64)> {
        let (name, entry) = self.data_centres.get_key_value(data_centre)?;
        Some((name, draw % entry.partitions))
    }

    /// The data centre and number of each partition that has engines; none if the service is a
    /// single cell.
    pub fn partitions(&self) -> impl Iterator<Item = (&str, u64)> {
        let with_engines = self
            .data_centres
            .iter()
            .filter(|(_, entry)| entry.has_engines);
        with_engines.flat_map(|(name, entry)| {
            (0..entry.partitions).map(move |partition| (name.as_str(), partition))
        })
    }

    /// The data centre and partition for a generation that arrives at a host in `data_centre`:
    /// local if there are engines, otherwise in any data centre with engines. `None` if the
    /// service is a single cell.
    pub fn partition_for_generation(&self, data_centre: &str, draw: u64) -> Option<(&str, u64)> {
        let with_engines = self
            .data_centres
            .iter()
            .filter(|(_, entry)| entry.has_engines);
        let local = with_engines.clone().find(|(name, _)| *name == data_centre);
        let any = || {
            with_engines
                .clone()
                .nth(draw as usize % with_engines.clone().count().max(1))
        };
        let (name, entry) = local.or_else(any)?;
        // Uses other bits of the draw than the data centre, because the two would be correlated
        // otherwise.
        Some((name, (draw >> 32) % entry.partitions))
    }
}
