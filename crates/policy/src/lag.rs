//! When a host that is behind its peers fetches a peer's complete list.
//!
//! Updates normally reach a host within moments. With hundreds of changes per second some peer is
//! always slightly ahead. If each ping of such a peer caused a fetch of its complete list, 300
//! hosts in front of 3,000 engines would transfer 0.8 MB/s each and serve only a fifth of their
//! callers. Only a host that is still behind a peer's earlier revision has missed an update.

use crate::key::Millis;

/// A peer's revision that this host lacks, and since when.
#[derive(Debug, Clone, Copy)]
struct Ahead<R> {
    revision: R,
    since_ms: Millis,
}

/// Tracks how long this host has been behind its peers.
#[derive(Debug, Clone, Copy)]
pub struct Lag<R> {
    ahead: Option<Ahead<R>>,
}

impl<R> Default for Lag<R> {
    fn default() -> Self {
        Self { ahead: None }
    }
}

impl<R: Copy + PartialOrd> Lag<R> {
    /// Records a peer's revision and returns whether to fetch its complete list, at most once per
    /// `bound_ms`. Up to the revision `provisional` this host has no reliable state and fetches at
    /// once.
    pub fn should_fetch(
        &mut self,
        now_ms: Millis,
        own: R,
        theirs: R,
        provisional: R,
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
