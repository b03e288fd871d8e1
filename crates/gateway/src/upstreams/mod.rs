//! The upstreams as this host knows them: their state, their limits and the paths to them.

pub(crate) mod availability;
pub(crate) mod backpressure;
pub(crate) mod brittle_starts;
pub(crate) mod dial;
pub(crate) mod instance;
pub(crate) mod instances;
pub(crate) mod lost_link;
pub(crate) mod start_limits;
pub(crate) mod table;
pub(crate) mod tunnels;
