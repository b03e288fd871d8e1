//! The order in which a home's queue is served.

use crate::fair::Fairness;
use crate::home::Ask;
use crate::key::Millis;

/// Which ask is served next, among those that fairness allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderRule {
    /// The oldest.
    Fifo,
    /// The smallest expected footprint; an ask older than the bound goes before all younger ones.
    SmallestFirst {
        /// After so long an ask can't be overtaken any more.
        age_bound_ms: Millis,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) ask: Ask,
    pub(crate) since_ms: Millis,
    pub(crate) footprint_tokens: f32,
}

/// The place in `queue` of the ask to serve next.
///
/// Resumptions go first: their callers have tokens already and see the wait as a gap. Then nobody
/// may be ahead of the least served waiting organisation by more than `lead_bound_tokens`, since
/// without that bound an organisation with many small asks would starve all others.
pub(crate) fn next(
    queue: &[Waiting],
    now_ms: Millis,
    rule: OrderRule,
    fairness: &Fairness,
    lead_bound_tokens: f64,
) -> Option<usize> {
    let least = fairness.least_waiting();
    let mut best: Option<(usize, (u8, f64))> = None;
    for (index, waiting) in queue.iter().enumerate() {
        let rank = rank(waiting, now_ms, rule, fairness, least + lead_bound_tokens);
        let Some(rank) = rank else { continue };
        if best.is_none_or(|(_, other)| rank < other) {
            best = Some((index, rank));
        }
    }
    best.map(|(index, _)| index)
}

fn rank(
    waiting: &Waiting,
    now_ms: Millis,
    rule: OrderRule,
    fairness: &Fairness,
    charge_bound: f64,
) -> Option<(u8, f64)> {
    let since = waiting.since_ms as f64;
    if waiting.ask.is_resumption() {
        return Some((0, since));
    }
    if fairness.charged(waiting.ask.organisation) > charge_bound {
        return None;
    }
    match rule {
        OrderRule::Fifo => Some((1, since)),
        OrderRule::SmallestFirst { age_bound_ms } => {
            if now_ms.saturating_sub(waiting.since_ms) >= age_bound_ms {
                Some((1, since))
            } else {
                Some((2, f64::from(waiting.footprint_tokens)))
            }
        }
    }
}
