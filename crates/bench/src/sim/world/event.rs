//! Events of the simulation.

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    PermitRequested {
        home: usize,
        request: usize,
        permit_request: u64,
        only_now: bool,
    },
    Granted {
        home: usize,
        request: usize,
        permit_request: u64,
        permit: u64,
        priority: i32,
    },
    Hedge {
        request: usize,
        permit_request: u64,
        only_now: bool,
    },
    Refused {
        request: usize,
        permit_request: u64,
    },
    Withdraw {
        home: usize,
        permit_request: u64,
    },
    Submit {
        engine: usize,
        request: usize,
        attempt: u32,
    },
    StepDone(usize),
    /// An engine sends a load report.
    SendLoadReport(usize),
    /// Hosts receive a load report.
    LoadReportReceived {
        engine: usize,
        used: u32,
        running: u32,
        waiting: u32,
    },
    /// Entry hosts report the progress of their permits.
    ReportProgress,
    Tick,
    Finished {
        home: usize,
        permit: u64,
        length: u32,
    },
    Released {
        home: usize,
        permit: u64,
    },
    LoseEngine(usize),
    RetryRequest(usize),
}
