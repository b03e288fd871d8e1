//! Simulates the cells of a service whose engines are reclaimed at short notice, in virtual time.
//! Placement and migration are decided by the gateway's own code. The simulated engines, the links
//! that queue transfers, and the load follow the workload specification of the users' deployments.

mod attempt;
mod cells;
mod demand;
mod engine;
mod engine_lifecycle;
mod event;
mod figures;
mod host;
mod machine;
mod migration;
mod outcome;
mod placement;
mod request;
mod row;
mod scenario;
mod world;

pub(crate) use figures::{Counts, Figures, PlaceFigures};
pub(crate) use request::{Flood, Mix};
pub(crate) use row::{PolicyName, Row};
pub(crate) use scenario::{Scenario, ScenarioName};
pub(crate) use world::{Settings, run};
