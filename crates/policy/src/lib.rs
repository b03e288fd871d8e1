//! Pure decision logic: engine selection, admission, queue order, retries and membership rules.
//!
//! The home of an upstream, organisation, service or cell is the host that decides about it. Each
//! host computes the home by rendezvous hashing over the live members that it knows, so two hosts
//! may briefly act as the home of one item.
//!
//! Nothing here performs I/O or reads a clock. The current time is an argument, in milliseconds
//! since an epoch that the caller chooses.

mod backlog;
mod backpressure;
mod brittle;
mod broadcast;
mod cell;
mod cell_partitioning;
mod choose;
mod circuit;
mod cold;
mod drift;
mod evacuations;
mod failures;
mod fair;
mod fit;
mod handover;
mod home;
mod home_index;
mod home_settings;
mod join;
mod key;
mod lag;
mod lengths;
mod limits;
mod load;
mod pacer;
mod paths;
mod permit;
mod permit_request;
mod pick;
mod playout;
mod pool;
mod queue;
mod rendezvous;
mod retry;
mod retry_window;
mod revision;
mod slowdown;
mod stop_admission;
mod stop_attempts;
mod stop_moment;
mod store_access;
mod surge;
mod tunnel_hosts;
mod unaccounted_memory;
mod unresponsive_hosts;
mod upstream_stats;
mod watcher_liveness;
mod watchers;
mod weights;

pub use backpressure::{Backpressure, Signals};
pub use brittle::BrittleStarts;
pub use broadcast::{Recipient, broadcast_branches, split_branch};
pub use cell::{
    Cell, CellEngine, EngineCapacity, EngineSnapshot, IncomingMigration, Migration,
    MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey, RunStatement,
};
pub use cell_partitioning::CellPartitioning;
pub use choose::{Choice, Draws, choose};
pub use circuit::{
    Admission, Circuit, CircuitState, Circuits, Companions, CrashRecord, CrashedRun,
    RecentSuccesses, RequestContents, Restoration, SharedPart, SoundContent, SuspectPart,
    has_proved_sound, is_crash_suspect,
};
pub use cold::{Cold, ColdBound, ColdStarts};
pub use drift::Drift;
pub use evacuations::{EvacuationChange, EvacuationState, Evacuations};
pub use fair::Fairness;
pub use fit::{FitRule, Footprint};
pub use handover::{Handover, MigrationStep, NextStep, StreamEnd};
pub use home::{Home, HomeLoad};
pub use home_index::HomeIndex;
pub use home_settings::HomeSettings;
pub use join::Join;
pub use key::{ContentKey, HostKey, Millis, ModelKey, OrganisationKey, ServiceKey, UpstreamKey};
pub use lag::Lag;
pub use lengths::{Lengths, SurvivalCurve};
pub use limits::{LimitExceeded, LimitTable, RequestLimits};
pub use load::EngineLoad;
pub use pacer::Pacer;
pub use paths::{LinksChange, Path, Paths};
pub use permit_request::{EnginePermitRequest, Outcome, PermitKey, PermitRequestId, RefusalReason};
pub use pick::{Candidate, Pick, pick};
pub use playout::{Playout, Release};
pub use pool::{Ask, OtherCells, Pool, PoolAnswer};
pub use queue::OrderRule;
pub use rendezvous::{highest, rank};
pub use retry::RetryBudget;
pub use retry_window::{RetryBound, RetryWindow};
pub use revision::Revision;
pub use slowdown::spare_share;
pub use stop_admission::{LateRequest, LongestResponses, can_finish_generation};
pub use stop_attempts::{StopAttempts, StopReply};
pub use stop_moment::{EventIntervals, StopMoment};
pub use store_access::StoreAccess;
pub use surge::{DELAY_PERIOD_MS, Surge};
pub use tunnel_hosts::TunnelHosts;
pub use unresponsive_hosts::UnresponsiveHosts;
pub use upstream_stats::{InFlightId, ReportedLoad, UpstreamStats, Verdict};
pub use watcher_liveness::{Substitution, WatcherLiveness};
pub use watchers::{WatchArea, WatchCandidate};
pub use weights::Weights;
