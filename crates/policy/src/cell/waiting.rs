//! The queue of requests that wait for room in a cell.
//!
//! An overloaded cell gets requests whose sizes differ by a factor of six. Without an order, the
//! next request takes the memory that has just become free, and the largest requests are refused
//! while the smallest never are. Requests that fit are placed in queue order, before later ones.
//! For the first one that does not fit, room is reserved on the engine with the most room. Reserved
//! memory is idle, so it is reserved for one request only.

use std::collections::HashMap;

use super::cost::AverageCost;
use super::forecast::{Forecast, MemoryDemand};
use super::placement::PlacementRequest;
use super::prefill_rate::PrefillRate;
use super::protection::Protection;
use super::run::RunKey;
use super::selection::PlacementAttempt;
use super::shares::Shares;
use super::{Cell, CellEngine};
use crate::key::{Millis, OrganisationKey, UpstreamKey};

/// A request that was not repeated for this long counts as abandoned. This covers several of its
/// polling periods.
const REQUEST_EXPIRY_MS: Millis = 250;
/// Number of requests without room for which memory is reserved until it is enough.
const RESERVED_REQUESTS: u32 = 1;

/// Delay of a request of average cost in the queue, as a share of its maximum wait.
///
/// A higher value serves more large requests, because small ones end sooner, but refuses more
/// requests overall.
const COST_DELAY_SHARE: f32 = 0.5;

/// Position of a request in the queue. Requests that can still be on time go first, then those of
/// organisations below their share, then the more urgent, then those with the earliest latest start
/// (least laxity), delayed by their cost to others.
///
/// The share precedes the priority. Otherwise a flood of urgent requests would block all other
/// organisations as long as it lasts. The urgent requests of an organisation above its share are not
/// counted as above it while they are few, see [`Shares::is_over`]: behind the long requests of all
/// others, short ones would be late although they take next to nothing. Lateness precedes the share,
/// because a late answer has little value for any caller.
///
/// Ordered by arrival alone, large requests wait as long as small ones and then have longer prompts
/// to prefill. Cheap requests fit where expensive ones do not, and end sooner: see
/// [`COST_DELAY_SHARE`]. The delay is at most twice the maximum wait, because the relative cost is
/// bounded, so a request that arrives later than that with the same maximum wait never overtakes.
///
/// A late answer takes as much memory as one on time. Served in turn with the others, it would make
/// one of them late too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueOrder {
    pub(super) is_late: bool,
    /// Whether its organisation would exceed its fair share.
    is_over_share: bool,
    priority: u8,
    /// Latest start at which it is on time, delayed by its cost.
    due_ms: Millis,
    run: RunKey,
}

#[derive(Debug, Clone)]
struct Waiting {
    organisation: OrganisationKey,
    order: QueueOrder,
    since_ms: Millis,
    demand: MemoryDemand,
    full_share: f32,
    excluded: Vec<UpstreamKey>,
    last_request_ms: Millis,
}

/// A refused request, whose caller may retry.
///
/// It is kept until its caller's timeout expires. Otherwise a retry after the retry delay, which is
/// up to a third of the timeout, would count as new and take the room of requests that can still be
/// on time.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// When its first attempt arrived.
    first_ms: Millis,
    /// When its caller's timeout expires.
    until_ms: Millis,
}

/// The requests that wait for room.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    requests: HashMap<RunKey, Waiting>,
    /// Refused requests, by retry key.
    refused: HashMap<u64, Refused>,
    /// Average cost of recent requests of this cell.
    average_cost: AverageCost,
}

impl WaitingList {
    /// The queue order of a request.
    pub(super) fn order(
        &mut self,
        now_ms: Millis,
        prefill_rate: &PrefillRate,
        protection: &mut Protection,
        request: &PlacementRequest,
        demand: MemoryDemand,
        is_over_share: bool,
    ) -> QueueOrder {
        if let Some(known) = self.requests.get(&request.run) {
            return QueueOrder {
                is_over_share,
                ..known.order
            };
        }
        let trying_ms = self.refused.get(&request.retry_key);
        let trying_ms = trying_ms.map_or(0, |refused| now_ms.saturating_sub(refused.first_ms));
        let cost = self.average_cost.record_and_compare(prefill_rate, demand);
        protection.record_request(now_ms, request.priority, cost);
        let delay_ms = request.max_wait_ms as f32 * COST_DELAY_SHARE * cost;
        QueueOrder {
            is_late: trying_ms >= request.max_wait_ms,
            is_over_share,
            priority: request.priority,
            due_ms: request.latest_start_ms(now_ms, prefill_rate) + delay_ms as Millis,
            run: request.run,
        }
    }

    fn since_ms(&self, now_ms: Millis, run: RunKey) -> Millis {
        self.requests
            .get(&run)
            .map_or(now_ms, |waiting| waiting.since_ms)
    }

    /// Queues a request that found no room and will be repeated.
    pub(super) fn enqueue(&mut self, now_ms: Millis, attempt: &PlacementAttempt<'_>) {
        let request = attempt.request;
        let waiting = Waiting {
            organisation: request.organisation,
            order: attempt.order,
            since_ms: self.since_ms(now_ms, request.run),
            demand: attempt.demand,
            full_share: attempt.full_share,
            excluded: request.excluded.clone(),
            last_request_ms: now_ms,
        };
        self.requests.insert(request.run, waiting);
    }

    /// Refuses a request that has waited as long as it may; its caller may retry.
    pub(super) fn refuse(&mut self, now_ms: Millis, request: &PlacementRequest) {
        let refused = Refused {
            first_ms: self.since_ms(now_ms, request.run),
            until_ms: now_ms.saturating_add(request.left_ms),
        };
        self.refused.entry(request.retry_key).or_insert(refused);
        self.remove(request.run);
    }

    /// Removes a request from the queue.
    pub(super) fn remove(&mut self, run: RunKey) {
        self.requests.remove(&run);
    }

    /// Removes a request that was placed elsewhere from the queue or the refused ones.
    pub(super) fn withdraw(&mut self, request: &PlacementRequest) {
        self.remove(request.run);
        self.refused.remove(&request.retry_key);
    }

    /// Drops abandoned requests and expired refusals.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        self.requests.retain(|_, waiting| {
            now_ms.saturating_sub(waiting.last_request_ms) < REQUEST_EXPIRY_MS
        });
        self.refused.retain(|_, refused| now_ms < refused.until_ms);
    }

    /// Whether no request is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Memory demand and organisation of each waiting request.
    pub(super) fn demands(&self) -> impl Iterator<Item = (OrganisationKey, MemoryDemand)> {
        let all = self.requests.values();
        all.map(|waiting| (waiting.organisation, waiting.demand))
    }

    /// Memory for the prompts of the requests ordered before `order`.
    pub(super) fn tokens_before(&self, order: QueueOrder, shares: &Shares) -> f32 {
        let before = self.before(order, shares);
        before
            .iter()
            .map(|(_, waiting)| waiting.demand.held_tokens)
            .sum()
    }

    /// Requests ordered before `order` by the current shares, since an organisation may have gone
    /// over or below its share after its request was queued.
    fn before(&self, order: QueueOrder, shares: &Shares) -> Vec<(QueueOrder, &Waiting)> {
        let all = self.requests.values().map(|waiting| {
            let is_over_share =
                shares.is_over(waiting.organisation, waiting.order.priority, waiting.demand);
            let order = QueueOrder {
                is_over_share,
                ..waiting.order
            };
            (order, waiting)
        });
        let mut earlier: Vec<(QueueOrder, &Waiting)> =
            all.filter(|(other, _)| *other < order).collect();
        earlier.sort_by_key(|(order, _)| *order);
        earlier
    }
}

impl Cell {
    /// Reserves room for the requests ordered before `order`, each on the engine with the most room
    /// for it, where it will fit first.
    pub(super) fn reserve_for_waiting(
        &self,
        order: QueueOrder,
        shares: &Shares,
        forecast: &mut Forecast,
    ) {
        let mut reserved = 0;
        for (_, waiting) in self.waiting.before(order, shares) {
            let open = self.engines.values().filter(|engine| {
                let CellEngine { key, .. } = engine.entry;
                engine.is_open() && !waiting.excluded.contains(&key)
            });
            let shares = open.map(|engine| {
                let share = forecast.peak_share(engine, waiting.demand);
                (share, engine.entry.key)
            });
            let best = shares.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((share, engine)) = best else {
                continue;
            };
            let fits = share <= waiting.full_share;
            if !fits {
                reserved += 1;
            }
            if fits || reserved <= RESERVED_REQUESTS {
                forecast.reserve(engine, waiting.demand);
            }
        }
    }
}
