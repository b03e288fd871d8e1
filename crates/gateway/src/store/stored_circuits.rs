//! Stores open circuits, so that they survive the loss of all hosts.
//!
//! Otherwise three more upstreams would crash after each loss of all hosts. Only open circuits are
//! stored: they are rare and cost one write by each of the two homes. The hosts that read the
//! configuration from the store also read the circuits once after their start. They read them again
//! after the store was restored from a backup, write what it lacks and remove what was closed
//! since then, because no other host does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::Clock;
use fulmarpath_cluster::poison::adopt_circuits;
use fulmarpath_policy::{Circuit, CircuitState, ContentKey, Millis, Restoration};
use fulmarpath_wire::ReplicatedState;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::store::collection_reader::outcome;
use crate::store::metadata::{Freshness, StoreError, StoredCircuit};

/// Between two write attempts while the store is unavailable.
const WRITE_PERIOD: Duration = Duration::from_secs(1);
/// Number of attempts: the store's longest outages are over by then, and the hosts themselves know
/// the circuit.
const WRITE_ATTEMPTS: u32 = 60;

impl Gateway {
    /// Stores a decision that this host made as a home.
    pub(crate) fn store_circuit(self: &Arc<Self>, circuit: &Circuit) {
        let gateway = self.clone();
        let circuit = circuit.clone();
        match circuit.state {
            CircuitState::Suspected | CircuitState::HalfOpen => {}
            CircuitState::Open => {
                tokio::spawn(async move { gateway.write_circuit(circuit).await });
            }
            CircuitState::Closed if circuit.openings > 0 => {
                tokio::spawn(async move { gateway.remove_circuit(circuit.content).await });
            }
            CircuitState::Closed => {}
        }
    }

    async fn write_circuit(&self, circuit: Circuit) {
        let (content, version) = (circuit.content, circuit.version);
        let stored = to_stored(Clock::wall_ms(), circuit);
        for _ in 0..WRITE_ATTEMPTS {
            // A late write would remain in the store after the circuit was closed.
            if self.circuit_breakers.version(content) != Some(version) {
                return;
            }
            let written = self.metadata.circuit_registry.store(&stored).await;
            if self.record_write(content, written) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    async fn remove_circuit(&self, content: ContentKey) {
        for _ in 0..WRITE_ATTEMPTS {
            let removed = self.metadata.circuit_registry.remove(content).await;
            if self.record_write(content, removed) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    fn record_write(&self, content: ContentKey, written: Result<(), StoreError>) -> bool {
        self.metrics.store_call("a_circuit", outcome(&written));
        if let Err(error) = &written {
            let content = content.0;
            warn!(
                "circuits: could not update the stored circuit of content {content:016x}: {error}"
            );
        }
        written.is_ok()
    }

    /// Reads the open circuits once after this host's start and once in each later era of the
    /// store, and announces them to its area.
    pub(crate) async fn read_circuits(self: &Arc<Self>) {
        let read_in = *self.circuits_era.lock();
        if read_in.is_some() && read_in >= self.store_era.latest() {
            return;
        }
        let listed = self.metadata.circuits.list(Freshness::Newest).await;
        self.metrics.store_call("circuits", outcome(&listed));
        match listed {
            Ok(all) => {
                *self.circuits_era.lock() = Some(all.revision.era);
                self.report_unusable_in_list("the circuits", &all);
                let stored = all.items.iter();
                let openings = stored
                    .map(|circuit| (circuit.content, circuit.openings))
                    .collect();
                let unix_ms = Clock::wall_ms();
                let circuits = all
                    .items
                    .into_iter()
                    .map(|circuit| from_stored(unix_ms, circuit));
                let (expired, circuits) = circuits.partition(Circuit::is_expired);
                let changes = adopt_circuits(self.as_ref(), circuits, "the store");
                if !changes.is_empty() {
                    self.announce(ReplicatedState::Circuits, &changes, self.area_branches());
                }
                self.remove_expired(expired).await;
                self.restore_circuits(&openings);
            }
            Err(error) => warn!("circuits: the stored circuits can't be read: {error}"),
        }
    }

    /// Updates the store with the circuits that this host knows, after a restore from a backup.
    /// `openings` are those of the stored circuits.
    fn restore_circuits(self: &Arc<Self>, openings: &HashMap<ContentKey, u32>) {
        let known = self.circuit_breakers.circuits(self.clock.now_ms());
        let Restoration { write, remove } = Restoration::of(known, openings);
        if !write.is_empty() || !remove.is_empty() {
            info!(
                "circuits: writing {} that the store lacks, removing {} that were closed",
                write.len(),
                remove.len()
            );
        }
        for circuit in write {
            let gateway = self.clone();
            tokio::spawn(async move { gateway.write_circuit(circuit).await });
        }
        for content in remove {
            let gateway = self.clone();
            tokio::spawn(async move { gateway.remove_circuit(content).await });
        }
    }

    async fn remove_expired(&self, expired: Vec<Circuit>) {
        for circuit in expired {
            let removed = self.metadata.circuit_registry.remove(circuit.content).await;
            self.record_write(circuit.content, removed);
        }
    }
}

fn to_stored(unix_ms: u64, circuit: Circuit) -> StoredCircuit {
    StoredCircuit {
        content: circuit.content,
        openings: circuit.openings,
        crashes: circuit.crashes,
        is_of_part: circuit.is_of_part,
        companions: circuit.companions,
        since_unix_ms: unix_ms.saturating_sub(circuit.age_ms),
    }
}

/// The version of a circuit read from the store: any version that hosts know takes precedence.
const STORED_VERSION: u32 = 1;

/// The difference between the clock of the writer and that of the reader shifts the time at which
/// the circuit half-opens: earlier if this clock is ahead, later if it is behind. The shift is
/// a matter of seconds, while a circuit stays open for minutes.
fn from_stored(unix_ms: u64, stored: StoredCircuit) -> Circuit {
    let age_ms: Millis = unix_ms.saturating_sub(stored.since_unix_ms);
    Circuit {
        content: stored.content,
        version: STORED_VERSION,
        state: CircuitState::Open,
        openings: stored.openings,
        crashes: stored.crashes,
        is_of_part: stored.is_of_part,
        companions: stored.companions,
        age_ms,
    }
}
