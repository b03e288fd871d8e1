//! Simulates one cell of engines that are reclaimed at short notice, in virtual time. Placement and
//! migration are decided by the gateway's own code. The simulated engines, the links that queue
//! transfers, and the load follow the workload specification of the users' deployments, at the size
//! to which these are to grow.

mod engine;
mod engine_lifecycle;
mod event;
mod migration;
mod request;
mod row;
mod world;

pub(crate) use request::{Flood, Mix};
pub(crate) use row::{PolicyName, Row};
pub(crate) use world::{Settings, run};
