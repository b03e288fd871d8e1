//! What entry hosts agree on: who is alive, who is home of what, the configuration in force, and
//! which submissions have been claimed.

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
mod progress;
mod publish;
mod quarantine;
mod safeguard;
mod server;
mod spread;
mod swim;

pub use claims::{ClaimError, ClaimLog, ClaimSettings};
pub use clock::Clock;
pub use configuration::{ChangeKind, Entry, InForce, Parts, Root};
pub use crashes::Quarantined;
pub use engines::{Engines, HttpEngines};
pub use homes::EngineSeen;
pub use lease::{LEASE_MS, Lease, LeaseRecord, ORDER_MS, Turn};
pub use members::Members;
pub use node::{Generations, Node, NodeSettings, StartError};
pub use orders::{Orderer, Wanted};
pub use permits::{NotGranted, Permit, PermitRequest};
pub use publish::{Change, PublishError, Publisher};
pub use quarantine::{ANOTHER_RUNS_MS, CRASH_HOMES, JUDGE_PERIOD, Judgement, Quarantine};
pub use safeguard::{Safeguard, UnknownSafeguard};
