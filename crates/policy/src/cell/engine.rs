//! One engine of a cell.

use super::pace::EnginePace;
use super::run::RunKey;
use crate::cold::{Cold, ColdStarts};
use crate::failures::Failures;
use crate::key::{Millis, UpstreamKey};

/// Minimum notice period of an engine, used until the engine states its remaining time.
const MIN_NOTICE_MS: Millis = 1_500;
/// Maximum age of an engine's statement of its remaining time, including network delay.
pub(crate) const MAX_REPORT_AGE_MS: Millis = 600;
/// Lifetime of an orphaned copy as a multiple of the configured TTL, because engines only check for
/// such copies occasionally.
const ORPHANED_COPY_TTL_FACTOR: f32 = 1.8;
/// Backoff after an engine had no room for a transfer: about the time until one of its generations
/// ends.
const REFUSAL_BACKOFF_MS: Millis = 250;
/// A transfer that takes this many times its estimate no longer blocks its destination, because the
/// host that performs it may be frozen.
const OVERDUE_FACTOR: Millis = 3;

/// Capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Maximum batch size.
    pub slots: u32,
    /// Memory per token.
    pub token_bytes: u32,
    /// Bandwidth between engines of one data centre; half of it between data centres.
    pub link_mbps: f32,
    /// How long an unused copy is kept, as configured by the operator.
    pub copy_ttl_ms: Millis,
}

/// An engine as registered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellEngine {
    /// The key of the engine's current process; a restart changes it.
    pub key: UpstreamKey,
    /// Hash of the engine's name, which is the same after a restart.
    pub name: u64,
    /// Hash of its data centre.
    pub data_centre: u64,
    /// Whether it accepts no new generations.
    pub is_draining: bool,
    /// Whether its data centre is evacuated: it accepts no new generations and finishes those it
    /// has.
    pub is_evacuated: bool,
    /// Set while it can take only a few new requests per second.
    pub cold: Option<Cold>,
    /// Its capacity.
    pub capacity: EngineCapacity,
}

#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) entry: CellEngine,
    /// When all prompts sent to it will have been prefilled. A time since the start of the process,
    /// which an `f32` rounds to whole seconds after some months.
    pub(super) prefilled_at_ms: f64,
    /// Time that all prompts sent to it take or took to prefill.
    prefill_ms: f64,
    /// Its speed, as far as known.
    pub(super) pace: EnginePace,
    /// The latest time until which an incoming transfer blocks others.
    receiving_until_ms: Millis,
    /// What it costs if a prompt is prefilled here when the generation of the incoming transfer
    /// resumes.
    resume_risk_ms: f32,
    /// The latest time until which a transfer from this engine blocks others.
    sending_until_ms: Millis,
    /// No transfer is sent here before this time, because the engine had no room for one.
    refused_until_ms: Millis,
    orphaned_copies: Vec<OrphanedCopy>,
    /// Outcomes of the generations started on it.
    pub(super) failures: Failures,
    /// Recent starts while it was cold.
    cold_starts: ColdStarts,
    leaving_since_ms: Option<Millis>,
    /// Whether connections to it fail; it then gets no new generations.
    pub(super) is_unreachable: bool,
    /// The end time that the engine itself has stated.
    stated_end_ms: Option<Millis>,
}

/// A copy that can be neither used nor released: its transfer was cut, so its id is unknown.
#[derive(Debug, Clone, Copy)]
struct OrphanedCopy {
    /// Set while its host may still discard it: its generation has ended during the transfer.
    ended_run: Option<RunKey>,
    tokens: f32,
    until_ms: Millis,
}

impl Engine {
    pub(super) fn new(now_ms: Millis, entry: CellEngine) -> Self {
        Self {
            entry,
            prefilled_at_ms: 0.0,
            prefill_ms: 0.0,
            pace: EnginePace::default(),
            receiving_until_ms: 0,
            resume_risk_ms: 0.0,
            sending_until_ms: 0,
            refused_until_ms: 0,
            orphaned_copies: Vec::new(),
            failures: Failures::default(),
            cold_starts: ColdStarts::default(),
            leaving_since_ms: entry.is_draining.then_some(now_ms),
            is_unreachable: false,
            stated_end_ms: None,
        }
    }

    pub(super) fn update(&mut self, now_ms: Millis, entry: CellEngine) {
        self.entry = entry;
        match entry.is_draining {
            true => self.mark_leaving(now_ms),
            // The registration may be older than the engine's own statement.
            false if self.stated_end_ms.is_some() => {}
            false => self.leaving_since_ms = None,
        }
    }

    /// Marks the engine as leaving: it accepts nothing new and will end soon.
    pub(super) fn mark_leaving(&mut self, now_ms: Millis) {
        self.leaving_since_ms.get_or_insert(now_ms);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// The time until which its generations are certain to run.
    pub(super) fn ends_at_ms(&self) -> Option<Millis> {
        let min_end_ms = self.leaving_since_ms? + MIN_NOTICE_MS;
        Some(self.stated_end_ms.unwrap_or(min_end_ms))
    }

    /// Sets the remaining time that the engine has stated; true if it was not known before.
    pub(super) fn set_time_left(&mut self, now_ms: Millis, left_ms: Millis) -> bool {
        self.mark_leaving(now_ms);
        let end_ms = now_ms
            .saturating_add(left_ms)
            .saturating_sub(MAX_REPORT_AGE_MS);
        self.stated_end_ms.replace(end_ms).is_none()
    }

    /// Whether new generations may start on it.
    pub(super) fn is_open(&self) -> bool {
        !self.is_leaving() && !self.is_unreachable && !self.entry.is_evacuated
    }

    pub(super) fn is_cold(&self, now_ms: Millis) -> bool {
        self.entry.cold.is_some_and(|cold| now_ms < cold.until_ms)
    }

    /// Whether its start rate allows one more request now.
    pub(super) fn may_start(&self, now_ms: Millis) -> bool {
        let cold = self.entry.cold.filter(|cold| now_ms < cold.until_ms);
        cold.is_none_or(|cold| now_ms >= self.cold_starts.next_ms(cold.starts))
    }

    /// Records that a request is sent to it.
    pub(super) fn record_start(&mut self, now_ms: Millis) {
        if self.is_cold(now_ms) {
            self.cold_starts.record(now_ms);
        }
    }

    /// Records the start of a transfer to this engine and its expected duration.
    ///
    /// Two transfers to one engine share its link. The final short copy of each, during which the
    /// generation is stopped, would wait behind the long copy of the other, and callers would see a
    /// pause. So only one runs at a time.
    pub(super) fn begin_receiving(
        &mut self,
        now_ms: Millis,
        duration_ms: Millis,
        resume_risk_ms: f32,
    ) {
        self.resume_risk_ms = resume_risk_ms;
        self.receiving_until_ms = now_ms.saturating_add(duration_ms.saturating_mul(OVERDUE_FACTOR));
    }

    /// Records the end of the transfer to this engine.
    pub(super) fn finish_receiving(&mut self) {
        self.receiving_until_ms = 0;
    }

    /// What it costs to send a prompt here, because a generation is about to resume.
    pub(super) fn resume_risk_ms(&self, now_ms: Millis) -> f32 {
        match now_ms < self.receiving_until_ms {
            true => self.resume_risk_ms,
            false => 0.0,
        }
    }

    /// Records the start of a transfer from this engine and its expected duration.
    pub(super) fn begin_sending(&mut self, now_ms: Millis, duration_ms: Millis) {
        self.sending_until_ms = now_ms.saturating_add(duration_ms.saturating_mul(OVERDUE_FACTOR));
    }

    /// Records the end of a transfer from this engine.
    pub(super) fn finish_sending(&mut self) {
        self.sending_until_ms = 0;
    }

    /// Whether no transfer uses its link, either way.
    pub(super) fn has_free_link(&self, now_ms: Millis) -> bool {
        now_ms >= self.sending_until_ms.max(self.receiving_until_ms)
    }

    /// Records that it had no room for a transfer.
    pub(super) fn refuse_transfers(&mut self, now_ms: Millis) {
        self.refused_until_ms = now_ms + REFUSAL_BACKOFF_MS;
    }

    /// Whether a transfer to it may begin.
    pub(super) fn can_receive(&self, now_ms: Millis) -> bool {
        self.is_open()
            && self.may_start(now_ms)
            && self.has_free_link(now_ms)
            && now_ms >= self.refused_until_ms
    }

    /// Records that a transfer was cut and its partial copy remains here.
    ///
    /// If it were not counted, the home would place generations on engines that hold such a copy,
    /// where they would wait in the engine's queue until the copy expires.
    pub(super) fn add_orphaned_copy(&mut self, now_ms: Millis, tokens: f32) {
        self.add_copy(now_ms, None, tokens);
    }

    /// Records that a generation has ended during its transfer to this engine. The copy counts until
    /// its host has discarded it.
    pub(super) fn add_ended_copy(&mut self, now_ms: Millis, run: RunKey, tokens: f32) {
        self.add_copy(now_ms, Some(run), tokens);
    }

    fn add_copy(&mut self, now_ms: Millis, ended_run: Option<RunKey>, tokens: f32) {
        let lifetime_ms = self.entry.capacity.copy_ttl_ms as f32 * ORPHANED_COPY_TTL_FACTOR;
        self.orphaned_copies.retain(|copy| copy.until_ms > now_ms);
        self.orphaned_copies.push(OrphanedCopy {
            ended_run,
            tokens,
            until_ms: now_ms.saturating_add(lifetime_ms as Millis),
        });
    }

    /// Records that the copy of a generation that had ended has been discarded.
    pub(super) fn release_ended_copy(&mut self, run: RunKey) {
        self.orphaned_copies
            .retain(|copy| copy.ended_run != Some(run));
    }

    /// Memory held by orphaned copies.
    pub(super) fn orphaned_tokens(&self, now_ms: Millis) -> f32 {
        let live = self
            .orphaned_copies
            .iter()
            .filter(|copy| copy.until_ms > now_ms);
        live.map(|copy| copy.tokens).sum()
    }

    /// Adds a prompt whose prefill takes `prefill_ms`.
    pub(super) fn add_prefill(&mut self, now_ms: Millis, prefill_ms: f32) {
        let from_ms = self.prefilled_at_ms.max(now_ms as f64);
        self.prefilled_at_ms = from_ms + f64::from(prefill_ms);
        self.prefill_ms += f64::from(prefill_ms);
    }

    /// Time that it has spent on prefills until now.
    pub(super) fn prefilled_ms(&self, now_ms: Millis) -> f64 {
        self.prefill_ms - f64::from(self.prefill_wait_ms(now_ms))
    }

    /// Whether it will still prefill prompts at a time.
    pub(super) fn is_prefilling_at(&self, at_ms: Millis) -> bool {
        self.prefilled_at_ms > at_ms as f64
    }

    /// Time that it takes for anything, as a multiple of the cell's usual time.
    pub(super) fn pace_factor(&self) -> f32 {
        self.pace.factor()
    }

    /// How long a new prompt waits for the prefills queued before it.
    pub(super) fn prefill_wait_ms(&self, now_ms: Millis) -> f32 {
        (self.prefilled_at_ms - now_ms as f64).max(0.0) as f32
    }

    /// Time to transfer this many tokens to another engine.
    pub(super) fn transfer_ms(&self, tokens: u32, is_same_data_centre: bool) -> f32 {
        let capacity = self.entry.capacity;
        let bits = tokens as f32 * capacity.token_bytes as f32 * 8.0;
        let local_ms = bits / (capacity.link_mbps.max(1.0) * 1_000.0);
        if is_same_data_centre {
            local_ms
        } else {
            2.0 * local_ms
        }
    }
}
