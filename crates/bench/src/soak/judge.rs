//! What callers and upstreams saw, and which promises that breaks.

use std::collections::HashMap;

use fulmarpath_platform_standin::{ReceivedRequest, ReceivedResponse, RequestKind, StandInEngine};
use serde::Serialize;

/// Upstreams that a request may end: three show what it does, and where hosts are lost with what they
/// knew, three more.
const MOST_ENDED: u32 = 6;

/// One request and what its caller got.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) got: ReceivedResponse,
    /// Whether any fault of the seed may cut answers.
    pub(crate) may_be_cut: bool,
}

/// Counts of one seed; those up to `another_era` are violations, and ended upstreams over their bound.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Verdict {
    pub(crate) seed: u64,
    pub(crate) doubled_or_missing: u32,
    pub(crate) crossed: u32,
    pub(crate) false_not_run: u32,
    pub(crate) ran_twice: u32,
    pub(crate) unsigned: u32,
    pub(crate) cut: u32,
    pub(crate) unheard: u32,
    pub(crate) not_served_again: u32,
    pub(crate) not_in_force: u32,
    pub(crate) old_key_served: u32,
    /// Requests at upstreams of a data centre that was evacuated for longer than the bound.
    pub(crate) sent_to_evacuated: u32,
    /// Requests beyond what cold upstreams may get in a second.
    pub(crate) over_cold_rate: u32,
    /// Requests beyond the limits that upstreams have named.
    pub(crate) over_limit: u32,
    /// Requests at upstreams that had told all hosts that they leave.
    pub(crate) sent_to_leaving: u32,
    /// Requests beyond what upstreams may get that have asked for rest.
    pub(crate) sent_to_resting: u32,
    /// Hosts that went by another era than the store was in.
    pub(crate) another_era: u32,
    /// Upstreams that one caller's request has ended.
    pub(crate) ended_upstreams: u32,
    pub(crate) requests: u32,
    pub(crate) whole: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    pub(crate) faults: Vec<String>,
}

impl Verdict {
    pub(crate) fn violations(&self) -> u32 {
        self.doubled_or_missing
            + self.crossed
            + self.false_not_run
            + self.ran_twice
            + self.unsigned
            + self.cut
            + self.unheard
            + self.not_served_again
            + self.not_in_force
            + self.old_key_served
            + self.sent_to_evacuated
            + self.over_cold_rate
            + self.over_limit
            + self.sent_to_leaving
            + self.sent_to_resting
            + self.another_era
            + self.ended_upstreams.saturating_sub(MOST_ENDED)
    }

    /// Judges one request by what its caller got and how often upstreams began it.
    pub(crate) fn judge(&mut self, outcome: &Outcome, began: &HashMap<String, u32>) {
        let got = &outcome.got;
        let began = began.get(&outcome.id).copied().unwrap_or(0);
        self.requests += 1;
        if outcome.kind != RequestKind::Check && began > 1 {
            self.ran_twice += 1;
        }
        if got.status != 0 && got.id.as_deref() != Some(&outcome.id) {
            self.crossed += 1;
        }
        match got.status {
            200 if got.is_complete => {
                self.whole += 1;
                self.unsigned += u32::from(!got.is_signed);
                self.judge_body(outcome);
            }
            200 => {
                self.cut += u32::from(!outcome.may_be_cut);
                self.judge_body(outcome);
            }
            503 | 429 => {
                self.refused += 1;
                self.false_not_run += u32::from(began > 0);
            }
            0 => self.unheard += u32::from(!outcome.may_be_cut),
            _ => self.failed += 1,
        }
    }

    /// A body is the request's own, whole; or, where it is cut, its beginning in whole events.
    fn judge_body(&mut self, outcome: &Outcome) {
        let (id, got) = (&outcome.id, &outcome.got);
        if outcome.kind != RequestKind::Draft {
            let is_own = got.body.ends_with(&format!(" for {id}"));
            self.crossed += u32::from(got.is_complete && !is_own);
            return;
        }
        let expected = StandInEngine::expected_body(id, EVENTS);
        let is_right = match got.is_complete {
            true => got.body == expected,
            false => {
                expected.starts_with(&got.body)
                    && (got.body.is_empty() || got.body.ends_with("\n\n"))
            }
        };
        self.doubled_or_missing += u32::from(!is_right);
    }
}

/// Events of every answer.
const EVENTS: u64 = 60;

/// How often upstreams began each request; going on from a copy isn't a beginning.
pub(crate) fn begun(received: impl Iterator<Item = ReceivedRequest>) -> HashMap<String, u32> {
    let mut begun = HashMap::new();
    for request in received.filter(|request| !request.resumes_from_copy()) {
        *begun.entry(request.id().to_owned()).or_default() += 1;
    }
    begun
}
