//! Repairs the stored circuits after the store was restored from a backup.

use std::collections::HashMap;

use super::{Circuit, CircuitState};
use crate::key::ContentKey;

/// Differences between the known circuits and a store that was restored from a backup.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restoration {
    /// Circuits to write.
    pub write: Vec<Circuit>,
    /// Contents whose entries to remove, because their circuits have closed since the backup.
    pub remove: Vec<ContentKey>,
}

impl Restoration {
    /// Compares the circuits known to a host with the number of openings of each stored circuit.
    pub fn of(known: Vec<Circuit>, stored: &HashMap<ContentKey, u32>) -> Self {
        let mut restoration = Self::default();
        for circuit in known {
            let stored = stored.get(&circuit.content).copied();
            match circuit.state {
                CircuitState::Closed | CircuitState::Suspected if stored.is_some() => {
                    restoration.remove.push(circuit.content)
                }
                CircuitState::Closed | CircuitState::Suspected => {}
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
