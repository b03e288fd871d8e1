//! The circuits known to a host.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::circuit::{Admission, CIRCUIT_EXPIRY_MS, Circuit, CircuitState, MAX_CRASHES};
use crate::key::{ContentKey, Millis};

/// Maximum number of circuits kept by a host: less than 200 kB. Contents that crash upstreams are
/// rare. To evict open circuits, a caller would have to craft more of them than this and crash
/// three upstreams with each.
const MAX_CIRCUITS: usize = 1_024;

#[derive(Debug, Clone)]
struct Entry {
    /// As received, with its age at that time.
    circuit: Circuit,
    received_ms: Millis,
}

impl Entry {
    fn age_ms(&self, now_ms: Millis) -> Millis {
        let since_ms = now_ms.saturating_sub(self.received_ms);
        self.circuit.age_ms.saturating_add(since_ms)
    }
}

/// The circuits known to a host.
#[derive(Debug, Clone, Default)]
pub struct Circuits {
    entries: HashMap<ContentKey, Entry>,
}

impl Circuits {
    /// Adds a received circuit; true if it is new.
    ///
    /// Two homes may decide on a content at once, and hosts receive their decisions in any order.
    /// The later version wins, and for equal versions the more severe state, which makes all hosts
    /// converge.
    pub fn adopt(&mut self, now_ms: Millis, mut circuit: Circuit) -> bool {
        if circuit.is_expired() {
            return false;
        }
        // Another writer may have put an unbounded list into the store.
        circuit.crashes.truncate(MAX_CRASHES);
        let rank = |circuit: &Circuit| (circuit.version, circuit.state);
        let known = self.entries.get(&circuit.content);
        if known.is_some_and(|known| rank(&known.circuit) >= rank(&circuit)) {
            return false;
        }
        let received_ms = now_ms;
        self.entries.insert(
            circuit.content,
            Entry {
                circuit,
                received_ms,
            },
        );
        self.evict(now_ms);
        true
    }

    /// Whether a request with this content may be sent.
    pub fn admit(&self, now_ms: Millis, content: ContentKey) -> Admission {
        let Some(entry) = self.entries.get(&content) else {
            return Admission::Allowed;
        };
        let left_ms = entry.circuit.open_ms().saturating_sub(entry.age_ms(now_ms));
        match entry.circuit.state {
            CircuitState::Closed => Admission::Allowed,
            CircuitState::Open if left_ms > 0 => Admission::Refused {
                retry_after_ms: left_ms,
            },
            CircuitState::HalfOpen | CircuitState::Open => Admission::NeedsProbe,
        }
    }

    /// The circuit of a content.
    pub fn find(&self, content: ContentKey) -> Option<&Circuit> {
        self.entries.get(&content).map(|entry| &entry.circuit)
    }

    /// All circuits, with their current age.
    pub fn all(&self, now_ms: Millis) -> Vec<Circuit> {
        let all = self.entries.values().map(|entry| Circuit {
            age_ms: entry.age_ms(now_ms),
            ..entry.circuit.clone()
        });
        all.collect()
    }

    /// Number of contents whose circuit is not closed.
    pub fn restricted(&self) -> usize {
        let all = self.entries.values();
        all.filter(|entry| entry.circuit.state != CircuitState::Closed)
            .count()
    }

    /// An order-independent hash of the circuits, to compare what two hosts know.
    pub fn digest(&mut self, now_ms: Millis) -> u64 {
        self.expire(now_ms);
        let hashes = self.entries.values().map(|entry| {
            let Circuit {
                content,
                version,
                state,
                ..
            } = &entry.circuit;
            let mut bytes = content.0.to_le_bytes().to_vec();
            bytes.extend(version.to_le_bytes());
            bytes.push(*state as u8);
            xxh3_64(&bytes)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    fn expire(&mut self, now_ms: Millis) {
        self.entries
            .retain(|_, entry| entry.age_ms(now_ms) < CIRCUIT_EXPIRY_MS);
    }

    fn evict(&mut self, now_ms: Millis) {
        if self.entries.len() <= MAX_CIRCUITS {
            return;
        }
        self.expire(now_ms);
        // The least severe first, then the oldest.
        let evicted = self.entries.values().min_by_key(|entry| {
            let age_ms = entry.age_ms(now_ms);
            (entry.circuit.state, std::cmp::Reverse(age_ms))
        });
        if let Some(content) = evicted.map(|entry| entry.circuit.content) {
            self.entries.remove(&content);
        }
    }
}
