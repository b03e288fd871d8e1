//! Stores open circuits, so that they outlive all hosts.
//!
//! Without this, three more upstreams would end after each loss of all hosts. Only open ones are stored: they
//! are rare, a write each by both homes, and those hosts read them once after their start that read
//! the configuration there. They read them again where the store has come back from a copy, write what it
//! lacks and remove what was closed since: nobody else does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::Clock;
use fulmarpath_cluster::poison::adopt_circuits;
use fulmarpath_policy::{Circuit, CircuitState, ContentKey, Millis, Restoration};
use fulmarpath_wire::ReplicatedState;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::collection_reader::outcome;
use crate::gateway::Gateway;
use crate::metadata::{Freshness, StoreError, StoredCircuit};

/// Between two tries to write while the store is away.
const WRITE_PERIOD: Duration = Duration::from_secs(1);
/// Tries: the store's longest outages are over by then, and the hosts know the circuit themselves.
const WRITE_TRIES: u32 = 60;

impl Gateway {
    /// Stores what this host has decided as a home.
    pub(crate) fn store_circuit(self: &Arc<Self>, circuit: &Circuit) {
        let gateway = self.clone();
        let circuit = circuit.clone();
        match circuit.state {
            CircuitState::HalfOpen => {}
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
        let stored = stored(Clock::wall_ms(), circuit);
        for _ in 0..WRITE_TRIES {
            // Written late, it would stand there after the circuit was closed.
            if self.circuit_breakers.version(content) != Some(version) {
                return;
            }
            let written = self.metadata.circuit_registry.store(&stored).await;
            if self.note_write(content, written) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    async fn remove_circuit(&self, content: ContentKey) {
        for _ in 0..WRITE_TRIES {
            let removed = self.metadata.circuit_registry.remove(content).await;
            if self.note_write(content, removed) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    fn note_write(&self, content: ContentKey, written: Result<(), StoreError>) -> bool {
        self.metrics.store_call("a_circuit", outcome(&written));
        if let Err(error) = &written {
            let content = content.0;
            warn!("circuits: could not store the one of content {content:016x}: {error}");
        }
        written.is_ok()
    }

    /// Reads the open circuits once after this host's start and once in each era of the store after
    /// that, and tells its area.
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
                let stored = stored.map(|one| (one.content, one.openings)).collect();
                let unix_ms = Clock::wall_ms();
                let circuits = all.items.into_iter().map(|one| told(unix_ms, one));
                let (old, circuits) = circuits.partition(Circuit::is_expired);
                let news = adopt_circuits(self.as_ref(), circuits, "the store");
                if !news.is_empty() {
                    self.announce(ReplicatedState::Circuits, &news, self.area_branches());
                }
                self.remove_old(old).await;
                self.restore_circuits(&stored);
            }
            Err(error) => warn!("circuits: they can't be read: {error}"),
        }
    }

    /// Brings the store to what this host knows, where it came back from a copy.
    fn restore_circuits(self: &Arc<Self>, stored: &HashMap<ContentKey, u32>) {
        let known = self.circuit_breakers.circuits(self.clock.now_ms());
        let Restoration { write, remove } = Restoration::of(known, stored);
        if !write.is_empty() || !remove.is_empty() {
            let (lacks, has) = (write.len(), remove.len());
            info!(
                "circuits: the store lacks {lacks} and has {has} that were closed, which is put right"
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

    async fn remove_old(&self, old: Vec<Circuit>) {
        for circuit in old {
            let removed = self.metadata.circuit_registry.remove(circuit.content).await;
            self.note_write(circuit.content, removed);
        }
    }
}

fn stored(unix_ms: u64, circuit: Circuit) -> StoredCircuit {
    StoredCircuit {
        content: circuit.content,
        openings: circuit.openings,
        crashes: circuit.crashes,
        since_unix_ms: unix_ms.saturating_sub(circuit.age_ms),
    }
}

/// The version of a circuit that the store has told: any that hosts know goes before it.
const TOLD_VERSION: u32 = 1;

/// A clock that is ahead of the one that wrote it half-opens a circuit sooner by so much, one that is behind
/// later: seconds of minutes.
fn told(unix_ms: u64, stored: StoredCircuit) -> Circuit {
    let age_ms: Millis = unix_ms.saturating_sub(stored.since_unix_ms);
    Circuit {
        content: stored.content,
        version: TOLD_VERSION,
        state: CircuitState::Open,
        openings: stored.openings,
        crashes: stored.crashes,
        age_ms,
    }
}
