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

/// Time after the first contact in which a host learns roughly how many others there are, before it
/// decides whether to read the upstreams from the store.
const FLEET_SIZE_WAIT_MS: Millis = 200;
/// Number of known hosts up to which all may read the upstreams from the store at once. If a thousand
/// read the list at once, all their calls time out. In a larger fleet the watchers read it and pass
/// it on.
const MAX_CONCURRENT_READERS: usize = 100;
/// How long a host of a larger fleet waits for the list after its last progress.
const STALLED_AFTER_MS: Millis = 3_000;
/// Share of the hosts that read the list from the store as soon as it has stalled. The share doubles
/// in each [`READERS_DOUBLE_MS`], until peers pass on what one of them has read.
const FIRST_READERS_SHARE: f32 = 1.0 / 64.0;
/// Time in which one host reads a long list and passes it on.
const READERS_DOUBLE_MS: f32 = 2_000.0;

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
    /// When a part of the list of upstreams arrived last from a peer.
    list_progress_ms: Millis,
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
            list_progress_ms: now_ms,
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

    /// Records that a part of the list of upstreams has arrived from a peer.
    pub fn record_list_progress(&mut self, now_ms: Millis) {
        self.list_progress_ms = now_ms;
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
        let Some(contact_ms) = self.contact_ms else {
            return true;
        };
        let progress_ms = self.list_progress_ms.max(contact_ms);
        if hosts <= MAX_CONCURRENT_READERS {
            return now_ms.saturating_sub(progress_ms) >= FLEET_SIZE_WAIT_MS;
        }
        let Some(stalled_ms) = now_ms.checked_sub(progress_ms + STALLED_AFTER_MS) else {
            return false;
        };
        let doublings = stalled_ms as f32 / READERS_DOUBLE_MS;
        self.draw < FIRST_READERS_SHARE * doublings.exp2()
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
