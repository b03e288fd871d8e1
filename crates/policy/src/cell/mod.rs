//! A cell: engines of one service whose generations are placed and migrated by one host.
//!
//! When many hosts place generations with partial, delayed views, some engines fill while others
//! idle, and the generations of a leaving engine compete for the links of the same few
//! destinations. The single home of a cell sees all placements at once and schedules transfers one
//! at a time. Its table is soft state: hosts restate their generations about once a second, so a
//! new home knows all of them after that, and a host without a home places generations itself.

mod answer_lengths;
mod cost;
mod engine;
mod exceedances;
mod expected_start;
mod forecast;
mod incoming;
mod late_risk;
mod measurement;
mod migration;
mod overflow;
mod pace;
mod pauses;
mod placement;
mod prefill_rate;
mod protection;
mod rebalancing;
mod resumption;
mod run;
mod selection;
mod shares;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

pub use engine::{CellEngine, EngineCapacity};
pub use incoming::IncomingMigration;
pub use migration::{Migration, MigrationOutcome};
pub use placement::{EngineSnapshot, Placement, PlacementRequest};
pub use run::{RunEnd, RunKey, RunStatement};

use crate::key::{HostKey, Millis, UpstreamKey};
use crate::upstream_stats::Verdict;
use answer_lengths::AnswerLengths;
use engine::Engine;
use pace::Pace;
use pauses::Pauses;
use prefill_rate::PrefillRate;
use protection::Protection;
use run::Run;
use waiting::WaitingList;

/// Maximum share of a cell's engines that may be closed as unreachable. If more are unreachable,
/// this host is probably partitioned.
const MAX_UNREACHABLE_SHARE: f32 = 0.5;
/// Minimum number of idle engines among those that are probed. Engines of equal cost are used in
/// the order of their keys, so the first idle ones are next.
const MIN_IDLE_PROBES: usize = 16;

/// The engines of one cell and the generations on them.
///
/// Both are ordered by key, which makes decisions reproducible from the same history.
#[derive(Debug, Default)]
pub struct Cell {
    engines: BTreeMap<UpstreamKey, Engine>,
    /// Engines whose registration has ended and that still have generations.
    departed: BTreeSet<UpstreamKey>,
    runs: BTreeMap<RunKey, Run>,
    waiting: WaitingList,
    answer_lengths: AnswerLengths,
    prefill_rate: PrefillRate,
    pace: Pace,
    pauses: Pauses,
    protection: Protection,
}

impl Cell {
    /// Updates all registered engines; those not listed have left.
    pub fn set_engines(&mut self, now_ms: Millis, registered: &[CellEngine]) {
        for entry in registered {
            self.register(now_ms, *entry);
        }
        let registered_keys: BTreeSet<UpstreamKey> =
            registered.iter().map(|entry| entry.key).collect();
        let keys = self.engines.keys().copied();
        let gone: Vec<UpstreamKey> = keys.filter(|key| !registered_keys.contains(key)).collect();
        for key in gone {
            self.unregister(now_ms, key);
        }
    }

    /// Updates one registered engine.
    pub fn register(&mut self, now_ms: Millis, entry: CellEngine) {
        self.remove_previous_process(&entry);
        self.departed.remove(&entry.key);
        let known = self.engines.entry(entry.key);
        known
            .and_modify(|engine| engine.update(now_ms, entry))
            .or_insert_with(|| Engine::new(now_ms, entry));
    }

    /// Applies that an engine's registration has ended. An engine that still has generations counts
    /// as leaving: some engines end their registration without notice and keep serving for a while.
    pub fn unregister(&mut self, now_ms: Millis, engine: UpstreamKey) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.mark_leaving(now_ms);
            self.departed.insert(engine);
            self.remove_departed();
        }
    }

    /// Removes departed engines whose generations have all ended.
    fn remove_departed(&mut self) {
        let (engines, runs) = (&mut self.engines, &self.runs);
        self.departed.retain(|engine| {
            let is_used = runs.values().any(|run| run.is_on(*engine));
            if !is_used {
                engines.remove(engine);
            }
            is_used
        });
    }

    /// Removes the state of an engine's previous process after a restart: its generations and the
    /// copies on it are lost.
    ///
    /// If the previous process counted as leaving, each of its generations would be migrated and
    /// reported as missing, and the copy presumed orphaned would block room on a destination for
    /// seconds. The hosts that relay these generations continue them elsewhere and state where.
    fn remove_previous_process(&mut self, registered: &CellEngine) {
        let is_previous = |engine: &Engine| {
            let entry = engine.entry;
            entry.name == registered.name && entry.key != registered.key
        };
        let mut engines = self.engines.values();
        let Some(previous) = engines.find(|engine| is_previous(engine)) else {
            return;
        };
        let lost = previous.entry.key;
        self.engines.remove(&lost);
        self.departed.remove(&lost);
        self.runs.retain(|_, run| !run.is_on(lost));
        for run in self.runs.values_mut() {
            run.forget_copies(lost);
        }
    }

    /// Engines that are currently marked as unreachable.
    pub fn unreachable_engines(&self) -> impl Iterator<Item = UpstreamKey> {
        let engines = self.engines.values();
        let unreachable = engines.filter(|engine| engine.is_unreachable);
        unreachable.map(|engine| engine.entry.key)
    }

    /// Engines to probe while registrations cannot show which of them are leaving: those with
    /// generations, and the idle ones that the next generations start on.
    ///
    /// Probes are paid for. In a cell of mostly idle engines, probing all of them would cost in
    /// proportion to the engines instead of the work.
    pub fn engines_in_use(&self) -> impl Iterator<Item = UpstreamKey> {
        let busy: BTreeSet<UpstreamKey> = self.runs.values().flat_map(Run::holders).collect();
        let idle_count = MIN_IDLE_PROBES.max(busy.len());
        let known = self.engines.keys().copied();
        let (busy, idle): (Vec<_>, Vec<_>) = known.partition(|key| busy.contains(key));
        let next = idle.into_iter().filter(|key| self.engines[key].is_open());
        busy.into_iter().chain(next.take(idle_count))
    }

    /// Sets how long a leaving engine will be available; true if that was not known before.
    pub fn set_time_left(&mut self, now_ms: Millis, engine: UpstreamKey, left_ms: Millis) -> bool {
        let engine = self.engines.get_mut(&engine);
        engine.is_some_and(|engine| engine.set_time_left(now_ms, left_ms))
    }

    /// Marks an engine as unreachable; true if it stops getting work because of that.
    ///
    /// At most half of the engines are closed, because this host may be the one that is
    /// partitioned.
    pub fn mark_unreachable(&mut self, engine: UpstreamKey) -> bool {
        let unreachable = self
            .engines
            .values()
            .filter(|engine| engine.is_unreachable)
            .count();
        let most = (self.engines.len() as f32 * MAX_UNREACHABLE_SHARE) as usize;
        let Some(engine) = self.engines.get_mut(&engine) else {
            return false;
        };
        if unreachable >= most {
            return false;
        }
        !std::mem::replace(&mut engine.is_unreachable, true)
    }

    /// Marks an engine as reachable; true if it was unreachable before.
    pub fn mark_reachable(&mut self, engine: UpstreamKey) -> bool {
        let engine = self.engines.get_mut(&engine);
        engine.is_some_and(|engine| std::mem::take(&mut engine.is_unreachable))
    }

    /// Records that a generation did not start on an engine as expected, or was interrupted there.
    pub fn record_failure(&mut self, now_ms: Millis, engine: UpstreamKey, verdict: Verdict) {
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        match verdict {
            Verdict::Failed => engine.failures.record(now_ms, 1.0),
            Verdict::Shed => engine.failures.record(now_ms, 0.5),
            Verdict::Good | Verdict::Unheard => {}
        }
    }

    /// Removes a generation that has ended, and records its prefill time and length.
    pub fn end(&mut self, now_ms: Millis, run: RunKey, end: RunEnd) {
        self.waiting.remove(run);
        let Some(run) = self.remove_run(now_ms, run) else {
            return;
        };
        if let Some(first_ms) = end.first_ms {
            self.learn_first_event(now_ms, &run, first_ms);
        }
        if end.is_complete {
            if let Some(engine) = self.engines.get_mut(&run.engine()) {
                engine.failures.record(now_ms, 0.0);
            }
            let relayed_tokens = run.relayed_tokens();
            self.answer_lengths
                .end(now_ms, run.stated_length(), relayed_tokens, end.out_tokens);
        }
    }

    /// Synchronises the table with a host's statement of all generations of this cell that it
    /// relays. Generations that it does not state are removed, because the message of their end may
    /// be lost.
    pub fn restate(&mut self, now_ms: Millis, host: HostKey, statements: &[RunStatement]) {
        let is_stated = |key| statements.iter().any(|statement| statement.run == key);
        let ended = self
            .runs
            .iter()
            .filter(|(key, run)| run.host() == host && !run.is_recent(now_ms) && !is_stated(**key));
        let ended: Vec<RunKey> = ended.map(|(key, _)| *key).collect();
        for run in ended {
            self.remove_run(now_ms, run);
        }
        for statement in statements {
            self.restate_run(now_ms, host, statement);
        }
        self.expire_unconfirmed(now_ms);
        self.update_pace_factors();
        self.pauses.refresh(now_ms);
    }

    fn restate_run(&mut self, now_ms: Millis, host: HostKey, statement: &RunStatement) {
        let token_ms = self.token_ms_on(statement.engine);
        let restored = || Run::restored(now_ms, host, token_ms, statement);
        let run = self.runs.entry(statement.run).or_insert_with(restored);
        let relayed_tokens = run.relayed_tokens();
        run.restate(now_ms, token_ms, statement);
        if let Some(engine) = self.engines.get_mut(&statement.engine) {
            let pause_ms = statement.longest_pause_ms;
            if let Some(resumption) = run.take_resumption(now_ms, pause_ms) {
                self.pauses
                    .learn_resumption(resumption.event_ms, resumption.longest_pause_ms);
            }
            let interval = self.pace.learn_statement(now_ms, engine, run, pause_ms);
            let pace_factor = engine.pace_factor();
            if let Some(interval) = interval {
                self.pauses.learn(pace_factor, interval);
            }
            run.prefill_risk_per_s = match run.is_late {
                true => 0.0,
                false => {
                    let demand = run.demand(now_ms, &self.answer_lengths);
                    self.pauses
                        .prefill_risk_per_s(run.gap_target_ms, pace_factor, demand)
                }
            };
        }
        self.answer_lengths.advance(
            now_ms,
            run.stated_length(),
            relayed_tokens,
            run.relayed_tokens(),
        );
    }

    /// Removes a generation that has ended. Its copy at the destination of a migration in progress is
    /// counted until the outcome is known: the host discards it only then.
    fn remove_run(&mut self, now_ms: Millis, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        let to = run.migrating_to();
        if let Some(to) = to.and_then(|to| self.engines.get_mut(&to)) {
            to.add_ended_copy(now_ms, key, run.held_tokens(now_ms));
        }
        Some(run)
    }

    /// Removes the generations of hosts that are gone, whose connections to callers are lost.
    pub fn retain_hosts(&mut self, is_present: impl Fn(HostKey) -> bool) {
        self.runs.retain(|_, run| is_present(run.host()));
        self.remove_departed();
    }

    /// Whether the cell has neither engines nor generations.
    pub fn is_idle(&self) -> bool {
        self.engines.is_empty() && self.runs.is_empty()
    }

    /// Whether an engine is leaving and still has generations.
    pub fn is_leaving(&self, engine: UpstreamKey) -> bool {
        let known = self.engines.get(&engine);
        known.is_some_and(Engine::is_leaving) && self.runs_on(engine).next().is_some()
    }

    /// Speed of each engine: the time that it takes for anything, as a multiple of the usual time.
    pub fn pace_factors(&self) -> impl Iterator<Item = (UpstreamKey, f32)> {
        let engines = self.engines.values();
        engines.map(|engine| (engine.entry.key, engine.pace_factor()))
    }

    /// Number of known generations.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    fn runs_on(&self, engine: UpstreamKey) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(move |run| run.is_on(engine))
    }
}
