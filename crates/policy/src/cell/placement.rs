//! A request to place a generation, and the result.

use serde::{Deserialize, Serialize};

use super::answer_lengths::{AnswerLengths, StatedLength};
use super::forecast::MemoryDemand;
use super::pace::Pace;
use super::prefill_rate::PrefillRate;
use super::run::RunKey;
use crate::key::{HostKey, Millis, OrganisationKey, UpstreamKey};

/// No generation starts where the predicted peak exceeds this share of the memory.
///
/// Length predictions are learned and leave little variance, so only a small reserve is kept; an
/// overcommitted engine pauses generations.
pub(super) const FULL_SHARE: f32 = 0.98;
/// Like [`FULL_SHARE`], but for requests that cannot be on time or would be late there: they would
/// delay others that can still be on time, and a late answer has a seventh of the value.
pub(super) const LATE_FULL_SHARE: f32 = 0.75;
/// A late retry of a generation of at most this many tokens, which takes about a second, is exempt
/// from [`LATE_FULL_SHARE`], unless its prefill would end too late on the engine.
const BRIEF_TOKENS: u32 = 64;
/// Retry delay when every engine is full, as a share of the caller's remaining time. The delay is
/// spread over this range, which prevents callers refused together from returning together.
///
/// A refused request can no longer be on time, so the goal is to serve it at all, and its caller
/// returns once or twice. After a usual Retry-After it would return into the same overload and be
/// refused again. Callers respect a retry delay of up to a third of their time.
const RETRY_AFTER_SHARES: std::ops::Range<f32> = 0.20..0.32;
/// Latest start of that range, if room is expected later. The rest of the range keeps callers apart.
const MAX_RETRY_FROM_SHARE: f32 = 0.27;

/// A request to place a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The generation.
    pub run: RunKey,
    /// The host that will relay it.
    pub host: HostKey,
    /// The organisation that sent it.
    pub organisation: OrganisationKey,
    /// Hash of the relaying host's data centre.
    pub data_centre: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer.
    pub limit_tokens: u32,
    /// The caller's estimate of the length.
    pub hint_tokens: Option<u32>,
    /// Hash of the content, equal for all retries of a caller.
    #[serde(rename = "likeness")]
    pub retry_key: u64,
    /// Priority of its organisation or route; 0 is the most urgent.
    pub priority: u8,
    /// Bound on the pauses between its events, if it has one.
    pub gap_target_ms: Option<Millis>,
    /// How long its first event may still take to be on time.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: Millis,
    /// The caller's remaining timeout.
    pub left_ms: Millis,
    /// Whether it has waited as long as it may. A late answer is better for its caller than none.
    #[serde(rename = "is_last_call")]
    pub is_final_attempt: bool,
    /// Engines that have already refused it.
    #[serde(rename = "without")]
    pub excluded: Vec<UpstreamKey>,
    /// Whether engines keep backup copies for each other.
    pub can_back_up: bool,
}

/// State of the selected engine as known to the home.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// Generations running on it before this one.
    pub running: u32,
    /// Predicted peak share of its memory, in thousandths.
    pub peak_permille: u32,
    /// How long the prompt waits for the prefills queued before it.
    pub prefill_wait_ms: u32,
}

/// The result of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// It starts on this engine.
    On {
        /// The engine.
        engine: UpstreamKey,
        /// The engine that keeps a backup copy of its memory.
        backup: Option<UpstreamKey>,
        /// State of the engine that led to the decision.
        seen: EngineSnapshot,
    },
    /// No engine has room now.
    Full {
        /// When its caller should retry, if it is refused.
        retry_after_ms: Millis,
        /// Whether the home has refused it, so that asking again is of no use. Otherwise the home
        /// keeps its place in the queue.
        is_refused: bool,
        /// Whether an engine has room for it that is kept for more urgent requests.
        lacks_protected_room: bool,
    },
    /// It exceeds the memory of every engine of the cell.
    TooLarge,
    /// The cell has no engine that accepts work.
    NoEngine,
}

impl PlacementRequest {
    /// Maximum share of an engine's memory at which it may start there.
    pub(super) fn full_share(&self, is_late: bool) -> f32 {
        match is_late && self.limit_tokens > BRIEF_TOKENS {
            true => LATE_FULL_SHARE,
            false => FULL_SHARE,
        }
    }

    /// When its caller should retry if there is no room before `room_expected_ms` from now.
    pub(super) fn retry_after_ms(&self, room_expected_ms: Millis) -> Millis {
        let expected_share = room_expected_ms as f32 / self.left_ms.max(1) as f32;
        let from = expected_share.clamp(RETRY_AFTER_SHARES.start, MAX_RETRY_FROM_SHARE);
        let width = RETRY_AFTER_SHARES.end - from;
        let draw = (self.retry_key % 1_000) as f32 / 1_000.0;
        (self.left_ms as f32 * (from + width * draw)) as Millis
    }

    /// Duration of its prefill, without queueing.
    pub(super) fn prefill_ms(&self, prefill_rate: &PrefillRate) -> f32 {
        prefill_rate.ms(self.prompt_tokens as f32)
    }

    /// The latest start at which it is on time.
    pub(super) fn latest_start_ms(&self, now_ms: Millis, prefill_rate: &PrefillRate) -> Millis {
        now_ms
            .saturating_add(self.max_wait_ms)
            .saturating_sub(self.prefill_ms(prefill_rate) as Millis)
    }

    /// The length as stated by its caller.
    fn stated_length(&self) -> StatedLength {
        StatedLength {
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
        }
    }

    pub(super) fn demand(&self, answer_lengths: &AnswerLengths, pace: &Pace) -> MemoryDemand {
        MemoryDemand {
            held_tokens: self.prompt_tokens as f32,
            remaining_tokens: answer_lengths.remaining_tokens(self.stated_length(), 0.0),
            token_ms: pace.token_ms(),
        }
    }
}
