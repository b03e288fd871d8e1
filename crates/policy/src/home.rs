//! The home of an engine: its permits, its queue, and who starts next.

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::backlog::Backlog;
use crate::fair::Fairness;
use crate::fit::Forecast;
use crate::home_settings::HomeSettings;
use crate::key::Millis;
use crate::lengths::Lengths;
use crate::load::EngineLoad;
use crate::permit::{Permit, wanted};
use crate::permit_request::{
    EnginePermitRequest, Outcome, PermitKey, PermitRequestId, RefusalReason,
};
use crate::queue::{Waiting, next};
use crate::unaccounted_memory::UnaccountedMemory;

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

/// Steps ahead at which an engine counts as about to fill.
const FILLING_STEPS: u32 = 24;
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
    unaccounted: UnaccountedMemory,
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
            unaccounted: UnaccountedMemory::default(),
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
    pub fn request_permit(&mut self, now_ms: Millis, ask: EnginePermitRequest, lengths: &Lengths) {
        if self.is_queued(ask.id) || self.granted_permit(ask.id).is_some() {
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
    pub fn granted_permit(&self, ask: PermitRequestId) -> Option<(PermitKey, i32)> {
        let mut permits = self.permits.iter();
        let (key, permit) = permits.find(|(_, permit)| permit.ask.id == ask)?;
        Some((key, permit.priority))
    }

    /// Whether an ask is in the queue.
    pub fn is_queued(&self, ask: PermitRequestId) -> bool {
        self.queue.iter().any(|waiting| waiting.ask.id == ask)
    }

    /// Whether a permit is known.
    pub fn has_permit(&self, permit: PermitKey) -> bool {
        self.permits.contains_key(permit)
    }

    /// Counts a generation that already runs, which an earlier home had permitted.
    pub fn restore(&mut self, now_ms: Millis, ask: EnginePermitRequest) -> PermitKey {
        if let Some((known, _)) = self.granted_permit(ask.id) {
            return known;
        }
        self.fairness.enqueue(ask.organisation, ask.weight);
        self.insert(now_ms, ask, 0)
    }

    /// Takes back an ask that is no longer wanted.
    pub fn withdraw(&mut self, ask: PermitRequestId) {
        if let Some(index) = self.queue.iter().position(|waiting| waiting.ask.id == ask) {
            self.drop_waiting(index);
        } else if let Some((permit, _)) = self.granted_permit(ask) {
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
            let EnginePermitRequest {
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
        self.unaccounted.note(now_ms, self.held_tokens as f32);
        self.unaccounted.report(load.used_tokens as f32);
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
        self.unaccounted.note(now_ms, self.held_tokens as f32);
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
        let lapse_ms = self.settings.permit_ttl_ms;
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
        } else if waited_ms >= waiting.ask.max_wait_ms {
            Some(RefusalReason::TooLate)
        } else {
            None
        }
    }

    /// Refuses now what could not start in time anyway: its caller learns at once that it was not
    /// run, rather than after having waited for nothing.
    fn refuse_hopeless(&mut self, now_ms: Millis, outcomes: &mut Vec<Outcome>) {
        if self.settings.early_refusal_factor <= 0.0 || self.queue.len() < 2 {
            return;
        }
        let order = self.settings.order;
        let hopeless = self.backlog.hopeless(
            &self.queue,
            now_ms,
            order,
            self.settings.early_refusal_factor,
        );
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
        let memory = settings.memory_tokens as f32 - self.unaccounted.tokens();
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
            let wanted = wanted(&ask, lengths);
            // An empty engine takes anything that isn't too large, or a careful rule would leave
            // a caller waiting before an idle engine.
            let idle = self.permits.is_empty() && self.unaccounted.tokens() < 1.0;
            if !idle && !forecast.fits(&wanted, settings.fit, usable) {
                break;
            }
            forecast.add(&wanted, settings.fit);
            outcomes.push(self.start(now_ms, index, borrows));
        }
    }

    fn is_paced(&self, now_ms: Millis, ask: &EnginePermitRequest) -> bool {
        let tokens = ask.prompt_tokens + ask.out_tokens;
        self.settings.prompt_ms_per_token <= 0.0
            || tokens < UNPACED_TOKENS
            || ask.is_resumption()
            || now_ms as f64 >= self.next_prompt_at_ms
    }

    /// Whether the organisation would hold more than its guaranteed share. One generation at a
    /// time is always its own: a small share of one engine may be less than a single prompt.
    fn borrows(&self, ask: &EnginePermitRequest) -> bool {
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

    fn insert(&mut self, now_ms: Millis, ask: EnginePermitRequest, priority: i32) -> PermitKey {
        let tokens = ask.prompt_tokens + ask.out_tokens;
        self.fairness.start(ask.organisation, tokens);
        self.held_tokens += u64::from(tokens);
        self.permits.insert(Permit::new(now_ms, ask, priority))
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
        let soon = likely as f32 + self.unaccounted.tokens();
        if soon <= self.settings.memory_tokens as f32 || now_ms < self.next_move_at_ms {
            return;
        }
        let candidates = self.permits.iter().filter(|(_, permit)| {
            permit
                .moved_at_ms
                .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > MOVE_AGAIN_MS)
        });
        let best = candidates.min_by(|(_, one), (_, other)| {
            one.move_loss(lengths).total_cmp(&other.move_loss(lengths))
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
