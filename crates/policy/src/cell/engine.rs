//! One engine of a cell.

use crate::key::{Millis, UpstreamKey};

/// Prompt tokens that an engine reads in a millisecond beside a batch that goes on: a chunk of 112
/// a step, each 15 to 16 ms long with it, by the figures of the users' sheets.
pub(crate) const PREFILL_TOKENS_PER_MS: f32 = 9.0;
/// Time for one token of each generation in a batch of usual size, from the users' sheets: a step
/// of 7 ms, 0.12 ms for each generation in it, and a part of a prompt now and then.
pub(crate) const TOKEN_MS: f32 = 11.0;
/// What an engine's notice leaves at least, from the users' sheets.
const NOTICE_MS: Millis = 1_500;

/// What is known of an engine's build.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFigures {
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Generations in a batch.
    pub slots: u32,
    /// Memory of one token.
    pub token_bytes: u32,
    /// The bandwidth between engines of one data centre; half of it between data centres.
    pub link_mbps: f32,
}

/// An engine as it is registered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellEngine {
    /// Its key.
    pub key: UpstreamKey,
    /// Its data centre, hashed.
    pub data_centre: u64,
    /// Whether it takes nothing new.
    pub is_draining: bool,
    /// Its build.
    pub figures: EngineFigures,
}

#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) entry: CellEngine,
    /// When the prompts that were sent there will have been read.
    pub(super) prefilled_at_ms: f32,
    /// When the transfers that were given to its link will be over.
    pub(super) link_free_ms: Millis,
    left_at_ms: Option<Millis>,
}

impl Engine {
    pub(super) fn new(now_ms: Millis, entry: CellEngine) -> Self {
        Self {
            entry,
            prefilled_at_ms: 0.0,
            link_free_ms: 0,
            left_at_ms: entry.is_draining.then_some(now_ms),
        }
    }

    pub(super) fn update(&mut self, now_ms: Millis, entry: CellEngine) {
        self.entry = entry;
        match entry.is_draining {
            true => self.leave(now_ms),
            false => self.left_at_ms = None,
        }
    }

    /// The engine takes nothing new and will be gone soon.
    pub(super) fn leave(&mut self, now_ms: Millis) {
        self.left_at_ms.get_or_insert(now_ms);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.left_at_ms.is_some()
    }

    /// Until when its generations surely go on.
    pub(super) fn gone_at_ms(&self) -> Option<Millis> {
        self.left_at_ms.map(|at_ms| at_ms + NOTICE_MS)
    }

    /// A prompt goes there.
    pub(super) fn prefill(&mut self, now_ms: Millis, prompt_tokens: u32) {
        let from_ms = self.prefilled_at_ms.max(now_ms as f32);
        self.prefilled_at_ms = from_ms + prompt_tokens as f32 / PREFILL_TOKENS_PER_MS;
    }

    /// How long a prompt that comes now waits for those before it.
    pub(super) fn prefill_wait_ms(&self, now_ms: Millis) -> f32 {
        (self.prefilled_at_ms - now_ms as f32).max(0.0)
    }

    /// How long so many tokens take to another engine.
    pub(super) fn transfer_ms(&self, tokens: u32, same_data_centre: bool) -> f32 {
        let figures = self.entry.figures;
        let bits = tokens as f32 * figures.token_bytes as f32 * 8.0;
        let near_ms = bits / (figures.link_mbps.max(1.0) * 1_000.0);
        if same_data_centre {
            near_ms
        } else {
            2.0 * near_ms
        }
    }
}
