//! Permits of the engines whose home this host is.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{
    EngineLoad, EnginePermitRequest, Home, HomeSettings, HostKey, Lengths, Millis, Outcome,
    PermitRequestId, UpstreamKey, Weights,
};
use fulmarpath_upstream::{EngineState, LoadReport};
use fulmarpath_wire::{PermitAnswer, PermitId, PermitReply, Progress, ProgressReply, RunState};
use futures::future::join_all;
use parking_lot::Mutex;
use spdlog::warn;
use tokio::sync::oneshot;

use crate::documents::ListedEngine;
use crate::node::Node;
use crate::safeguard::Safeguard;

/// How long one call waits for a decision; the requesting host then polls again.
const MAX_CALL_WAIT: Duration = Duration::from_millis(300);
const STEP_PERIOD: Duration = Duration::from_millis(10);
const POLL_PERIOD: Duration = Duration::from_millis(500);
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Consecutive polls without an answer after which an engine gets no new generations.
const MAX_FAILED_POLLS: u32 = 2;

/// Statistics of an engine whose home this host is, for the metrics page.
#[derive(Debug, Clone, Copy)]
pub struct EngineStats {
    /// Key of the engine.
    pub upstream: UpstreamKey,
    /// Load, as the home counts it.
    pub load: EngineLoad,
    /// The engine's own count of preemptions.
    pub preemptions: u64,
}

/// An engine whose home this host is.
struct ManagedEngine {
    home: Home,
    /// Load as the engine last reported it.
    reported_load: EngineLoad,
    /// The engine's own count since its start.
    preemptions: u64,
    failed_polls: u32,
    reported_leaving: bool,
}

impl ManagedEngine {
    /// The load as the home counts it. The engine's report is used only where it shows more.
    fn load(&self) -> EngineLoad {
        let own = self.home.load();
        EngineLoad {
            running: own.running,
            waiting: own.queued + self.reported_load.waiting,
            used_tokens: own.held_tokens.max(self.reported_load.used_tokens),
            memory_tokens: self.reported_load.memory_tokens,
        }
    }
}

struct State {
    engines: HashMap<UpstreamKey, ManagedEngine>,
    lengths: Lengths,
    /// Calls that wait for the decision on their request.
    waiters: HashMap<PermitRequestId, oneshot::Sender<PermitAnswer>>,
    /// Permits whose generations should move, by the host that holds the permit.
    moves: HashMap<HostKey, Vec<PermitId>>,
}

/// The homes on this host, behind one lock that is held for one decision at a time.
pub(crate) struct HomeTable {
    /// Distinguishes the permits of this process from those of other homes.
    epoch: u64,
    state: Mutex<State>,
}

impl HomeTable {
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            state: Mutex::new(State {
                engines: HashMap::new(),
                lengths: Lengths::new(),
                waiters: HashMap::new(),
                moves: HashMap::new(),
            }),
        }
    }

    pub(crate) async fn request_permit(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        settings: HomeSettings,
        request: EnginePermitRequest,
    ) -> PermitReply {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state.lock();
            let state = &mut *state;
            let engine = state
                .engines
                .entry(upstream)
                .or_insert_with(|| new_engine(settings));
            if let Some((key, priority)) = engine.home.granted_permit(request.id) {
                let permit = PermitId {
                    epoch: self.epoch,
                    key,
                };
                let answer = PermitAnswer::Granted { permit, priority };
                let load = engine.load();
                return PermitReply { answer, load };
            }
            state.waiters.insert(request.id, sender);
            engine.home.request_permit(now_ms, request, &state.lengths);
            self.step(now_ms, state, upstream);
        }
        let answer = tokio::time::timeout(MAX_CALL_WAIT, receiver).await;
        let answer = answer.ok().and_then(Result::ok);
        let mut state = self.state.lock();
        state.waiters.remove(&request.id);
        let load = state.engines.get(&upstream).map(ManagedEngine::load);
        PermitReply {
            answer: answer.unwrap_or(PermitAnswer::Queued),
            load: load.unwrap_or_default(),
        }
    }

    /// Makes the decisions that are due for one engine, and answers the calls that wait for them.
    fn step(&self, now_ms: Millis, state: &mut State, upstream: UpstreamKey) {
        let Some(engine) = state.engines.get_mut(&upstream) else {
            return;
        };
        let mut outcomes = Vec::new();
        engine.home.step(now_ms, &state.lengths, &mut outcomes);
        for outcome in outcomes {
            let (request, answer) = match outcome {
                Outcome::Granted {
                    ask,
                    permit,
                    priority,
                    ..
                } => {
                    let permit = PermitId {
                        epoch: self.epoch,
                        key: permit,
                    };
                    (ask, PermitAnswer::Granted { permit, priority })
                }
                Outcome::Refused {
                    ask,
                    reason,
                    retry_after_ms,
                    ..
                } => {
                    let answer = PermitAnswer::Refused {
                        reason,
                        retry_after_ms,
                    };
                    (ask, answer)
                }
                Outcome::Move { permit, host } => {
                    let permit = PermitId {
                        epoch: self.epoch,
                        key: permit,
                    };
                    state.moves.entry(host).or_default().push(permit);
                    continue;
                }
            };
            if let Some(waiter) = state.waiters.remove(&request) {
                let _ = waiter.send(answer);
            }
        }
    }

    fn step_all(&self, now_ms: Millis) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let active: Vec<UpstreamKey> = state
            .engines
            .iter()
            .filter(|(_, engine)| engine.home.load().queued > 0 || engine.home.load().running > 0)
            .map(|(key, _)| *key)
            .collect();
        for upstream in active {
            self.step(now_ms, state, upstream);
        }
    }

    pub(crate) fn withdraw(&self, now_ms: Millis, upstream: UpstreamKey, request: PermitRequestId) {
        let mut state = self.state.lock();
        if let Some(engine) = state.engines.get_mut(&upstream) {
            engine.home.withdraw(request);
        }
        self.step(now_ms, &mut state, upstream);
    }

    pub(crate) fn restore(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        settings: HomeSettings,
        request: EnginePermitRequest,
    ) -> PermitId {
        let mut state = self.state.lock();
        let engine = state
            .engines
            .entry(upstream)
            .or_insert_with(|| new_engine(settings));
        PermitId {
            epoch: self.epoch,
            key: engine.home.restore(now_ms, request),
        }
    }

    pub(crate) fn progress(&self, now_ms: Millis, progress: &[Progress]) -> ProgressReply {
        let mut state = self.state.lock();
        let state = &mut *state;
        let mut reply = ProgressReply::default();
        for item in progress {
            let home = state
                .engines
                .get_mut(&item.upstream)
                .map(|engine| &mut engine.home)
                .filter(|home| item.permit.epoch == self.epoch && home.has_permit(item.permit.key));
            let Some(home) = home else {
                reply.unknown.push(item.permit);
                continue;
            };
            let key = item.permit.key;
            home.progress(now_ms, key, item.out_tokens);
            match item.state {
                RunState::Running => {}
                RunState::Complete => {
                    home.finish(now_ms, key, item.out_tokens, &mut state.lengths);
                }
                RunState::Incomplete => home.cancel(key),
            }
            if item.state != RunState::Running {
                self.step(now_ms, state, item.upstream);
            }
        }
        reply
    }

    /// Takes the permits of `host` whose generations should move.
    pub(crate) fn take_moves(&self, host: HostKey) -> Vec<PermitId> {
        self.state.lock().moves.remove(&host).unwrap_or_default()
    }

    /// Records the result of polling an engine; `report` is `None` if it did not answer.
    fn record_poll(&self, now_ms: Millis, upstream: UpstreamKey, report: Option<LoadReport>) {
        let mut state = self.state.lock();
        let Some(engine) = state.engines.get_mut(&upstream) else {
            return;
        };
        match report {
            Some(report) => {
                engine.failed_polls = 0;
                engine.preemptions = report.preemptions;
                engine.reported_leaving = report.state == EngineState::Leaving;
                engine.reported_load = EngineLoad {
                    running: report.running,
                    waiting: report.waiting,
                    used_tokens: report.used_tokens,
                    memory_tokens: report.memory_tokens,
                };
                engine.home.report(now_ms, engine.reported_load);
            }
            None => engine.failed_polls += 1,
        }
        let is_unresponsive = engine.failed_polls >= MAX_FAILED_POLLS;
        if engine.failed_polls == MAX_FAILED_POLLS {
            warn!("homes: an engine does not answer and gets nothing new");
        }
        engine
            .home
            .set_leaving(engine.reported_leaving || is_unresponsive);
        self.step(now_ms, &mut state, upstream);
    }

    /// Applies new settings to later decisions; running generations keep their permits.
    pub(crate) fn set_settings(&self, settings: impl Fn(UpstreamKey) -> Option<HomeSettings>) {
        let mut state = self.state.lock();
        for (key, engine) in &mut state.engines {
            if let Some(settings) = settings(*key) {
                engine.home.set_settings(settings);
            }
        }
    }

    /// Adds an engine if this host didn't manage it yet.
    fn ensure_engine(&self, upstream: UpstreamKey, settings: HomeSettings) {
        let mut state = self.state.lock();
        state
            .engines
            .entry(upstream)
            .or_insert_with(|| new_engine(settings));
    }

    /// The statistics of all engines whose home this host is.
    pub(crate) fn engine_stats(&self) -> Vec<EngineStats> {
        let state = self.state.lock();
        let engines = state.engines.iter();
        engines
            .map(|(key, engine)| EngineStats {
                upstream: *key,
                load: engine.load(),
                preemptions: engine.preemptions,
            })
            .collect()
    }
}

fn new_engine(settings: HomeSettings) -> ManagedEngine {
    ManagedEngine {
        home: Home::new(settings),
        reported_load: EngineLoad {
            memory_tokens: settings.memory_tokens,
            ..EngineLoad::default()
        },
        preemptions: 0,
        failed_polls: 0,
        reported_leaving: false,
    }
}

impl Node {
    /// The settings of the home of `upstream` under the active preset.
    pub(crate) fn home_settings_of(&self, upstream: UpstreamKey) -> Option<HomeSettings> {
        let listing = self.documents.listing();
        let configuration = self.documents.active()?;
        let model = configuration.model(&listing.engines.get(&upstream)?.entry.serves)?;
        let preset = configuration.preset();
        let weights = Weights {
            stall: preset.stall_weight,
            preemptions: preset.preemptions_weight,
            between_tokens: preset.between_tokens_weight,
        };
        Some(HomeSettings::new(
            weights,
            preset.lend_share,
            model.memory_tokens,
            model.prompt_ms_per_token,
        ))
    }

    /// Applies the settings of the active preset to all homes.
    pub(crate) fn apply_preset(&self) {
        self.homes
            .set_settings(|upstream| self.home_settings_of(upstream));
    }

    /// Runs decisions that become due by time alone: pacing, deadlines and expiries.
    pub(crate) async fn step_homes(self: Arc<Self>) {
        loop {
            tokio::time::sleep(STEP_PERIOD).await;
            self.homes.step_all(self.clock.now_ms());
        }
    }

    /// Polls the engines whose home this host is.
    pub(crate) async fn poll_engines(self: Arc<Self>) {
        loop {
            tokio::time::sleep(POLL_PERIOD).await;
            let listing = self.documents.listing();
            let all = listing.engines.values();
            let own = all.filter(|engine| {
                let home = self.engine_homes(engine.key, 1).pop();
                home.is_some_and(|(key, _)| key == self.key)
            });
            let polls = own.map(|engine| self.poll_engine(engine));
            join_all(polls).await;
        }
    }

    async fn poll_engine(&self, engine: &ListedEngine) {
        if !self.has(Safeguard::Leaving) {
            return;
        }
        if let Some(settings) = self.home_settings_of(engine.key) {
            self.homes.ensure_engine(engine.key, settings);
        }
        let polled = tokio::time::timeout(POLL_TIMEOUT, engine.client.load()).await;
        let report = polled.ok().and_then(Result::ok);
        self.homes
            .record_poll(self.clock.now_ms(), engine.key, report);
    }
}
