//! Shows operators how much the engines of a cell differ in speed.

use std::collections::HashSet;

use fulmarpath_wire::CellKey;
use spdlog::info;

use crate::gateway::Gateway;

/// A cell counts as uneven from this ratio of its slowest to its fastest engine on. Learned speeds of
/// equal engines differ by a few percent.
const UNEVEN_RATIO: f32 = 1.4;
/// An uneven cell counts as even below this ratio.
const EVEN_RATIO: f32 = 1.25;

/// Time that the engines of a cell take, as a multiple of the usual time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpeedRange {
    pub(crate) fastest_factor: f32,
    pub(crate) slowest_factor: f32,
}

impl SpeedRange {
    fn ratio(self) -> f32 {
        self.slowest_factor / self.fastest_factor
    }
}

impl Gateway {
    /// Updates the gauge, and logs the cells of which this host is the home that have become uneven.
    pub(crate) fn report_engine_speeds(&self, uneven: &mut HashSet<CellKey>) {
        let ranges = self.cells.speed_ranges(|cell| self.is_home(cell));
        let ratios = ranges.iter().map(|(_, range)| range.ratio());
        let largest = ratios.fold(1.0, f32::max);
        let gauge = &self.metrics.engine_speed_ratio_percent;
        gauge.set((largest * 100.0) as i64);
        uneven.retain(|cell| ranges.iter().any(|(known, _)| known == cell));
        for (cell, range) in ranges {
            if range.ratio() < EVEN_RATIO {
                uneven.remove(&cell);
            }
            if range.ratio() > UNEVEN_RATIO && uneven.insert(cell) {
                info!(
                    "cells: engines of cell {:016x} take {:.2} to {:.2} of its usual time",
                    cell.0, range.fastest_factor, range.slowest_factor
                );
            }
        }
    }
}
