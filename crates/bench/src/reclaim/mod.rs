//! One cell of engines that are reclaimed at short notice, in virtual time: the gateway's own
//! decisions before engines of the users' figures, with queues on their links.

mod engine;
mod event;
mod loss;
mod request;
mod row;
mod transfer;
mod world;

pub(crate) use request::{Flood, Mix};
pub(crate) use row::{Row, RowName};
pub(crate) use world::{Settings, run};
