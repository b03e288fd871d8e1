//! Decisions only: which engine, whether it fits, whose turn it is, how often to try again.
//!
//! Nothing here performs input or output or reads a clock: the present time is an argument, in
//! milliseconds since a start that the caller chooses.

mod backlog;
mod fair;
mod fit;
mod home;
mod key;
mod lengths;
mod limits;
mod load;
mod pick;
mod queue;
mod rendezvous;
mod retry;
mod unexplained;
mod weights;

pub use fair::Fairness;
pub use fit::{FitRule, Footprint};
pub use home::{Ask, AskId, Home, HomeLoad, HomeSettings, Outcome, PermitKey, RefusalReason};
pub use key::{HostKey, Millis, ModelKey, OrganisationKey, ServiceKey, UpstreamKey};
pub use lengths::{Curve, Lengths};
pub use limits::{Bounds, LimitTable, Over};
pub use load::EngineLoad;
pub use pick::{Candidate, Pick, pick};
pub use queue::OrderRule;
pub use rendezvous::{highest, rank};
pub use retry::RetryBudget;
pub use weights::Weights;
