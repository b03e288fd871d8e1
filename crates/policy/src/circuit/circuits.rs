//! The circuits that a host knows.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::circuit::{Admission, Circuit, CircuitState, FORGET_MS, MOST_CRASHES};
use crate::key::{ContentKey, Millis};

/// Circuits that a host keeps: under 200 kB. Contents that end upstreams are single ones; whoever
/// writes more of them than this by hand ends an upstream in three tries of each, as before.
const MOST_CIRCUITS: usize = 1_024;

#[derive(Debug, Clone)]
struct Kept {
    /// As it was told, with its age then.
    circuit: Circuit,
    told_ms: Millis,
}

impl Kept {
    fn age_ms(&self, now_ms: Millis) -> Millis {
        let since_ms = now_ms.saturating_sub(self.told_ms);
        self.circuit.age_ms.saturating_add(since_ms)
    }
}

/// The circuits that a host knows.
#[derive(Debug, Clone, Default)]
pub struct Circuits {
    kept: HashMap<ContentKey, Kept>,
}

impl Circuits {
    /// Takes a circuit; true where it is news.
    ///
    /// Two homes may rule on a content at once, and hosts hear of both in any order. The later version
    /// holds, and of one version the more severe, so all hosts come to hold the same.
    pub fn adopt(&mut self, now_ms: Millis, mut circuit: Circuit) -> bool {
        if circuit.is_forgotten() {
            return false;
        }
        // Other writers may leave anything in the store, also a list without end.
        circuit.crashes.truncate(MOST_CRASHES);
        let rank = |circuit: &Circuit| (circuit.version, circuit.state);
        let known = self.kept.get(&circuit.content);
        if known.is_some_and(|known| rank(&known.circuit) >= rank(&circuit)) {
            return false;
        }
        let told_ms = now_ms;
        self.kept.insert(circuit.content, Kept { circuit, told_ms });
        self.make_room(now_ms);
        true
    }

    /// Whether a request of this content may be sent.
    pub fn admit(&self, now_ms: Millis, content: ContentKey) -> Admission {
        let Some(kept) = self.kept.get(&content) else {
            return Admission::Allowed;
        };
        let left_ms = kept.circuit.open_ms().saturating_sub(kept.age_ms(now_ms));
        match kept.circuit.state {
            CircuitState::Closed => Admission::Allowed,
            CircuitState::Open if left_ms > 0 => Admission::Refused {
                retry_after_ms: left_ms,
            },
            CircuitState::HalfOpen | CircuitState::Open => Admission::NeedsProbe,
        }
    }

    /// The circuit on a content.
    pub fn find(&self, content: ContentKey) -> Option<&Circuit> {
        self.kept.get(&content).map(|kept| &kept.circuit)
    }

    /// All of them, as of now.
    pub fn all(&self, now_ms: Millis) -> Vec<Circuit> {
        let all = self.kept.values().map(|kept| Circuit {
            age_ms: kept.age_ms(now_ms),
            ..kept.circuit.clone()
        });
        all.collect()
    }

    /// Contents that may not run like any other.
    pub fn restricted(&self) -> usize {
        let all = self.kept.values();
        all.filter(|kept| kept.circuit.state != CircuitState::Closed)
            .count()
    }

    /// A hash of them in no order, to tell whether two hosts know the same.
    pub fn digest(&mut self, now_ms: Millis) -> u64 {
        self.forget(now_ms);
        let each = self.kept.values().map(|kept| {
            let Circuit {
                content,
                version,
                state,
                ..
            } = &kept.circuit;
            let mut bytes = content.0.to_le_bytes().to_vec();
            bytes.extend(version.to_le_bytes());
            bytes.push(*state as u8);
            xxh3_64(&bytes)
        });
        each.fold(0, |all, one| all ^ one)
    }

    fn forget(&mut self, now_ms: Millis) {
        self.kept.retain(|_, kept| kept.age_ms(now_ms) < FORGET_MS);
    }

    fn make_room(&mut self, now_ms: Millis) {
        if self.kept.len() <= MOST_CIRCUITS {
            return;
        }
        self.forget(now_ms);
        // The mildest first, then the oldest.
        let least = self.kept.values().min_by_key(|kept| {
            let age_ms = kept.age_ms(now_ms);
            (kept.circuit.state, std::cmp::Reverse(age_ms))
        });
        if let Some(content) = least.map(|kept| kept.circuit.content) {
            self.kept.remove(&content);
        }
    }
}
