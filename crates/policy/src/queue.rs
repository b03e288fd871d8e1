//! The service order of a home's queue.

use crate::fair::Fairness;
use crate::key::Millis;
use crate::permit_request::EnginePermitRequest;

/// Which request is served next, among those that the fairness bound allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderRule {
    /// The oldest first.
    Fifo,
    /// The smallest expected footprint first. Waiting time reduces the footprint that counts.
    SmallestFirst {
        /// Waiting time after which the footprint counts half.
        half_age_ms: Millis,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) request: EnginePermitRequest,
    pub(crate) since_ms: Millis,
    pub(crate) footprint_tokens: f32,
}

/// The index in `queue` of the request to serve next, if any is eligible.
///
/// Resumptions go first, because their callers have received tokens and see the wait as a gap.
/// Organisations within their guaranteed share follow, then those that borrow. No organisation
/// may be ahead of the least served waiting one by more than `lead_bound_tokens`. Without this
/// bound an organisation with many small requests would starve all others.
///
/// `borrows` tells whether a request takes its organisation beyond its guaranteed share.
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
        let is_ahead = fairness.charged(waiting.request.organisation) > charge_bound;
        if is_ahead && !waiting.request.is_resumption() {
            continue;
        }
        let borrows = !waiting.request.is_resumption() && borrows(&waiting.request);
        let rank = (borrows, rank(waiting, now_ms, rule));
        if best.is_none_or(|(_, other)| rank < other) {
            best = Some((index, rank));
        }
    }
    best.map(|(index, _)| index)
}

/// Sort key: resumptions first, then by age or footprint; the lowest is served first.
pub(crate) type Rank = (u8, f64);

pub(crate) fn rank(waiting: &Waiting, now_ms: Millis, rule: OrderRule) -> Rank {
    let since = waiting.since_ms as f64;
    if waiting.request.is_resumption() {
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
