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

/// What a trial sets differently from the product.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tuning {
    pub(crate) weights: Weights,
    pub(crate) cap: u32,
    pub(crate) fit: Option<FitRule>,
    pub(crate) fifo: bool,
    pub(crate) pace: Option<f32>,
    pub(crate) no_moves: bool,
    pub(crate) lead_bound_tokens: Option<f64>,
    pub(crate) lend_share: f32,
    pub(crate) half_age_ms: Option<u64>,
    pub(crate) one_ask: bool,
    pub(crate) early: Option<f32>,
    /// After so long without a grant the second home is asked as well.
    pub(crate) hedge_ms: u64,
    /// Between two reports of progress.
    pub(crate) progress_ms: u64,
}

/// How homes decide under a policy.
pub(crate) fn home_settings(
    policy: PolicyName,
    tuning: &Tuning,
    memory_tokens: u32,
    prompt_ms_per_token: f32,
) -> HomeSettings {
    let product = HomeSettings::new(
        tuning.weights,
        tuning.lend_share,
        memory_tokens,
        prompt_ms_per_token,
    );
    let product = HomeSettings {
        queue_limit: 1_000,
        permit_ttl_ms: 10_000_000,
        ..product
    };
    match policy {
        PolicyName::Fulmarpath => trial(product, tuning, prompt_ms_per_token),
        PolicyName::Oracle => HomeSettings {
            fit: FitRule::Sampled { share: 1.0 },
            order: OrderRule::SmallestFirst {
                half_age_ms: u64::MAX,
            },
            lead_bound_tokens: f64::INFINITY,
            lend_share: 1.0,
            moves: false,
            early_refusal_factor: 0.0,
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
            early_refusal_factor: 0.0,
            prompt_ms_per_token: 0.0,
            ..product
        },
    }
}

fn trial(product: HomeSettings, tuning: &Tuning, prompt_ms_per_token: f32) -> HomeSettings {
    let mut settings = product;
    settings.fit = tuning.fit.unwrap_or(settings.fit);
    if let Some(half_age_ms) = tuning.half_age_ms {
        settings.order = OrderRule::SmallestFirst { half_age_ms };
    }
    if tuning.fifo {
        settings.order = OrderRule::Fifo;
    }
    if let Some(pace) = tuning.pace {
        settings.prompt_ms_per_token = prompt_ms_per_token * pace;
    }
    settings.moves &= !tuning.no_moves;
    if let Some(lead) = tuning.lead_bound_tokens {
        settings.lead_bound_tokens = lead;
    }
    settings.early_refusal_factor = tuning.early.unwrap_or(settings.early_refusal_factor);
    settings
}
