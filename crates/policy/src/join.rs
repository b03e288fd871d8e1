//! How a host that has just started comes to know what all others know.
//!
//! The pattern is a fleet that starts all at once, for the first time or after all hosts were lost,
//! and a fleet whose hosts are replaced one after the other. When each start read the operator's
//! configuration, the upstreams and the hosts' entries for itself, wrote an entry of its own and
//! watched until it knew better, 195 hosts made 1,600 calls to the store within two seconds. So a
//! host asks its peers first; the store is asked where no peer can tell, in a form that may be old
//! and costs a tenth, and watched only by hosts that have had time to learn who else is there.

use crate::key::Millis;

/// How long an answer of any peer is waited for before the store is read. Of a living fleet some peer answers
/// within a few ms; a host whose seeds are all gone is ready this much later.
const PEERS_FIRST_MS: Millis = 20;
/// How long a host that has met another one waits to be told what all hold, before it reads the store. That
/// may have an older state than peers, as where it has just come back from a copy.
const TOLD_MS: Millis = 300;
/// How long a host that has met another one learns of the rest before it takes itself for a
/// watcher. News of newcomers take two ways of 0.1 s.
const SETTLE_MS: Millis = 500;
/// A host that has met nobody for so long writes its entry into the store and reads the others':
/// the settings' seeds are gone, or on the far side of a cut. Hosts that start at once are up
/// within 0.3 s.
const LONELY_MS: Millis = 1_000;
/// A host that has met nobody for so long acts as if there were nobody else: leaving upstreams and
/// changed configurations must be heard of within seconds.
const ALONE_MS: Millis = 1_500;

/// How far a host has come since its start.
#[derive(Debug, Clone, Copy)]
pub struct Join {
    started_ms: Millis,
    has_seeds: bool,
    met_ms: Option<Millis>,
    has_asked_peers: bool,
    is_alone: bool,
}

impl Join {
    /// A host that starts now. Without seeds there is no peer to ask before the store has named some.
    pub fn new(now_ms: Millis, has_seeds: bool) -> Self {
        Self {
            started_ms: now_ms,
            has_seeds,
            met_ms: None,
            has_asked_peers: !has_seeds,
            is_alone: false,
        }
    }

    /// Another host has answered.
    pub fn record_peer(&mut self, now_ms: Millis) {
        self.met_ms.get_or_insert(now_ms);
    }

    /// Peers were asked for what they hold, and have told it or have nothing to tell.
    pub fn finish_peer_queries(&mut self) {
        self.has_asked_peers = true;
    }

    /// The store names no other host.
    pub fn record_no_other_host(&mut self) {
        self.is_alone = true;
    }

    /// Whether another host has answered.
    pub fn has_met_peer(&self) -> bool {
        self.met_ms.is_some()
    }

    /// Whether what no peer has told may be read from the store.
    pub fn may_read_store(&self, now_ms: Millis) -> bool {
        if self.has_asked_peers {
            return true;
        }
        match self.met_ms {
            Some(met_ms) => now_ms.saturating_sub(met_ms) >= TOLD_MS,
            None => self.age_ms(now_ms) >= PEERS_FIRST_MS,
        }
    }

    /// Whether this host knows enough of the others to tell who watches the store.
    pub fn may_watch_store(&self, now_ms: Millis) -> bool {
        match self.met_ms {
            Some(met_ms) => now_ms.saturating_sub(met_ms) >= SETTLE_MS,
            None => self.is_alone || self.age_ms(now_ms) >= ALONE_MS,
        }
    }

    /// Whether this host looks for others by their entries in the store.
    pub fn should_discover(&self, now_ms: Millis) -> bool {
        !self.has_met_peer() && (!self.has_seeds || self.age_ms(now_ms) >= LONELY_MS)
    }

    fn age_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.started_ms)
    }
}
