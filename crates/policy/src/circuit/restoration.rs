//! What of circuits to write anew, and what to remove, in a store that has come back from a copy.

use std::collections::HashMap;

use super::{Circuit, CircuitState};
use crate::key::ContentKey;

/// What a store that came back from a copy lacks of circuits, and what it has too much.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restoration {
    /// Circuits to write.
    pub write: Vec<Circuit>,
    /// Contents whose entries to remove: their circuits were closed since the copy.
    pub remove: Vec<ContentKey>,
}

impl Restoration {
    /// Compares what a host knows with what the store has: how often each stored circuit was opened.
    pub fn of(known: Vec<Circuit>, stored: &HashMap<ContentKey, u32>) -> Self {
        let mut restoration = Self::default();
        for circuit in known {
            let stored = stored.get(&circuit.content).copied();
            match circuit.state {
                CircuitState::Closed if stored.is_some() => {
                    restoration.remove.push(circuit.content)
                }
                CircuitState::Closed => {}
                CircuitState::HalfOpen | CircuitState::Open => {
                    let is_stored = stored.is_some_and(|openings| openings >= circuit.openings);
                    if circuit.openings > 0 && !is_stored {
                        restoration.write.push(circuit);
                    }
                }
            }
        }
        restoration
    }
}
