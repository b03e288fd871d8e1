//! When a host that hears of later versions asks a peer for all that it holds.
//!
//! News reach a host on their own way within a moment. With hundreds of changes a second some peer
//! is always a little ahead; asked for all of its list at each of its pings, 300 hosts before 3,000
//! engines moved 0.8 MB/s each and served a fifth of their callers. Only a host that is still
//! behind what a peer held a while ago has missed something.

use crate::key::Millis;
use crate::revision::Revision;

/// What a peer held that this host did not, and since when.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    revision: Revision,
    since_ms: Millis,
}

/// How far this host is behind its peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    ahead: Option<Ahead>,
}

impl Lag {
    /// Hears which revision a peer holds; true where this host is to ask it for all, which is not
    /// said again before `bound_ms` have passed. Up to the revision `provisional` this host holds
    /// nothing that it can count on, and asks at once.
    pub fn should_fetch(
        &mut self,
        now_ms: Millis,
        own: Revision,
        theirs: Revision,
        provisional: Revision,
        bound_ms: Millis,
    ) -> bool {
        if self.ahead.is_some_and(|ahead| ahead.revision <= own) {
            self.ahead = None;
        }
        if theirs <= own {
            return false;
        }
        if own <= provisional {
            return true;
        }
        let ahead = self.ahead.get_or_insert(Ahead {
            revision: theirs,
            since_ms: now_ms,
        });
        if now_ms.saturating_sub(ahead.since_ms) < bound_ms {
            return false;
        }
        ahead.since_ms = now_ms;
        true
    }
}
