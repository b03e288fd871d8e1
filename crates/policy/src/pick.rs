//! Which two engines to ask for a permit.

use crate::key::UpstreamKey;
use crate::load::EngineLoad;
use crate::rendezvous::rank;

/// An engine that could serve the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The engine.
    pub upstream: UpstreamKey,
    /// Whether it stands in the entry host's own data centre.
    pub near: bool,
    /// Its last known load.
    pub load: EngineLoad,
    /// Whether cache events say that it holds the prompt's prefix.
    pub cached: bool,
}

/// The engines to ask; the first grant is taken and the other withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Best by prefix, near and not above its bounded load.
    pub first: UpstreamKey,
    /// The least loaded of the others.
    pub second: Option<UpstreamKey>,
}

/// No engine may carry more than this multiple of the mean load and still be preferred for its
/// cached prefix. (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads".)
const BOUND_OVER_MEAN: f32 = 1.25;

/// A near engine is preferred until its load exceeds this share of its memory.
const NEAR_SPILL_SHARE: f32 = 0.92;

/// Picks the engines to ask for a prompt whose first blocks hash to `prefix`.
pub fn pick(prefix: u64, candidates: &[Candidate]) -> Option<Pick> {
    let total: f32 = candidates.iter().map(|one| share(one.load)).sum();
    let bound = (total / candidates.len().max(1) as f32 * BOUND_OVER_MEAN).max(0.1);
    let first = candidates
        .iter()
        .max_by_key(|one| preference(prefix, one, bound))?;
    let second = candidates
        .iter()
        .filter(|one| one.upstream != first.upstream)
        .min_by(|one, other| distance(one).total_cmp(&distance(other)));
    Some(Pick {
        first: first.upstream,
        second: second.map(|one| one.upstream),
    })
}

fn preference(prefix: u64, one: &Candidate, bound: f32) -> (bool, bool, bool, u64) {
    let share = share(one.load);
    let near = one.near && share < NEAR_SPILL_SHARE;
    (
        share <= bound,
        near,
        one.cached,
        rank(prefix, one.upstream.0),
    )
}

fn distance(one: &Candidate) -> f32 {
    let near = one.near && share(one.load) < NEAR_SPILL_SHARE;
    share(one.load) + if near { 0.0 } else { 1.0 }
}

/// Load as a share of memory; what waits inside the engine counts as well.
fn share(load: EngineLoad) -> f32 {
    let used = load.used_tokens as f32 / load.memory_tokens.max(1) as f32;
    used + load.waiting as f32 * 0.1
}
