//! Coordination of entry hosts: membership, homes of engines and cells, the active configuration,
//! and the claims of submissions.

mod circuit_breakers;
mod claims;
mod clock;
mod configuration;
mod crashes;
mod documents;
mod engines;
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

pub use circuit_breakers::{CRASH_HOMES, CircuitBreakers, Evaluation};
pub use claims::{ClaimError, ClaimLog, ClaimSettings};
pub use clock::Clock;
pub use configuration::{ActiveConfiguration, ChangeKind, HistoryEntry, Parts, Root};
pub use engines::{Engines, HttpEngines};
pub use homes::EngineStats;
pub use lease::{LEASE_MS, Lease, LeaseAction, LeaseRecord, ORDER_TIMEOUT_MS};
pub use members::Members;
pub use node::{Generations, Node, NodeSettings, StartError};
pub use orders::{DesiredVersion, OrderDispatcher};
pub use permits::{NotGranted, Permit, PermitRequest};
pub use poison::Quarantined;
pub use publish::{Change, PublishError, Publisher};
pub use safeguard::{Safeguard, UnknownSafeguard};
