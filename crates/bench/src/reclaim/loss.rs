//! Engines that go, with a notice or without, and others that come.

use rand::Rng;

use super::engine::{Engine, Job};
use super::event::Event;
use super::world::{DATA_CENTRES, HEARD_US, World};

/// The users' sheets: 17% of the engines each 3.3 s, others 4 s later.
pub(super) const RECLAIM_US: u64 = 3_300_000;
const RECLAIMED_SHARE: f64 = 0.17;
pub(super) const NOTICE_US: std::ops::Range<u64> = 1_540_000..2_100_000;
const BORN_AFTER_US: u64 = 4_000_000;
/// A copy's way to go on after a crash.
const RESUME_US: u64 = 20_000;

impl World {
    pub(super) fn reclaim(&mut self) {
        let open: Vec<usize> = self.open();
        let count = (self.settings.engines as f64 * RECLAIMED_SHARE).round() as usize;
        for engine in self.choose(open, count) {
            let notice_us = self.rng.random_range(NOTICE_US);
            self.engines[engine].gone_at_us = Some(self.now_us + notice_us);
            self.after(HEARD_US, Event::Heard(engine));
            self.after(notice_us, Event::Gone(engine));
            self.after(BORN_AFTER_US, Event::Born);
        }
        self.after(RECLAIM_US, Event::Reclaim);
    }

    fn open(&self) -> Vec<usize> {
        let all = self.engines.iter().enumerate();
        let open = all.filter(|(_, one)| !one.is_gone && one.gone_at_us.is_none());
        open.map(|(place, _)| place).collect()
    }

    fn choose(&mut self, mut from: Vec<usize>, count: usize) -> Vec<usize> {
        let mut chosen = Vec::new();
        while chosen.len() < count && !from.is_empty() {
            let place = self.rng.random_range(0..from.len());
            chosen.push(from.swap_remove(place));
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
        let open = self.open();
        for engine in self.choose(open, 1) {
            self.gone(engine);
            self.after(BORN_AFTER_US, Event::Born);
        }
        self.next_crash();
    }

    pub(super) fn gone(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        self.engines[engine].is_gone = true;
        self.engines[engine].series += 1;
        for run in self.engines[engine].clear() {
            self.lose(run);
        }
        self.register();
    }

    /// A generation's engine is gone: it goes on from its copy, or is lost.
    pub(super) fn lose(&mut self, run: usize) {
        let one = self.tries[run];
        let copy = one
            .backup
            .filter(|backup| !self.engines[*backup].is_gone && one.first_us.is_some());
        let Some(backup) = copy else {
            self.tally.lost += 1;
            self.end(run, false);
            return;
        };
        let asked = self.callers[one.caller];
        let job = Job {
            run,
            prompt_tokens: asked.prompt_tokens,
            out_tokens: self.copied_out(run, backup),
            length_tokens: asked.length_tokens,
            unread_tokens: 0,
            is_long: asked.is_long,
        };
        self.tries[run].backup = None;
        self.tries[run].engine = Some(backup);
        self.tries[run].has_moved = true;
        self.tries[run].last_us = self.tries[run]
            .last_us
            .max(self.now_us - RESUME_US.min(self.now_us));
        self.engines[backup].resume(job);
        self.kick(backup);
    }

    fn copied_out(&self, run: usize, backup: usize) -> u32 {
        let prompt = self.callers[self.tries[run].caller].prompt_tokens;
        let held = self.engines[backup].copied_tokens(run);
        held.saturating_sub(prompt)
    }

    pub(super) fn born(&mut self) {
        let data_centre = self.engines.len() % DATA_CENTRES;
        self.engines.push(Engine::new(data_centre as u64));
        self.register();
    }
}
