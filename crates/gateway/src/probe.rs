//! Engines that their home has reason to doubt, and what they say themselves.
//!
//! A registration tells of a leaving engine while the store can be read. While it can't, an engine
//! that went looked empty to its home, which sent each new generation there first: hosts met closed
//! ports until their tries were used up, and what ran on engines with a notice nobody heard was
//! cut. So the home asks the engines in doubt, and all of its own while the store is away and until
//! they have registered again: one that leaves just then never does.

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

/// Between two looks at one engine for whatever reason. With the age of its reports a notice is heard so
/// that half of the shortest one is left.
const AGAIN_MS: Millis = 300;
/// Between two rounds of looks at all engines while the store is away, and at those that could not
/// be reached, to learn that they are back.
const ROUND_PERIOD: Duration = Duration::from_millis(400);
/// When a leaving engine is asked how long it will be there: its reports lag, so an earlier question is
/// answered as before the notice.
const ASK_TIME_LEFT: [Duration; 2] = [Duration::from_millis(620), Duration::from_millis(400)];

/// When each engine was last looked at.
#[derive(Debug, Default)]
pub(crate) struct ProbeTimes {
    at_ms: Mutex<HashMap<UpstreamKey, Millis>>,
}

impl ProbeTimes {
    /// Whether an engine is to be looked at now.
    fn begin(&self, now_ms: Millis, engine: UpstreamKey) -> bool {
        let mut at_ms = self.at_ms.lock();
        at_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < AGAIN_MS);
        at_ms.insert(engine, now_ms).is_none()
    }
}

impl Gateway {
    /// Tells a cell's home that this host has reason to doubt an engine, by what became of a request
    /// there.
    pub(crate) fn report_engine_failure(
        self: &Arc<Self>,
        cell: CellKey,
        engine: UpstreamKey,
        verdict: Verdict,
    ) {
        let Some((key, note)) = self.home_of(cell) else {
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
            if let Err(error) = gateway.fleet.peers.call(note.address, call).await {
                warn!("cells: the home did not hear of an engine in doubt: {error}");
            }
        });
    }

    /// Counts a failure as a cell's home, and looks at the engine.
    ///
    /// An engine that fails a part of what it gets says that it is well, and looks emptier than the
    /// others: each host meets it once or twice, and only the home hears of all.
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

    /// ProbeTimes at an engine, unless that was done just now.
    pub(crate) async fn probe_engine(self: Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        if !self.probe_times.begin(self.clock.now_ms(), engine) {
            return;
        }
        let Some(destination) = self.instances.find(engine) else {
            return;
        };
        let look = self.control.probe(destination.address).await;
        if !self.is_current_start(engine, look) {
            return;
        }
        let sight = look.status;
        let now_ms = self.clock.now_ms();
        if self.cells.apply_probe(now_ms, cell, engine, sight) {
            info!("cells: {:016x} was looked at: {sight:?}", engine.0);
        }
    }

    /// Whether what was heard is of the start that was asked. A later one makes itself known by it; an
    /// earlier one's word was late.
    fn is_current_start(&self, engine: UpstreamKey, look: ProbeResult) -> bool {
        let known = self.instances.registration(engine);
        let Some((known, heard_ms)) = known.zip(look.born_ms) else {
            return true;
        };
        let Some(known_ms) = known.started_at_ms else {
            return true;
        };
        if heard_ms > known_ms {
            let mut roster = self.roster.lock();
            if roster.observe_start(&known.instance, heard_ms) {
                self.apply_directory(&roster.directory());
            }
        }
        heard_ms == known_ms
    }

    /// ProbeTimes at the engines of this host's cells while their registrations can't tell who leaves, and
    /// at those that could not be reached.
    pub(crate) async fn probe_uncertain_engines(self: Arc<Self>) {
        loop {
            sleep(ROUND_PERIOD).await;
            let is_blind = self.roster.lock().is_uncertain(self.clock.now_ms());
            for (cell, engine, is_gone) in self.cells.engines() {
                if (is_blind || is_gone) && self.is_home(cell) {
                    tokio::spawn(self.clone().probe_engine(cell, engine));
                }
            }
        }
    }

    /// Asks a leaving engine how long it will be there.
    ///
    /// Notices differ by a third. With the shortest assumed, the last third of a longer one went
    /// unused; with a longer one assumed, transfers were cut by the engine's end.
    pub(crate) async fn probe_time_left(self: Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        for wait in ASK_TIME_LEFT {
            sleep(wait).await;
            self.clone().probe_engine(cell, engine).await;
        }
    }
}
