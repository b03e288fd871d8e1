//! Which engine of a cell a generation starts on.

use serde::{Deserialize, Serialize};

use super::Cell;
use super::answers::{Answers, Stated};
use super::engine::Engine;
use super::forecast::{Claim, Forecast};
use super::reading::Reading;
use super::run::{Run, RunKey};
use super::shares::Shares;
use super::waiting::Turn;
use crate::key::{HostKey, Millis, OrganisationKey, UpstreamKey};

/// A generation holds back the others of its batch; so much later is each token's first sight.
const CROWD_MS: f32 = 9.0;
/// An engine in another data centre: the way there, and dearer bytes.
const FAR_MS: f32 = 12.0;
/// What a full memory costs against an empty one. The square keeps half-full engines nearly equal,
/// so that prompts go where they are read soonest, and weighs the last room heavily: an engine
/// that fills pauses somebody.
const MEMORY_MS: f32 = 500.0;
/// What an engine that fails all it gets costs against one that fails nothing: more than any wait. One
/// that fails a part looks emptier than those that work, and without a cost of its own draws the next
/// generation each time.
const SICK_MS: f32 = 4_000.0;
/// Where this share of an engine's generations failed lately, one that can still wait does so: what is
/// sent there and fails can't be sent again.
const SICK_SHARE: f32 = 0.3;
/// No generation starts where this share of the memory would be taken at the peak.
///
/// Lengths that are learned leave little to chance, so little is kept free; an engine that is promised
/// more than it has pauses generations.
const FULL_SHARE: f32 = 0.98;
/// The same for those that can't be on time any more, or would not be there: served beside the others
/// they would make others late that still can, and late they are worth a seventh.
const LATE_FULL_SHARE: f32 = 0.75;
/// A generation of at most so many tokens is brief: over in about a second, and served late as well.
const BRIEF_TOKENS: u32 = 64;
/// A prompt goes only where it waits no longer than this part of the time to a first event that is
/// on time; the rest is for the prompt itself. Others' prompts end soon, so waiting at the home for
/// a better engine loses nothing.
const PATIENCE_SHARE: f32 = 0.45;
/// A running copy is kept where its engine stays below this share of its memory. Copies save
/// generations of crashed engines, and hold back others where there is less room.
const BACKUP_SHARE: f32 = 0.20;
/// Shorter answers than this are over before an engine's notice is.
const BACKUP_LEAST_TOKENS: u32 = 160;
/// When to come back where every engine is full, as parts of the time that the caller has left:
/// drawn between the two, so that those who were refused together don't meet again.
///
/// A refused request can't be on time any more, so what is left to gain for its caller is to be served
/// at all, and it comes back once or twice. After an answer's usual rest it comes back into the same
/// crowd and is refused again. Callers follow such a word up to a third of their time.
const RETURN_SHARES: std::ops::Range<f32> = 0.20..0.32;

/// A generation to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The generation.
    pub run: RunKey,
    /// The host that will relay it.
    pub host: HostKey,
    /// The organisation that asks.
    pub organisation: OrganisationKey,
    /// That host's data centre, hashed.
    pub data_centre: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The longest answer.
    pub limit_tokens: u32,
    /// The caller's guess.
    pub hint_tokens: Option<u32>,
    /// What stays the same in a further try of its caller, hashed.
    #[serde(rename = "likeness")]
    pub retry_key: u64,
    /// The rank of its organisation or route; 0 is the most urgent.
    pub priority: u8,
    /// How long its first event may still take to be on time.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: Millis,
    /// How long its caller will wait at all.
    pub left_ms: Millis,
    /// It has waited as long as it may: late is better for its caller than not at all.
    #[serde(rename = "is_last_call")]
    pub is_final_attempt: bool,
    /// Engines that have refused it already.
    #[serde(rename = "without")]
    pub excluded: Vec<UpstreamKey>,
    /// Whether engines keep running copies for one another.
    pub can_back_up: bool,
}

/// What the home saw of the engine that it chose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// Generations there before this one.
    pub running: u32,
    /// The highest share of its memory that is predicted, in thousandths.
    pub peak_permille: u32,
    /// How long the prompt waits for those before it.
    pub prefill_wait_ms: u32,
}

/// Where a generation starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// On this engine.
    On {
        /// The engine.
        engine: UpstreamKey,
        /// The engine that keeps a running copy of its memory.
        backup: Option<UpstreamKey>,
        /// What decided.
        seen: EngineSnapshot,
    },
    /// Nowhere now.
    Full {
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// On none of the cell's engines, however empty.
    TooLarge,
    /// The cell has no engine that takes work.
    NoEngine,
}

impl PlacementRequest {
    /// The share of an engine's memory up to which it may start there.
    pub(super) fn full_share(&self, is_late: bool) -> f32 {
        match is_late && self.limit_tokens > BRIEF_TOKENS {
            true => LATE_FULL_SHARE,
            false => FULL_SHARE,
        }
    }

    /// When its caller had better come back, where it finds no room.
    fn return_after_ms(&self) -> Millis {
        let draw = (self.retry_key % 1_000) as f32 / 1_000.0;
        let width = RETURN_SHARES.end - RETURN_SHARES.start;
        let share = RETURN_SHARES.start + width * draw;
        (self.left_ms as f32 * share) as Millis
    }

    /// How long its prompt takes to be read, by itself.
    pub(super) fn read_ms(&self, reading: &Reading) -> f32 {
        reading.ms(self.prompt_tokens as f32)
    }

    /// When it must start at the latest to be on time.
    pub(super) fn latest_ms(&self, now_ms: Millis, reading: &Reading) -> Millis {
        (now_ms + self.max_wait_ms).saturating_sub(self.read_ms(reading) as Millis)
    }

    /// What it says of its answer's length.
    fn stated(&self) -> Stated {
        Stated {
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
        }
    }

    pub(super) fn claim(&self, answers: &Answers) -> Claim {
        Claim {
            held_tokens: self.prompt_tokens as f32,
            rest_tokens: answers.rest_tokens(self.stated(), 0.0),
        }
    }
}

/// A request that asks for a place now.
#[derive(Debug)]
pub(super) struct Bid<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) claim: Claim,
    pub(super) turn: Turn,
    /// The share of an engine's memory up to which it may start there.
    pub(super) full_share: f32,
}

impl Cell {
    /// Places a generation and counts it, or has it wait for its turn.
    pub fn place(&mut self, now_ms: Millis, request: &PlacementRequest) -> Placement {
        self.waiting.expire(now_ms);
        let claim = request.claim(&self.answers);
        // Where nobody waits there is no turn to decide.
        let shares = match self.waiting.is_empty() {
            true => Shares::default(),
            false => self.shares(now_ms, request.organisation, claim),
        };
        let is_over_share = shares.is_over(request.organisation, claim);
        let bid = self.bid(now_ms, request, claim, is_over_share);
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
        self.reserve_for_waiting(bid.turn, &shares, &mut forecast);
        let costs = open.iter().filter_map(|engine| {
            let cost = cost_ms(now_ms, &self.reading, &forecast, engine, &bid)?;
            Some((cost, engine))
        });
        let best = costs.min_by(|one, other| {
            let by_key = one.1.entry.key.cmp(&other.1.entry.key);
            one.0.total_cmp(&other.0).then(by_key)
        });
        let Some((_, engine)) = best else {
            match request.is_final_attempt {
                true => self.waiting.refuse(now_ms, request),
                false => self.waiting.wait(now_ms, &bid),
            }
            return Placement::Full {
                retry_after_ms: request.return_after_ms(),
            };
        };
        let seen = see(now_ms, &forecast, engine, &bid);
        let engine = engine.entry.key;
        let backup = self.backup_for(now_ms, &forecast, engine, &bid);
        self.start(now_ms, engine, backup, request);
        Placement::On {
            engine,
            backup,
            seen,
        }
    }

    /// What a request asks for, with its turn.
    fn bid<'a>(
        &mut self,
        now_ms: Millis,
        request: &'a PlacementRequest,
        claim: Claim,
        is_over_share: bool,
    ) -> Bid<'a> {
        let turn = self
            .waiting
            .turn(now_ms, &self.reading, request, claim, is_over_share);
        Bid {
            request,
            claim,
            turn,
            full_share: request.full_share(turn.is_late),
        }
    }

    fn backup_for(
        &self,
        now_ms: Millis,
        forecast: &Forecast,
        main: UpstreamKey,
        bid: &Bid<'_>,
    ) -> Option<UpstreamKey> {
        let request = bid.request;
        if !request.can_back_up || request.limit_tokens < BACKUP_LEAST_TOKENS {
            return None;
        }
        let others = self
            .engines
            .values()
            .filter(|engine| engine.entry.key != main && engine.is_open())
            .filter(|engine| !engine.is_cold(now_ms));
        let shares = others.map(|engine| {
            let share = forecast.peak_share(engine, bid.claim);
            (share, engine.entry.key)
        });
        let by_share = |one: &(f32, UpstreamKey), other: &(f32, UpstreamKey)| {
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
        };
        let (share, key) = shares.min_by(by_share)?;
        // A running copy begins with the whole prompt on its links. The last short copy of a generation
        // that leaves, for which it stands still, would wait behind it: a late answer.
        (share < BACKUP_SHARE && self.leaving_engines().is_empty()).then_some(key)
    }

    fn start(
        &mut self,
        now_ms: Millis,
        engine: UpstreamKey,
        backup: Option<UpstreamKey>,
        request: &PlacementRequest,
    ) {
        self.waiting.leave(request.run);
        let Some(chosen) = self.engines.get_mut(&engine) else {
            return;
        };
        chosen.prefill(now_ms, request.read_ms(&self.reading));
        chosen.note_start(now_ms);
        let first_token_ms = chosen.prefilled_at_ms as Millis;
        let run = Run::placed(now_ms, first_token_ms, engine, backup, request);
        self.runs.insert(request.run, run);
    }
}

/// What it costs to start there; `None` where it would fill the engine.
fn cost_ms(
    now_ms: Millis,
    reading: &Reading,
    forecast: &Forecast,
    engine: &Engine,
    bid: &Bid<'_>,
) -> Option<f32> {
    let request = bid.request;
    let share = forecast.peak_share(engine, bid.claim);
    let running = forecast.running(engine.entry.key);
    let wait_ms = engine.prefill_wait_ms(now_ms);
    let patience_ms = request.max_wait_ms as f32;
    let full_share = match request.is_final_attempt {
        false if wait_ms > patience_ms * PATIENCE_SHARE => return None,
        true if wait_ms + request.read_ms(reading) > patience_ms => {
            bid.full_share.min(LATE_FULL_SHARE)
        }
        _ => bid.full_share,
    };
    let failing = engine.failures.share(now_ms);
    let has_room = share <= full_share && running < engine.entry.capacity.slots;
    let may_wait = failing > SICK_SHARE && !request.is_final_attempt;
    if !has_room || may_wait || !engine.may_start(now_ms) {
        return None;
    }
    let far = engine.entry.data_centre != request.data_centre;
    let crowd_ms = CROWD_MS * running as f32;
    let memory_ms = MEMORY_MS * share * share;
    let far_ms = if far { FAR_MS } else { 0.0 };
    let sick_ms = SICK_MS * failing;
    Some(wait_ms + crowd_ms + memory_ms + far_ms + sick_ms)
}

fn see(now_ms: Millis, forecast: &Forecast, engine: &Engine, bid: &Bid<'_>) -> EngineSnapshot {
    let share = forecast.peak_share(engine, bid.claim);
    EngineSnapshot {
        running: forecast.running(engine.entry.key),
        peak_permille: (share * 1_000.0) as u32,
        prefill_wait_ms: engine.prefill_wait_ms(now_ms) as u32,
    }
}
