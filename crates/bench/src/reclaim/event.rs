//! Events of the simulation and their queue.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use fulmarpath_policy::Migration;

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Event {
    /// An attempt of a caller arrives.
    Arrive(usize),
    /// An attempt that found no free engine requests a placement again.
    RetryPlacement(usize),
    /// An engine has finished a step. Ignored if its epoch has changed since the step began.
    Step { engine: usize, epoch: u32 },
    /// The next batch of engines is reclaimed.
    Reclaim,
    /// The home has received the notice that an engine leaves.
    NoticeReceived(usize),
    /// The home has an engine's report of its remaining time.
    TimeLeftReported(usize),
    /// The home looks for the next generation to migrate off an engine.
    NextMigration(usize),
    /// The bulk copy of a generation's memory is at its destination.
    BulkCopied(Migration),
    /// The copy of what was added meanwhile is there too, and the destination resumes.
    DeltaCopied(Migration),
    /// An engine ends at the end of its notice.
    EngineGone(usize),
    /// An engine ends without notice.
    Crash,
    /// The replacement of an engine has started.
    ReplacementStarted(usize),
    /// Homes look for a generation to migrate between engines that stay.
    Rebalance,
    /// Hosts restate the runs that they relay.
    RestateRuns,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ScheduledEvent {
    at_us: u64,
    /// Breaks ties: events at the same time are handled in the order of scheduling.
    sequence: u64,
    event: Event,
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let other = (other.at_us, other.sequence);
        other.cmp(&(self.at_us, self.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Events, earliest first.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<ScheduledEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(ScheduledEvent {
            at_us,
            sequence,
            event,
        });
    }

    pub(super) fn pop(&mut self) -> Option<(u64, Event)> {
        self.events
            .pop()
            .map(|scheduled| (scheduled.at_us, scheduled.event))
    }
}
