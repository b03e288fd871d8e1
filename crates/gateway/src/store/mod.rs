//! Reads the operator's and the upstreams' entries from the platform's store, and writes this host's.

pub(crate) mod collection_reader;
pub(crate) mod era;
pub(crate) mod metadata;
pub(crate) mod outage;
pub(crate) mod stored_circuits;
pub(crate) mod sync;
pub(crate) mod unusable_entries;
pub(crate) mod watch_duty;
