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
    pub is_local: bool,
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
    let shares = candidates.iter().map(|one| share(one.load));
    let total: f32 = shares.sum();
    let bound = (total / candidates.len().max(1) as f32 * BOUND_OVER_MEAN).max(0.1);
    let mut first: Option<First> = None;
    let mut nearest = Nearest::default();
    for one in candidates {
        let share = share(one.load);
        let near = one.is_local && share < NEAR_SPILL_SHARE;
        let class = u8::from(share <= bound) * 4 + u8::from(near) * 2 + u8::from(one.cached);
        nearest.take(one.upstream, share + f32::from(u8::from(!near)));
        // Hashing is most of the work: it is left out where the class decides.
        if first.as_ref().is_some_and(|best| class < best.class) {
            continue;
        }
        let rank = rank(prefix, one.upstream.0);
        if first
            .as_ref()
            .is_none_or(|best| (class, rank) > (best.class, best.rank))
        {
            let upstream = one.upstream;
            first = Some(First {
                class,
                rank,
                upstream,
            });
        }
    }
    let first = first?.upstream;
    let second = nearest.other_than(first);
    Some(Pick { first, second })
}

struct First {
    class: u8,
    rank: u64,
    upstream: UpstreamKey,
}

/// The two least loaded engines, so that one is left when the other is the first pick.
#[derive(Default)]
struct Nearest {
    best: Option<(UpstreamKey, f32)>,
    next: Option<(UpstreamKey, f32)>,
}

impl Nearest {
    fn take(&mut self, upstream: UpstreamKey, distance: f32) {
        let one = Some((upstream, distance));
        if self.best.is_none_or(|(_, best)| distance < best) {
            self.next = std::mem::replace(&mut self.best, one);
        } else if self.next.is_none_or(|(_, next)| distance < next) {
            self.next = one;
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

/// Load as a share of memory; what waits inside the engine counts as well.
fn share(load: EngineLoad) -> f32 {
    let used = load.used_tokens as f32 / load.memory_tokens.max(1) as f32;
    used + load.waiting as f32 * 0.1
}
