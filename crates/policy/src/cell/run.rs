//! One generation of a cell.

use serde::{Deserialize, Serialize};

use super::answer_lengths::{AnswerLengths, StatedLength};
use super::measurement::Measurement;
use super::placement::PlacementRequest;
use super::resumption::Resumption;
use crate::key::{HostKey, Millis, OrganisationKey, UpstreamKey};

/// A generation's key: a hash of its caller's request, the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u64);

/// A placement younger than this may be missing from its host's statement, which may have been sent
/// before it.
const RECENT_MS: Millis = 1_500;

/// A generation as stated by the host that relays it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatement {
    /// The generation.
    pub run: RunKey,
    /// The organisation that requested it.
    pub organisation: OrganisationKey,
    /// The engine that it runs on.
    pub engine: UpstreamKey,
    /// The engine that keeps a backup copy of its memory.
    pub backup: Option<UpstreamKey>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens received by the host.
    pub out_tokens: u32,
    /// Maximum length of the answer.
    pub limit_tokens: u32,
    /// The caller's estimate of the length.
    pub hint_tokens: Option<u32>,
    /// Bound on the pauses between its events, if it has one.
    pub gap_target_ms: Option<Millis>,
    /// Longest pause between two of its events since the previous statement.
    pub longest_pause_ms: Millis,
    /// Priority of its organisation or route; 0 is the most urgent.
    pub priority: u8,
}

/// How a generation ended, as seen by the host that relayed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Tokens received by the host.
    pub out_tokens: u32,
    /// Whether its engine ended it, rather than its caller or a failure.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Time from its placement to its first event, if it was sent to one engine only.
    pub first_ms: Option<Millis>,
}

/// The first token as expected when its generation was placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedFirst {
    /// Time from the placement to the token.
    pub(super) after_ms: Millis,
    /// The factor that was assumed for the engine.
    pub(super) pace_factor: f32,
}

/// Where a generation starts, and what is expected of its engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartedOn {
    pub(super) engine: UpstreamKey,
    pub(super) backup: Option<UpstreamKey>,
    /// When its first token is expected.
    pub(super) first_token_ms: Millis,
    /// Expected time per token.
    pub(super) token_ms: f32,
    /// The engine's speed.
    pub(super) pace_factor: f32,
    /// What it costs in a second of prefill beside it that it may become late.
    pub(super) prefill_risk_per_s: f32,
}

#[derive(Debug, Clone)]
pub(super) struct Run {
    host: HostKey,
    pub(super) organisation: OrganisationKey,
    /// 0 is the most urgent.
    pub(super) priority: u8,
    engine: UpstreamKey,
    backup: Option<UpstreamKey>,
    /// The destination of a migration in progress.
    migrating_to: Option<UpstreamKey>,
    pub(super) prompt_tokens: u32,
    limit_tokens: u32,
    hint_tokens: Option<u32>,
    out_tokens: u32,
    /// When `out_tokens` was reached; in the future while the prompt is being prefilled.
    out_tokens_at_ms: Millis,
    placed_ms: Millis,
    /// `None` if another home placed it.
    expected_first: Option<ExpectedFirst>,
    /// Time per token on its engine.
    token_ms: f32,
    /// Bound on its pauses.
    pub(super) gap_target_ms: Option<Millis>,
    /// Whether a pause has exceeded the bound.
    pub(super) is_late: bool,
    /// What it costs in a second of prefill beside it that it may become late.
    pub(super) prefill_risk_per_s: f32,
    /// Set for a moment after a migration.
    pub(super) resumption: Option<Resumption>,
    /// Measures the speed of its engine by its progress.
    pub(super) measurement: Measurement,
    /// The engine that it was migrated from, and when.
    moved_from: Option<(UpstreamKey, Millis)>,
    /// No migration is attempted before this time, because one has failed.
    pub(super) backoff_until_ms: Millis,
    /// It is counted only until then if its host does not state it; `None` once it has.
    pub(super) unconfirmed_until_ms: Option<Millis>,
}

impl Run {
    pub(super) fn placed(
        now_ms: Millis,
        started_on: StartedOn,
        request: &PlacementRequest,
    ) -> Self {
        let StartedOn {
            engine,
            backup,
            first_token_ms,
            token_ms,
            pace_factor,
            prefill_risk_per_s,
        } = started_on;
        Self {
            host: request.host,
            organisation: request.organisation,
            priority: request.priority,
            engine,
            backup,
            migrating_to: None,
            prompt_tokens: request.prompt_tokens,
            limit_tokens: request.limit_tokens,
            hint_tokens: request.hint_tokens,
            out_tokens: 0,
            out_tokens_at_ms: first_token_ms,
            placed_ms: now_ms,
            expected_first: Some(ExpectedFirst {
                after_ms: first_token_ms.saturating_sub(now_ms),
                pace_factor,
            }),
            token_ms,
            gap_target_ms: request.gap_target_ms,
            is_late: false,
            prefill_risk_per_s,
            resumption: None,
            measurement: Measurement::default(),
            moved_from: None,
            backoff_until_ms: 0,
            unconfirmed_until_ms: None,
        }
    }

    pub(super) fn restored(
        now_ms: Millis,
        host: HostKey,
        token_ms: f32,
        statement: &RunStatement,
    ) -> Self {
        Self {
            host,
            organisation: statement.organisation,
            priority: statement.priority,
            engine: statement.engine,
            backup: statement.backup,
            migrating_to: None,
            prompt_tokens: statement.prompt_tokens,
            limit_tokens: statement.limit_tokens,
            hint_tokens: statement.hint_tokens,
            out_tokens: statement.out_tokens,
            out_tokens_at_ms: now_ms,
            placed_ms: now_ms,
            expected_first: None,
            token_ms,
            gap_target_ms: statement.gap_target_ms,
            is_late: false,
            prefill_risk_per_s: 0.0,
            resumption: None,
            measurement: Measurement::default(),
            moved_from: None,
            backoff_until_ms: 0,
            unconfirmed_until_ms: None,
        }
    }

    pub(super) fn restate(&mut self, now_ms: Millis, token_ms: f32, statement: &RunStatement) {
        self.unconfirmed_until_ms = None;
        // The statement may have been sent before the outcome of the migration.
        let is_earlier = self.moved_from.is_some_and(|(from, moved_ms)| {
            from == statement.engine && now_ms.saturating_sub(moved_ms) < RECENT_MS
        });
        if self.is_migrating() || is_earlier || self.engine != statement.engine {
            self.measurement.interrupt();
        }
        if !is_earlier {
            self.engine = statement.engine;
        }
        self.backup = statement.backup;
        self.token_ms = token_ms;
        let is_over = |bound_ms| statement.longest_pause_ms > bound_ms;
        self.is_late |= self.gap_target_ms.is_some_and(is_over);
        if statement.out_tokens > 0 {
            self.out_tokens = statement.out_tokens;
            self.out_tokens_at_ms = now_ms;
        }
    }

    /// Time per token on its engine.
    pub(super) fn token_ms(&self) -> f32 {
        self.token_ms
    }

    /// When it was placed.
    pub(super) fn placed_ms(&self) -> Millis {
        self.placed_ms
    }

    pub(super) fn expected_first(&self) -> Option<ExpectedFirst> {
        self.expected_first
    }

    pub(super) fn host(&self) -> HostKey {
        self.host
    }

    pub(super) fn is_migrating(&self) -> bool {
        self.migrating_to.is_some()
    }

    /// The destination of a migration in progress.
    pub(super) fn migrating_to(&self) -> Option<UpstreamKey> {
        self.migrating_to
    }

    pub(super) fn begin_migration(&mut self, to: UpstreamKey) {
        self.migrating_to = Some(to);
        self.measurement.interrupt();
    }

    /// Records the end of a migration, whether it succeeded or not.
    pub(super) fn finish_migration(&mut self, now_ms: Millis, has_migrated: bool) {
        self.measurement.interrupt();
        if let Some(to) = self.migrating_to.take()
            && has_migrated
        {
            self.moved_from = Some((self.engine, now_ms));
            self.engine = to;
        }
    }

    /// Forgets the copies on an engine that has lost them.
    pub(super) fn forget_copies(&mut self, lost: UpstreamKey) {
        self.backup = self.backup.filter(|backup| *backup != lost);
        self.migrating_to = self.migrating_to.filter(|to| *to != lost);
    }

    pub(super) fn is_on(&self, engine: UpstreamKey) -> bool {
        self.engine == engine
    }

    /// The engine that keeps a backup copy of it.
    pub(super) fn backup(&self) -> Option<UpstreamKey> {
        self.backup
    }

    pub(super) fn engine(&self) -> UpstreamKey {
        self.engine
    }

    /// The engines whose memory it uses, for itself or for a copy.
    pub(super) fn holders(&self) -> impl Iterator<Item = UpstreamKey> {
        let copies = [self.backup, self.migrating_to].into_iter().flatten();
        let migrating_to_backup = self.migrating_to.is_some() && self.migrating_to == self.backup;
        let copies = copies.skip(usize::from(migrating_to_backup));
        std::iter::once(self.engine).chain(copies)
    }

    pub(super) fn is_recent(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.placed_ms) < RECENT_MS
    }

    /// Whether its first token is known or expected to exist. Before that there is nothing to
    /// migrate.
    pub(super) fn has_first_token(&self, now_ms: Millis) -> bool {
        self.out_tokens > 0 || now_ms >= self.out_tokens_at_ms
    }

    /// Estimated output tokens: the last stated number and what was decoded since.
    pub(super) fn out_tokens(&self, now_ms: Millis) -> f32 {
        let since_ms = now_ms.saturating_sub(self.out_tokens_at_ms) as f32;
        (self.out_tokens as f32 + since_ms / self.token_ms).min(self.limit_tokens as f32)
    }

    /// Output tokens last stated by its host.
    pub(super) fn relayed_tokens(&self) -> u32 {
        self.out_tokens
    }

    /// The length as stated by its caller.
    pub(super) fn stated_length(&self) -> StatedLength {
        StatedLength {
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
        }
    }

    /// Expected output tokens still to come.
    pub(super) fn remaining_tokens(&self, now_ms: Millis, answer_lengths: &AnswerLengths) -> f32 {
        answer_lengths.remaining_tokens(self.stated_length(), self.out_tokens(now_ms))
    }

    /// Probability that it is still running `ahead_ms` from now.
    pub(super) fn running_probability(
        &self,
        now_ms: Millis,
        ahead_ms: f32,
        answer_lengths: &AnswerLengths,
    ) -> f32 {
        let out_tokens = self.out_tokens(now_ms);
        answer_lengths.running_probability(
            self.stated_length(),
            out_tokens,
            ahead_ms / self.token_ms,
        )
    }

    /// What its host would state now.
    pub(super) fn statement(&self, now_ms: Millis, run: RunKey) -> RunStatement {
        RunStatement {
            run,
            organisation: self.organisation,
            engine: self.engine,
            backup: self.backup,
            prompt_tokens: self.prompt_tokens,
            out_tokens: self.out_tokens(now_ms) as u32,
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
            gap_target_ms: self.gap_target_ms,
            longest_pause_ms: 0,
            priority: self.priority,
        }
    }

    /// Memory held now.
    pub(super) fn held_tokens(&self, now_ms: Millis) -> f32 {
        self.prompt_tokens as f32 + self.out_tokens(now_ms)
    }
}
