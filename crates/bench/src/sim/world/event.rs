//! What happens in the world, at a moment.

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    AskAt {
        home: usize,
        request: usize,
        ask: u64,
        only_now: bool,
    },
    Granted {
        home: usize,
        request: usize,
        ask: u64,
        permit: u64,
        priority: i32,
    },
    Hedge {
        request: usize,
        ask: u64,
        only_now: bool,
    },
    Refused {
        request: usize,
        ask: u64,
    },
    Withdraw {
        home: usize,
        ask: u64,
    },
    Submit {
        engine: usize,
        request: usize,
        attempt: u32,
    },
    StepDone(usize),
    Report(usize),
    Reported {
        engine: usize,
        used: u32,
        running: u32,
        waiting: u32,
    },
    Progress,
    Tick,
    Finished {
        home: usize,
        permit: u64,
        length: u32,
    },
    Left {
        home: usize,
        permit: u64,
    },
    LoseEngine(usize),
    Recover(usize),
}
