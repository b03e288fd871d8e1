//! Virtual time: the real decision code on several hosts before small stand-in engines.

mod policies;
mod stats;
mod workload;
mod world;

pub(crate) use policies::{PolicyName, Tuning};
pub(crate) use stats::{Measures, Row};
pub(crate) use workload::{ORGANISATIONS, RIVAL, Scenario, UnknownName, WorkloadName, generate};
pub(crate) use world::{WorldSettings, run};
