//! Generations on their way off leaving engines: links that carry one transfer after another.

use fulmarpath_policy::{Migration, MigrationOutcome};

use super::engine::FIGURES;
use super::event::Event;
use super::row::RowName;
use super::world::{World, engine_of, key_of};

/// How old an engine's report of its time left is.
const REPORT_AGE_US: u64 = 560_000;
/// Between two looks at a leaving engine without anything to carry off now.
const LOOK_US: u64 = 25_000;
/// The calls of one transfer between home, host and engine, before each of its two copies.
const CALL_US: u64 = 8_000;
/// How long a copy stays that nobody uses.
const LEFT_BEHIND_US: u64 = 9_000_000;

impl World {
    pub(super) fn look(&mut self, engine: usize) {
        let now_ms = self.now_ms();
        if let Some(gone_us) = self.engines[engine].gone_at_us {
            let left_us = gone_us.saturating_sub(self.now_us) + REPORT_AGE_US;
            self.cell
                .set_time_left(now_ms, key_of(engine), left_us / 1_000);
        }
    }

    pub(super) fn carry_next(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        let now_ms = self.now_ms();
        match self.cell.next_migration(now_ms, key_of(engine)) {
            Some(carry) => self.begin(carry),
            None => self.after(LOOK_US, Event::Carry(engine)),
        }
    }

    fn begin(&mut self, carry: Migration) {
        let (from, to) = (engine_of(carry.from), engine_of(carry.to));
        let run = carry.run.0 as usize;
        let job = self.engines[from].find(run).copied();
        let begun = job.filter(|job| job.out_tokens > 0 && job.unread_tokens == 0);
        let Some(job) = begun else {
            return self.end_carry(carry, MigrationOutcome::NotMoved);
        };
        let held = job.held_tokens();
        if self.engines[to].is_gone || !self.engines[to].has_room(held) {
            return self.end_carry(carry, MigrationOutcome::Refused);
        }
        let until_us = self.now_us + LEFT_BEHIND_US;
        self.engines[to].copy(run, held, until_us);
        let free_us = self.take_links(from, to, held);
        self.agenda.add(free_us, Event::Copied(carry));
    }

    /// Queues a copy on both links; when it is over.
    fn take_links(&mut self, from: usize, to: usize, tokens: u32) -> u64 {
        let far = self.engines[from].data_centre != self.engines[to].data_centre;
        let bits = f64::from(tokens) * f64::from(FIGURES.token_bytes) * 8.0;
        let near_us = bits / f64::from(FIGURES.link_mbps);
        let takes_us = match (self.settings.row, far) {
            (RowName::Oracle, _) => 0.0,
            (_, false) => near_us,
            (_, true) => 2.0 * near_us,
        };
        let links = [from, to].map(|engine| self.engines[engine].link_free_us);
        let begins_us = (self.now_us + CALL_US).max(links[0]).max(links[1]);
        let over_us = begins_us + takes_us as u64;
        for engine in [from, to] {
            self.engines[engine].link_free_us = over_us;
        }
        over_us
    }

    pub(super) fn copied(&mut self, carry: Migration) {
        let (from, to) = (engine_of(carry.from), engine_of(carry.to));
        let run = carry.run.0 as usize;
        if self.engines[from].is_gone {
            return self.end_carry(carry, MigrationOutcome::Orphaned);
        }
        if self.tries[run].is_over || self.engines[from].find(run).is_none() {
            self.engines[to].drop_copy(run);
            return self.end_carry(carry, MigrationOutcome::Ended);
        }
        let Some(job) = self.engines[from].take(run) else {
            return;
        };
        self.tries[run].stopped = Some(job);
        let fresh = job
            .held_tokens()
            .saturating_sub(self.engines[to].copied_tokens(run));
        let over_us = self.take_links(from, to, fresh) + CALL_US;
        self.agenda.add(over_us, Event::GoesOn(carry));
    }

    pub(super) fn goes_on(&mut self, carry: Migration) {
        let (from, to) = (engine_of(carry.from), engine_of(carry.to));
        let run = carry.run.0 as usize;
        let Some(job) = self.tries[run].stopped.take() else {
            return;
        };
        let places = [to, from];
        let place = places
            .into_iter()
            .find(|place| !self.engines[*place].is_gone);
        let Some(place) = place else {
            self.lose(run);
            return self.end_carry(carry, MigrationOutcome::Ended);
        };
        if self.tries[run].backup == Some(place) {
            self.tries[run].backup = None;
        }
        self.tries[run].engine = Some(place);
        self.tries[run].has_moved = true;
        self.engines[place].resume(job);
        self.kick(place);
        let end = match place == to {
            true => MigrationOutcome::Moved,
            false => MigrationOutcome::NotMoved,
        };
        self.tally.moves += u32::from(place == to);
        self.end_carry(carry, end);
    }

    fn end_carry(&mut self, carry: Migration, end: MigrationOutcome) {
        let now_ms = self.now_ms();
        self.cell.finish_migration(now_ms, carry, end);
        self.after(1_000, Event::Carry(engine_of(carry.from)));
    }
}
