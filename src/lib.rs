//! fulmarpath: serves generations of unknown length on engines under high load.
//!
//! The library provides an entry host, the gateway, and a small complete deployment for trials
//! and tests.

pub mod dev;
mod explain;
mod host;
mod log;
mod trace;

pub use explain::{Explanation, MatchingLine, RequestNotFound, explain};
pub use fulmarpath_cluster as cluster;
pub use fulmarpath_entry as entry;
pub use fulmarpath_gateway as gateway;
pub use fulmarpath_platform as platform;
pub use fulmarpath_settings as settings;
pub use host::{Host, HostError};
pub use log::{LogError, dropped_lines, init as init_log, init_gateway as init_gateway_log};
pub use trace::{TraceError, TraceGuard, init as init_traces};
