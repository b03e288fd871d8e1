//! Loads that can be simulated: their engines, their callers and their value.
//!
//! The loads of uneven capacity are those of `docs/design/uneven-load.md`. What that page leaves
//! open is noted at the constant.

use std::str::FromStr;

use fulmarpath_policy::EngineCapacity;

use super::demand::{Demand, Surge};
use super::machine::SharedMachines;
use super::row::PolicyName;
use crate::sim::UnknownName;

/// A load and the engines that serve it.
#[derive(Debug)]
pub(crate) struct Scenario {
    pub(super) name: &'static str,
    /// Number of engines, unless the command line gives another.
    pub(crate) engines: usize,
    /// Load factor, unless the command line gives another.
    pub(crate) load: f64,
    /// Number of organisations, unless the command line gives another.
    pub(crate) organisations: usize,
    /// Policies that are compared, unless the command line names one.
    pub(crate) policies: &'static [PolicyName],
    pub(super) data_centres: usize,
    pub(super) memory_tokens: u32,
    /// Duration of an engine's steps relative to the usual one. The engines of each data centre
    /// get these in turn.
    pub(super) step_factors: &'static [f64],
    pub(super) shared_machines: Option<SharedMachines>,
    /// Long answers, then short ones.
    pub(super) kinds: [RequestKind; 2],
    pub(super) demand: Demand,
    /// Whether the engines are divided into cells as the gateway does. Otherwise they are one cell.
    pub(super) has_partitions: bool,
}

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestKind {
    /// Requests per second and engine at load 1.0.
    pub(super) rate: f64,
    pub(super) shared_prefix_tokens: u32,
    /// Prompt length without the shared prefix.
    pub(super) prompt_tokens: LogNormal,
    /// Number of events in the answer.
    pub(super) events: LogNormal,
    /// An answer is late if its first event takes longer than this.
    pub(super) target_ms: u64,
    /// An answer with a longer pause between two events is late, if there is a bound.
    pub(super) max_pause_ms: Option<f64>,
    /// Callers give up after this time.
    pub(super) deadline_ms: u64,
    pub(super) priority: u8,
    /// Value of an answer on time, relative to a short one.
    pub(super) value: f64,
    /// Share of its value that a late answer keeps.
    pub(super) late_share: f64,
}

/// Lognormal distribution with the given mean before the cap at `max`.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogNormal {
    pub(super) mean: f64,
    pub(super) sigma: f64,
    pub(super) max: f64,
}

/// The kinds of the users' workload specification: long answers and short ones. At load 1.0 both
/// together need about the memory of the running engines, if a long answer takes 8.6 s and a short
/// one 0.6 s.
const LONG: RequestKind = RequestKind {
    rate: 0.60,
    shared_prefix_tokens: 79,
    prompt_tokens: LogNormal {
        mean: 3_000.0,
        sigma: 0.35,
        max: 6_000.0,
    },
    events: LogNormal {
        mean: 188.0,
        sigma: 1.344,
        max: 442.0,
    },
    target_ms: 1_800,
    max_pause_ms: Some(180.0),
    deadline_ms: 39_000,
    priority: 1,
    value: 7.4,
    late_share: 0.15,
};
const SHORT: RequestKind = RequestKind {
    rate: 0.67,
    shared_prefix_tokens: 350,
    prompt_tokens: LogNormal {
        mean: 2_200.0,
        sigma: 0.6,
        max: 6_000.0,
    },
    events: LogNormal {
        mean: 2.87,
        sigma: 1.424,
        max: 10.0,
    },
    target_ms: 1_500,
    max_pause_ms: Some(180.0),
    deadline_ms: 6_000,
    priority: 0,
    value: 1.0,
    late_share: 0.15,
};

const RECLAIMS: Scenario = Scenario {
    name: "reclaims",
    engines: 48,
    load: 0.75,
    organisations: 1,
    policies: &[
        PolicyName::Oracle,
        PolicyName::Stay,
        PolicyName::Move,
        PolicyName::CopyAll,
        PolicyName::CopyLargest,
        PolicyName::Unfair,
        PolicyName::Kept,
    ],
    data_centres: 4,
    memory_tokens: 21_874,
    step_factors: &[1.0],
    shared_machines: None,
    kinds: [LONG, SHORT],
    demand: Demand::EVEN,
    has_partitions: false,
};

const UNEVEN_POLICIES: &[PolicyName] = &[
    PolicyName::Oracle,
    PolicyName::OneCell,
    PolicyName::StopAtEvent,
    PolicyName::Kept,
];

const UNEVEN_ENGINES: Scenario = Scenario {
    name: "uneven-engines",
    engines: 45,
    load: 1.0,
    organisations: 40,
    policies: UNEVEN_POLICIES,
    data_centres: 4,
    memory_tokens: 26_900,
    step_factors: &[0.55, 1.2, 1.2, 1.2],
    shared_machines: Some(SharedMachines {
        share: 0.15,
        slowdown: 2.5,
        // The page says "some hundred milliseconds".
        phase_us: 200_000..400_000,
    }),
    kinds: [
        RequestKind {
            rate: 22.0 / 45.0,
            ..LONG
        },
        RequestKind {
            rate: 24.5 / 45.0,
            ..SHORT
        },
    ],
    demand: Demand {
        data_centre_shares: &[0.25; 4],
        swing: 0.55,
        swing_period_s: 15.0,
        surges: &[],
        surge_period_s: 0.0,
    },
    has_partitions: true,
};

const UNEVEN_DEMAND: Scenario = Scenario {
    name: "uneven-demand",
    engines: 72,
    load: 1.0,
    organisations: 40,
    policies: UNEVEN_POLICIES,
    data_centres: 3,
    memory_tokens: 26_900,
    step_factors: &[1.0],
    shared_machines: None,
    kinds: [
        RequestKind {
            rate: 29.7 / 72.0,
            target_ms: 4_000,
            max_pause_ms: None,
            value: 1.9,
            late_share: 0.24,
            ..LONG
        },
        RequestKind {
            rate: 58.0 / 72.0,
            max_pause_ms: None,
            late_share: 0.06,
            ..SHORT
        },
    ],
    demand: Demand {
        data_centre_shares: &[63.0 / 215.0, 83.0 / 215.0, 69.0 / 215.0],
        // The page gives no amplitude. With a smaller one, cells refuse far fewer requests than it
        // reports.
        swing: 0.65,
        swing_period_s: 15.0,
        surges: &[
            Surge {
                is_long: true,
                factor: 2.2,
                during_s: 10.0..15.0,
            },
            Surge {
                is_long: false,
                factor: 1.9,
                during_s: 15.0..19.0,
            },
        ],
        // The page gives no interval. Long answers end between two pairs of surges.
        surge_period_s: 30.0,
    },
    has_partitions: true,
};

impl Scenario {
    const ALL: [&'static Self; 3] = [&RECLAIMS, &UNEVEN_ENGINES, &UNEVEN_DEMAND];
    /// The scenario without uneven capacity.
    pub(crate) const DEFAULT: &'static Self = &RECLAIMS;

    /// Whether its rows are about uneven capacity or demand.
    pub(crate) fn is_uneven(&self) -> bool {
        self.has_partitions
    }

    pub(super) fn kind(&self, is_long: bool) -> &RequestKind {
        &self.kinds[usize::from(!is_long)]
    }

    pub(super) fn capacity(&self) -> EngineCapacity {
        EngineCapacity {
            memory_tokens: self.memory_tokens,
            slots: 24,
            token_bytes: 18_432,
            link_mbps: 2_700.0,
            copy_ttl_ms: 5_000,
        }
    }
}

/// The scenario of this name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScenarioName(pub(crate) &'static Scenario);

impl FromStr for ScenarioName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let mut all = Scenario::ALL.into_iter();
        let known = all.find(|scenario| scenario.name == name);
        known.map(Self).ok_or(UnknownName)
    }
}
