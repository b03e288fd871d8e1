//! The policies that are compared.

use fulmarpath_policy::{FitRule, HomeSettings, OrderRule, Weights};

use super::workload::UnknownName;

/// A policy of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyName {
    /// Each host uses the engines in round-robin order; no admission control.
    RoundRobin,
    /// The least loaded engine by delayed reports; no admission control.
    LeastLoad,
    /// A tuned, fixed number of concurrent generations per engine, first come, first served.
    FixedCap,
    /// The policy of the entry hosts.
    Fulmarpath,
    /// Admission with all output lengths known.
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

    /// Whether homes control admission.
    pub(crate) fn admits(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastLoad)
    }
}

impl std::str::FromStr for PolicyName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let known = Self::ALL.into_iter().find(|one| one.name() == name);
        known.ok_or(UnknownName)
    }
}

/// Settings in which a trial may differ from the entry hosts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tuning {
    pub(crate) weights: Weights,
    pub(crate) cap: u32,
    pub(crate) fit: Option<FitRule>,
    pub(crate) fifo: bool,
    pub(crate) prefill_pace: Option<f32>,
    pub(crate) no_moves: bool,
    pub(crate) lead_bound_tokens: Option<f64>,
    pub(crate) lend_share: f32,
    pub(crate) half_age_ms: Option<u64>,
    pub(crate) single_request: bool,
    pub(crate) early_refusal_factor: Option<f32>,
    /// A permit request is hedged to the second home after this time without a grant.
    pub(crate) hedge_ms: u64,
    /// Interval between two progress reports.
    pub(crate) progress_ms: u64,
}

/// Settings of the homes under a policy.
pub(crate) fn home_settings(
    policy: PolicyName,
    tuning: &Tuning,
    memory_tokens: u32,
    prompt_ms_per_token: f32,
) -> HomeSettings {
    let defaults = HomeSettings::new(
        tuning.weights,
        tuning.lend_share,
        memory_tokens,
        prompt_ms_per_token,
    );
    let defaults = HomeSettings {
        queue_limit: 1_000,
        permit_ttl_ms: 10_000_000,
        ..defaults
    };
    match policy {
        PolicyName::Fulmarpath => apply_tuning(defaults, tuning, prompt_ms_per_token),
        PolicyName::Oracle => HomeSettings {
            fit: FitRule::Sampled { share: 1.0 },
            order: OrderRule::SmallestFirst {
                half_age_ms: u64::MAX,
            },
            lead_bound_tokens: f64::INFINITY,
            lend_share: 1.0,
            moves: false,
            early_refusal_factor: 0.0,
            ..defaults
        },
        _ => HomeSettings {
            fit: FitRule::Cap {
                running: tuning.cap,
            },
            order: OrderRule::Fifo,
            lead_bound_tokens: f64::INFINITY,
            lend_share: 1.0,
            moves: false,
            early_refusal_factor: 0.0,
            prompt_ms_per_token: 0.0,
            ..defaults
        },
    }
}

fn apply_tuning(defaults: HomeSettings, tuning: &Tuning, prompt_ms_per_token: f32) -> HomeSettings {
    let mut settings = defaults;
    settings.fit = tuning.fit.unwrap_or(settings.fit);
    if let Some(half_age_ms) = tuning.half_age_ms {
        settings.order = OrderRule::SmallestFirst { half_age_ms };
    }
    if tuning.fifo {
        settings.order = OrderRule::Fifo;
    }
    if let Some(prefill_pace) = tuning.prefill_pace {
        settings.prompt_ms_per_token = prompt_ms_per_token * prefill_pace;
    }
    settings.moves &= !tuning.no_moves;
    if let Some(lead_tokens) = tuning.lead_bound_tokens {
        settings.lead_bound_tokens = lead_tokens;
    }
    settings.early_refusal_factor = tuning
        .early_refusal_factor
        .unwrap_or(settings.early_refusal_factor);
    settings
}
