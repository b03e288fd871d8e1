//! One engine of a cell.

use crate::cold::{Cold, ColdStarts};
use crate::failures::Failures;
use crate::key::{Millis, UpstreamKey};

/// Time for one token of each generation in a batch of usual size: a step, a little for each generation
/// in it, and a part of a prompt now and then.
pub(crate) const TOKEN_MS: f32 = 11.0;
/// What an engine's notice leaves at least, until the engine says more itself.
const NOTICE_MS: Millis = 1_500;
/// How old an engine's statement of the time it has left may be, with a little for the way.
pub(crate) const REPORT_AGE_MS: Millis = 600;
/// How long a copy that nobody can use or give up holds its memory, in times of what the operator
/// states: engines look for such copies now and then only.
const LEFT_BEHIND_TTLS: f32 = 1.8;
/// An engine that had no room for a transfer is not tried again for so long: about the time in
/// which one of its generations ends.
const REFUSED_MS: Millis = 250;
/// A transfer that takes this many times its estimate no longer keeps others from its destination:
/// the host that carries it may be frozen.
const OVERDUE: Millis = 3;

/// What is known of an engine's build.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Generations in a batch.
    pub slots: u32,
    /// Memory of one token.
    pub token_bytes: u32,
    /// The bandwidth between engines of one data centre; half of it between data centres.
    pub link_mbps: f32,
    /// How long a copy is kept that nothing uses, by the operator's word.
    pub copy_ttl_ms: Millis,
}

/// An engine as it is registered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellEngine {
    /// Its key, of this start of it.
    pub key: UpstreamKey,
    /// Its name, hashed, which stays where it starts again.
    pub name: u64,
    /// Its data centre, hashed.
    pub data_centre: u64,
    /// Whether it takes nothing new.
    pub is_draining: bool,
    /// Whether its data centre is evacuated: it gets nothing, and what runs there ends there.
    pub is_evacuated: bool,
    /// Set while it bears a few new requests a second only.
    pub cold: Option<Cold>,
    /// Its build.
    pub capacity: EngineCapacity,
}

#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) entry: CellEngine,
    /// When the prompts that were sent there will have been read.
    pub(super) prefilled_at_ms: f32,
    /// Until when a transfer that was sent here keeps others away at the latest.
    receiving_until_ms: Millis,
    /// It had no room for a transfer; none is sent here before.
    refused_until_ms: Millis,
    left_behind: Vec<LeftBehind>,
    /// What became of the generations that were started there.
    pub(super) failures: Failures,
    /// What was started there lately, so far as it was cold.
    cold_starts: ColdStarts,
    left_at_ms: Option<Millis>,
    /// No connection to it can be made: it gets nothing new.
    pub(super) is_gone: bool,
    /// When it ends, as it has said itself.
    stated_end_ms: Option<Millis>,
}

/// A copy that nobody can use or give up: its transfer was cut, so nobody knows its name.
#[derive(Debug, Clone, Copy)]
struct LeftBehind {
    tokens: f32,
    until_ms: Millis,
}

impl Engine {
    pub(super) fn new(now_ms: Millis, entry: CellEngine) -> Self {
        Self {
            entry,
            prefilled_at_ms: 0.0,
            receiving_until_ms: 0,
            refused_until_ms: 0,
            left_behind: Vec::new(),
            failures: Failures::default(),
            cold_starts: ColdStarts::default(),
            left_at_ms: entry.is_draining.then_some(now_ms),
            is_gone: false,
            stated_end_ms: None,
        }
    }

    pub(super) fn update(&mut self, now_ms: Millis, entry: CellEngine) {
        self.entry = entry;
        match entry.is_draining {
            true => self.leave(now_ms),
            // Its entry may be older than its own word.
            false if self.stated_end_ms.is_some() => {}
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
        let least_ms = self.left_at_ms? + NOTICE_MS;
        Some(self.stated_end_ms.unwrap_or(least_ms))
    }

    /// It has said how long it will be there; true where that was not known.
    pub(super) fn state_time_left(&mut self, now_ms: Millis, left_ms: Millis) -> bool {
        self.leave(now_ms);
        let end_ms = (now_ms + left_ms).saturating_sub(REPORT_AGE_MS);
        self.stated_end_ms.replace(end_ms).is_none()
    }

    /// Whether new generations may start on it.
    pub(super) fn is_open(&self) -> bool {
        !self.is_leaving() && !self.is_gone && !self.entry.is_evacuated
    }

    pub(super) fn is_cold(&self, now_ms: Millis) -> bool {
        self.entry.cold.is_some_and(|cold| now_ms < cold.until_ms)
    }

    /// Whether one more request may be sent there now, by what it bears.
    pub(super) fn may_start(&self, now_ms: Millis) -> bool {
        let cold = self.entry.cold.filter(|cold| now_ms < cold.until_ms);
        cold.is_none_or(|cold| now_ms >= self.cold_starts.next_ms(cold.starts))
    }

    /// A request is sent there.
    pub(super) fn note_start(&mut self, now_ms: Millis) {
        if self.is_cold(now_ms) {
            self.cold_starts.note(now_ms);
        }
    }

    /// A transfer to this engine begins, and takes so long.
    ///
    /// Two transfers to one engine share its link: each one's last short copy, for which the
    /// generation is stopped, then waits behind the other's long one, which callers see as a pause. So
    /// one at a time.
    pub(super) fn receive(&mut self, now_ms: Millis, takes_ms: Millis) {
        self.receiving_until_ms = now_ms + takes_ms * OVERDUE;
    }

    /// The transfer to this engine is over.
    pub(super) fn received(&mut self) {
        self.receiving_until_ms = 0;
    }

    /// It had no room for a transfer.
    pub(super) fn refuse(&mut self, now_ms: Millis) {
        self.refused_until_ms = now_ms + REFUSED_MS;
    }

    /// Whether a transfer may begin to it.
    pub(super) fn can_receive(&self, now_ms: Millis) -> bool {
        self.is_open()
            && self.may_start(now_ms)
            && now_ms >= self.receiving_until_ms.max(self.refused_until_ms)
    }

    /// A transfer was cut, and what it brought so far stays here.
    ///
    /// Without counting it a home sends generations to engines that hold such a copy, where they wait in
    /// the engine's queue until it lapses.
    pub(super) fn leave_behind(&mut self, now_ms: Millis, tokens: f32) {
        let lasts_ms = self.entry.capacity.copy_ttl_ms as f32 * LEFT_BEHIND_TTLS;
        self.left_behind.retain(|one| one.until_ms > now_ms);
        self.left_behind.push(LeftBehind {
            tokens,
            until_ms: now_ms + lasts_ms as Millis,
        });
    }

    /// Memory of copies that nobody can use.
    pub(super) fn left_behind_tokens(&self, now_ms: Millis) -> f32 {
        let lasting = self.left_behind.iter().filter(|one| one.until_ms > now_ms);
        lasting.map(|one| one.tokens).sum()
    }

    /// A prompt goes there that takes so long to be read.
    pub(super) fn prefill(&mut self, now_ms: Millis, read_ms: f32) {
        let from_ms = self.prefilled_at_ms.max(now_ms as f32);
        self.prefilled_at_ms = from_ms + read_ms;
    }

    /// How long a prompt that comes now waits for those before it.
    pub(super) fn prefill_wait_ms(&self, now_ms: Millis) -> f32 {
        (self.prefilled_at_ms - now_ms as f32).max(0.0)
    }

    /// How long so many tokens take to another engine.
    pub(super) fn transfer_ms(&self, tokens: u32, same_data_centre: bool) -> f32 {
        let capacity = self.entry.capacity;
        let bits = tokens as f32 * capacity.token_bytes as f32 * 8.0;
        let near_ms = bits / (capacity.link_mbps.max(1.0) * 1_000.0);
        if same_data_centre {
            near_ms
        } else {
            2.0 * near_ms
        }
    }
}
