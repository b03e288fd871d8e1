//! Draws callers' requests from the distributions of the users' workload specification.

use std::ops::Range;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::Settings;

/// Tokens in one event of an answer.
const EVENT_TOKENS: u32 = 4;
/// Error of callers' length hints: standard deviation of the logarithm of hint over length.
const HINT_SIGMA: f64 = 1.2;

/// One kind of request.
#[derive(Debug, Clone, Copy)]
struct RequestKind {
    /// Requests per second and engine at load 1.0.
    rate: f64,
    shared_prefix_tokens: u32,
    /// Prompt length without the shared prefix.
    prompt_tokens: LogNormal,
    /// Number of events in the answer.
    events: LogNormal,
    /// An answer is late if its first event takes longer than this.
    target_ms: u64,
    /// Callers give up after this time.
    deadline_ms: u64,
    priority: u8,
}

/// Lognormal distribution with the given mean before the cap at `max`.
#[derive(Debug, Clone, Copy)]
struct LogNormal {
    mean: f64,
    sigma: f64,
    max: f64,
}

impl RequestKind {
    fn is_long(&self) -> bool {
        self.priority > 0
    }
}

/// The kinds of the users' workload specification: long answers and short ones. At load 1.0 both
/// together need about the memory of the running engines, if a long answer takes 8.6 s and a short
/// one 0.6 s.
const KINDS: [RequestKind; 2] = [
    RequestKind {
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
        deadline_ms: 39_000,
        priority: 1,
    },
    RequestKind {
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
        deadline_ms: 6_000,
        priority: 0,
    },
];

/// A request as its caller sends it, with the length that its answer will have.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerRequest {
    pub(super) at_us: u64,
    pub(super) is_long: bool,
    pub(super) prompt_tokens: u32,
    pub(super) length_tokens: u32,
    pub(super) limit_tokens: u32,
    pub(super) hint_tokens: u32,
    pub(super) target_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) priority: u8,
    /// Index among the organisations, the largest first.
    pub(super) organisation: usize,
}

/// One organisation sends many times its usual rate for a part of the run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flood {
    /// Index among the organisations, the largest first.
    pub(crate) organisation: usize,
    /// Its rate during the flood, as a multiple of its usual rate.
    pub(crate) rate_factor: f64,
}

impl Flood {
    /// The part of the run in which the flood happens.
    const WINDOW: std::ops::Range<f64> = 0.25..0.75;
}

/// Share of all requests that come from an organisation. Sizes follow Zipf's law.
fn organisation_share(organisation: usize, organisations: usize) -> f64 {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let all: f64 = (0..organisations).map(weight).sum();
    weight(organisation) / all
}

/// Requests per second and engine at load 1.0, by kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mix {
    /// Requests with long answers.
    pub(crate) long_rate: f64,
    /// Requests with short answers.
    pub(crate) short_rate: f64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            long_rate: KINDS[0].rate,
            short_rate: KINDS[1].rate,
        }
    }
}

impl Mix {
    fn rate(self, kind: &RequestKind) -> f64 {
        match kind.is_long() {
            true => self.long_rate,
            false => self.short_rate,
        }
    }
}

/// Draws the requests of one run, ordered by arrival.
pub(super) fn draw(settings: &Settings) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    for (number, kind) in KINDS.iter().enumerate() {
        let seed = settings.seed.wrapping_mul(31).wrapping_add(number as u64);
        let rate = settings.mix.rate(kind) * settings.load * settings.engines as f64;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ordinary = arrivals(&mut rng, kind, rate, 0.0..settings.duration_s);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0a6);
        for request in &mut ordinary {
            request.organisation = draw_organisation(&mut rng, settings.organisations);
        }
        requests.extend(ordinary);
        let Some(flood) = settings.flood else {
            continue;
        };
        let rate = rate * organisation_share(flood.organisation, settings.organisations);
        let window =
            settings.duration_s * Flood::WINDOW.start..settings.duration_s * Flood::WINDOW.end;
        let mut extra = arrivals(&mut rng, kind, rate * (flood.rate_factor - 1.0), window);
        for request in &mut extra {
            request.organisation = flood.organisation;
        }
        requests.extend(extra);
    }
    requests.sort_by_key(|request| request.at_us);
    requests
}

fn arrivals(
    rng: &mut ChaCha8Rng,
    kind: &RequestKind,
    rate: f64,
    during_s: Range<f64>,
) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    let mut at_s = during_s.start;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= during_s.end {
            return requests;
        }
        requests.push(draw_request(rng, kind, at_s));
    }
}

fn draw_organisation(rng: &mut ChaCha8Rng, organisations: usize) -> usize {
    let mut draw = rng.random::<f64>();
    for organisation in 0..organisations {
        draw -= organisation_share(organisation, organisations);
        if draw < 0.0 {
            return organisation;
        }
    }
    0
}

fn draw_request(rng: &mut ChaCha8Rng, kind: &RequestKind, at_s: f64) -> CallerRequest {
    let prompt = kind.prompt_tokens.draw(rng) as u32;
    let events = kind.events.draw(rng).ceil().max(1.0) as u32;
    let length_tokens = events * EVENT_TOKENS;
    let hint = f64::from(length_tokens) * (HINT_SIGMA * normal(rng)).exp();
    CallerRequest {
        at_us: (at_s * 1e6) as u64,
        is_long: kind.is_long(),
        prompt_tokens: kind.shared_prefix_tokens + prompt.max(16),
        length_tokens,
        limit_tokens: kind.events.max as u32 * EVENT_TOKENS,
        hint_tokens: hint.max(1.0) as u32,
        target_ms: kind.target_ms,
        deadline_ms: kind.deadline_ms,
        priority: kind.priority,
        organisation: 0,
    }
}

impl LogNormal {
    fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        let mu = self.mean.ln() - self.sigma * self.sigma / 2.0;
        (mu + self.sigma * normal(rng)).exp().min(self.max)
    }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
