//! Selects the engine of a cell on which a generation starts.

use serde::{Deserialize, Serialize};

use super::Cell;
use super::answer_lengths::{AnswerLengths, StatedLength};
use super::engine::Engine;
use super::forecast::{Forecast, MemoryDemand};
use super::prefill_rate::PrefillRate;
use super::run::{Run, RunKey};
use super::shares::Shares;
use super::waiting::QueueOrder;
use crate::key::{HostKey, Millis, OrganisationKey, UpstreamKey};
use crate::rendezvous::rank;

/// Cost of each running generation: it delays every token of the others in its batch.
const RUNNING_COST_MS: f32 = 9.0;
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
/// No generation starts where the predicted peak exceeds this share of the memory.
///
/// Length predictions are learned and leave little variance, so only a small reserve is kept; an
/// overcommitted engine pauses generations.
const FULL_SHARE: f32 = 0.98;
/// Like [`FULL_SHARE`], but for requests that cannot be on time or would be late there: they would
/// delay others that can still be on time, and a late answer has a seventh of the value.
const LATE_FULL_SHARE: f32 = 0.75;
/// A late retry of a generation of at most this many tokens, which takes about a second, is exempt
/// from [`LATE_FULL_SHARE`], unless its prefill would end too late on the engine.
const BRIEF_TOKENS: u32 = 64;
/// A prompt is sent only to an engine where it waits no longer than this share of the time left for
/// its first event; the rest is for its own prefill. Prefills of other prompts end soon, so waiting
/// at the home for a better engine loses nothing.
const MAX_PREFILL_WAIT_SHARE: f32 = 0.45;
/// A backup copy is kept if its engine stays below this share of its memory. Copies save
/// generations of crashed engines, but delay others where memory is shorter.
const MAX_BACKUP_SHARE: f32 = 0.20;
/// Shorter answers end within an engine's notice period and get no backup copy.
const MIN_BACKUP_TOKENS: u32 = 160;
/// Retry delay when every engine is full, as a share of the caller's remaining time. The delay is
/// spread over this range, which prevents callers refused together from returning together.
///
/// A refused request can no longer be on time, so the goal is to serve it at all, and its caller
/// returns once or twice. After a usual Retry-After it would return into the same overload and be
/// refused again. Callers respect a retry delay of up to a third of their time.
const RETRY_AFTER_SHARES: std::ops::Range<f32> = 0.20..0.32;

/// A request to place a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The generation.
    pub run: RunKey,
    /// The host that will relay it.
    pub host: HostKey,
    /// The organisation that sent it.
    pub organisation: OrganisationKey,
    /// Hash of the relaying host's data centre.
    pub data_centre: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer.
    pub limit_tokens: u32,
    /// The caller's estimate of the length.
    pub hint_tokens: Option<u32>,
    /// Hash of the content, equal for all retries of a caller.
    #[serde(rename = "likeness")]
    pub retry_key: u64,
    /// Priority of its organisation or route; 0 is the most urgent.
    pub priority: u8,
    /// How long its first event may still take to be on time.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: Millis,
    /// The caller's remaining timeout.
    pub left_ms: Millis,
    /// Whether it has waited as long as it may. A late answer is better for its caller than none.
    #[serde(rename = "is_last_call")]
    pub is_final_attempt: bool,
    /// Engines that have already refused it.
    #[serde(rename = "without")]
    pub excluded: Vec<UpstreamKey>,
    /// Whether engines keep backup copies for each other.
    pub can_back_up: bool,
}

/// State of the selected engine as known to the home.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// Generations running on it before this one.
    pub running: u32,
    /// Predicted peak share of its memory, in thousandths.
    pub peak_permille: u32,
    /// How long the prompt waits for the prefills queued before it.
    pub prefill_wait_ms: u32,
}

/// The result of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// It starts on this engine.
    On {
        /// The engine.
        engine: UpstreamKey,
        /// The engine that keeps a backup copy of its memory.
        backup: Option<UpstreamKey>,
        /// State of the engine that led to the decision.
        seen: EngineSnapshot,
    },
    /// No engine has room now.
    Full {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// It exceeds the memory of every engine of the cell.
    TooLarge,
    /// The cell has no engine that accepts work.
    NoEngine,
}

impl PlacementRequest {
    /// Maximum share of an engine's memory at which it may start there.
    pub(super) fn full_share(&self, is_late: bool) -> f32 {
        match is_late && self.limit_tokens > BRIEF_TOKENS {
            true => LATE_FULL_SHARE,
            false => FULL_SHARE,
        }
    }

    /// When its caller should retry if there is no room.
    fn retry_after_ms(&self) -> Millis {
        let draw = (self.retry_key % 1_000) as f32 / 1_000.0;
        let width = RETRY_AFTER_SHARES.end - RETRY_AFTER_SHARES.start;
        let share = RETRY_AFTER_SHARES.start + width * draw;
        (self.left_ms as f32 * share) as Millis
    }

    /// Duration of its prefill, without queueing.
    pub(super) fn prefill_ms(&self, prefill_rate: &PrefillRate) -> f32 {
        prefill_rate.ms(self.prompt_tokens as f32)
    }

    /// The latest start at which it is on time.
    pub(super) fn latest_start_ms(&self, now_ms: Millis, prefill_rate: &PrefillRate) -> Millis {
        (now_ms + self.max_wait_ms).saturating_sub(self.prefill_ms(prefill_rate) as Millis)
    }

    /// The length as stated by its caller.
    fn stated_length(&self) -> StatedLength {
        StatedLength {
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
        }
    }

    pub(super) fn demand(&self, answer_lengths: &AnswerLengths) -> MemoryDemand {
        MemoryDemand {
            held_tokens: self.prompt_tokens as f32,
            remaining_tokens: answer_lengths.remaining_tokens(self.stated_length(), 0.0),
        }
    }
}

/// A request being placed now.
#[derive(Debug)]
pub(super) struct PlacementAttempt<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) demand: MemoryDemand,
    pub(super) order: QueueOrder,
    /// Maximum share of an engine's memory at which it may start there.
    pub(super) full_share: f32,
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

    fn place_by(
        &mut self,
        now_ms: Millis,
        request: &PlacementRequest,
        order: impl Fn(UpstreamKey) -> u64,
    ) -> Placement {
        self.waiting.expire(now_ms);
        let demand = request.demand(&self.answer_lengths);
        // If nothing is waiting, there is no order to decide.
        let shares = match self.waiting.is_empty() {
            true => Shares::default(),
            false => self.shares(now_ms, request.organisation, demand),
        };
        let is_over_share = shares.is_over(request.organisation, demand);
        let attempt = self.attempt(now_ms, request, demand, is_over_share);
        let open: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| engine.is_open())
            .filter(|engine| !request.excluded.contains(&engine.entry.key))
            .collect();
        if open.is_empty() {
            return Placement::NoEngine;
        }
        let largest = open
            .iter()
            .map(|engine| engine.entry.capacity.memory_tokens);
        if largest
            .max()
            .is_some_and(|largest| request.prompt_tokens >= largest)
        {
            return Placement::TooLarge;
        }
        let mut forecast = self.forecast(now_ms);
        self.reserve_for_leaving(now_ms, &mut forecast);
        self.reserve_for_waiting(attempt.order, &shares, &mut forecast);
        let costs = open.iter().filter_map(|engine| {
            let cost = cost_ms(now_ms, &self.prefill_rate, &forecast, engine, &attempt)?;
            Some((cost, engine))
        });
        let best = costs.min_by(|a, b| {
            let by_order = order(a.1.entry.key).cmp(&order(b.1.entry.key));
            a.0.total_cmp(&b.0).then(by_order)
        });
        let Some((_, engine)) = best else {
            match request.is_final_attempt {
                true => self.waiting.refuse(now_ms, request),
                false => self.waiting.enqueue(now_ms, &attempt),
            }
            return Placement::Full {
                retry_after_ms: request.retry_after_ms(),
            };
        };
        let seen = snapshot_of(now_ms, &forecast, engine, &attempt);
        let engine = engine.entry.key;
        let backup = self.backup_for(now_ms, &forecast, engine, &attempt);
        self.start(now_ms, engine, backup, request);
        Placement::On {
            engine,
            backup,
            seen,
        }
    }

    /// Combines a request with its queue order.
    fn attempt<'a>(
        &mut self,
        now_ms: Millis,
        request: &'a PlacementRequest,
        demand: MemoryDemand,
        is_over_share: bool,
    ) -> PlacementAttempt<'a> {
        let order = self
            .waiting
            .order(now_ms, &self.prefill_rate, request, demand, is_over_share);
        PlacementAttempt {
            request,
            demand,
            order,
            full_share: request.full_share(order.is_late),
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

    fn start(
        &mut self,
        now_ms: Millis,
        engine: UpstreamKey,
        backup: Option<UpstreamKey>,
        request: &PlacementRequest,
    ) {
        self.waiting.remove(request.run);
        let Some(chosen) = self.engines.get_mut(&engine) else {
            return;
        };
        chosen.add_prefill(now_ms, request.prefill_ms(&self.prefill_rate));
        chosen.record_start(now_ms);
        let first_token_ms = chosen.prefilled_at_ms as Millis;
        let run = Run::placed(now_ms, first_token_ms, engine, backup, request);
        self.runs.insert(request.run, run);
    }
}

/// Cost of starting on an engine; `None` if the engine has no room or should be avoided.
fn cost_ms(
    now_ms: Millis,
    prefill_rate: &PrefillRate,
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
        true if wait_ms + request.prefill_ms(prefill_rate) > max_wait_ms => {
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
    let running_ms = RUNNING_COST_MS * running as f32;
    let memory_ms = MEMORY_COST_MS * share * share;
    let remote_ms = if is_remote { REMOTE_COST_MS } else { 0.0 };
    let failure_ms = FAILURE_COST_MS * failure_share;
    Some(wait_ms + running_ms + memory_ms + remote_ms + failure_ms)
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
