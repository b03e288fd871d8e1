//! When room is expected for a request that finds none.
//!
//! The memory of running generations becomes free by their predicted ends, and waiting requests
//! that come first in the queue order take their part of it. A request is refused at once only if
//! it needs many times what becomes free in its time: lengths are uncertain, engines come and go,
//! and most requests that seem to find no room do find some.

use super::Cell;
use super::engine::Engine;
use super::forecast::MemoryDemand;
use super::placement::{FULL_SHARE, Placement};
use super::selection::PlacementAttempt;
use super::shares::Shares;
use crate::key::Millis;

/// A request cannot start if it and those before it need this many times the memory that becomes
/// free in its time. Of requests that need twice as much, up to a sixth are still served.
const HOPELESS_FACTOR: f32 = 3.0;
/// Standard deviations by which more memory than expected may become free.
const SUPPLY_DEVIATIONS: f32 = 2.0;
/// Nothing is refused at once while less than this share of the open engines' memory is requested
/// before it. Polls of a queue of usual length don't pay for the prediction.
const MIN_DEMAND_SHARE: f32 = 0.25;
/// Times from now at which free memory is compared with the demand, for a retry delay. No caller
/// returns later.
const HORIZONS_MS: [Millis; 6] = [500, 1_000, 2_000, 4_000, 8_000, 16_000];

const NOTHING: MemoryDemand = MemoryDemand {
    held_tokens: 0.0,
    remaining_tokens: 0.0,
    token_ms: 0.0,
};

/// Memory that becomes free on open engines within some time, in tokens.
#[derive(Debug, Clone, Copy, Default)]
struct Supply {
    mean: f32,
    variance: f32,
}

impl Supply {
    fn upper_bound(self) -> f32 {
        self.mean + SUPPLY_DEVIATIONS * self.variance.sqrt()
    }
}

impl Cell {
    /// Queues a request that found no room, or refuses it if it has waited as long as it may or
    /// cannot start in time.
    pub(super) fn queue_or_refuse(
        &mut self,
        now_ms: Millis,
        shares: &Shares,
        attempt: &PlacementAttempt<'_>,
    ) -> Placement {
        let request = attempt.request;
        let is_refused = request.is_final_attempt || self.is_hopeless(now_ms, shares, attempt);
        let room_expected_ms = match is_refused {
            true => self.room_expected_ms(now_ms, shares, attempt),
            false => 0,
        };
        match is_refused {
            true => self.waiting.refuse(now_ms, request),
            false => self.waiting.enqueue(now_ms, attempt),
        }
        Placement::Full {
            retry_after_ms: request.retry_after_ms(room_expected_ms),
            is_refused,
            lacks_protected_room: attempt.lacks_protected_room,
        }
    }

    /// Whether a request cannot start in time, even if much more memory than expected becomes free.
    fn is_hopeless(&self, now_ms: Millis, shares: &Shares, attempt: &PlacementAttempt<'_>) -> bool {
        let needed = self.needed_tokens(shares, attempt);
        if needed < MIN_DEMAND_SHARE * self.open_tokens() {
            return false;
        }
        let prefill_ms = attempt.request.prefill_ms(&self.prefill_rate);
        let within_ms = (attempt.request.max_wait_ms as f32 - prefill_ms).max(0.0);
        needed > HOPELESS_FACTOR * self.supply(now_ms, within_ms).upper_bound()
    }

    /// How long it takes until enough memory is expected to be free for a request and those before
    /// it.
    fn room_expected_ms(
        &self,
        now_ms: Millis,
        shares: &Shares,
        attempt: &PlacementAttempt<'_>,
    ) -> Millis {
        let needed = self.needed_tokens(shares, attempt);
        let suffices = |within_ms: &Millis| self.supply(now_ms, *within_ms as f32).mean >= needed;
        let first = HORIZONS_MS.into_iter().find(suffices);
        first.unwrap_or(HORIZONS_MS[HORIZONS_MS.len() - 1])
    }

    /// Memory for the prompts of a request and of the waiting ones before it.
    fn needed_tokens(&self, shares: &Shares, attempt: &PlacementAttempt<'_>) -> f32 {
        let before = self.waiting.tokens_before(attempt.order, shares);
        before + attempt.demand.held_tokens
    }

    fn open_tokens(&self) -> f32 {
        let open = self.engines.values().filter(|engine| engine.is_open());
        let tokens = open.map(|engine| engine.entry.capacity.memory_tokens as f32);
        tokens.sum()
    }

    fn supply(&self, now_ms: Millis, within_ms: f32) -> Supply {
        let forecast = self.forecast(now_ms);
        let open = self.engines.values().filter(|engine| engine.is_open());
        let free = open.map(|engine| {
            let free_share = FULL_SHARE - forecast.peak_share(engine, NOTHING);
            free_share.max(0.0) * engine.entry.capacity.memory_tokens as f32
        });
        let mut supply = Supply {
            mean: free.sum(),
            variance: 0.0,
        };
        for run in self.runs.values() {
            if !self.engines.get(&run.engine()).is_some_and(Engine::is_open) {
                continue;
            }
            let end_probability =
                1.0 - run.running_probability(now_ms, within_ms, &self.answer_lengths);
            let held_tokens = run.held_tokens(now_ms);
            supply.mean += held_tokens * end_probability;
            supply.variance +=
                held_tokens * held_tokens * end_probability * (1.0 - end_probability);
        }
        supply
    }
}
