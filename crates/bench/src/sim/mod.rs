//! Simulates admission by permits in virtual time: the entry hosts' own decision code on several
//! hosts, in front of engine models.

mod policies;
mod stats;
mod workload;
mod world;

pub(crate) use policies::{PolicyName, Tuning};
pub(crate) use stats::{Measures, Row};
pub(crate) use workload::{ORGANISATIONS, RIVAL, Scenario, UnknownName, WorkloadName, generate};
pub(crate) use world::{WorldSettings, run};
