//! Draws the workloads of the two users' deployments from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The workloads, one for each user's deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkloadName {
    /// Reports (long answers) and classifications (short ones).
    Association,
    /// Replies (long answers) and verdicts (short ones).
    Vilaverde,
}

impl std::str::FromStr for WorkloadName {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "association" => Ok(Self::Association),
            "vilaverde" => Ok(Self::Vilaverde),
            _ => Err(UnknownName),
        }
    }
}

/// The name on the command line is not that of a policy, workload or scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not find a policy, workload or scenario of this name")]
pub(crate) struct UnknownName;

/// What differs from the ordinary arrivals and engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing.
    Ordinary,
    /// One organisation's arrival rate rises tenfold during the middle half of the run.
    Rival,
    /// An engine is lost in the middle of the run.
    EngineLost,
    /// Long answers get three times longer from the middle of the run on.
    Shift,
}

impl std::str::FromStr for Scenario {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "ordinary" => Ok(Self::Ordinary),
            "rival" => Ok(Self::Rival),
            "engine-lost" => Ok(Self::EngineLost),
            "shift" => Ok(Self::Shift),
            _ => Err(UnknownName),
        }
    }
}

/// One request and its arrival time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) host: usize,
    pub(crate) organisation: usize,
    pub(crate) service: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) length_tokens: u32,
}

/// Number of organisations in a workload.
pub(crate) const ORGANISATIONS: usize = 10;
/// Index of the organisation whose rate rises in [`Scenario::Rival`].
pub(crate) const RIVAL: usize = 3;
/// Shares of the arrivals by organisation; a few are large.
const SHARES: [f64; ORGANISATIONS] = [0.28, 0.20, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03];

/// Configured weight of an organisation, proportional to its share; the mean is 1.
pub(crate) fn weight(organisation: usize) -> f32 {
    SHARES[organisation] as f32 * ORGANISATIONS as f32
}

/// Output limit of each service in tokens.
pub(crate) const LIMITS: [u32; 2] = [8_000, 200];

/// Lengths of prompts and answers in tokens: lognormal for long answers, uniform for short ones.
struct Shape {
    short_share: f64,
    long_median: f64,
    long_sigma: f64,
    short: (u32, u32),
    long_prompt_median: f64,
    short_prompt: (u32, u32),
}

const ASSOCIATION: Shape = Shape {
    short_share: 0.35,
    long_median: 500.0,
    long_sigma: 1.1,
    short: (4, 60),
    long_prompt_median: 900.0,
    short_prompt: (100, 500),
};

const VILAVERDE: Shape = Shape {
    short_share: 0.45,
    long_median: 280.0,
    long_sigma: 0.8,
    short: (2, 16),
    long_prompt_median: 350.0,
    short_prompt: (60, 300),
};

/// Draws the arrivals of `duration_s` at `rate` requests per second over `hosts` hosts.
pub(crate) fn generate(
    name: WorkloadName,
    scenario: Scenario,
    rate: f64,
    duration_s: f64,
    hosts: usize,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shape = match name {
        WorkloadName::Association => ASSOCIATION,
        WorkloadName::Vilaverde => VILAVERDE,
    };
    let middle = duration_s * 0.25..duration_s * 0.75;
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    // The rival's extra arrivals come from a separate generator, which keeps all other arrivals
    // the same with and without them.
    let mut extra = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    loop {
        at_s += exponential(&mut rng, rate);
        if at_s >= duration_s {
            break;
        }
        let organisation = pick_organisation(&mut rng);
        let is_shifted = scenario == Scenario::Shift && at_s > duration_s * 0.5;
        arrivals.push(draw(
            &mut rng,
            &shape,
            at_s,
            hosts,
            organisation,
            is_shifted,
        ));
    }
    if scenario == Scenario::Rival {
        let rate = rate * SHARES[RIVAL] * 9.0;
        let mut at_s = middle.start;
        loop {
            at_s += exponential(&mut extra, rate);
            if at_s >= middle.end {
                break;
            }
            arrivals.push(draw(&mut extra, &shape, at_s, hosts, RIVAL, false));
        }
        arrivals.sort_by_key(|arrival| arrival.at_us);
    }
    arrivals
}

fn exponential(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn pick_organisation(rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = rng.random::<f64>() * SHARES.iter().sum::<f64>();
    for (organisation, share) in SHARES.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return organisation;
        }
    }
    0
}

fn draw(
    rng: &mut ChaCha8Rng,
    shape: &Shape,
    at_s: f64,
    hosts: usize,
    organisation: usize,
    is_shifted: bool,
) -> Arrival {
    let is_short = rng.random::<f64>() < shape.short_share;
    // Organisations differ in the length of their answers.
    let organisation_factor = 0.6 + 0.1 * organisation as f64;
    let length_factor = if is_shifted { 3.0 } else { 1.0 };
    let (prompt, length) = if is_short {
        let prompt = rng.random_range(shape.short_prompt.0..=shape.short_prompt.1);
        let length = rng.random_range(shape.short.0..=shape.short.1);
        (prompt, length)
    } else {
        let prompt = shape.long_prompt_median * (0.5 * normal(rng)).exp();
        let length = shape.long_median
            * organisation_factor
            * length_factor
            * (shape.long_sigma * normal(rng)).exp();
        let limit = f64::from(LIMITS[0]);
        (
            prompt.clamp(50.0, 6_000.0) as u32,
            length.clamp(8.0, limit) as u32,
        )
    };
    let template = rng.random_range(0..4u64);
    let prefix_tokens = if rng.random::<f64>() < 0.5 { 128 } else { 0 };
    Arrival {
        at_us: (at_s * 1e6) as u64,
        host: rng.random_range(0..hosts),
        organisation,
        service: usize::from(is_short),
        prompt_tokens: prompt.max(prefix_tokens + 8),
        prefix: organisation as u64 * 8 + template + u64::from(is_short) * 1_000,
        prefix_tokens,
        length_tokens: length.max(1),
    }
}
