//! Draws callers' requests from the distributions of the users' workload specification.

use std::ops::Range;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{LogNormal, RequestKind, Scenario};
use super::world::Settings;

/// Tokens in one event of an answer.
pub(super) const EVENT_TOKENS: u32 = 4;
/// Error of callers' length hints: standard deviation of the logarithm of hint over length.
const HINT_SIGMA: f64 = 1.2;

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
    /// Data centre of the host that receives it.
    pub(super) data_centre: u64,
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

impl Mix {
    pub(crate) fn of(scenario: &Scenario) -> Self {
        Self {
            long_rate: scenario.kind(true).rate,
            short_rate: scenario.kind(false).rate,
        }
    }

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
    for (number, kind) in settings.scenario.kinds.iter().enumerate() {
        let seed = settings.seed.wrapping_mul(31).wrapping_add(number as u64);
        let rate = settings.mix.rate(kind) * settings.load * settings.engines as f64;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ordinary = arrivals(
            &mut rng,
            settings.scenario,
            kind,
            rate,
            0.0..settings.duration_s,
        );
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
        let mut extra = arrivals(
            &mut rng,
            settings.scenario,
            kind,
            rate * (flood.rate_factor - 1.0),
            window,
        );
        for request in &mut extra {
            request.organisation = flood.organisation;
        }
        requests.extend(extra);
    }
    requests.sort_by_key(|request| request.at_us);
    assign_data_centres(settings, &mut requests);
    requests
}

fn assign_data_centres(settings: &Settings, requests: &mut [CallerRequest]) {
    let scenario = settings.scenario;
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed ^ 0xdc);
    for (number, request) in requests.iter_mut().enumerate() {
        let in_turn = (number % scenario.data_centres) as u64;
        let at_s = request.at_us as f64 / 1e6;
        let drawn = scenario.demand.data_centre(at_s, rng.random());
        request.data_centre = drawn.unwrap_or(in_turn);
    }
}

/// Poisson arrivals of one kind. Those drawn at the peak rate are thinned to the rate of the time.
fn arrivals(
    rng: &mut ChaCha8Rng,
    scenario: &Scenario,
    kind: &RequestKind,
    rate: f64,
    during_s: Range<f64>,
) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    let mut at_s = during_s.start;
    let peak = scenario.demand.peak(kind.is_long());
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / (rate * peak);
        if at_s >= during_s.end {
            return requests;
        }
        let factor = scenario.demand.factor(kind.is_long(), at_s);
        if factor < peak && rng.random::<f64>() * peak >= factor {
            continue;
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
        data_centre: 0,
        organisation: 0,
    }
}

impl RequestKind {
    fn is_long(&self) -> bool {
        self.priority > 0
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
