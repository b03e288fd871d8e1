//! The policies that are compared.

use fulmarpath_policy::{FitRule, HomeSettings, OrderRule, Weights};

use super::workload::UnknownName;

/// A row of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyName {
    /// Each host goes round the engines; no admission.
    RoundRobin,
    /// The least loaded by lagging reports; no admission.
    LeastLoad,
    /// A tuned number of generations at once, oldest first.
    FixedCap,
    /// What the product does.
    Fulmarpath,
    /// The same, knowing all lengths.
    Oracle,
}

impl PolicyName {
    pub(crate) const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoad,
        Self::FixedCap,
        Self::Fulmarpath,
        Self::Oracle,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoad => "least_load",
            Self::FixedCap => "fixed_cap",
            Self::Fulmarpath => "fulmarpath",
            Self::Oracle => "oracle",
        }
    }

    /// Whether homes decide who starts.
    pub(crate) fn admits(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastLoad)
    }
}

impl std::str::FromStr for PolicyName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let found = Self::ALL.into_iter().find(|one| one.name() == name);
        found.ok_or(UnknownName)
    }
}

/// What can be set differently for a trial.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tuning {
    pub(crate) weights: Weights,
    pub(crate) cap: u32,
    pub(crate) fit: Option<FitRule>,
    pub(crate) fifo: bool,
    pub(crate) pace: f32,
    pub(crate) moves: bool,
    pub(crate) lead_bound_tokens: f64,
    pub(crate) lend_share: f32,
    pub(crate) age_bound_ms: u64,
    pub(crate) two_asks: bool,
}

/// How homes decide under a policy.
pub(crate) fn home_settings(
    policy: PolicyName,
    tuning: &Tuning,
    memory_tokens: u32,
    prompt_ms_per_token: f32,
) -> HomeSettings {
    let product = HomeSettings {
        memory_tokens,
        fit: tuning.fit.unwrap_or(FitRule::Normal {
            z: tuning.weights.caution(),
            share: 1.0,
        }),
        order: if tuning.fifo {
            OrderRule::Fifo
        } else {
            OrderRule::SmallestFirst {
                age_bound_ms: tuning.age_bound_ms,
            }
        },
        lead_bound_tokens: tuning.lead_bound_tokens,
        lend_share: tuning.lend_share,
        prompt_ms_per_token: prompt_ms_per_token * tuning.pace,
        moves: tuning.moves,
        queue_limit: 1_000,
        lapse_ms: 10_000_000,
    };
    match policy {
        PolicyName::Fulmarpath => product,
        PolicyName::Oracle => HomeSettings {
            fit: FitRule::Sampled { share: 1.0 },
            order: OrderRule::SmallestFirst {
                age_bound_ms: u64::MAX,
            },
            lead_bound_tokens: f64::INFINITY,
            lend_share: 1.0,
            moves: false,
            prompt_ms_per_token,
            ..product
        },
        _ => HomeSettings {
            fit: FitRule::Cap {
                running: tuning.cap,
            },
            order: OrderRule::Fifo,
            lead_bound_tokens: f64::INFINITY,
            lend_share: 1.0,
            moves: false,
            prompt_ms_per_token: 0.0,
            ..product
        },
    }
}
