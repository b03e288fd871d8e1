//! HTTP interfaces of callers and operators, and the relay between callers and engines.

mod attach;
mod content;
mod crash;
mod driver;
mod generation;
mod identity;
mod metrics;
mod operator;
mod outcome;
mod plain;
mod problem;
mod registry;
mod relay;
mod request;
mod response;
mod routes;
mod server;
mod submit;
mod trace;

pub use generation::Generation;
pub use metrics::Metrics;
pub use outcome::{End, NotRun, NotRunProof, NotRunReason};
pub use problem::Problem;
pub use server::{EntryServer, EntrySettings, Stopped};
