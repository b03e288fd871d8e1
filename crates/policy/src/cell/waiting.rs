//! Who waits for room in a cell, and who goes first.
//!
//! Answers crowded cells: requests for more memory than there is, of sizes that differ by six. Asked
//! one by one and without an order, whoever asked next took whatever had just become free: of one
//! crowded day's largest tenth of reports a third of the tries were refused, of its smallest quarter
//! none. Requests that fit now get their room by turn, before those that come later; for the first
//! that does not fit, room is kept on the engine that has most of it. What is kept is idle, so it is
//! kept for one only: of the long answers at load 1.15 0.886 are on time so, 0.875 where it is kept
//! for three (`fulmarpath-bench cell`, six seeds).

use std::collections::HashMap;

use super::forecast::{Claim, Forecast};
use super::placement::PlacementRequest;
use super::run::RunKey;
use super::{Cell, CellEngine};
use crate::key::{Millis, UpstreamKey};

/// A request that has not asked again for so long has given up: several of its periods.
const SILENT_MS: Millis = 250;
/// Requests without room now for which some is kept until it is enough.
const KEPT_FOR: u32 = 1;
/// How long a refused request is remembered: its caller comes back within a third of the time that
/// it has, by the callers' rules.
const TRIED_MS: Millis = 13_000;

/// Whose turn it is: what can still be on time, then the more urgent, then what has to start first
/// to be on time. (Earliest deadline first, the deadline being that of the start: least laxity.)
///
/// By arrival alone the large waited as long as the small and then had the longer prompts to read.
/// On six crowded days of three deployments, three seeds each, the largest tenth of the long answers
/// earned 0.47 of their benefit so where all together earned 0.78, and 0.67 with this order; of the
/// short ones, whose target is nearer, 0.2% were refused in place of 1.0%; the day's worth rose from
/// 0.693 to 0.711. A request overtakes only such as came later than it by less than the difference of
/// their reading times and targets, so the wait of none grows with what comes after it.
///
/// An answer that is late already is worth a seventh to its caller, by the users' sheets, and takes
/// as much memory as one on time. Served by turns with the others, it makes one of them late too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) is_late: bool,
    priority: u8,
    /// When it must start at the latest to be on time.
    latest_ms: Millis,
    run: RunKey,
}

#[derive(Debug, Clone)]
struct Waiting {
    turn: Turn,
    since_ms: Millis,
    claim: Claim,
    full_share: f32,
    without: Vec<UpstreamKey>,
    asked_ms: Millis,
}

/// The requests that wait for room.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    requests: HashMap<RunKey, Waiting>,
    /// When the first try of each request that was refused had come, by likeness.
    refused: HashMap<u64, Millis>,
}

impl WaitingList {
    /// The turn of a request that asks now.
    pub(super) fn turn(&self, now_ms: Millis, request: &PlacementRequest) -> Turn {
        let known = self.requests.get(&request.run);
        let since_ms = known.map_or(now_ms, |known| known.since_ms);
        let tried_ms = self.refused.get(&request.likeness);
        let tried_ms = tried_ms.map_or(0, |first_ms| since_ms.saturating_sub(*first_ms));
        Turn {
            is_late: tried_ms >= request.patience_ms,
            priority: request.priority,
            latest_ms: known.map_or_else(|| request.latest_ms(now_ms), |one| one.turn.latest_ms),
            run: request.run,
        }
    }

    fn since_ms(&self, now_ms: Millis, run: RunKey) -> Millis {
        self.requests.get(&run).map_or(now_ms, |one| one.since_ms)
    }

    /// A request finds no room and will ask again.
    pub(super) fn wait(&mut self, now_ms: Millis, request: &PlacementRequest) {
        let turn = self.turn(now_ms, request);
        let waiting = Waiting {
            turn,
            since_ms: self.since_ms(now_ms, request.run),
            claim: request.claim(),
            full_share: request.full_share(turn.is_late),
            without: request.without.clone(),
            asked_ms: now_ms,
        };
        self.requests.insert(request.run, waiting);
    }

    /// A request has waited as long as it may; its caller may come back with another.
    pub(super) fn refuse(&mut self, now_ms: Millis, request: &PlacementRequest) {
        let since_ms = self.since_ms(now_ms, request.run);
        self.refused.entry(request.likeness).or_insert(since_ms);
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
        self.refused
            .retain(|_, first_ms| now_ms.saturating_sub(*first_ms) < TRIED_MS);
    }

    fn before(&self, turn: Turn) -> Vec<&Waiting> {
        let earlier = self.requests.values().filter(|one| one.turn < turn);
        let mut earlier: Vec<&Waiting> = earlier.collect();
        earlier.sort_by_key(|one| one.turn);
        earlier
    }
}

impl Cell {
    /// Keeps room for the requests whose turn comes before `turn`: for each on the engine that has
    /// most of it, which is where it will fit first.
    pub(super) fn reserve_for_waiting(&self, turn: Turn, forecast: &mut Forecast) {
        let mut kept = 0;
        for one in self.waiting.before(turn) {
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
