//! One attempt of a caller and its progress.

use fulmarpath_policy::{Migration, Millis};

use super::engine::Job;

#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) caller: usize,
    pub(super) arrived_us: u64,
    pub(super) placed_us: u64,
    pub(super) engine: Option<usize>,
    pub(super) backup: Option<usize>,
    /// Removed from its engine, in transfer to another.
    pub(super) in_transfer: Option<Job>,
    /// Its final copy begins after its next event.
    pub(super) stops_after_event: Option<Migration>,
    pub(super) has_ended: bool,
    pub(super) was_migrated: bool,
    pub(super) first_event_us: Option<u64>,
    pub(super) last_event_us: u64,
    pub(super) longest_pause_ms: f64,
    /// Longest pause since the last statement.
    pub(super) unstated_pause_ms: f64,
    /// The step factor of its engine, unless it ran on several.
    pub(super) step_factor: Option<f64>,
}

impl Attempt {
    pub(super) fn new(caller: usize, arrived_us: u64) -> Self {
        Self {
            caller,
            arrived_us,
            placed_us: arrived_us,
            engine: None,
            backup: None,
            in_transfer: None,
            stops_after_event: None,
            has_ended: false,
            was_migrated: false,
            first_event_us: None,
            last_event_us: 0,
            longest_pause_ms: 0.0,
            unstated_pause_ms: 0.0,
            step_factor: None,
        }
    }

    /// Time from its placement to its first event.
    pub(super) fn first_ms(&self) -> Option<Millis> {
        Some((self.first_event_us? - self.placed_us) / 1_000)
    }
}
