//! A cell: engines of one service whose generations one host places and carries off.
//!
//! Placement by many hosts that each see a part, late, fills some engines while others idle, and a
//! leaving engine's generations then meet on the links of the same few destinations. One home for
//! each cell sees every placement at once and gives each transfer its turn. Its table is a hint:
//! hosts restate their generations every second or so, so a new home knows them all after that,
//! and a host without a home places by itself.

mod answers;
mod cost;
mod engine;
mod forecast;
mod migration;
mod placement;
mod reading;
mod run;
mod shares;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

pub use engine::{CellEngine, EngineCapacity};
pub use migration::{Migration, MigrationOutcome};
pub use placement::{EngineSnapshot, Placement, PlacementRequest};
pub use run::{RunEnd, RunKey, RunStatement};

use crate::gauge::Verdict;
use crate::key::{HostKey, Millis, UpstreamKey};
use answers::Answers;
use engine::Engine;
use reading::Reading;
use run::Run;
use waiting::WaitingList;

/// The part of a cell's engines that may be closed for not being reached: where more are out of reach, it
/// is likely this host that is cut off.
const GONE_SHARE: f32 = 0.5;

/// The engines of one cell and the generations on them.
///
/// Both are kept in the order of their keys, so that the same history gives the same decisions.
#[derive(Debug, Default)]
pub struct Cell {
    engines: BTreeMap<UpstreamKey, Engine>,
    runs: BTreeMap<RunKey, Run>,
    waiting: WaitingList,
    answers: Answers,
    reading: Reading,
}

impl Cell {
    /// Takes the engines that are registered now. One that is missing but still has generations is
    /// leaving: some engines go without a word and serve on for a while.
    pub fn set_engines(&mut self, now_ms: Millis, registered: &[CellEngine]) {
        for one in registered {
            self.forget_earlier(one);
            let known = self.engines.entry(one.key);
            known
                .and_modify(|engine| engine.update(now_ms, *one))
                .or_insert_with(|| Engine::new(now_ms, *one));
        }
        let there: BTreeSet<UpstreamKey> = registered.iter().map(|one| one.key).collect();
        for (key, engine) in &mut self.engines {
            if !there.contains(key) {
                engine.leave(now_ms);
            }
        }
        let runs = &self.runs;
        self.engines.retain(|key, engine| {
            there.contains(key) || !engine.is_leaving() || runs.values().any(|run| run.is_on(*key))
        });
    }

    /// What was at an earlier start of an engine is lost: its generations, and the copies there.
    ///
    /// Taken for an engine that is leaving, it would have its generations carried off one after the
    /// other, each of which comes back as not there, and what is then believed to be left behind of
    /// each holds room at a destination for seconds. The hosts that relay them go on elsewhere, and
    /// state where.
    fn forget_earlier(&mut self, one: &CellEngine) {
        let is_earlier = |engine: &Engine| {
            let entry = engine.entry;
            entry.name == one.name && entry.key != one.key
        };
        let mut engines = self.engines.values();
        let Some(earlier) = engines.find(|engine| is_earlier(engine)) else {
            return;
        };
        let lost = earlier.entry.key;
        self.engines.remove(&lost);
        self.runs.retain(|_, run| !run.is_on(lost));
        for run in self.runs.values_mut() {
            run.lose_copies(lost);
        }
    }

    /// All engines, and whether each could not be reached lately.
    pub fn engines(&self) -> impl Iterator<Item = (UpstreamKey, bool)> {
        let engines = self.engines.values();
        engines.map(|engine| (engine.entry.key, engine.is_gone))
    }

    /// A leaving engine has said how long it will be there; true where that was not known.
    pub fn set_time_left(&mut self, now_ms: Millis, engine: UpstreamKey, left_ms: Millis) -> bool {
        let engine = self.engines.get_mut(&engine);
        engine.is_some_and(|engine| engine.state_time_left(now_ms, left_ms))
    }

    /// An engine can't be reached; true where it no longer gets work because of that.
    ///
    /// It is this host that may be cut off, so no more than a part of the engines is closed.
    pub fn mark_unreachable(&mut self, engine: UpstreamKey) -> bool {
        let gone = self.engines.values().filter(|one| one.is_gone).count();
        let most = (self.engines.len() as f32 * GONE_SHARE) as usize;
        let Some(engine) = self.engines.get_mut(&engine) else {
            return false;
        };
        if gone >= most {
            return false;
        }
        !std::mem::replace(&mut engine.is_gone, true)
    }

    /// An engine can be reached; true where it could not before.
    pub fn mark_reachable(&mut self, engine: UpstreamKey) -> bool {
        let engine = self.engines.get_mut(&engine);
        engine.is_some_and(|engine| std::mem::take(&mut engine.is_gone))
    }

    /// A generation did not begin on an engine as it should, or broke off there.
    pub fn record_failure(&mut self, now_ms: Millis, engine: UpstreamKey, verdict: Verdict) {
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        match verdict {
            Verdict::Failed => engine.failures.learn(now_ms, 1.0),
            Verdict::Shed => engine.failures.learn(now_ms, 0.5),
            Verdict::Good | Verdict::Unheard => {}
        }
    }

    /// A generation is over, wherever it was.
    pub fn end(&mut self, now_ms: Millis, run: RunKey, end: RunEnd) {
        self.waiting.leave(run);
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        if let Some(first_ms) = end.first_ms
            && let Some(expected_ms) = run.expected_first_ms()
        {
            self.reading.learn(expected_ms as f32, first_ms as f32);
        }
        if end.is_complete {
            if let Some(engine) = self.engines.get_mut(&run.engine()) {
                engine.failures.learn(now_ms, 0.0);
            }
            let seen_tokens = run.seen_tokens();
            self.answers
                .end(now_ms, run.stated(), seen_tokens, end.out_tokens);
        }
    }

    /// A host states all generations of this cell that it relays. What it doesn't state is over:
    /// word of an end may have been lost.
    pub fn restate(&mut self, now_ms: Millis, host: HostKey, statements: &[RunStatement]) {
        self.runs.retain(|key, run| {
            run.host() != host
                || run.is_fresh(now_ms)
                || statements.iter().any(|one| one.run == *key)
        });
        for one in statements {
            let Some(run) = self.runs.get_mut(&one.run) else {
                let run = Run::restored(now_ms, host, one);
                self.runs.insert(one.run, run);
                continue;
            };
            let seen_tokens = run.seen_tokens();
            run.restate(now_ms, one);
            self.answers
                .advance(now_ms, run.stated(), seen_tokens, run.seen_tokens());
        }
    }

    /// Generations of hosts that are gone are over: their callers' connections are.
    pub fn retain_hosts(&mut self, is_present: impl Fn(HostKey) -> bool) {
        self.runs.retain(|_, run| is_present(run.host()));
    }

    /// Whether it has neither engines nor generations.
    pub fn is_idle(&self) -> bool {
        self.engines.is_empty() && self.runs.is_empty()
    }

    /// Whether an engine leaves and still has generations.
    pub fn is_leaving(&self, engine: UpstreamKey) -> bool {
        let known = self.engines.get(&engine);
        known.is_some_and(Engine::is_leaving) && self.runs_on(engine).next().is_some()
    }

    /// Generations that are known.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    fn runs_on(&self, engine: UpstreamKey) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(move |run| run.is_on(engine))
    }
}
