//! How long a cell's answers are expected to be, as its home has seen them end.
//!
//! Answers callers' guesses, which are right in the middle and off by a factor of five either way in
//! a tenth of the cases: taken at their word they say more of the guess than of the answer. What is
//! kept is how long answers became that were guessed alike, and callers with the same bound are of one
//! kind. A home that has just begun knows nothing; what it sees in its first seconds counts with what
//! runs still, so that the short answers, which end first, don't mislead it.

use std::collections::BTreeMap;

use crate::key::Millis;
use crate::lengths::{Curve, Histogram, LEAST_CHANCE};

/// What a caller says of its answer's length.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stated {
    /// The bound.
    pub(super) limit_tokens: u32,
    /// The guess.
    pub(super) hint_tokens: Option<u32>,
}

impl Stated {
    /// Callers of one kind ask for answers of the same bound, to a doubling.
    fn kind(self) -> u32 {
        self.limit_tokens.max(1).ilog2()
    }

    /// Guesses that are alike, to a doubling; a guess beyond the bound is one at it.
    fn guess(self) -> Option<u32> {
        let hint_tokens = self.hint_tokens?.min(self.limit_tokens);
        Some(hint_tokens.max(1).ilog2())
    }
}

/// Answers of one kind.
#[derive(Debug)]
struct Kind {
    all: Histogram,
    by_guess: BTreeMap<u32, Histogram>,
}

/// The lengths of a cell's answers.
#[derive(Debug)]
pub(super) struct Answers {
    kinds: BTreeMap<u32, Kind>,
    unknown: Curve,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
            unknown: Curve::unknown(),
        }
    }
}

impl Answers {
    /// An answer has come from `from_tokens` to `to_tokens` and goes on.
    pub(super) fn advance(
        &mut self,
        now_ms: Millis,
        stated: Stated,
        from_tokens: u32,
        to_tokens: u32,
    ) {
        let kind = self.kind(now_ms, stated);
        kind.all.advance(from_tokens, to_tokens);
        if let Some(guessed) = kind.guessed(now_ms, stated) {
            guessed.advance(from_tokens, to_tokens);
        }
    }

    /// An answer that had `from_tokens` when it was last seen has ended, whole.
    pub(super) fn end(
        &mut self,
        now_ms: Millis,
        stated: Stated,
        from_tokens: u32,
        length_tokens: u32,
    ) {
        let unknown = self.unknown.clone();
        let kind = self.kind(now_ms, stated);
        kind.all.end(now_ms, from_tokens, length_tokens, &unknown);
        let parent = kind.all.curve().clone();
        if let Some(guessed) = kind.guessed(now_ms, stated) {
            guessed.end(now_ms, from_tokens, length_tokens, &parent);
        }
    }

    /// How long such answers are.
    fn curve(&self, stated: Stated) -> &Curve {
        let Some(kind) = self.kinds.get(&stated.kind()) else {
            return &self.unknown;
        };
        let guessed = stated.guess().and_then(|guess| kind.by_guess.get(&guess));
        guessed.unwrap_or(&kind.all).curve()
    }

    /// How many tokens an answer is expected to add to those that are out.
    pub(super) fn rest_tokens(&self, stated: Stated, out_tokens: f32) -> f32 {
        let left_tokens = (stated.limit_tokens as f32 - out_tokens).max(0.0);
        self.curve(stated).rest(out_tokens).min(left_tokens)
    }

    /// The chance that an answer with `out_tokens` goes on for `ahead_tokens` more.
    pub(super) fn goes_on_chance(&self, stated: Stated, out_tokens: f32, ahead_tokens: f32) -> f32 {
        let then_tokens = out_tokens + ahead_tokens;
        if then_tokens >= stated.limit_tokens as f32 {
            return 0.0;
        }
        let curve = self.curve(stated);
        let reached = curve.survive(out_tokens).max(LEAST_CHANCE);
        (curve.survive(then_tokens) / reached).min(1.0)
    }

    fn kind(&mut self, now_ms: Millis, stated: Stated) -> &mut Kind {
        let unknown = &self.unknown;
        self.kinds.entry(stated.kind()).or_insert_with(|| Kind {
            all: Histogram::new(now_ms, unknown),
            by_guess: BTreeMap::new(),
        })
    }
}

impl Kind {
    /// Answers of this kind that were guessed alike.
    fn guessed(&mut self, now_ms: Millis, stated: Stated) -> Option<&mut Histogram> {
        let guess = stated.guess()?;
        let all = &self.all;
        let guessed = self.by_guess.entry(guess);
        Some(guessed.or_insert_with(|| Histogram::new(now_ms, all.curve())))
    }
}
