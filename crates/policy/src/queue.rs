//! The order in which a home's queue is served.

use crate::fair::Fairness;
use crate::key::Millis;
use crate::permit_request::EnginePermitRequest;

/// Which ask is served next, among those that fairness allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderRule {
    /// The oldest.
    Fifo,
    /// The smallest expected footprint, which counts for less the longer an ask has waited.
    SmallestFirst {
        /// After so long a footprint counts for half.
        half_age_ms: Millis,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) ask: EnginePermitRequest,
    pub(crate) since_ms: Millis,
    pub(crate) footprint_tokens: f32,
}

/// The place in `queue` of the ask to serve next, if fairness lets anybody.
///
/// Resumptions go first: their callers have tokens already and see the wait as a gap. Then come
/// organisations within their guaranteed share, then those that borrow. Nobody may be ahead of the
/// least served waiting organisation by more than `lead_bound_tokens`, since without that bound an
/// organisation with many small asks would starve all others.
pub(crate) fn next(
    queue: &[Waiting],
    now_ms: Millis,
    rule: OrderRule,
    fairness: &Fairness,
    lead_bound_tokens: f64,
    borrows: impl Fn(&EnginePermitRequest) -> bool,
) -> Option<usize> {
    let charge_bound = fairness.least_waiting() + lead_bound_tokens;
    let mut best: Option<(usize, (bool, Rank))> = None;
    for (index, waiting) in queue.iter().enumerate() {
        let is_ahead = fairness.charged(waiting.ask.organisation) > charge_bound;
        if is_ahead && !waiting.ask.is_resumption() {
            continue;
        }
        let borrows = !waiting.ask.is_resumption() && borrows(&waiting.ask);
        let rank = (borrows, rank(waiting, now_ms, rule));
        if best.is_none_or(|(_, other)| rank < other) {
            best = Some((index, rank));
        }
    }
    best.map(|(index, _)| index)
}

/// A place in the order: resumptions first, then by age or footprint; lower goes first.
pub(crate) type Rank = (u8, f64);

pub(crate) fn rank(waiting: &Waiting, now_ms: Millis, rule: OrderRule) -> Rank {
    let since = waiting.since_ms as f64;
    if waiting.ask.is_resumption() {
        return (0, since);
    }
    match rule {
        OrderRule::Fifo => (1, since),
        OrderRule::SmallestFirst { half_age_ms } => {
            let waited_ms = now_ms.saturating_sub(waiting.since_ms) as f64;
            let age = 1.0 + waited_ms / half_age_ms.max(1) as f64;
            (1, f64::from(waiting.footprint_tokens) / age)
        }
    }
}
