//! One generation of a cell.

use serde::{Deserialize, Serialize};

use super::answers::{Answers, Stated};
use super::engine::TOKEN_MS;
use super::placement::PlacementRequest;
use crate::key::{HostKey, Millis, OrganisationKey, UpstreamKey};

/// A generation; a hash of its caller's request, the same at every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u64);

/// A placement younger than this may be missing from its host's statement, which was on its way.
const FRESH_MS: Millis = 1_500;

/// A generation as the host that relays it states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatement {
    /// The generation.
    pub run: RunKey,
    /// The organisation that asked for it.
    pub organisation: OrganisationKey,
    /// The engine that it runs on.
    pub engine: UpstreamKey,
    /// The engine that keeps a running copy of its memory.
    pub backup: Option<UpstreamKey>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that have reached the host.
    pub out_tokens: u32,
    /// The longest answer.
    pub limit_tokens: u32,
    /// The caller's guess.
    pub hint_tokens: Option<u32>,
}

/// How a generation ended, as the host that relayed it saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Tokens that have reached the host.
    pub out_tokens: u32,
    /// Its engine ended it, and neither its caller nor a failure.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// From its placement to its first event, where it was sent to one engine only.
    pub first_ms: Option<Millis>,
}

#[derive(Debug, Clone)]
pub(super) struct Run {
    host: HostKey,
    pub(super) organisation: OrganisationKey,
    engine: UpstreamKey,
    backup: Option<UpstreamKey>,
    /// The engine that holds or gets its copy while it moves.
    moving_to: Option<UpstreamKey>,
    pub(super) prompt_tokens: u32,
    limit_tokens: u32,
    hint_tokens: Option<u32>,
    out_tokens: u32,
    /// When `out_tokens` were out; ahead of now while the prompt is being read.
    out_at_ms: Millis,
    placed_ms: Millis,
    /// How long its first token was expected to take from then on; `None` where another home placed it.
    expected_first_ms: Option<Millis>,
    /// Not to be moved before, since a try has failed.
    pub(super) rest_until_ms: Millis,
}

impl Run {
    pub(super) fn placed(
        now_ms: Millis,
        first_token_ms: Millis,
        engine: UpstreamKey,
        backup: Option<UpstreamKey>,
        request: &PlacementRequest,
    ) -> Self {
        Self {
            host: request.host,
            organisation: request.organisation,
            engine,
            backup,
            moving_to: None,
            prompt_tokens: request.prompt_tokens,
            limit_tokens: request.limit_tokens,
            hint_tokens: request.hint_tokens,
            out_tokens: 0,
            out_at_ms: first_token_ms,
            placed_ms: now_ms,
            expected_first_ms: Some(first_token_ms.saturating_sub(now_ms)),
            rest_until_ms: 0,
        }
    }

    pub(super) fn restored(now_ms: Millis, host: HostKey, statement: &RunStatement) -> Self {
        Self {
            host,
            organisation: statement.organisation,
            engine: statement.engine,
            backup: statement.backup,
            moving_to: None,
            prompt_tokens: statement.prompt_tokens,
            limit_tokens: statement.limit_tokens,
            hint_tokens: statement.hint_tokens,
            out_tokens: statement.out_tokens,
            out_at_ms: now_ms,
            placed_ms: now_ms,
            expected_first_ms: None,
            rest_until_ms: 0,
        }
    }

    pub(super) fn restate(&mut self, now_ms: Millis, statement: &RunStatement) {
        self.engine = statement.engine;
        self.backup = statement.backup;
        if statement.out_tokens > 0 {
            self.out_tokens = statement.out_tokens;
            self.out_at_ms = now_ms;
        }
    }

    pub(super) fn expected_first_ms(&self) -> Option<Millis> {
        self.expected_first_ms
    }

    pub(super) fn host(&self) -> HostKey {
        self.host
    }

    pub(super) fn is_moving(&self) -> bool {
        self.moving_to.is_some()
    }

    pub(super) fn move_to(&mut self, to: UpstreamKey) {
        self.moving_to = Some(to);
    }

    /// The move is over, well or not.
    pub(super) fn moved(&mut self, is_there: bool) {
        if let Some(to) = self.moving_to.take()
            && is_there
        {
            self.engine = to;
        }
    }

    /// An engine has lost what it held of others' generations.
    pub(super) fn lose_copies(&mut self, lost: UpstreamKey) {
        self.backup = self.backup.filter(|backup| *backup != lost);
        self.moving_to = self.moving_to.filter(|to| *to != lost);
    }

    pub(super) fn is_on(&self, engine: UpstreamKey) -> bool {
        self.engine == engine
    }

    /// The engine that keeps a running copy of it.
    pub(super) fn backup(&self) -> Option<UpstreamKey> {
        self.backup
    }

    pub(super) fn engine(&self) -> UpstreamKey {
        self.engine
    }

    /// The engines whose memory it takes, by itself or by a copy.
    pub(super) fn holders(&self) -> impl Iterator<Item = UpstreamKey> {
        let copies = [self.backup, self.moving_to].into_iter().flatten();
        let moving_to_backup = self.moving_to.is_some() && self.moving_to == self.backup;
        let copies = copies.skip(usize::from(moving_to_backup));
        std::iter::once(self.engine).chain(copies)
    }

    pub(super) fn is_fresh(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.placed_ms) < FRESH_MS
    }

    /// Whether its first token is out, so far as can be told: before that there is nothing to move.
    pub(super) fn has_begun(&self, now_ms: Millis) -> bool {
        self.out_tokens > 0 || now_ms >= self.out_at_ms
    }

    /// Tokens out by now: the last word, and what the engine has made since.
    pub(super) fn out_tokens(&self, now_ms: Millis) -> f32 {
        let since_ms = now_ms.saturating_sub(self.out_at_ms) as f32;
        (self.out_tokens as f32 + since_ms / TOKEN_MS).min(self.limit_tokens as f32)
    }

    /// Tokens that its host has seen.
    pub(super) fn seen_tokens(&self) -> u32 {
        self.out_tokens
    }

    /// What its caller says of its length.
    pub(super) fn stated(&self) -> Stated {
        Stated {
            limit_tokens: self.limit_tokens,
            hint_tokens: self.hint_tokens,
        }
    }

    /// Tokens still to come.
    pub(super) fn rest_tokens(&self, now_ms: Millis, answers: &Answers) -> f32 {
        answers.rest_tokens(self.stated(), self.out_tokens(now_ms))
    }

    /// The chance that it is still running after so long.
    pub(super) fn goes_on_chance(&self, now_ms: Millis, ahead_ms: f32, answers: &Answers) -> f32 {
        let out_tokens = self.out_tokens(now_ms);
        answers.goes_on_chance(self.stated(), out_tokens, ahead_ms / TOKEN_MS)
    }

    /// Memory that it holds now.
    pub(super) fn held_tokens(&self, now_ms: Millis) -> f32 {
        self.prompt_tokens as f32 + self.out_tokens(now_ms)
    }
}
