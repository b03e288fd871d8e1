//! What happens next.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use fulmarpath_policy::Migration;

/// Something that happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Event {
    /// A caller's try arrives.
    Arrive(usize),
    /// A try that found no room asks again.
    Ask(usize),
    /// An engine has made a step; of an older series of steps where the numbers differ.
    Step { engine: usize, series: u32 },
    /// The next reclaim.
    Reclaim,
    /// The home has heard that an engine leaves.
    Heard(usize),
    /// The home has asked an engine how long it will be there.
    Looked(usize),
    /// The home looks for something to carry off an engine.
    Carry(usize),
    /// The long copy is at its destination.
    Copied(Migration),
    /// The short copy is there too, and the destination goes on.
    GoesOn(Migration),
    /// An engine is gone.
    Gone(usize),
    /// An engine crashes.
    Crash,
    /// A new engine is there.
    Born,
    /// Hosts state what they relay.
    Restate,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct At {
    at_us: u64,
    /// Events of one moment keep their order.
    number: u64,
    event: Event,
}

impl Eq for At {}

impl Ord for At {
    fn cmp(&self, other: &Self) -> Ordering {
        let other = (other.at_us, other.number);
        other.cmp(&(self.at_us, self.number))
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Events in the order of their moments.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    events: BinaryHeap<At>,
    number: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        let number = self.number;
        self.events.push(At {
            at_us,
            number,
            event,
        });
    }

    pub(super) fn next(&mut self) -> Option<(u64, Event)> {
        self.events.pop().map(|at| (at.at_us, at.event))
    }
}
