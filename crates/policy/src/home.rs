//! The home of an engine: its permits, its queue, and who starts next.

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::backlog::Backlog;
use crate::fair::Fairness;
use crate::fit::{FitRule, Footprint, Forecast};
use crate::key::{HostKey, Millis, OrganisationKey, ServiceKey};
use crate::lengths::Lengths;
use crate::load::EngineLoad;
use crate::queue::{OrderRule, Waiting, next};
use crate::unexplained::Unexplained;
use crate::weights::Weights;

new_key_type! {
    /// A permit in its home's arena.
    pub struct PermitKey;
}

/// Names an ask; chosen by the entry host, unique over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AskId(pub u64);

/// A wish to start a generation on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Names this ask.
    pub id: AskId,
    /// The entry host that asks.
    pub host: HostKey,
    /// For whom.
    pub organisation: OrganisationKey,
    /// For which service.
    pub service: ServiceKey,
    /// The organisation's weight in the preset in force.
    pub weight: f32,
    /// Its guaranteed share of the engine's memory.
    pub share: f32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that are out already, where a generation is resumed.
    pub out_tokens: u32,
    /// The answer's bound.
    pub output_limit_tokens: u32,
    /// How long the ask may wait.
    pub patience_ms: Millis,
    /// Whether to refuse at once rather than queue.
    pub only_now: bool,
    /// The whole length, where it is known (the bench's oracle).
    pub known_tokens: Option<u32>,
}

impl Ask {
    /// Whether the caller has tokens of this generation already.
    pub fn is_resumption(&self) -> bool {
        self.out_tokens > 0
    }
}

/// How a home decides; follows from the preset in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeSettings {
    /// The engine's memory.
    pub memory_tokens: u32,
    /// How memory is kept from filling up.
    pub fit: FitRule,
    /// Who is served next.
    pub order: OrderRule,
    /// How far an organisation may run ahead of one that waits, in tokens a weight.
    pub lead_bound_tokens: f64,
    /// The share of memory up to which work above an organisation's own share may start.
    pub lend_share: f32,
    /// Time that the engine spends on a prompt's token; 0 turns pacing off.
    pub prompt_ms_per_token: f32,
    /// Whether to move a generation off an engine about to fill.
    pub moves: bool,
    /// An ask whose predicted wait exceeds this multiple of its patience is refused at once; 0
    /// waits for each to run out.
    pub early: f32,
    /// The longest queue.
    pub queue_limit: usize,
    /// A permit without a word from its host for so long lapses.
    pub lapse_ms: Millis,
}

/// After so long a footprint counts for half in the queue's order.
const HALF_AGE_MS: Millis = 30_000;
const LEAD_BOUND_TOKENS: f64 = 20_000.0;
const EARLY: f32 = 0.4;
const PACE: f32 = 1.5;
const QUEUE_LIMIT: usize = 256;
const LAPSE_MS: Millis = 6_000;

impl HomeSettings {
    /// What the product uses under a preset; docs/POLICY.md has the figures behind each constant.
    pub fn new(
        weights: Weights,
        lend_share: f32,
        memory_tokens: u32,
        prompt_ms_per_token: f32,
    ) -> Self {
        Self {
            memory_tokens,
            fit: FitRule::Normal {
                z: weights.caution(),
                share: 1.0,
            },
            order: OrderRule::SmallestFirst {
                half_age_ms: HALF_AGE_MS,
            },
            lead_bound_tokens: LEAD_BOUND_TOKENS,
            lend_share,
            prompt_ms_per_token: prompt_ms_per_token * PACE,
            moves: true,
            early: EARLY,
            queue_limit: QUEUE_LIMIT,
            lapse_ms: LAPSE_MS,
        }
    }
}

/// Why a home refuses. A refused ask was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queue is at its bound.
    QueueFull,
    /// It could not start within its patience.
    TooLate,
    /// It asked to start at once and can't.
    NoRoomNow,
    /// It can never fit into this engine.
    TooLarge,
    /// The engine takes nothing new.
    Leaving,
}

/// What a home has decided.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The generation may start.
    Granted {
        /// The ask.
        ask: AskId,
        /// The host that asked.
        host: HostKey,
        /// Names the permit from now on.
        permit: PermitKey,
        /// The engine's priority for it.
        priority: i32,
    },
    /// The generation may not start here.
    Refused {
        /// The ask.
        ask: AskId,
        /// The host that asked.
        host: HostKey,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// The engine is about to fill: resume this generation elsewhere if another has room now.
    Move {
        /// The permit to move.
        permit: PermitKey,
        /// The host that holds it.
        host: HostKey,
    },
}

/// A home's own count of its engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeLoad {
    /// Permits out.
    pub running: u32,
    /// Asks in the queue.
    pub queued: u32,
    /// Memory that the permits hold now.
    pub held_tokens: u32,
}

#[derive(Debug)]
struct Permit {
    ask: Ask,
    out_tokens: u32,
    heard_at_ms: Millis,
    draw: f32,
    priority: i32,
    /// When a move was last asked for.
    moved_at_ms: Option<Millis>,
}

impl Permit {
    fn held_tokens(&self) -> u32 {
        self.ask.prompt_tokens + self.out_tokens
    }

    /// Tokens out by now: the last report, and what the engine's pace adds to it. Without that a
    /// home would overfill its engine by what a whole batch decodes between two reports.
    fn likely_out_tokens(&self, now_ms: Millis, tokens_per_ms: f32) -> u32 {
        let since_ms = now_ms.saturating_sub(self.heard_at_ms).min(PACE_BOUND_MS);
        let likely = self.out_tokens + (since_ms as f32 * tokens_per_ms) as u32;
        let most = self.ask.known_tokens.unwrap_or(u32::MAX);
        likely.min(self.ask.output_limit_tokens).min(most)
    }

    fn footprint<'a>(&self, out_tokens: u32, lengths: &'a Lengths) -> Footprint<'a> {
        footprint(&self.ask, out_tokens, self.draw, lengths)
    }
}

fn footprint<'a>(ask: &Ask, out_tokens: u32, draw: f32, lengths: &'a Lengths) -> Footprint<'a> {
    Footprint {
        prompt_tokens: ask.prompt_tokens as f32,
        out_tokens: out_tokens as f32,
        limit_tokens: ask.output_limit_tokens as f32,
        curve: lengths.curve(ask.organisation, ask.service),
        known_tokens: ask.known_tokens.map(|tokens| tokens as f32),
        draw,
    }
}

/// A draw that stays with its ask, so that a prediction doesn't jump from step to step.
fn draw(ask: AskId) -> f32 {
    let hash = xxhash_rust::xxh3::xxh3_64(&ask.0.to_le_bytes());
    (hash >> 40) as f32 / (1u64 << 24) as f32
}

/// Steps ahead at which an engine counts as about to fill.
const FILLING_STEPS: u32 = 24;
/// The pace of a batch is trusted for so long after a report.
const PACE_BOUND_MS: Millis = 1_500;
const PACE_GAIN: f32 = 0.05;
const MOVE_PAUSE_MS: Millis = 200;
const MOVE_AGAIN_MS: Millis = 2_000;
/// A prompt shorter than this starts without waiting for the pace.
const UNPACED_TOKENS: u32 = 64;

/// The home of one engine.
#[derive(Debug)]
pub struct Home {
    settings: HomeSettings,
    permits: SlotMap<PermitKey, Permit>,
    queue: Vec<Waiting>,
    fairness: Fairness,
    unexplained: Unexplained,
    held_tokens: u64,
    next_prompt_at_ms: f64,
    next_move_at_ms: Millis,
    leaving: bool,
    /// Tokens a millisecond of one generation in the batch, smoothed.
    tokens_per_ms: f32,
    backlog: Backlog,
}

impl Home {
    /// A home without permits.
    pub fn new(settings: HomeSettings) -> Self {
        Self {
            settings,
            permits: SlotMap::with_key(),
            queue: Vec::new(),
            fairness: Fairness::default(),
            unexplained: Unexplained::default(),
            held_tokens: 0,
            next_prompt_at_ms: 0.0,
            next_move_at_ms: 0,
            leaving: false,
            tokens_per_ms: 0.0,
            backlog: Backlog::default(),
        }
    }

    /// Changes how the home decides; what runs stays.
    pub fn set_settings(&mut self, settings: HomeSettings) {
        self.settings = settings;
    }

    /// The engine takes nothing new from now on, or takes work again.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Takes in an ask. Its outcome comes from this or a later [`Home::step`].
    ///
    /// An ask that comes again changes nothing: the answer to the first may have been lost.
    pub fn ask(&mut self, now_ms: Millis, ask: Ask, lengths: &Lengths) {
        if self.is_queued(ask.id) || self.granted(ask.id).is_some() {
            return;
        }
        let expected = match ask.known_tokens {
            Some(known) => known as f32,
            None => lengths.expected(ask.organisation, ask.service),
        };
        self.fairness.enqueue(ask.organisation, ask.weight);
        self.queue.push(Waiting {
            ask,
            since_ms: now_ms,
            footprint_tokens: ask.prompt_tokens as f32 + expected,
        });
    }

    /// The permit that an ask was granted, and its priority; an ask may come twice.
    pub fn granted(&self, ask: AskId) -> Option<(PermitKey, i32)> {
        let mut permits = self.permits.iter();
        let (key, permit) = permits.find(|(_, permit)| permit.ask.id == ask)?;
        Some((key, permit.priority))
    }

    /// Whether an ask is in the queue.
    pub fn is_queued(&self, ask: AskId) -> bool {
        self.queue.iter().any(|waiting| waiting.ask.id == ask)
    }

    /// Whether a permit is known.
    pub fn knows(&self, permit: PermitKey) -> bool {
        self.permits.contains_key(permit)
    }

    /// Counts a generation that already runs, which an earlier home had permitted.
    pub fn restore(&mut self, now_ms: Millis, ask: Ask) -> PermitKey {
        if let Some((known, _)) = self.granted(ask.id) {
            return known;
        }
        self.fairness.enqueue(ask.organisation, ask.weight);
        self.insert(now_ms, ask, 0)
    }

    /// Takes back an ask that is no longer wanted.
    pub fn withdraw(&mut self, ask: AskId) {
        if let Some(index) = self.queue.iter().position(|waiting| waiting.ask.id == ask) {
            self.drop_waiting(index);
        } else if let Some((permit, _)) = self.granted(ask) {
            self.release(permit);
        }
    }

    /// A generation has so many tokens out.
    pub fn progress(&mut self, now_ms: Millis, permit: PermitKey, out_tokens: u32) {
        let Some(entry) = self.permits.get_mut(permit) else {
            return;
        };
        let since_ms = now_ms.saturating_sub(entry.heard_at_ms);
        entry.heard_at_ms = now_ms;
        let grown = out_tokens.saturating_sub(entry.out_tokens);
        entry.out_tokens += grown;
        if since_ms > 0 && grown > 0 {
            let pace = grown as f32 / since_ms as f32;
            self.tokens_per_ms += (pace - self.tokens_per_ms) * PACE_GAIN;
        }
        let organisation = entry.ask.organisation;
        self.held_tokens += u64::from(grown);
        self.fairness.charge(organisation, grown);
    }

    /// A generation is whole, with so many tokens.
    pub fn finish(
        &mut self,
        now_ms: Millis,
        permit: PermitKey,
        length_tokens: u32,
        lengths: &mut Lengths,
    ) {
        if let Some(entry) = self.release(permit) {
            let Ask {
                organisation,
                service,
                ..
            } = entry.ask;
            lengths.record(now_ms, organisation, service, length_tokens);
        }
    }

    /// A generation has left the engine without being whole.
    pub fn cancel(&mut self, permit: PermitKey) {
        self.release(permit);
    }

    /// Takes in the engine's late report.
    pub fn report(&mut self, now_ms: Millis, load: EngineLoad) {
        self.unexplained.note(now_ms, self.held_tokens as f32);
        self.unexplained.report(load.used_tokens as f32);
        if load.memory_tokens > 0 {
            self.settings.memory_tokens = load.memory_tokens;
        }
    }

    /// The home's own count.
    pub fn load(&self) -> HomeLoad {
        HomeLoad {
            running: self.permits.len() as u32,
            queued: self.queue.len() as u32,
            held_tokens: self.held_tokens as u32,
        }
    }

    /// Decides what can be decided now.
    pub fn step(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        self.lapse(now_ms);
        self.backlog.pass(now_ms, self.queue.is_empty());
        self.unexplained.note(now_ms, self.held_tokens as f32);
        self.refuse(now_ms, outcomes);
        if !self.queue.is_empty() {
            self.grant(now_ms, lengths, outcomes);
            self.refuse_hurried(outcomes);
            self.refuse_hopeless(now_ms, outcomes);
        }
        if self.settings.moves {
            self.choose_move(now_ms, lengths, outcomes);
        }
        debug_assert!(self.is_consistent(), "held tokens don't add up");
    }

    /// When the next step is due, if nothing else happens.
    pub fn due_ms(&self) -> Millis {
        self.next_prompt_at_ms.ceil() as Millis
    }

    /// Drops permits whose host has gone silent. Without this the memory that a dead host's
    /// permits hold would never be given out again.
    fn lapse(&mut self, now_ms: Millis) {
        let lapse_ms = self.settings.lapse_ms;
        let gone: Vec<PermitKey> = self
            .permits
            .iter()
            .filter(|(_, permit)| now_ms.saturating_sub(permit.heard_at_ms) > lapse_ms)
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.release(key);
        }
    }

    fn refuse(&mut self, now_ms: Millis, outcomes: &mut Vec<Outcome>) {
        let mut index = 0;
        while index < self.queue.len() {
            match self.refusal_of(now_ms, index) {
                Some(reason) => {
                    if reason == RefusalReason::TooLate {
                        self.backlog.too_late();
                    }
                    self.refuse_at(index, reason, outcomes);
                }
                None => index += 1,
            }
        }
    }

    fn refusal_of(&self, now_ms: Millis, index: usize) -> Option<RefusalReason> {
        let waiting = &self.queue[index];
        let waited_ms = now_ms.saturating_sub(waiting.since_ms);
        let tokens = waiting.ask.prompt_tokens + waiting.ask.out_tokens;
        if self.leaving {
            Some(RefusalReason::Leaving)
        } else if tokens >= self.settings.memory_tokens {
            Some(RefusalReason::TooLarge)
        } else if index >= self.settings.queue_limit && !waiting.ask.is_resumption() {
            Some(RefusalReason::QueueFull)
        } else if waited_ms >= waiting.ask.patience_ms {
            Some(RefusalReason::TooLate)
        } else {
            None
        }
    }

    /// Refuses now what could not start in time anyway: its caller learns at once that it was not
    /// run, rather than after having waited for nothing.
    fn refuse_hopeless(&mut self, now_ms: Millis, outcomes: &mut Vec<Outcome>) {
        if self.settings.early <= 0.0 || self.queue.len() < 2 {
            return;
        }
        let order = self.settings.order;
        let hopeless = self
            .backlog
            .hopeless(&self.queue, now_ms, order, self.settings.early);
        for ask in hopeless {
            let place = self.queue.iter().position(|one| one.ask.id == ask);
            if let Some(index) = place {
                self.refuse_at(index, RefusalReason::TooLate, outcomes);
            }
        }
    }

    fn refuse_hurried(&mut self, outcomes: &mut Vec<Outcome>) {
        while let Some(index) = self.queue.iter().position(|one| one.ask.only_now) {
            self.refuse_at(index, RefusalReason::NoRoomNow, outcomes);
        }
    }

    fn refuse_at(&mut self, index: usize, reason: RefusalReason, outcomes: &mut Vec<Outcome>) {
        let ask = self.drop_waiting(index).ask;
        outcomes.push(Outcome::Refused {
            ask: ask.id,
            host: ask.host,
            reason,
            retry_after_ms: self.backlog.drain_ms(&self.queue),
        });
    }

    fn grant(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        let settings = self.settings;
        let mut forecast = Forecast::default();
        for permit in self.permits.values() {
            let out_tokens = permit.likely_out_tokens(now_ms, self.tokens_per_ms);
            forecast.add(&permit.footprint(out_tokens, lengths), settings.fit);
        }
        let memory = settings.memory_tokens as f32 - self.unexplained.tokens();
        loop {
            let chosen = next(
                &self.queue,
                now_ms,
                settings.order,
                &self.fairness,
                settings.lead_bound_tokens,
                |ask| self.borrows(ask),
            );
            let Some(index) = chosen else { break };
            let ask = self.queue[index].ask;
            if !self.is_paced(now_ms, &ask) {
                break;
            }
            let borrows = self.borrows(&ask);
            let usable = if borrows {
                memory * settings.lend_share
            } else {
                memory
            };
            let wanted = footprint(&ask, ask.out_tokens, draw(ask.id), lengths);
            // An empty engine takes anything that isn't too large, or a careful rule would leave
            // a caller waiting before an idle engine.
            let idle = self.permits.is_empty() && self.unexplained.tokens() < 1.0;
            if !idle && !forecast.fits(&wanted, settings.fit, usable) {
                break;
            }
            forecast.add(&wanted, settings.fit);
            outcomes.push(self.start(now_ms, index, borrows));
        }
    }

    fn is_paced(&self, now_ms: Millis, ask: &Ask) -> bool {
        let tokens = ask.prompt_tokens + ask.out_tokens;
        self.settings.prompt_ms_per_token <= 0.0
            || tokens < UNPACED_TOKENS
            || ask.is_resumption()
            || now_ms as f64 >= self.next_prompt_at_ms
    }

    /// Whether the organisation would hold more than its guaranteed share. One generation at a
    /// time is always its own: a small share of one engine may be less than a single prompt.
    fn borrows(&self, ask: &Ask) -> bool {
        let own = ask.share * self.settings.memory_tokens as f32;
        let held = self.fairness.held_tokens(ask.organisation) as f32;
        held > 0.0 && held + (ask.prompt_tokens + ask.out_tokens) as f32 > own
    }

    fn start(&mut self, now_ms: Millis, index: usize, borrows: bool) -> Outcome {
        let waiting = self.queue.remove(index);
        self.backlog.served(now_ms, waiting.footprint_tokens);
        let ask = waiting.ask;
        let tokens = ask.prompt_tokens + ask.out_tokens;
        let prompt_ms = f64::from(tokens as f32 * self.settings.prompt_ms_per_token);
        self.next_prompt_at_ms = self.next_prompt_at_ms.max(now_ms as f64) + prompt_ms;
        let priority = if borrows { 0 } else { 1 };
        Outcome::Granted {
            ask: ask.id,
            host: ask.host,
            permit: self.insert(now_ms, ask, priority),
            priority,
        }
    }

    fn insert(&mut self, now_ms: Millis, ask: Ask, priority: i32) -> PermitKey {
        let tokens = ask.prompt_tokens + ask.out_tokens;
        self.fairness.start(ask.organisation, tokens);
        self.held_tokens += u64::from(tokens);
        self.permits.insert(Permit {
            ask,
            out_tokens: ask.out_tokens,
            heard_at_ms: now_ms,
            draw: draw(ask.id),
            priority,
            moved_at_ms: None,
        })
    }

    /// Asks for the move that loses least, where the engine would fill within a few steps.
    ///
    /// A full engine pauses a generation and computes it anew later, which its caller sees as a
    /// stall; a move computes it anew at once on an engine that has room.
    fn choose_move(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        let likely: u32 = self
            .permits
            .values()
            .map(|permit| {
                let out_tokens = permit.likely_out_tokens(now_ms, self.tokens_per_ms);
                permit.ask.prompt_tokens + out_tokens + FILLING_STEPS
            })
            .sum();
        let soon = likely as f32 + self.unexplained.tokens();
        if soon <= self.settings.memory_tokens as f32 || now_ms < self.next_move_at_ms {
            return;
        }
        let candidates = self.permits.iter().filter(|(_, permit)| {
            permit
                .moved_at_ms
                .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > MOVE_AGAIN_MS)
        });
        let best = candidates.min_by(|(_, one), (_, other)| {
            move_loss(one, lengths).total_cmp(&move_loss(other, lengths))
        });
        let Some((permit, _)) = best else { return };
        let entry = &mut self.permits[permit];
        entry.moved_at_ms = Some(now_ms);
        self.next_move_at_ms = now_ms + MOVE_PAUSE_MS;
        outcomes.push(Outcome::Move {
            permit,
            host: entry.ask.host,
        });
    }

    fn drop_waiting(&mut self, index: usize) -> Waiting {
        let waiting = self.queue.remove(index);
        self.fairness.dequeue(waiting.ask.organisation);
        waiting
    }

    fn release(&mut self, permit: PermitKey) -> Option<Permit> {
        let entry = self.permits.remove(permit)?;
        let held = entry.held_tokens();
        self.held_tokens -= u64::from(held);
        self.fairness.end(entry.ask.organisation, held);
        Some(entry)
    }

    fn is_consistent(&self) -> bool {
        let sum: u64 = self
            .permits
            .values()
            .map(|permit| u64::from(permit.held_tokens()))
            .sum();
        sum == self.held_tokens
    }
}

/// Tokens computed anew for each token of memory freed over the time to come.
fn move_loss(permit: &Permit, lengths: &Lengths) -> f32 {
    let footprint = permit.footprint(permit.out_tokens, lengths);
    let remaining =
        (footprint.curve.expected(footprint.out_tokens) - footprint.out_tokens).max(1.0);
    permit.held_tokens() as f32 / remaining
}
