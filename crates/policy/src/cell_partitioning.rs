//! How a service's engines are divided into cells, each with a home of its own.
//!
//! One home looks through all engines and generations of its cell at each placement, so its work a
//! second grows with the square of the cell. Cells of a bounded size keep it constant, whatever the fleet,
//! and spread the homes over as many hosts. By data centre first: moves within one are the short
//! ones.

use std::collections::BTreeMap;

/// Engines of a cell at the most. A placement looks at each engine and each generation of its cell, and
/// its home does that for every request that comes and again for every one that waits.
const CELL_ENGINES: usize = 64;
/// A division stays until a part would have less than this share of it. Engines come and go, a
/// sixth of them within seconds, and each change of the division makes all homes learn anew.
const SHRINK_SHARE: f32 = 0.5;

/// One data centre of a divided service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DataCentre {
    parts: u64,
    /// Whether it has engines now. Without any it keeps its parts, for those that come back.
    is_open: bool,
}

/// How one service's engines are divided; by default not at all. Hosts that hold the same list and
/// history divide alike; others ask a home that knows no such cell, and place by themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellPartitioning {
    data_centres: BTreeMap<String, DataCentre>,
}

impl CellPartitioning {
    /// The division for so many engines in each data centre, after this one.
    pub fn updated(&self, counts: &BTreeMap<String, usize>) -> Self {
        let total: usize = counts.values().sum();
        let is_divided = !self.data_centres.is_empty();
        let stays_divided = total as f32 > CELL_ENGINES as f32 * SHRINK_SHARE;
        if total <= CELL_ENGINES && !(is_divided && stays_divided) {
            return Self::default();
        }
        let mut data_centres = self.data_centres.clone();
        for one in data_centres.values_mut() {
            one.is_open = false;
        }
        for (name, count) in counts.iter().filter(|(_, count)| **count > 0) {
            let parts = self.parts_for(name, *count);
            let is_open = true;
            data_centres.insert(name.clone(), DataCentre { parts, is_open });
        }
        Self { data_centres }
    }

    fn parts_for(&self, name: &str, count: usize) -> u64 {
        let wanted = count.div_ceil(CELL_ENGINES).next_power_of_two().max(1) as u64;
        let Some(before) = self.data_centres.get(name) else {
            return wanted;
        };
        let least = CELL_ENGINES as f32 * SHRINK_SHARE * before.parts as f32 / 2.0;
        let stays = wanted < before.parts && count as f32 > least;
        if stays { before.parts } else { wanted }
    }

    /// Whether engines are of the same cells as under `other`.
    pub fn has_same_cells(&self, other: &Self) -> bool {
        let parts = |one: &Self| -> Vec<(String, u64)> {
            let all = one.data_centres.iter();
            all.map(|(name, one)| (name.clone(), one.parts)).collect()
        };
        parts(self) == parts(other)
    }

    /// The data centre and part of an engine; `None` where the service is one cell. `draw` is the
    /// engine's own.
    pub fn partition_of_engine(&self, data_centre: &str, draw: u64) -> Option<(&str, u64)> {
        let (name, one) = self.data_centres.get_key_value(data_centre)?;
        Some((name, draw % one.parts))
    }

    /// The data centre and part for a generation that a host in `data_centre` takes: near, where
    /// there are engines, else wherever there are. `None` where the service is one cell.
    pub fn partition_for_generation(&self, data_centre: &str, draw: u64) -> Option<(&str, u64)> {
        let open = self.data_centres.iter().filter(|(_, one)| one.is_open);
        let near = open.clone().find(|(name, _)| *name == data_centre);
        let any = || {
            open.clone()
                .nth(draw as usize % open.clone().count().max(1))
        };
        let (name, one) = near.or_else(any)?;
        // Another part of the draw than the data centre's, lest the two go together.
        Some((name, (draw >> 32) % one.parts))
    }
}
