//! Selects the engine of a cell on which a generation starts.

use super::Cell;
use super::engine::Engine;
use super::forecast::{Forecast, MemoryDemand};
use super::pace::AnswerTime;
use super::placement::{EngineSnapshot, FULL_SHARE, LATE_FULL_SHARE, Placement, PlacementRequest};
use super::run::{Run, StartedOn};
use super::shares::Shares;
use super::waiting::QueueOrder;
use crate::key::{Millis, UpstreamKey};
use crate::rendezvous::rank;

/// Cost of each running generation: it delays every token of the others in its batch.
pub(super) const RUNNING_COST_MS: f32 = 9.0;
/// Cost of an engine in another data centre: network latency and more expensive traffic.
const REMOTE_COST_MS: f32 = 12.0;
/// Cost of full memory against empty memory. It is applied to the square of the share, which treats
/// half-full engines as nearly equal, so prompts go where prefill starts soonest, and weighs the
/// last free memory heavily, because a full engine preempts generations.
const MEMORY_COST_MS: f32 = 500.0;
/// Cost of an engine that fails all its generations, higher than any wait. A partly failing engine
/// looks emptier than healthy ones and would attract every next generation without this cost.
const FAILURE_COST_MS: f32 = 4_000.0;
/// A request that can still wait avoids engines with a higher recent failure share than this,
/// because a generation that was sent there and failed cannot be sent again.
const MAX_FAILURE_SHARE: f32 = 0.3;
/// A prompt is sent only to an engine where it waits no longer than this share of the time left for
/// its first event; the rest is for its own prefill. Prefills of other prompts end soon, so waiting
/// at the home for a better engine loses nothing.
const MAX_PREFILL_WAIT_SHARE: f32 = 0.45;
/// A backup copy is kept if its engine stays below this share of its memory. Copies save
/// generations of crashed engines, but delay others where memory is shorter.
const MAX_BACKUP_SHARE: f32 = 0.20;
/// Shorter answers end within an engine's notice period and get no backup copy.
const MIN_BACKUP_TOKENS: u32 = 160;
/// A request being placed now.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementAttempt<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) demand: MemoryDemand,
    pub(super) order: QueueOrder,
    /// Maximum share of an engine's memory at which it may start there.
    pub(super) full_share: f32,
    /// Whether an engine has room for it that is kept for more urgent requests.
    pub(super) lacks_protected_room: bool,
}

impl PlacementAttempt<'_> {
    /// The same request, leaving a share of each engine's memory to more urgent ones.
    fn protecting(self, protected_share: f32) -> Self {
        Self {
            full_share: self.full_share.min(FULL_SHARE - protected_share),
            ..self
        }
    }
}

/// The engine that a request would start on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    engine: UpstreamKey,
    backup: Option<UpstreamKey>,
    pub(super) cost_ms: f32,
    seen: EngineSnapshot,
}

/// The outcome of a selection.
#[derive(Debug, Clone, Copy)]
pub(super) enum Selection {
    Engine(Candidate),
    Full,
    TooLarge,
    NoEngine,
}

impl Cell {
    /// Places a generation as the cell's home and counts it, or queues it. Of engines with equal
    /// cost the first one by key is used.
    pub fn place(&mut self, now_ms: Millis, request: &PlacementRequest) -> Placement {
        self.place_by(now_ms, request, |engine| engine.0)
    }

    /// Places a generation on a host that is not the cell's home.
    ///
    /// Its table lacks the generations of other hosts, so most engines look idle. If all such hosts
    /// used the first one, their generations would meet there. Engines of equal cost are drawn by
    /// the generation instead.
    pub fn place_without_home(&mut self, now_ms: Millis, request: &PlacementRequest) -> Placement {
        let run = request.run;
        self.place_by(now_ms, request, |engine| rank(run.0, engine.0))
    }

    /// The cost of starting a generation in this cell now; `None` if there is no room. Nothing is
    /// placed or queued.
    pub fn quote(&mut self, now_ms: Millis, request: &PlacementRequest) -> Option<f32> {
        match self.select(now_ms, request, |engine| engine.0).2 {
            Selection::Engine(candidate) => Some(candidate.cost_ms),
            Selection::Full | Selection::TooLarge | Selection::NoEngine => None,
        }
    }

    fn place_by(
        &mut self,
        now_ms: Millis,
        request: &PlacementRequest,
        order: impl Fn(UpstreamKey) -> u64,
    ) -> Placement {
        let (attempt, shares, selection) = self.select(now_ms, request, order);
        self.apply(now_ms, &attempt, &shares, selection)
    }

    /// Starts a generation on the engine selected for it, or queues or refuses it if there is no
    /// room.
    pub(super) fn apply(
        &mut self,
        now_ms: Millis,
        attempt: &PlacementAttempt<'_>,
        shares: &Shares,
        selection: Selection,
    ) -> Placement {
        let request = attempt.request;
        match selection {
            Selection::Engine(candidate) => self.start(now_ms, candidate, request),
            Selection::TooLarge => Placement::TooLarge,
            Selection::NoEngine => Placement::NoEngine,
            Selection::Full => self.queue_or_refuse(now_ms, shares, attempt),
        }
    }

    /// Selects the engine for a request, after room was set aside for what precedes it.
    pub(super) fn select<'a>(
        &mut self,
        now_ms: Millis,
        request: &'a PlacementRequest,
        order: impl Fn(UpstreamKey) -> u64,
    ) -> (PlacementAttempt<'a>, Shares, Selection) {
        self.waiting.expire(now_ms);
        let demand = request.demand(&self.answer_lengths, &self.pace);
        // If nothing is waiting, there is no order to decide.
        let shares = match self.waiting.is_empty() {
            true => Shares::default(),
            false => self.shares(now_ms, request.organisation, demand),
        };
        let is_over_share = shares.is_over(request.organisation, request.priority, demand);
        self.sample_classes(now_ms);
        let unprotected = self.attempt(now_ms, request, demand, is_over_share);
        let open: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| engine.is_open())
            .filter(|engine| !request.excluded.contains(&engine.entry.key))
            .collect();
        let memory_tokens = open
            .iter()
            .map(|engine| engine.entry.capacity.memory_tokens);
        let Some(largest_tokens) = memory_tokens.max() else {
            return (unprotected, shares, Selection::NoEngine);
        };
        if request.prompt_tokens >= largest_tokens {
            return (unprotected, shares, Selection::TooLarge);
        }
        let answer_time = self.answer_time(request, demand, &open);
        let start_risk = self.start_risk(request, demand);
        let open_tokens = open
            .iter()
            .map(|engine| engine.entry.capacity.memory_tokens as f32);
        let protected_share = self
            .protection
            .protected_share(request.priority, open_tokens.sum());
        let mut attempt = unprotected.protecting(protected_share);
        let mut forecast = self.forecast(now_ms);
        self.reserve_for_leaving(now_ms, &mut forecast);
        self.reserve_for_waiting(attempt.order, &shares, &mut forecast);
        let costs = open.iter().filter_map(|engine| {
            let cost = cost_ms(now_ms, &answer_time, &forecast, engine, &attempt)?;
            let wait_ms = engine.prefill_wait_ms(now_ms);
            let risk_per_s = forecast.prefill_risk_per_s(engine.entry.key);
            let risk_ms = start_risk.cost_ms(engine, wait_ms, risk_per_s);
            Some((cost + risk_ms + engine.resume_risk_ms(now_ms), engine))
        });
        let best = costs.min_by(|a, b| {
            let by_order = order(a.1.entry.key).cmp(&order(b.1.entry.key));
            a.0.total_cmp(&b.0).then(by_order)
        });
        let Some((cost_ms, engine)) = best else {
            attempt.lacks_protected_room = open.iter().any(|engine| {
                cost_ms(now_ms, &answer_time, &forecast, engine, &unprotected).is_some()
            });
            return (attempt, shares, Selection::Full);
        };
        let candidate = Candidate {
            engine: engine.entry.key,
            backup: self.backup_for(now_ms, &forecast, engine.entry.key, &attempt),
            cost_ms,
            seen: snapshot_of(now_ms, &forecast, engine, &attempt),
        };
        (attempt, shares, Selection::Engine(candidate))
    }

    /// Combines a request with its queue order.
    fn attempt<'a>(
        &mut self,
        now_ms: Millis,
        request: &'a PlacementRequest,
        demand: MemoryDemand,
        is_over_share: bool,
    ) -> PlacementAttempt<'a> {
        let order = self.waiting.order(
            now_ms,
            &self.prefill_rate,
            &mut self.protection,
            request,
            demand,
            is_over_share,
        );
        PlacementAttempt {
            request,
            demand,
            order,
            full_share: request.full_share(order.is_late),
            lacks_protected_room: false,
        }
    }

    fn backup_for(
        &self,
        now_ms: Millis,
        forecast: &Forecast,
        main: UpstreamKey,
        attempt: &PlacementAttempt<'_>,
    ) -> Option<UpstreamKey> {
        let request = attempt.request;
        if !request.can_back_up || request.limit_tokens < MIN_BACKUP_TOKENS {
            return None;
        }
        let others = self
            .engines
            .values()
            .filter(|engine| engine.entry.key != main && engine.is_open())
            .filter(|engine| !engine.is_cold(now_ms));
        let shares = others.map(|engine| {
            let share = forecast.peak_share(engine, attempt.demand);
            (share, engine.entry.key)
        });
        let by_share = |a: &(f32, UpstreamKey), b: &(f32, UpstreamKey)| {
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        };
        let (share, key) = shares.min_by(by_share)?;
        // A backup copy starts with the transfer of the whole prompt. The final short copy of a
        // migrating generation, which is stopped for it, would wait behind that on the link and
        // delay its answer.
        (share < MAX_BACKUP_SHARE && self.leaving_engines().is_empty()).then_some(key)
    }

    /// Counts a generation on the engine selected for it.
    fn start(
        &mut self,
        now_ms: Millis,
        candidate: Candidate,
        request: &PlacementRequest,
    ) -> Placement {
        let Candidate {
            engine,
            backup,
            seen,
            ..
        } = candidate;
        self.waiting.remove(request.run);
        let Some(chosen) = self.engines.get_mut(&engine) else {
            return Placement::NoEngine;
        };
        let factor = chosen.pace_factor();
        chosen.add_prefill(now_ms, request.prefill_ms(&self.prefill_rate) * factor);
        chosen.record_start(now_ms);
        let demand = request.demand(&self.answer_lengths, &self.pace);
        self.pauses.record_request(request, demand);
        let started_on = StartedOn {
            engine,
            backup,
            first_token_ms: chosen.prefilled_at_ms as Millis,
            token_ms: self.pace.token_ms() * factor,
            pace_factor: factor,
            prefill_risk_per_s: self.pauses.prefill_risk_per_s(
                request.gap_target_ms,
                factor,
                demand,
            ),
        };
        let run = Run::placed(now_ms, started_on, request);
        self.runs.insert(request.run, run);
        Placement::On {
            engine,
            backup,
            seen,
        }
    }
}

/// Cost of starting on an engine; `None` if the engine has no room or should be avoided.
fn cost_ms(
    now_ms: Millis,
    answer_time: &AnswerTime,
    forecast: &Forecast,
    engine: &Engine,
    attempt: &PlacementAttempt<'_>,
) -> Option<f32> {
    let request = attempt.request;
    let share = forecast.peak_share(engine, attempt.demand);
    let running = forecast.running(engine.entry.key);
    let wait_ms = engine.prefill_wait_ms(now_ms);
    let max_wait_ms = request.max_wait_ms as f32;
    let full_share = match request.is_final_attempt {
        false if wait_ms > max_wait_ms * MAX_PREFILL_WAIT_SHARE => return None,
        true if wait_ms + answer_time.prefill_ms * engine.pace_factor() > max_wait_ms => {
            attempt.full_share.min(LATE_FULL_SHARE)
        }
        _ => attempt.full_share,
    };
    let failure_share = engine.failures.share(now_ms);
    let has_room = share <= full_share && running < engine.entry.capacity.slots;
    let should_wait = failure_share > MAX_FAILURE_SHARE && !request.is_final_attempt;
    if !has_room || should_wait || !engine.may_start(now_ms) {
        return None;
    }
    let is_remote = engine.entry.data_centre != request.data_centre;
    let running_ms = RUNNING_COST_MS * running as f32 * engine.pace_factor();
    let memory_ms = MEMORY_COST_MS * share * share;
    let remote_ms = if is_remote { REMOTE_COST_MS } else { 0.0 };
    let failure_ms = FAILURE_COST_MS * failure_share;
    let slow_ms = answer_time.cost_ms(engine);
    Some(wait_ms + running_ms + slow_ms + memory_ms + remote_ms + failure_ms)
}

fn snapshot_of(
    now_ms: Millis,
    forecast: &Forecast,
    engine: &Engine,
    attempt: &PlacementAttempt<'_>,
) -> EngineSnapshot {
    let share = forecast.peak_share(engine, attempt.demand);
    EngineSnapshot {
        running: forecast.running(engine.entry.key),
        peak_permille: (share * 1_000.0) as u32,
        prefill_wait_ms: engine.prefill_wait_ms(now_ms) as u32,
    }
}
