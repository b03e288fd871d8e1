//! Who waits for room in a cell, and who goes first.
//!
//! Answers crowded cells: requests for more memory than there is, of sizes that differ by six. Asked
//! one by one and without an order, whoever asks next takes whatever has just become free, and the largest
//! are refused where the smallest never are. Requests that fit now get their room by turn, before those that come later; for the first
//! that does not fit, room is kept on the engine that has most of it. What is kept is idle, so it is
//! kept for one only.

use std::collections::HashMap;

use super::cost::UsualCost;
use super::forecast::{Claim, Forecast};
use super::placement::{Bid, PlacementRequest};
use super::reading::Reading;
use super::run::RunKey;
use super::shares::Shares;
use super::{Cell, CellEngine};
use crate::key::{Millis, OrganisationKey, UpstreamKey};

/// A request that has not asked again for so long has given up: several of its periods.
const SILENT_MS: Millis = 250;
/// Requests without room now for which some is kept until it is enough.
const KEPT_FOR: u32 = 1;

/// How much of its patience a request of the usual cost goes behind one that costs nothing.
///
/// More of it serves more of the large, since the small are gone sooner, and refuses more of all.
const COST_SHARE: f32 = 0.5;

/// Whose turn it is: what can still be on time, then those whose organisation is below its share, then
/// the more urgent, then what has to start first to be on time (least laxity), put off by what it costs
/// the others.
///
/// A share comes before urgency, which is an organisation's own word of its requests: a flood of urgent
/// ones would hold everybody else's reports back for as long as it lasts. It comes behind time, for
/// what is late already is worth little to any caller.
///
/// By arrival alone the large wait as long as the small and then have the longer prompts to read. What costs little fits where the costly don't, and leaves soon: see
/// [`COST_SHARE`]. A request is put off by a bounded part of its patience, so what comes later than that
/// never overtakes it.
///
/// An answer that is late already is worth little to its caller, and takes
/// as much memory as one on time. Served by turns with the others, it makes one of them late too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) is_late: bool,
    /// Its organisation holds more than its share of what there is.
    is_over_share: bool,
    priority: u8,
    /// When it must start at the latest to be on time, put off by its cost.
    due_ms: Millis,
    run: RunKey,
}

#[derive(Debug, Clone)]
struct Waiting {
    organisation: OrganisationKey,
    turn: Turn,
    since_ms: Millis,
    claim: Claim,
    full_share: f32,
    without: Vec<UpstreamKey>,
    asked_ms: Millis,
}

/// A request that was refused, whose caller may come back with another.
///
/// Forgotten before its caller's time was over, one that came back as late as it was told to, a third of
/// that time, was taken for new: it got the room of those that could still be on time.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// When its first try had come.
    first_ms: Millis,
    /// When its caller's time is over.
    until_ms: Millis,
}

/// The requests that wait for room.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    requests: HashMap<RunKey, Waiting>,
    /// Requests that were refused, by likeness.
    refused: HashMap<u64, Refused>,
    /// What requests of this cell cost lately.
    usual_cost: UsualCost,
}

impl WaitingList {
    /// The turn of a request that asks now.
    pub(super) fn turn(
        &mut self,
        now_ms: Millis,
        reading: &Reading,
        request: &PlacementRequest,
        claim: Claim,
        is_over_share: bool,
    ) -> Turn {
        if let Some(known) = self.requests.get(&request.run) {
            return Turn {
                is_over_share,
                ..known.turn
            };
        }
        let tried_ms = self.refused.get(&request.retry_key);
        let tried_ms = tried_ms.map_or(0, |one| now_ms.saturating_sub(one.first_ms));
        let behind_ms =
            request.max_wait_ms as f32 * COST_SHARE * self.usual_cost.compare(reading, claim);
        Turn {
            is_late: tried_ms >= request.max_wait_ms,
            is_over_share,
            priority: request.priority,
            due_ms: request.latest_ms(now_ms, reading) + behind_ms as Millis,
            run: request.run,
        }
    }

    fn since_ms(&self, now_ms: Millis, run: RunKey) -> Millis {
        self.requests.get(&run).map_or(now_ms, |one| one.since_ms)
    }

    /// A request finds no room and will ask again.
    pub(super) fn wait(&mut self, now_ms: Millis, bid: &Bid<'_>) {
        let request = bid.request;
        let waiting = Waiting {
            organisation: request.organisation,
            turn: bid.turn,
            since_ms: self.since_ms(now_ms, request.run),
            claim: bid.claim,
            full_share: bid.full_share,
            without: request.excluded.clone(),
            asked_ms: now_ms,
        };
        self.requests.insert(request.run, waiting);
    }

    /// A request has waited as long as it may; its caller may come back with another.
    pub(super) fn refuse(&mut self, now_ms: Millis, request: &PlacementRequest) {
        let refused = Refused {
            first_ms: self.since_ms(now_ms, request.run),
            until_ms: now_ms + request.left_ms,
        };
        self.refused.entry(request.retry_key).or_insert(refused);
        self.leave(request.run);
    }

    /// A request no longer waits.
    pub(super) fn leave(&mut self, run: RunKey) {
        self.requests.remove(&run);
    }

    /// Forgets those that don't ask any more.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        self.requests
            .retain(|_, one| now_ms.saturating_sub(one.asked_ms) < SILENT_MS);
        self.refused.retain(|_, one| now_ms < one.until_ms);
    }

    /// Whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What each request that waits claims, and whose it is.
    pub(super) fn claims(&self) -> impl Iterator<Item = (OrganisationKey, Claim)> {
        let all = self.requests.values();
        all.map(|one| (one.organisation, one.claim))
    }

    /// Those whose turn is before another's, by the shares of now: one may have come over its share,
    /// or below it, since it asked.
    fn before(&self, turn: Turn, shares: &Shares) -> Vec<(Turn, &Waiting)> {
        let all = self.requests.values().map(|one| {
            let is_over_share = shares.is_over(one.organisation, one.claim);
            let turn = Turn {
                is_over_share,
                ..one.turn
            };
            (turn, one)
        });
        let mut earlier: Vec<(Turn, &Waiting)> = all.filter(|(one, _)| *one < turn).collect();
        earlier.sort_by_key(|(turn, _)| *turn);
        earlier
    }
}

impl Cell {
    /// Keeps room for the requests whose turn comes before `turn`: for each on the engine that has
    /// most of it, which is where it will fit first.
    pub(super) fn reserve_for_waiting(&self, turn: Turn, shares: &Shares, forecast: &mut Forecast) {
        let mut kept = 0;
        for (_, one) in self.waiting.before(turn, shares) {
            let open = self.engines.values().filter(|engine| {
                let CellEngine { key, .. } = engine.entry;
                engine.is_open() && !one.without.contains(&key)
            });
            let shares = open.map(|engine| {
                let share = forecast.peak_share(engine, one.claim);
                (share, engine.entry.key)
            });
            let emptiest = shares.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((share, engine)) = emptiest else {
                continue;
            };
            let fits = share <= one.full_share;
            if !fits {
                kept += 1;
            }
            if fits || kept <= KEPT_FOR {
                forecast.reserve(engine, one.claim);
            }
        }
    }
}
