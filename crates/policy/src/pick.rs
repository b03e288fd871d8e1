//! Selection of the two engines to request a permit from.

use crate::key::UpstreamKey;
use crate::load::EngineLoad;
use crate::rendezvous::rank;

/// An engine that can serve the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The engine.
    pub upstream: UpstreamKey,
    /// Whether it is in the entry host's data centre.
    pub is_local: bool,
    /// Its last known load.
    pub load: EngineLoad,
    /// Whether its cache events show that it holds the prompt's prefix.
    pub cached: bool,
}

/// The engines to request a permit from. The first grant is used, the other request withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The best by load bound, data centre, cached prefix and hash of the prefix, in this order.
    pub first: UpstreamKey,
    /// The least loaded of the others, local engines first.
    pub second: Option<UpstreamKey>,
}

/// An engine above this multiple of the mean load is not preferred for its cached prefix.
/// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads".)
const BOUND_OVER_MEAN: f32 = 1.25;

/// A local engine is preferred until its load reaches this share of its memory.
const LOCAL_SPILL_SHARE: f32 = 0.92;

/// Picks the engines for a prompt whose first blocks hash to `prefix`.
pub fn pick(prefix: u64, candidates: &[Candidate]) -> Option<Pick> {
    let shares = candidates.iter().map(|candidate| share(candidate.load));
    let total: f32 = shares.sum();
    let bound = (total / candidates.len().max(1) as f32 * BOUND_OVER_MEAN).max(0.1);
    let mut first: Option<First> = None;
    let mut least_loaded = LeastLoaded::default();
    for candidate in candidates {
        let share = share(candidate.load);
        let is_local = candidate.is_local && share < LOCAL_SPILL_SHARE;
        let class =
            u8::from(share <= bound) * 4 + u8::from(is_local) * 2 + u8::from(candidate.cached);
        least_loaded.consider(candidate.upstream, share + f32::from(u8::from(!is_local)));
        // Hashing is the most expensive step, so it is skipped where the class decides.
        if first.as_ref().is_some_and(|best| class < best.class) {
            continue;
        }
        let rank = rank(prefix, candidate.upstream.0);
        if first
            .as_ref()
            .is_none_or(|best| (class, rank) > (best.class, best.rank))
        {
            let upstream = candidate.upstream;
            first = Some(First {
                class,
                rank,
                upstream,
            });
        }
    }
    let first = first?.upstream;
    let second = least_loaded.other_than(first);
    Some(Pick { first, second })
}

struct First {
    class: u8,
    rank: u64,
    upstream: UpstreamKey,
}

/// The two least loaded engines, so that one remains if the other is the first pick.
#[derive(Default)]
struct LeastLoaded {
    best: Option<(UpstreamKey, f32)>,
    next: Option<(UpstreamKey, f32)>,
}

impl LeastLoaded {
    fn consider(&mut self, upstream: UpstreamKey, cost: f32) {
        let entry = Some((upstream, cost));
        if self.best.is_none_or(|(_, best)| cost < best) {
            self.next = std::mem::replace(&mut self.best, entry);
        } else if self.next.is_none_or(|(_, next)| cost < next) {
            self.next = entry;
        }
    }

    fn other_than(self, first: UpstreamKey) -> Option<UpstreamKey> {
        let pair = [self.best, self.next];
        let others = pair.into_iter().flatten();
        others
            .map(|(upstream, _)| upstream)
            .find(|upstream| *upstream != first)
    }
}

/// Load as a share of memory, plus a term for generations that wait inside the engine.
fn share(load: EngineLoad) -> f32 {
    let used = load.used_tokens as f32 / load.memory_tokens.max(1) as f32;
    used + load.waiting as f32 * 0.1
}
