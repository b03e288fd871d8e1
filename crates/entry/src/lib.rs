//! Callers' and operators' HTTP, and the relay between callers and engines.

mod answer;
mod attach;
mod content;
mod crash;
mod drive;
mod generation;
mod hop;
mod identity;
mod metrics;
mod operator;
mod outcome;
mod plain;
mod problem;
mod registry;
mod request;
mod routes;
mod server;
mod stay;
mod submit;

pub use generation::Generation;
pub use metrics::Metrics;
pub use outcome::{End, NotRun, NotRunReason, Unsent};
pub use problem::Problem;
pub use server::{EntryServer, EntrySettings, Stopped};
