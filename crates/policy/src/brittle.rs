//! Keeps the requests at a brittle upstream within its room.
//!
//! A brittle upstream falls over if it has to turn away more than a few requests within a second.
//! Many hosts send to it and none sees the others' requests, so one host, its home, grants the
//! starts. A start counts as present for the time that a request takes there.

use std::collections::VecDeque;

use crate::key::Millis;

/// Factor on the time that a request takes: some take longer than usual.
const DURATION_MARGIN: f32 = 1.15;
/// Bounds of the time for which a start counts as present.
const DURATION_MS: std::ops::RangeInclusive<Millis> = 10..=2_000;
/// Time after a rejection, or after the room grew, until it grows by one.
const GROWTH_PERIOD_MS: Millis = 500;

/// An upstream that has not been used for this long is forgotten.
const IDLE_MS: Millis = 10_000;

/// The recent starts at one brittle upstream, and its room as learned from rejections.
#[derive(Debug, Clone, Default)]
pub struct BrittleStarts {
    started_ms: VecDeque<Millis>,
    /// Requests that it takes at once, if that is fewer than its slots.
    room: Option<u32>,
    /// When the room last changed.
    changed_ms: Millis,
}

impl BrittleStarts {
    /// Grants a start at an upstream with this many slots, where a request takes `duration_ms`.
    ///
    /// # Errors
    /// The time until the next start, in ms.
    pub fn grant(&mut self, now_ms: Millis, slots: u32, duration_ms: f32) -> Result<(), Millis> {
        let present_ms = (duration_ms * DURATION_MARGIN) as Millis;
        let present_ms = present_ms.clamp(*DURATION_MS.start(), *DURATION_MS.end());
        self.started_ms
            .retain(|started_ms| now_ms.saturating_sub(*started_ms) < present_ms);
        let room = self.room(now_ms, slots.max(1)) as usize;
        if self.started_ms.len() < room {
            self.started_ms.push_back(now_ms);
            return Ok(());
        }
        let first_ms = self.started_ms[self.started_ms.len() - room];
        Err((first_ms + present_ms).saturating_sub(now_ms).max(1))
    }

    /// Records that the upstream has turned a request away: it has less room than assumed. Several
    /// rejections in a row come from the same requests before.
    pub fn record_rejection(&mut self, now_ms: Millis) {
        let is_same =
            self.room.is_some() && now_ms.saturating_sub(self.changed_ms) < GROWTH_PERIOD_MS;
        if !is_same {
            let present = self.started_ms.len() as u32;
            self.room = Some((present / 2).max(1));
            self.changed_ms = now_ms;
        }
    }

    /// Whether it has not been used for long.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        let last_ms = self.started_ms.back().copied().unwrap_or_default();
        now_ms.saturating_sub(last_ms.max(self.changed_ms)) >= IDLE_MS
    }

    fn room(&mut self, now_ms: Millis, slots: u32) -> u32 {
        let Some(room) = self.room else {
            return slots;
        };
        let grown = now_ms.saturating_sub(self.changed_ms) / GROWTH_PERIOD_MS;
        let room = room.saturating_add(grown as u32);
        if room >= slots {
            self.room = None;
            return slots;
        }
        if grown > 0 {
            self.room = Some(room);
            self.changed_ms += grown * GROWTH_PERIOD_MS;
        }
        room
    }
}
