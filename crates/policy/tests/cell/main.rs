//! Placement of generations on a cell's engines, who waits for it, and the way off a leaving one.

mod carrying;
mod crowded;
mod engines;
mod fixtures;
mod floods;
mod lengths;
mod placing;
mod reading;
mod sick;
mod standing;
