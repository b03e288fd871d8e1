//! How a host obtains the shared state after its start.
//!
//! This limits the load on the store when a fleet starts all at once, or when its hosts are
//! replaced one after the other. If each host read the configuration, the upstreams and the host
//! entries from the store, wrote its own entry and watched for changes, 195 hosts would make 1,600
//! calls within two seconds. A host therefore asks its peers first. It reads the store only for
//! what no peer can provide, by a stale read that costs a tenth, and watches it only after it has
//! had time to learn of the other hosts.

use crate::key::Millis;

/// Time to wait for any peer before reading the store. In a running fleet some peer answers within
/// a few ms. A host whose seeds are all gone is ready this much later.
const PEER_ANSWER_TIMEOUT_MS: Millis = 20;
/// Time that a host in contact with a peer waits for the shared state before it reads the store.
/// The store may have an older state than the peers, for example after a restore from a backup.
const PEER_STATE_TIMEOUT_MS: Millis = 300;
/// Time that a host in contact with a peer waits for the other members before it may watch the
/// store. Announcements of joining hosts take two hops of 0.1 s.
const MEMBERSHIP_SETTLE_MS: Millis = 500;
/// Time without contact after which a host writes its entry into the store and reads the others,
/// because its seeds are gone or partitioned. Hosts that start together are up within 0.3 s.
const DISCOVERY_DELAY_MS: Millis = 1_000;
/// Time without contact after which a host acts as the only one, because leaving upstreams and
/// configuration changes must be detected within seconds.
const SOLE_HOST_DELAY_MS: Millis = 1_500;

/// Number of hosts up to which all may read the upstreams from the store at once. In a larger fleet
/// the watchers read them and peers pass them on, as a list of many pages for each host would cost
/// more than all other calls together.
const MAX_CONCURRENT_READERS: usize = 100;
/// How long a host waits for the watchers' list before its own read, for each host above
/// [`MAX_CONCURRENT_READERS`].
const READ_DELAY_MS: f32 = 2.0;
/// Interval between the reads of all waiting hosts, if no peer provides the list.
const READ_INTERVAL_MS: f32 = 20.0;

/// Progress of a host since its start.
#[derive(Debug, Clone, Copy)]
pub struct Join {
    started_ms: Millis,
    has_seeds: bool,
    contact_ms: Option<Millis>,
    has_queried_peers: bool,
    is_only_host: bool,
    /// This host's place in the order of reads, from 0 to 1.
    draw: f32,
}

impl Join {
    /// Creates the state of a host that starts now. Without seeds there is no peer to ask until the
    /// store lists some. `draw` is a random number from 0 to 1, different on each host.
    pub fn new(now_ms: Millis, has_seeds: bool, draw: f32) -> Self {
        Self {
            started_ms: now_ms,
            has_seeds,
            contact_ms: None,
            has_queried_peers: !has_seeds,
            is_only_host: false,
            draw,
        }
    }

    /// Records that another host has answered.
    pub fn record_peer(&mut self, now_ms: Millis) {
        self.contact_ms.get_or_insert(now_ms);
    }

    /// Records that peers were asked for the shared state and have sent it or have none.
    pub fn finish_peer_queries(&mut self) {
        self.has_queried_peers = true;
    }

    /// Records that the store lists no other host.
    pub fn record_no_other_host(&mut self) {
        self.is_only_host = true;
    }

    /// Whether another host has answered.
    pub fn has_met_peer(&self) -> bool {
        self.contact_ms.is_some()
    }

    /// Whether the host may read from the store what no peer has provided.
    pub fn may_read_store(&self, now_ms: Millis) -> bool {
        if self.has_queried_peers {
            return true;
        }
        match self.contact_ms {
            Some(contact_ms) => now_ms.saturating_sub(contact_ms) >= PEER_STATE_TIMEOUT_MS,
            None => self.age_ms(now_ms) >= PEER_ANSWER_TIMEOUT_MS,
        }
    }

    /// Whether the host may read the upstreams from the store, given the number of known hosts.
    pub fn may_read_upstreams(&self, now_ms: Millis, hosts: usize) -> bool {
        if !self.may_read_store(now_ms) {
            return false;
        }
        let waiting = hosts.saturating_sub(MAX_CONCURRENT_READERS) as f32;
        let delay_ms = waiting * (READ_DELAY_MS + self.draw * READ_INTERVAL_MS);
        let since_ms = self.contact_ms.unwrap_or(self.started_ms);
        now_ms.saturating_sub(since_ms) as f32 >= delay_ms
    }

    /// Whether this host knows enough members to determine which hosts watch the store.
    pub fn may_watch_store(&self, now_ms: Millis) -> bool {
        match self.contact_ms {
            Some(contact_ms) => now_ms.saturating_sub(contact_ms) >= MEMBERSHIP_SETTLE_MS,
            None => self.is_only_host || self.age_ms(now_ms) >= SOLE_HOST_DELAY_MS,
        }
    }

    /// Whether this host should discover others by their entries in the store.
    pub fn should_discover(&self, now_ms: Millis) -> bool {
        !self.has_met_peer() && (!self.has_seeds || self.age_ms(now_ms) >= DISCOVERY_DELAY_MS)
    }

    fn age_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.started_ms)
    }
}
