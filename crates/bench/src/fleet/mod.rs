//! A fleet of real gateways in one process, each on a thread of its own, before the stand-in store.

mod deployment;
mod gateway_host;
mod row;
mod usage;

use std::time::{Duration, Instant};

pub(crate) use row::{Format, Row, print_growth, print_rows};
pub(crate) use usage::machine_memory_mb;

use deployment::Deployment;
use row::{FleetFigures, summarise};

/// What happens before the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    None,
    /// All hosts end at once and start again.
    KillAll,
    /// The store is unavailable for the first half of the measurement.
    StoreOff,
}

/// The size of a run and what happens in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) hosts: usize,
    pub(crate) upstreams: usize,
    pub(crate) changes_per_s: usize,
    pub(crate) seconds: u64,
    pub(crate) event: Event,
}

/// Upper bound for each wait.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Between two checks of a wait.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Time after all hosts serve in which updates of the start still spread.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Probes of the time until all hosts know a change.
const CHANGE_PROBES: usize = 5;

/// Runs a fleet and returns a row for each role, and one for all hosts.
pub(crate) fn run(plan: Plan) -> Vec<Row> {
    let mut deployment = Deployment::start(plan.upstreams);
    let started = Instant::now();
    deployment.start_hosts(plan.hosts);
    let mut serving_ms = wait(started, || deployment.all_serve(plan.upstreams));
    let mut start_calls = deployment.store_calls();
    if plan.event == Event::KillAll {
        std::thread::sleep(SETTLE_TIME);
        deployment.stop_hosts();
        let calls = deployment.store_calls();
        let started = Instant::now();
        deployment.start_hosts(plan.hosts);
        serving_ms = wait(started, || deployment.all_serve(plan.upstreams));
        start_calls = deployment.store_calls() - calls;
    }
    std::thread::sleep(SETTLE_TIME);
    let before = deployment.usage();
    let measured = Instant::now();
    deployment.set_store_available(plan.event != Event::StoreOff);
    let period = Duration::from_secs_f64(1.0 / plan.changes_per_s as f64);
    let duration = Duration::from_secs(plan.seconds);
    let mut changed = 0;
    while measured.elapsed() < duration {
        deployment.replace_upstream(changed);
        changed += 1;
        if measured.elapsed() > duration / 2 {
            deployment.set_store_available(true);
        }
        std::thread::sleep(period);
    }
    let seconds = measured.elapsed().as_secs_f64();
    let used = deployment.usage_since(&before);
    let change_known_ms = change_known_ms(&mut deployment, plan.upstreams);
    let fleet = FleetFigures {
        upstreams: plan.upstreams,
        seconds,
        start_calls,
        serving_ms,
        change_known_ms,
    };
    summarise(&used, &fleet)
}

/// The longest time until all hosts know of one more upstream, in ms.
fn change_known_ms(deployment: &mut Deployment, upstreams: usize) -> Option<u64> {
    // Changes of the measurement may still be on their way.
    wait(Instant::now(), || deployment.all_serve(upstreams))?;
    let mut longest_ms = 0;
    for probe in 1..=CHANGE_PROBES {
        let changed = Instant::now();
        deployment.add_upstream();
        let known_ms = wait(changed, || deployment.all_serve(upstreams + probe))?;
        longest_ms = longest_ms.max(known_ms);
    }
    Some(longest_ms)
}

/// Waits for a condition; returns the time since `started` in ms, or `None` after [`WAIT_LIMIT`].
fn wait(started: Instant, holds: impl Fn() -> bool) -> Option<u64> {
    while !holds() {
        if started.elapsed() > WAIT_LIMIT {
            return None;
        }
        std::thread::sleep(POLL_PERIOD);
    }
    Some(started.elapsed().as_millis() as u64)
}
