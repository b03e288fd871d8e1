//! Probes engines whose state is uncertain.
//!
//! A registration shows that an engine is leaving as long as the store can be read. During a store
//! outage, an engine that has ended would look empty to its home, which would send each new
//! generation there first: hosts would find closed ports until their attempts were used up, and
//! generations would be cut off on engines whose notice of leaving reached no host. Therefore the
//! home probes engines with reported failures, and all engines of its cells during an outage and
//! until they have registered again: an engine that leaves in that time never registers again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{Millis, UpstreamKey, Verdict};
use fulmarpath_wire::{CellKey, GatewayPeerClient};
use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::control::ProbeResult;
use crate::gateway::Gateway;

/// Minimum time between two probes of one engine. Together with the age of an engine's reports, it
/// lets a notice of leaving be detected when half of the shortest notice period is left.
const MIN_PROBE_INTERVAL_MS: Millis = 300;
/// Between two rounds of probes of all engines during a store outage, and of unreachable engines to
/// detect that they are back.
const PROBE_ROUND_PERIOD: Duration = Duration::from_millis(400);
/// Delays before a leaving engine is probed for its time left: its reports lag, so an earlier probe
/// returns the state before the notice.
const TIME_LEFT_PROBE_DELAYS: [Duration; 2] =
    [Duration::from_millis(620), Duration::from_millis(400)];

/// Time of the last probe of each engine.
#[derive(Debug, Default)]
pub(crate) struct ProbeTimes {
    at_ms: Mutex<HashMap<UpstreamKey, Millis>>,
}

impl ProbeTimes {
    /// Whether an engine is due for a probe; records the probe.
    fn begin(&self, now_ms: Millis, engine: UpstreamKey) -> bool {
        let mut at_ms = self.at_ms.lock();
        let last_ms = at_ms.get(&engine);
        if last_ms.is_some_and(|last_ms| now_ms.saturating_sub(*last_ms) < MIN_PROBE_INTERVAL_MS) {
            return false;
        }
        at_ms.insert(engine, now_ms);
        true
    }

    /// Forgets probes that no longer delay the next one.
    fn expire(&self, now_ms: Millis) {
        let mut at_ms = self.at_ms.lock();
        at_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < MIN_PROBE_INTERVAL_MS);
    }
}

impl Gateway {
    /// Reports to the home of an engine's cell that a request on it failed, with the verdict on it.
    /// If the engine is in no cell any more, this is the one in which the request arrived.
    pub(crate) fn report_engine_failure(
        self: &Arc<Self>,
        arrived_in: CellKey,
        engine: UpstreamKey,
        verdict: Verdict,
    ) {
        let cell = self.cells.cell_of_engine(engine).unwrap_or(arrived_in);
        let Some((key, member)) = self.home_of(cell) else {
            return;
        };
        let gateway = self.clone();
        if key == self.host_key() {
            tokio::spawn(async move { gateway.handle_engine_failure(cell, engine, verdict).await });
            return;
        }
        tokio::spawn(async move {
            let call = |client: GatewayPeerClient, context| async move {
                client.doubt(context, cell, engine, verdict).await
            };
            if let Err(error) = gateway.fleet.peers.call(member.address, call).await {
                warn!(
                    "cells: could not report the failing engine {:016x} to its home: {error}",
                    engine.0
                );
            }
        });
    }

    /// Counts a failure as a cell's home, and probes the engine.
    ///
    /// An engine that fails a part of its requests reports itself healthy and looks emptier than
    /// the others. Each host sees only one or two of its failures; only the home receives all
    /// reports.
    pub(crate) async fn handle_engine_failure(
        self: &Arc<Self>,
        cell: CellKey,
        engine: UpstreamKey,
        verdict: Verdict,
    ) {
        let now_ms = self.clock.now_ms();
        self.cells.record_failure(now_ms, cell, engine, verdict);
        self.clone().probe_engine(cell, engine).await;
    }

    /// Probes an engine, unless it was probed a moment ago.
    pub(crate) async fn probe_engine(self: Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        if !self.probe_times.begin(self.clock.now_ms(), engine) {
            return;
        }
        let Some(destination) = self.instances.find(engine) else {
            return;
        };
        let result = self.control.probe(&self.dial, destination.address).await;
        if !self.is_current_incarnation(engine, result) {
            return;
        }
        let status = result.status;
        let now_ms = self.clock.now_ms();
        if self.cells.apply_probe(now_ms, cell, engine, status) {
            info!("cells: {:016x} was looked at: {status:?}", engine.0);
        }
    }

    /// Whether a probe result comes from the known incarnation of an engine. A result of a later
    /// one is recorded as a restart; a result of an earlier one arrived late.
    pub(crate) fn is_current_incarnation(&self, engine: UpstreamKey, result: ProbeResult) -> bool {
        let known = self.instances.registration(engine);
        let Some((known, reported_ms)) = known.zip(result.started_at_ms) else {
            return true;
        };
        let Some(known_ms) = known.started_at_ms else {
            return true;
        };
        if reported_ms > known_ms {
            let mut roster = self.roster.lock();
            if roster.observe_restart(&known.instance, reported_ms) {
                self.apply_roster_changes(&mut roster);
            }
        }
        reported_ms == known_ms
    }

    /// Probes the engines of this host's cells while registrations cannot show which are leaving,
    /// and engines that were unreachable.
    pub(crate) async fn probe_uncertain_engines(self: Arc<Self>) {
        loop {
            sleep(PROBE_ROUND_PERIOD).await;
            self.probe_times.expire(self.clock.now_ms());
            let is_uncertain = self.is_registry_uncertain();
            let is_home = |cell| self.is_home(cell);
            for (cell, engine) in self.cells.engines_to_probe(is_uncertain, is_home) {
                tokio::spawn(self.clone().probe_engine(cell, engine));
            }
        }
    }

    /// Whether registrations can't show which engines are leaving: no host of this area is known to
    /// read them, or upstreams have yet to register again.
    fn is_registry_uncertain(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let (is_settling, failing_ms) = {
            let roster = self.roster.lock();
            (roster.is_settling(now_ms), roster.store_failing_ms(now_ms))
        };
        let dissemination = &self.dissemination;
        is_settling || dissemination.is_store_access_uncertain(now_ms, failing_ms)
    }

    /// Probes a leaving engine for the time that it has left.
    ///
    /// Notice periods differ by a third. If the shortest were assumed, the last third of a longer
    /// one would go unused; if a longer one were assumed, the engine's end would cut off transfers.
    pub(crate) async fn probe_time_left(self: Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        for wait in TIME_LEFT_PROBE_DELAYS {
            sleep(wait).await;
            self.clone().probe_engine(cell, engine).await;
        }
    }
}
