//! Estimates answer lengths for a cell from the answers that ended at its home.
//!
//! A caller's hint is right on average but off by a factor of five in either direction in a tenth
//! of the cases, so it is not used as a length. Instead, the home records the lengths of answers
//! with similar hints, and groups callers by their output limit. A new home has no data. Answers
//! still running are counted too; otherwise the short answers, which end first, would bias the
//! first seconds.

use std::collections::BTreeMap;

use crate::key::Millis;
use crate::lengths::{Histogram, MIN_PROBABILITY, SurvivalCurve};

/// The length of an answer as stated by its caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct StatedLength {
    /// Maximum length.
    pub(super) limit_tokens: u32,
    /// The caller's estimate.
    pub(super) hint_tokens: Option<u32>,
}

impl StatedLength {
    /// Groups answers by their limit, in powers of two.
    fn limit_class(self) -> u32 {
        self.limit_tokens.max(1).ilog2()
    }

    /// Groups answers by their hint, in powers of two; a hint above the limit is capped to it.
    fn hint(self) -> Option<u32> {
        let hint_tokens = self.hint_tokens?.min(self.limit_tokens);
        Some(hint_tokens.max(1).ilog2())
    }
}

/// Answers of one limit class.
#[derive(Debug)]
struct LimitClass {
    all: Histogram,
    by_hint: BTreeMap<u32, Histogram>,
}

/// The distribution of answer lengths in a cell.
#[derive(Debug)]
pub(super) struct AnswerLengths {
    by_limit: BTreeMap<u32, LimitClass>,
    prior: SurvivalCurve,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        Self {
            by_limit: BTreeMap::new(),
            prior: SurvivalCurve::prior(),
        }
    }
}

impl AnswerLengths {
    /// Records that an answer has grown from `from_tokens` to `to_tokens` and is still running.
    pub(super) fn advance(
        &mut self,
        now_ms: Millis,
        stated: StatedLength,
        from_tokens: u32,
        to_tokens: u32,
    ) {
        let limit_class = self.limit_class(now_ms, stated);
        limit_class.all.advance(from_tokens, to_tokens);
        if let Some(hinted) = limit_class.hinted(now_ms, stated) {
            hinted.advance(from_tokens, to_tokens);
        }
    }

    /// Records that an answer is complete; it had `from_tokens` at the previous statement.
    pub(super) fn end(
        &mut self,
        now_ms: Millis,
        stated: StatedLength,
        from_tokens: u32,
        length_tokens: u32,
    ) {
        let prior = self.prior.clone();
        let limit_class = self.limit_class(now_ms, stated);
        limit_class
            .all
            .end(now_ms, from_tokens, length_tokens, &prior);
        let parent = limit_class.all.curve().clone();
        if let Some(hinted) = limit_class.hinted(now_ms, stated) {
            hinted.end(now_ms, from_tokens, length_tokens, &parent);
        }
    }

    /// The length distribution for answers with this limit and hint.
    fn curve(&self, stated: StatedLength) -> &SurvivalCurve {
        let Some(limit_class) = self.by_limit.get(&stated.limit_class()) else {
            return &self.prior;
        };
        let hinted = stated
            .hint()
            .and_then(|hint| limit_class.by_hint.get(&hint));
        hinted.unwrap_or(&limit_class.all).curve()
    }

    /// Expected number of tokens still to come for an answer that has `out_tokens`.
    pub(super) fn remaining_tokens(&self, stated: StatedLength, out_tokens: f32) -> f32 {
        let left_tokens = (stated.limit_tokens as f32 - out_tokens).max(0.0);
        self.curve(stated)
            .expected_remaining(out_tokens)
            .min(left_tokens)
    }

    /// Probability that an answer with `out_tokens` is still running `ahead_tokens` later.
    pub(super) fn running_probability(
        &self,
        stated: StatedLength,
        out_tokens: f32,
        ahead_tokens: f32,
    ) -> f32 {
        let then_tokens = out_tokens + ahead_tokens;
        if then_tokens >= stated.limit_tokens as f32 {
            return 0.0;
        }
        let curve = self.curve(stated);
        let reached = curve.survival(out_tokens).max(MIN_PROBABILITY);
        (curve.survival(then_tokens) / reached).min(1.0)
    }

    fn limit_class(&mut self, now_ms: Millis, stated: StatedLength) -> &mut LimitClass {
        let prior = &self.prior;
        self.by_limit
            .entry(stated.limit_class())
            .or_insert_with(|| LimitClass {
                all: Histogram::new(now_ms, prior),
                by_hint: BTreeMap::new(),
            })
    }
}

impl LimitClass {
    /// Answers of this class with the same hint.
    fn hinted(&mut self, now_ms: Millis, stated: StatedLength) -> Option<&mut Histogram> {
        let hint = stated.hint()?;
        let all = &self.all;
        let hinted = self.by_hint.entry(hint);
        Some(hinted.or_insert_with(|| Histogram::new(now_ms, all.curve())))
    }
}
