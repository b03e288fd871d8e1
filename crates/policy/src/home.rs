//! The home of an engine: its permits, its queue, and which request starts next.

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::backlog::Backlog;
use crate::fair::Fairness;
use crate::fit::Forecast;
use crate::home_settings::HomeSettings;
use crate::key::Millis;
use crate::lengths::Lengths;
use crate::load::EngineLoad;
use crate::permit::{Permit, footprint_at_start};
use crate::permit_request::{
    EnginePermitRequest, Outcome, PermitKey, PermitRequestId, RefusalReason,
};
use crate::queue::{Waiting, next};
use crate::unaccounted_memory::UnaccountedMemory;

/// The load of an engine as its home counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeLoad {
    /// Permits granted and not yet released.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Engine memory held by the permits.
    pub held_tokens: u32,
}

/// Decode steps to look ahead when checking whether the engine is about to run out of memory.
const MEMORY_LOOKAHEAD_STEPS: u32 = 24;
const DECODE_RATE_GAIN: f32 = 0.05;
const MOVE_INTERVAL_MS: Millis = 200;
const MOVE_SAME_PERMIT_INTERVAL_MS: Millis = 2_000;
/// Prompts shorter than this bypass prefill pacing.
const UNPACED_TOKENS: u32 = 64;

/// Grants permits for one engine and queues the requests that don't fit yet.
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
    /// Smoothed decode rate of one generation in the batch.
    tokens_per_ms: f32,
    backlog: Backlog,
}

impl Home {
    /// Creates a home without permits.
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

    /// Replaces the settings. Running generations are not affected.
    pub fn set_settings(&mut self, settings: HomeSettings) {
        self.settings = settings;
    }

    /// Sets whether the engine is leaving and refuses all new requests.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Queues a request. The next or a later [`Home::step`] decides it.
    ///
    /// A repeated request is ignored, because the answer to the first may have been lost.
    pub fn request_permit(
        &mut self,
        now_ms: Millis,
        request: EnginePermitRequest,
        lengths: &Lengths,
    ) {
        if self.is_queued(request.id) || self.granted_permit(request.id).is_some() {
            return;
        }
        let expected = match request.known_tokens {
            Some(known) => known as f32,
            None => lengths.expected(request.organisation, request.service),
        };
        self.fairness.enqueue(request.organisation, request.weight);
        self.queue.push(Waiting {
            request,
            since_ms: now_ms,
            footprint_tokens: request.prompt_tokens as f32 + expected,
        });
    }

    /// The permit granted to a request, and its priority. Answers a request that is sent twice.
    pub fn granted_permit(&self, request: PermitRequestId) -> Option<(PermitKey, i32)> {
        let mut permits = self.permits.iter();
        let (key, permit) = permits.find(|(_, permit)| permit.request.id == request)?;
        Some((key, permit.priority))
    }

    /// Whether a request is in the queue.
    pub fn is_queued(&self, request: PermitRequestId) -> bool {
        self.queue
            .iter()
            .any(|waiting| waiting.request.id == request)
    }

    /// Whether this home holds a permit.
    pub fn has_permit(&self, permit: PermitKey) -> bool {
        self.permits.contains_key(permit)
    }

    /// Registers a running generation whose permit an earlier home granted.
    pub fn restore(&mut self, now_ms: Millis, request: EnginePermitRequest) -> PermitKey {
        if let Some((known, _)) = self.granted_permit(request.id) {
            return known;
        }
        self.fairness.enqueue(request.organisation, request.weight);
        self.insert(now_ms, request, 0)
    }

    /// Removes a request from the queue, or releases its permit.
    pub fn withdraw(&mut self, request: PermitRequestId) {
        if let Some(index) = self
            .queue
            .iter()
            .position(|waiting| waiting.request.id == request)
        {
            self.drop_waiting(index);
        } else if let Some((permit, _)) = self.granted_permit(request) {
            self.release(permit);
        }
    }

    /// Records how many tokens a generation has produced so far.
    pub fn progress(&mut self, now_ms: Millis, permit: PermitKey, out_tokens: u32) {
        let Some(entry) = self.permits.get_mut(permit) else {
            return;
        };
        let since_ms = now_ms.saturating_sub(entry.updated_at_ms);
        entry.updated_at_ms = now_ms;
        let grown = out_tokens.saturating_sub(entry.out_tokens);
        entry.out_tokens += grown;
        if since_ms > 0 && grown > 0 {
            let rate = grown as f32 / since_ms as f32;
            self.tokens_per_ms += (rate - self.tokens_per_ms) * DECODE_RATE_GAIN;
        }
        let organisation = entry.request.organisation;
        self.held_tokens += u64::from(grown);
        self.fairness.charge(organisation, grown);
    }

    /// Releases the permit of a completed generation and records its length.
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
            } = entry.request;
            lengths.record(now_ms, organisation, service, length_tokens);
        }
    }

    /// Releases the permit of a generation that ended before it was complete.
    pub fn cancel(&mut self, permit: PermitKey) {
        self.release(permit);
    }

    /// Records a load report of the engine, which lags behind this home's own count.
    pub fn report(&mut self, now_ms: Millis, load: EngineLoad) {
        self.unaccounted
            .record_held(now_ms, self.held_tokens as f32);
        self.unaccounted.record_report(load.used_tokens as f32);
        if load.memory_tokens > 0 {
            self.settings.memory_tokens = load.memory_tokens;
        }
    }

    /// The current load as this home counts it.
    pub fn load(&self) -> HomeLoad {
        HomeLoad {
            running: self.permits.len() as u32,
            queued: self.queue.len() as u32,
            held_tokens: self.held_tokens as u32,
        }
    }

    /// Expires permits, then refuses, grants and moves what can be decided now.
    pub fn step(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        self.expire_permits(now_ms);
        self.backlog.advance(now_ms, self.queue.is_empty());
        self.unaccounted
            .record_held(now_ms, self.held_tokens as f32);
        self.refuse(now_ms, outcomes);
        if !self.queue.is_empty() {
            self.grant(now_ms, lengths, outcomes);
            self.refuse_unqueueable(outcomes);
            self.refuse_unservable(now_ms, outcomes);
        }
        if self.settings.moves {
            self.choose_move(now_ms, lengths, outcomes);
        }
        debug_assert_eq!(
            self.held_tokens,
            self.permit_tokens(),
            "held tokens differ from the sum over the permits"
        );
    }

    /// When to call [`Home::step`] next if no event comes before.
    pub fn due_ms(&self) -> Millis {
        self.next_prompt_at_ms.ceil() as Millis
    }

    /// Releases permits whose host has sent no update in time. Otherwise the memory held by the
    /// permits of a dead host would never be freed.
    fn expire_permits(&mut self, now_ms: Millis) {
        let permit_ttl_ms = self.settings.permit_ttl_ms;
        let expired: Vec<PermitKey> = self
            .permits
            .iter()
            .filter(|(_, permit)| now_ms.saturating_sub(permit.updated_at_ms) > permit_ttl_ms)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.release(key);
        }
    }

    fn refuse(&mut self, now_ms: Millis, outcomes: &mut Vec<Outcome>) {
        let mut index = 0;
        while index < self.queue.len() {
            match self.refusal_reason(now_ms, index) {
                Some(reason) => {
                    if reason == RefusalReason::TooLate {
                        self.backlog.record_timeout();
                    }
                    self.refuse_at(index, reason, outcomes);
                }
                None => index += 1,
            }
        }
    }

    fn refusal_reason(&self, now_ms: Millis, index: usize) -> Option<RefusalReason> {
        let waiting = &self.queue[index];
        let waited_ms = now_ms.saturating_sub(waiting.since_ms);
        let tokens = waiting.request.prompt_tokens + waiting.request.out_tokens;
        if self.leaving {
            Some(RefusalReason::Leaving)
        } else if tokens >= self.settings.memory_tokens {
            Some(RefusalReason::TooLarge)
        } else if index >= self.settings.queue_limit && !waiting.request.is_resumption() {
            Some(RefusalReason::QueueFull)
        } else if waited_ms >= waiting.request.max_wait_ms {
            Some(RefusalReason::TooLate)
        } else {
            None
        }
    }

    /// Refuses requests that are not expected to start in time, so that their callers can retry
    /// elsewhere at once instead of waiting for the timeout.
    fn refuse_unservable(&mut self, now_ms: Millis, outcomes: &mut Vec<Outcome>) {
        if self.settings.early_refusal_factor <= 0.0 || self.queue.len() < 2 {
            return;
        }
        let order = self.settings.order;
        let unservable = self.backlog.unservable(
            &self.queue,
            now_ms,
            order,
            self.settings.early_refusal_factor,
        );
        for request in unservable {
            let position = self
                .queue
                .iter()
                .position(|waiting| waiting.request.id == request);
            if let Some(index) = position {
                self.refuse_at(index, RefusalReason::TooLate, outcomes);
            }
        }
    }

    fn refuse_unqueueable(&mut self, outcomes: &mut Vec<Outcome>) {
        while let Some(index) = self
            .queue
            .iter()
            .position(|waiting| waiting.request.only_now)
        {
            self.refuse_at(index, RefusalReason::NoRoomNow, outcomes);
        }
    }

    fn refuse_at(&mut self, index: usize, reason: RefusalReason, outcomes: &mut Vec<Outcome>) {
        let request = self.drop_waiting(index).request;
        outcomes.push(Outcome::Refused {
            ask: request.id,
            host: request.host,
            reason,
            retry_after_ms: self.backlog.drain_ms(&self.queue),
        });
    }

    fn grant(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        let settings = self.settings;
        let mut forecast = Forecast::default();
        for permit in self.permits.values() {
            let out_tokens = permit.estimated_out_tokens(now_ms, self.tokens_per_ms);
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
                |request| self.borrows(request),
            );
            let Some(index) = chosen else { break };
            let request = self.queue[index].request;
            if !self.pacing_allows(now_ms, &request) {
                break;
            }
            let borrows = self.borrows(&request);
            let usable = if borrows {
                memory * settings.lend_share
            } else {
                memory
            };
            let footprint_at_start = footprint_at_start(&request, lengths);
            // An empty engine takes anything that isn't too large. Otherwise a conservative rule
            // could keep a caller waiting for an idle engine.
            let idle = self.permits.is_empty() && self.unaccounted.tokens() < 1.0;
            if !idle && !forecast.fits(&footprint_at_start, settings.fit, usable) {
                break;
            }
            forecast.add(&footprint_at_start, settings.fit);
            outcomes.push(self.start(now_ms, index, borrows));
        }
    }

    /// Whether prefill pacing lets the request start now.
    fn pacing_allows(&self, now_ms: Millis, request: &EnginePermitRequest) -> bool {
        let tokens = request.prompt_tokens + request.out_tokens;
        self.settings.prompt_ms_per_token <= 0.0
            || tokens < UNPACED_TOKENS
            || request.is_resumption()
            || now_ms as f64 >= self.next_prompt_at_ms
    }

    /// Whether the organisation would hold more than its guaranteed share. One generation at a
    /// time never counts as borrowed, since a small share of an engine may be less than a prompt.
    fn borrows(&self, request: &EnginePermitRequest) -> bool {
        let own = request.share * self.settings.memory_tokens as f32;
        let held = self.fairness.held_tokens(request.organisation) as f32;
        held > 0.0 && held + (request.prompt_tokens + request.out_tokens) as f32 > own
    }

    fn start(&mut self, now_ms: Millis, index: usize, borrows: bool) -> Outcome {
        let waiting = self.queue.remove(index);
        self.backlog.record_served(now_ms, waiting.footprint_tokens);
        let request = waiting.request;
        let tokens = request.prompt_tokens + request.out_tokens;
        let prompt_ms = f64::from(tokens as f32 * self.settings.prompt_ms_per_token);
        self.next_prompt_at_ms = self.next_prompt_at_ms.max(now_ms as f64) + prompt_ms;
        let priority = if borrows { 0 } else { 1 };
        Outcome::Granted {
            ask: request.id,
            host: request.host,
            permit: self.insert(now_ms, request, priority),
            priority,
        }
    }

    fn insert(&mut self, now_ms: Millis, request: EnginePermitRequest, priority: i32) -> PermitKey {
        let tokens = request.prompt_tokens + request.out_tokens;
        self.fairness.start(request.organisation, tokens);
        self.held_tokens += u64::from(tokens);
        self.permits.insert(Permit::new(now_ms, request, priority))
    }

    /// Moves the generation that is cheapest to recompute for the memory it would still take, if
    /// the engine would run out of memory within a few steps.
    ///
    /// A full engine preempts a generation and recomputes it later, which its caller sees as a
    /// stall. A move recomputes it at once on an engine that has room.
    fn choose_move(&mut self, now_ms: Millis, lengths: &Lengths, outcomes: &mut Vec<Outcome>) {
        let estimated: u32 = self
            .permits
            .values()
            .map(|permit| {
                let out_tokens = permit.estimated_out_tokens(now_ms, self.tokens_per_ms);
                permit.request.prompt_tokens + out_tokens + MEMORY_LOOKAHEAD_STEPS
            })
            .sum();
        let predicted = estimated as f32 + self.unaccounted.tokens();
        if predicted <= self.settings.memory_tokens as f32 || now_ms < self.next_move_at_ms {
            return;
        }
        let candidates = self.permits.iter().filter(|(_, permit)| {
            permit
                .moved_at_ms
                .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > MOVE_SAME_PERMIT_INTERVAL_MS)
        });
        let best = candidates
            .min_by(|(_, a), (_, b)| a.move_cost(lengths).total_cmp(&b.move_cost(lengths)));
        let Some((permit, _)) = best else { return };
        let entry = &mut self.permits[permit];
        entry.moved_at_ms = Some(now_ms);
        self.next_move_at_ms = now_ms + MOVE_INTERVAL_MS;
        outcomes.push(Outcome::Move {
            permit,
            host: entry.request.host,
        });
    }

    fn drop_waiting(&mut self, index: usize) -> Waiting {
        let waiting = self.queue.remove(index);
        self.fairness.dequeue(waiting.request.organisation);
        waiting
    }

    fn release(&mut self, permit: PermitKey) -> Option<Permit> {
        let entry = self.permits.remove(permit)?;
        let held = entry.held_tokens();
        self.held_tokens -= u64::from(held);
        self.fairness.end(entry.request.organisation, held);
        Some(entry)
    }

    /// The sum of the tokens that the permits hold, to check `held_tokens`.
    fn permit_tokens(&self) -> u64 {
        self.permits
            .values()
            .map(|permit| u64::from(permit.held_tokens()))
            .sum()
    }
}
