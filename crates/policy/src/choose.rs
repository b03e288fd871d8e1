//! Selection of the upstream of a service that gets a request.

/// An upstream that can get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice<K> {
    /// Its key.
    pub key: K,
    /// Cost of one more request there.
    pub cost: f32,
    /// Whether it is in this host's data centre.
    pub is_local: bool,
    /// Whether to try it whatever its cost.
    pub needs_trial: bool,
}

/// Random numbers (0 to 1) for one choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Draws {
    /// Decides between equals.
    pub among: f32,
    /// Decides whether to try an upstream.
    pub trial: f32,
}

/// Share of the requests with which upstreams are tried, as far as any need it. It gives those that
/// have returned twice the tenth of their fair share that is asked for.
const TRIAL_SHARE: f32 = 0.2;

/// Costs within this factor of the lowest count as equal, so that hosts with the same view don't
/// all send to the same upstream.
const EQUAL_COST_FACTOR: f32 = 1.15;
/// Cost factor of an upstream in another data centre, for network latency and traffic billed by
/// the byte.
const REMOTE_COST_FACTOR: f32 = 1.10;

/// Returns the cheapest upstream, or now and then one that needs a trial.
pub fn choose<K: Copy>(choices: &[Choice<K>], draws: Draws) -> Option<K> {
    if draws.trial < TRIAL_SHARE {
        let untried = choices.iter().filter(|choice| choice.needs_trial);
        let untried: Vec<&Choice<K>> = untried.collect();
        if let Some(choice) = pick(&untried, draws.among) {
            return Some(choice.key);
        }
    }
    let cost = |choice: &Choice<K>| {
        choice.cost
            * if choice.is_local {
                1.0
            } else {
                REMOTE_COST_FACTOR
            }
    };
    let lowest = choices.iter().map(cost).min_by(f32::total_cmp)?;
    let equal: Vec<&Choice<K>> = choices
        .iter()
        .filter(|choice| cost(choice) <= lowest * EQUAL_COST_FACTOR)
        .collect();
    pick(&equal, draws.among).map(|choice| choice.key)
}

fn pick<'a, K>(choices: &[&'a Choice<K>], draw: f32) -> Option<&'a Choice<K>> {
    let index = (draw * choices.len() as f32) as usize;
    choices
        .get(index.min(choices.len().checked_sub(1)?))
        .copied()
}
