//! Detects that the hosts which watch the store for the others were lost.
//!
//! Changes of the store have to be in force within a bound, and the membership declares a silent
//! host dead only after most of that time. So pings carry how long ago a working watcher was heard
//! of, directly or through others. A host that has heard of none for a share of the bound watches
//! the store itself, whichever hosts the membership takes for the watchers.
//!
//! Hosts begin in the order of their ranks, and the first one is heard of by the others, so that
//! few of them call the store.

use crate::key::Millis;

/// Share of the bound on changes after which silent watchers count as lost. Words of a watcher take
/// less time to reach all hosts, and the rest suffices to read the store.
const SILENCE_FRACTION: f32 = 0.5;
/// Time between the starts of two substitutes: one reads the store and is heard of in less.
const SUBSTITUTE_INTERVAL_MS: Millis = 60;
/// How long a substitute watches: until the membership has declared the lost watchers dead.
const SUBSTITUTION_MS: Millis = 3_500;

/// Whether this host watches in place of lost watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Substitution {
    /// It does not.
    No,
    /// It begins to.
    Begins {
        /// How long no watcher has been heard of, in ms.
        silent_ms: Millis,
    },
    /// It has begun before.
    Continues,
}

/// What this host knows of the watchers.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatcherLiveness {
    /// The latest time at which a watcher is known to have worked.
    heard_ms: Option<Millis>,
    until_ms: Millis,
}

impl WatcherLiveness {
    /// Records that a watcher worked some time ago.
    pub fn record(&mut self, now_ms: Millis, age_ms: Millis) {
        let heard_ms = now_ms.saturating_sub(age_ms);
        self.heard_ms = self.heard_ms.max(Some(heard_ms));
    }

    /// Time since a watcher is known to have worked, in ms; `None` if none is known.
    pub fn age_ms(&self, now_ms: Millis) -> Option<Millis> {
        let heard_ms = self.heard_ms?;
        Some(now_ms.saturating_sub(heard_ms))
    }

    /// Decides whether a host with this many higher-ranked ones in its area watches in place of lost
    /// watchers. `bound_ms` is the bound on changes.
    pub fn substitution(
        &mut self,
        now_ms: Millis,
        bound_ms: Millis,
        higher_ranked: usize,
    ) -> Substitution {
        if now_ms < self.until_ms {
            return Substitution::Continues;
        }
        // A host that has just joined has yet to hear of the watchers.
        let heard_ms = *self.heard_ms.get_or_insert(now_ms);
        let silent_ms = now_ms.saturating_sub(heard_ms);
        let turn_ms = higher_ranked as Millis * SUBSTITUTE_INTERVAL_MS;
        if silent_ms < (bound_ms as f32 * SILENCE_FRACTION) as Millis + turn_ms {
            return Substitution::No;
        }
        self.until_ms = now_ms + SUBSTITUTION_MS;
        Substitution::Begins { silent_ms }
    }

    /// Ends the substitution.
    pub fn end_substitution(&mut self, now_ms: Millis) {
        self.until_ms = now_ms;
    }
}
