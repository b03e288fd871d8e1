//! Coordination of entry hosts: membership, permits to run generations on engines, the active
//! configuration, claims of idempotency keys, orders to engines and the quarantine of poison
//! requests.
//!
//! The home of a resource, such as an engine or an organisation, is the host that decides on it.
//! Each host finds it by rendezvous hashing over the members.

mod circuit_breakers;
mod claims;
mod clock;
mod configuration;
mod crashes;
mod documents;
mod homes;
mod lease;
mod members;
mod node;
mod orders;
mod permits;
pub mod poison;
mod progress;
mod publish;
mod safeguard;
mod server;
mod spread;
mod swim;
mod upstream_clients;

pub use circuit_breakers::{CRASH_HOMES, CircuitBreakers, Evaluation};
pub use claims::{ClaimError, ClaimLog, ClaimSettings};
pub use clock::Clock;
pub use configuration::{ActiveConfiguration, ChangeKind, HistoryEntry, Parts, Root};
pub use homes::EngineStats;
pub use lease::{LEASE_MS, Lease, LeaseAction, LeaseRecord, ORDER_TIMEOUT_MS};
pub use members::Members;
pub use node::{Generations, Node, NodeSettings, StartError};
pub use orders::{DesiredVersion, OrderDispatcher};
pub use permits::{NotGranted, Permit, PermitRequest};
pub use poison::Quarantined;
pub use publish::{Change, PublishError, Publisher};
pub use safeguard::{Safeguard, UnknownSafeguard};
pub use upstream_clients::{HttpUpstreamClients, UpstreamClients};
