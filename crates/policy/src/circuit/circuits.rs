//! The circuits known to a host.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::circuit::{Admission, Circuit, CircuitState, MAX_CRASHES, RequestContents};
use crate::key::{ContentKey, Millis};

/// Maximum number of circuits kept by a host: less than 700 kB. Contents that crash upstreams are
/// rare, and of the parts of prompts only those are kept that were on two crashed upstreams. To
/// evict open circuits, a caller would have to craft more of them than this and crash three
/// upstreams with each.
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

    /// The circuit with its current age.
    fn circuit_at(&self, now_ms: Millis) -> Circuit {
        Circuit {
            age_ms: self.age_ms(now_ms),
            ..self.circuit.clone()
        }
    }

    fn open_left_ms(&self, now_ms: Millis) -> Millis {
        self.circuit.open_ms().saturating_sub(self.age_ms(now_ms))
    }

    fn is_expired(&self, now_ms: Millis) -> bool {
        self.age_ms(now_ms) >= self.circuit.expiry_ms()
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
        // Another writer may have put unbounded lists into the store.
        circuit.crashes.truncate(MAX_CRASHES);
        circuit.companions.truncate();
        let rank = |circuit: &Circuit| (circuit.version, circuit.state);
        let known = self.entries.get(&circuit.content);
        let known = known.filter(|known| !known.is_expired(now_ms));
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

    /// Whether a request with these contents may be sent.
    pub fn admit(&self, now_ms: Millis, request: &RequestContents) -> Admission {
        if self.entries.is_empty() {
            return Admission::Allowed;
        }
        let all = request
            .keys()
            .map(|key| self.admit_one(now_ms, request, key));
        all.max().unwrap_or(Admission::Allowed)
    }

    /// The contents of a request that have this admission.
    pub fn with_admission(
        &self,
        now_ms: Millis,
        request: &RequestContents,
        admission: Admission,
    ) -> Vec<ContentKey> {
        let keys = request.keys();
        keys.filter(|key| self.admit_one(now_ms, request, *key) == admission)
            .collect()
    }

    /// Whether any content of a request is suspected or restricted.
    pub fn is_suspected(&self, now_ms: Millis, request: &RequestContents) -> bool {
        let mut keys = request.keys();
        keys.any(|key| self.find_active(now_ms, key).is_some())
    }

    fn admit_one(
        &self,
        now_ms: Millis,
        request: &RequestContents,
        content: ContentKey,
    ) -> Admission {
        let Some(entry) = self.entries.get(&content) else {
            return Admission::Allowed;
        };
        match entry.circuit.state {
            CircuitState::Closed | CircuitState::Suspected => Admission::Allowed,
            CircuitState::HalfOpen => Admission::NeedsProbe,
            CircuitState::Open => {
                let retry_after_ms = entry.open_left_ms(now_ms);
                let companions = &entry.circuit.companions;
                match retry_after_ms > 0 && companions.refuse(request) {
                    true => Admission::Refused { retry_after_ms },
                    false => Admission::NeedsProbe,
                }
            }
        }
    }

    /// Whether the circuit of a content is open and its open time has not passed.
    pub fn is_open(&self, now_ms: Millis, content: ContentKey) -> bool {
        let entry = self.entries.get(&content);
        entry.is_some_and(|entry| entry.open_left_ms(now_ms) > 0)
    }

    /// The circuit of a content as it was received.
    pub fn find(&self, content: ContentKey) -> Option<&Circuit> {
        self.entries.get(&content).map(|entry| &entry.circuit)
    }

    /// The circuit of a content with its current age, unless it is closed or expired.
    pub fn find_active(&self, now_ms: Millis, content: ContentKey) -> Option<Circuit> {
        let entry = self.entries.get(&content)?;
        let circuit = entry.circuit_at(now_ms);
        let is_restricted = circuit.state != CircuitState::Closed && !circuit.is_expired();
        is_restricted.then_some(circuit)
    }

    /// All circuits, with their current age.
    pub fn all(&self, now_ms: Millis) -> Vec<Circuit> {
        let all = self.entries.values();
        all.map(|entry| entry.circuit_at(now_ms)).collect()
    }

    /// Number of contents whose circuit restricts requests.
    pub fn restricted(&self) -> usize {
        let all = self.entries.values();
        all.filter(|entry| entry.circuit.restricts()).count()
    }

    /// An order-independent hash of the circuits that restrict requests, to compare what two hosts
    /// know. The others change often while many upstreams crash, and a host that lacks one of them
    /// refuses nothing for it.
    pub fn digest(&mut self, now_ms: Millis) -> u64 {
        self.expire(now_ms);
        let restricting = self
            .entries
            .values()
            .filter(|entry| entry.circuit.restricts());
        let hashes = restricting.map(|entry| {
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
        self.entries.retain(|_, entry| !entry.is_expired(now_ms));
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
