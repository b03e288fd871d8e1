//! Hosts request placements of their callers' requests, and callers return once if refused.

use fulmarpath_policy::{Millis, OrganisationKey, Placement, PlacementRequest, RunKey};

use super::attempt::Attempt;
use super::engine::Job;
use super::event::Event;
use super::request::CallerRequest;
use super::row::PolicyName;
use super::world::{HOST, World, engine_of};

/// Hosts wait for a placement for this share of the target time, as the gateway's do.
const MAX_WAIT_SHARE: f64 = 0.55;
const PLACEMENT_RETRY_US: u64 = 60_000;
/// Long requests from this prompt size on get a running copy under [`PolicyName::CopyLargest`].
const LARGE_PROMPT_TOKENS: u32 = 3_900;

impl World {
    pub(super) fn place(&mut self, attempt: usize) {
        let Attempt {
            caller, arrived_us, ..
        } = self.attempts[attempt];
        let caller_request = self.callers[caller];
        let waited_ms = (self.now_us - arrived_us) / 1_000;
        let is_final_attempt = waited_ms as f64 >= caller_request.target_ms as f64 * MAX_WAIT_SHARE;
        let request = PlacementRequest {
            run: RunKey(attempt as u64),
            host: HOST,
            organisation: self.organisation(&caller_request),
            data_centre: caller_request.data_centre,
            prompt_tokens: caller_request.prompt_tokens,
            limit_tokens: caller_request.limit_tokens,
            hint_tokens: Some(self.hint(&caller_request)),
            retry_key: caller as u64,
            priority: caller_request.priority,
            gap_target_ms: self.gap_target_ms(&caller_request),
            max_wait_ms: caller_request.target_ms.saturating_sub(waited_ms),
            left_ms: caller_request.deadline_ms.saturating_sub(waited_ms),
            is_final_attempt,
            excluded: Vec::new(),
            can_back_up: self.settings.policy.can_back_up(),
        };
        let (now_ms, own) = (self.now_ms(), self.cell_of_run(attempt));
        match self.cells.place(now_ms, own, &request) {
            Placement::On { engine, backup, .. } => {
                self.start(attempt, engine_of(engine), backup.map(engine_of));
            }
            Placement::Full {
                is_refused: false, ..
            } => self.after(PLACEMENT_RETRY_US, Event::RetryPlacement(attempt)),
            Placement::Full { retry_after_ms, .. } => self.refuse(attempt, Some(retry_after_ms)),
            Placement::TooLarge | Placement::NoEngine => self.refuse(attempt, None),
        }
    }

    pub(super) fn organisation(&self, caller_request: &CallerRequest) -> OrganisationKey {
        match self.settings.policy {
            PolicyName::Unfair => OrganisationKey(0),
            _ => OrganisationKey(caller_request.organisation as u64),
        }
    }

    pub(super) fn gap_target_ms(&self, caller_request: &CallerRequest) -> Option<Millis> {
        let kind = self.settings.scenario.kind(caller_request.is_long);
        kind.max_pause_ms.map(|bound_ms| bound_ms as Millis)
    }

    pub(super) fn hint(&self, caller_request: &CallerRequest) -> u32 {
        match self.settings.policy {
            PolicyName::Oracle => caller_request.length_tokens,
            _ => caller_request.hint_tokens,
        }
    }

    /// Refuses an attempt. The caller retries once if it got a Retry-After.
    fn refuse(&mut self, attempt: usize, retry_after_ms: Option<Millis>) {
        self.tally.refused += 1;
        self.attempts[attempt].has_ended = true;
        let caller = self.attempts[attempt].caller;
        self.outcomes[caller].refusals += 1;
        let is_first = self.attempts[attempt].arrived_us == self.callers[caller].at_us;
        if let (true, Some(after_ms)) = (is_first, retry_after_ms) {
            self.schedule_attempt(caller, self.now_us + after_ms * 1_000);
        }
    }

    fn start(&mut self, attempt: usize, engine: usize, backup: Option<usize>) {
        let caller_request = self.callers[self.attempts[attempt].caller];
        let backup = backup.or_else(|| self.policy_backup(engine, &caller_request));
        if let Some(backup) = backup {
            self.engines[backup].put_copy(attempt, caller_request.prompt_tokens, u64::MAX);
        }
        self.attempts[attempt].engine = Some(engine);
        self.attempts[attempt].step_factor = Some(self.engines[engine].site.step_factor);
        self.attempts[attempt].placed_us = self.now_us;
        self.attempts[attempt].backup = backup;
        self.engines[engine].submit(Job {
            run: attempt,
            prompt_tokens: caller_request.prompt_tokens,
            out_tokens: 0,
            length_tokens: caller_request.length_tokens,
            prefill_tokens_left: caller_request.prompt_tokens,
            is_long: caller_request.is_long,
        });
        self.start_step_if_idle(engine);
    }

    /// The emptiest other engine, if the policy keeps running copies by a rule of its own.
    fn policy_backup(&self, main: usize, caller_request: &CallerRequest) -> Option<usize> {
        let makes_copy = match self.settings.policy {
            PolicyName::CopyAll => caller_request.is_long,
            PolicyName::CopyLargest => {
                caller_request.is_long && caller_request.prompt_tokens >= LARGE_PROMPT_TOKENS
            }
            _ => false,
        };
        let cell = self.engines[main].site.cell;
        let others = self.engines.iter().enumerate();
        let available = others.filter(|(index, engine)| {
            *index != main
                && engine.site.cell == cell
                && !engine.is_gone
                && engine.stops_at_us.is_none()
        });
        let emptiest = available.min_by_key(|(_, engine)| engine.used_tokens())?;
        (makes_copy && emptiest.1.has_memory(caller_request.prompt_tokens)).then_some(emptiest.0)
    }
}
