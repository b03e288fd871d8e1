//! Which generation of a leaving engine is carried off next, and where to.
//!
//! An engine's notice is short and its link carries one transfer after another, so what moves first
//! is what loses most for each millisecond of the link. One transfer at a time: the first long copy
//! and the last short one, which stops the generation, must follow each other at once. When several
//! copies share a link, stopped generations wait behind other ones' long copies, which their
//! callers see as pauses of up to a second.

use std::collections::BTreeMap;

use super::Cell;
use super::engine::Engine;
use super::forecast::Forecast;
use super::run::{Run, RunKey};
use crate::key::{HostKey, Millis, UpstreamKey};

/// A transfer's fixed part: two calls to the engine and the start at the destination.
const SETUP_MS: f32 = 15.0;
/// A generation whose move has failed is left alone for so long, while others go.
const REST_MS: Millis = 150;
/// A destination may be filled up to this share by what is carried there.
const ROOM_SHARE: f32 = 0.97;
/// The same once little time is left: an engine that fills pauses a generation for a moment, one that
/// leaves cuts it for good.
const LAST_ROOM_SHARE: f32 = 1.05;
/// Little time is left where it is enough for fewer transfers of a generation within its data centre: for
/// what is tried first, and one that failed. More would be most of a notice, and fill engines without need.
const LAST_TRANSFERS: f32 = 2.5;
/// A generation is left where it is if the chance that its engine's end cuts it is below this: a move
/// costs little, but takes the link from others.
const LEAST_CHANCE_LOST: f32 = 0.1;

/// One generation to carry off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The generation.
    pub run: RunKey,
    /// The host that relays it.
    pub host: HostKey,
    /// The engine that leaves.
    pub from: UpstreamKey,
    /// The engine to go on at.
    pub to: UpstreamKey,
}

/// How a transfer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationOutcome {
    /// It goes on at the destination.
    Moved,
    /// It still runs where it was.
    NotMoved,
    /// It still runs where it was; the destination had no room for it.
    Refused,
    /// It may still run where it was. A part of its memory stays at the destination for a while,
    /// and nobody knows its name.
    Orphaned,
    /// It is over.
    Ended,
}

impl Cell {
    /// Engines that are leaving with generations on them.
    pub fn leaving_engines(&self) -> Vec<UpstreamKey> {
        let engines = self.engines.values().filter(|engine| engine.is_leaving());
        engines
            .map(|engine| engine.entry.key)
            .filter(|key| self.runs_on(*key).next().is_some())
            .collect()
    }

    /// The next transfer off a leaving engine; counts it at the destination.
    pub fn next_migration(&mut self, now_ms: Millis, from: UpstreamKey) -> Option<Migration> {
        let engine = self.engines.get(&from)?;
        let left_ms = engine.gone_at_ms()?.saturating_sub(now_ms) as f32;
        let by_loss = self.by_loss(now_ms, engine, left_ms);
        let forecast = self.forecast(now_ms);
        let copying_ms = self.first_copies_ms(now_ms);
        let (key, to, takes_ms) = by_loss.into_iter().find_map(|(_, key)| {
            let run = &self.runs[&key];
            let is_free = |engine: &Engine| engine.can_receive(now_ms);
            let (to, takes_ms) =
                self.destination(now_ms, &forecast, &copying_ms, run, left_ms, is_free)?;
            Some((key, to, takes_ms))
        })?;
        let receiver = self.engines.get_mut(&to)?;
        receiver.receive(now_ms, takes_ms);
        receiver.note_start(now_ms);
        let run = self.runs.get_mut(&key)?;
        run.move_to(to);
        Some(Migration {
            run: key,
            host: run.host(),
            from,
            to,
        })
    }

    /// A transfer is over.
    pub fn finish_migration(&mut self, now_ms: Millis, carry: Migration, end: MigrationOutcome) {
        let held = self.runs.get(&carry.run);
        let held_tokens = held.map_or(0.0, |run| run.held_tokens(now_ms));
        if let Some(to) = self.engines.get_mut(&carry.to) {
            to.received();
            match end {
                MigrationOutcome::Refused => to.refuse(now_ms),
                MigrationOutcome::Orphaned => to.leave_behind(now_ms, held_tokens),
                MigrationOutcome::Moved | MigrationOutcome::NotMoved | MigrationOutcome::Ended => {}
            }
        }
        if end == MigrationOutcome::Ended {
            self.runs.remove(&carry.run);
            return;
        }
        if let Some(run) = self.runs.get_mut(&carry.run) {
            run.moved(end == MigrationOutcome::Moved);
            if matches!(end, MigrationOutcome::NotMoved | MigrationOutcome::Orphaned) {
                run.rest_until_ms = now_ms + REST_MS;
            }
        }
    }

    /// The engine with most room that a generation reaches before its own is gone, and how long the
    /// way there takes; near ones first, since the way between data centres takes twice as long.
    ///
    /// A transfer that its engine's end cuts saves nothing, and what it brought so far takes memory
    /// at the destination for 9 s more.
    fn destination(
        &self,
        now_ms: Millis,
        forecast: &Forecast,
        copying_ms: &BTreeMap<UpstreamKey, f32>,
        run: &Run,
        left_ms: f32,
        is_open: impl Fn(&Engine) -> bool,
    ) -> Option<(UpstreamKey, Millis)> {
        let source = self.engines.get(&run.engine())?;
        let claim = run.claim(now_ms, &self.answers);
        let near_ms = source.transfer_ms(claim.held_tokens as u32, true) + SETUP_MS;
        let room_share = match left_ms < near_ms * LAST_TRANSFERS {
            true => LAST_ROOM_SHARE,
            false => ROOM_SHARE,
        };
        let open = self.engines.values().filter(|engine| is_open(engine));
        let costs = open.filter_map(|engine| {
            let near = engine.entry.data_centre == source.entry.data_centre;
            let takes_ms = source.transfer_ms(claim.held_tokens as u32, near) + SETUP_MS;
            if takes_ms > left_ms {
                return None;
            }
            let share = forecast.peak_share(engine, claim);
            let busy_ms = copying_ms
                .get(&engine.entry.key)
                .copied()
                .unwrap_or_default();
            let cost_ms = takes_ms + busy_ms + ROOM_MS * share;
            (share <= room_share).then_some((cost_ms, engine.entry.key, takes_ms as Millis))
        });
        let best = costs.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        best.map(|(_, key, takes_ms)| (key, takes_ms))
    }

    /// How long engines' links are taken by running copies that have just begun, prompts and all.
    fn first_copies_ms(&self, now_ms: Millis) -> BTreeMap<UpstreamKey, f32> {
        let mut copying_ms = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.is_fresh(now_ms)) {
            let copy_at = run.backup().and_then(|backup| self.engines.get(&backup));
            let Some(engine) = copy_at else { continue };
            let takes_ms = engine.transfer_ms(run.prompt_tokens, true);
            *copying_ms.entry(engine.entry.key).or_default() += takes_ms;
        }
        copying_ms
    }

    /// Keeps room for the next generation of each leaving engine: what it holds was read and made
    /// already, and nobody makes it again. The others leave one after the other, while ends free room.
    ///
    /// A cell that is filled by new prompts at that moment has no destination for them. What runs is not cut for the sake of what is new.
    pub(super) fn reserve_for_leaving(&self, now_ms: Millis, forecast: &mut Forecast) {
        let is_open = |engine: &Engine| engine.is_open();
        for engine in self.engines.values() {
            let Some(gone_at_ms) = engine.gone_at_ms() else {
                continue;
            };
            let left_ms = gone_at_ms.saturating_sub(now_ms) as f32;
            let Some((_, key)) = self.by_loss(now_ms, engine, left_ms).into_iter().next() else {
                continue;
            };
            let run = &self.runs[&key];
            let copying_ms = BTreeMap::new();
            let to = self.destination(now_ms, forecast, &copying_ms, run, left_ms, is_open);
            if let Some((to, _)) = to {
                forecast.reserve(to, run.claim(now_ms, &self.answers));
            }
        }
    }

    /// The generations that may leave an engine now, the largest loss first.
    fn by_loss(&self, now_ms: Millis, engine: &Engine, left_ms: f32) -> Vec<(f32, RunKey)> {
        let waiting = self.runs.iter().filter(|(_, run)| {
            run.is_on(engine.entry.key)
                && !run.is_moving()
                && run.has_begun(now_ms)
                && now_ms >= run.rest_until_ms
        });
        let mut by_loss: Vec<(f32, RunKey)> = waiting
            .map(|(key, run)| {
                let chance_lost = run.goes_on_chance(now_ms, left_ms, &self.answers);
                (loss_rate(run, engine, chance_lost, now_ms), *key)
            })
            .filter(|(rate, _)| *rate > 0.0)
            .collect();
        by_loss.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        by_loss
    }
}

/// What a full destination costs against an empty one: about one transfer between data centres.
const ROOM_MS: f32 = 300.0;

/// What is lost with a generation that stays, for each millisecond of the link: what was read and made of
/// it so far.
fn loss_rate(run: &Run, engine: &Engine, chance_lost: f32, now_ms: Millis) -> f32 {
    if chance_lost < LEAST_CHANCE_LOST {
        return 0.0;
    }
    let held_tokens = run.held_tokens(now_ms);
    let transfer_ms = engine.transfer_ms(held_tokens as u32, true) + SETUP_MS;
    held_tokens * chance_lost / transfer_ms
}
