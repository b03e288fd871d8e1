//! Reclaims, crashes and replacements of engines.

use fulmarpath_policy::MigrationOutcome;
use rand::Rng;

use super::engine::{Engine, Job, Site};
use super::event::Event;
use super::machine::Machine;
use super::world::{NOTICE_DELAY_US, World};

/// Interval between two reclaims. The users' workload specification gives this interval, the share
/// of reclaimed engines and the delay of their replacements.
pub(super) const RECLAIM_PERIOD_US: u64 = 3_300_000;
/// Share of all engines that one reclaim takes: 17%.
const RECLAIMED_SHARE: f64 = 0.17;
/// Time from the notice of a reclaimed engine to its end.
pub(super) const NOTICE_US: std::ops::Range<u64> = 1_540_000..2_100_000;
/// Time from the notice or the crash of an engine until its replacement has started.
const REPLACEMENT_DELAY_US: u64 = 4_000_000;
/// Time to resume from a copy after a crash.
const FAILOVER_RESUME_US: u64 = 20_000;

impl World {
    pub(super) fn reclaim(&mut self) {
        let available: Vec<usize> = self.available_engines();
        let count = (self.settings.engines as f64 * RECLAIMED_SHARE).round() as usize;
        for engine in self.choose_random(available, count) {
            let notice_us = self.rng.random_range(NOTICE_US);
            self.engines[engine].stops_at_us = Some(self.now_us + notice_us);
            self.after(NOTICE_DELAY_US, Event::NoticeReceived(engine));
            self.after(notice_us, Event::EngineGone(engine));
            self.after(REPLACEMENT_DELAY_US, Event::ReplacementStarted(engine));
        }
        self.after(RECLAIM_PERIOD_US, Event::Reclaim);
    }

    fn available_engines(&self) -> Vec<usize> {
        let all = self.engines.iter().enumerate();
        let available = all.filter(|(_, one)| !one.is_gone && one.stops_at_us.is_none());
        available.map(|(index, _)| index).collect()
    }

    fn choose_random(&mut self, mut from: Vec<usize>, count: usize) -> Vec<usize> {
        let mut chosen = Vec::new();
        while chosen.len() < count && !from.is_empty() {
            let index = self.rng.random_range(0..from.len());
            chosen.push(from.swap_remove(index));
        }
        chosen
    }

    pub(super) fn next_crash(&mut self) {
        if self.settings.crash_period_s > 0.0 {
            let us = (self.settings.crash_period_s * 1e6) as u64;
            self.after(us, Event::Crash);
        }
    }

    pub(super) fn crash(&mut self) {
        let available = self.available_engines();
        for engine in self.choose_random(available, 1) {
            self.remove_engine(engine);
            self.after(REPLACEMENT_DELAY_US, Event::ReplacementStarted(engine));
        }
        self.next_crash();
    }

    pub(super) fn remove_engine(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        self.engines[engine].is_gone = true;
        self.engines[engine].epoch += 1;
        for run in self.engines[engine].drain_runs() {
            self.abandon_stop(run, MigrationOutcome::Orphaned);
            self.fail_over(run);
        }
        self.register();
    }

    /// Resumes a generation from its copy after its engine ended, or counts it as lost.
    pub(super) fn fail_over(&mut self, run: usize) {
        let attempt = self.attempts[run];
        let copy = attempt
            .backup
            .filter(|backup| !self.engines[*backup].is_gone && attempt.first_event_us.is_some());
        let Some(backup) = copy else {
            self.tally.lost += 1;
            self.end_attempt(run, false);
            return;
        };
        let caller_request = self.callers[attempt.caller];
        let job = Job {
            run,
            prompt_tokens: caller_request.prompt_tokens,
            out_tokens: self.copied_out_tokens(run, backup),
            length_tokens: caller_request.length_tokens,
            prefill_tokens_left: 0,
            is_long: caller_request.is_long,
        };
        self.attempts[run].backup = None;
        self.attempts[run].engine = Some(backup);
        self.attempts[run].was_migrated = true;
        self.attempts[run].step_factor = None;
        self.attempts[run].last_event_us = self.attempts[run]
            .last_event_us
            .max(self.now_us - FAILOVER_RESUME_US.min(self.now_us));
        self.engines[backup].resume(job);
        self.start_step_if_idle(backup);
    }

    fn copied_out_tokens(&self, run: usize, backup: usize) -> u32 {
        let prompt = self.callers[self.attempts[run].caller].prompt_tokens;
        let held = self.engines[backup].copied_tokens(run);
        held.saturating_sub(prompt)
    }

    pub(super) fn start_replacement(&mut self, replaced: usize) {
        self.add_engine(self.engines[replaced].site);
        self.register();
    }

    /// Starts the first engines, in the data centres in turn.
    pub(super) fn start_engines(&mut self) {
        let scenario = self.settings.scenario;
        for number in 0..self.settings.engines {
            let data_centre = (number % scenario.data_centres) as u64;
            let in_data_centre = number / scenario.data_centres;
            let cell = self.cells.add_engine(data_centre, in_data_centre as u64);
            self.add_engine(Site {
                data_centre,
                cell,
                capacity: scenario.capacity(),
                step_factor: scenario.step_factors[in_data_centre % scenario.step_factors.len()],
            });
        }
        self.register();
    }

    fn add_engine(&mut self, site: Site) {
        let seed = self.settings.seed.wrapping_mul(1_000_003) ^ self.engines.len() as u64;
        let shared = self.settings.scenario.shared_machines.as_ref();
        let machine = Machine::new(self.now_us, site.step_factor, shared, seed);
        self.engines.push(Engine::new(site, machine));
    }
}
