//! Simulates one cell of engines that are reclaimed at short notice, in virtual time: the gateway's
//! own placement and migration decisions, simulated engines of the users' capacity, and network
//! links that queue transfers.

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
