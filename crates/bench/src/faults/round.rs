//! One round: a deployment, its callers, one or two faults, and a verdict.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fulmarpath::cluster::{Node, Safeguard};
use fulmarpath::dev::{Deployment, DeploymentSpec, DevError};
use futures::future::join_all;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;

use super::callers::{draw_plans, run_caller};
use super::fault::{Fault, inject};
use super::verdict::Verdict;

/// Parameters of a round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoundSettings {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    pub(crate) requests: usize,
    pub(crate) disabled_safeguard: Option<Safeguard>,
    /// Injected instead of random faults.
    pub(crate) fault: Option<Fault>,
}

const ACTIVATION_BOUND: Duration = Duration::from_millis(3_000);
const SILENCE_TIMEOUT_MS: u64 = 400;
/// Delay of some callers in rounds where an engine leaves, so that requests sent to it too late are
/// observed.
const LEAVING_OBSERVATION: Duration = Duration::from_millis(3_200);

/// Runs one round.
pub(crate) async fn run(settings: RoundSettings) -> Result<Verdict, DevError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let spec = DeploymentSpec {
        hosts: settings.hosts,
        engines: 3,
        silence_bound_ms: SILENCE_TIMEOUT_MS,
        disabled_safeguard: settings.disabled_safeguard,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await?;
    let drawn = draw_faults(&mut rng);
    let faults = settings.fault.map_or(drawn, |fault| vec![fault]);
    let was_host_killed = faults.contains(&Fault::HostKilled);
    let mut plans = draw_plans(&mut rng, settings.seed, settings.requests, settings.hosts);
    if faults.contains(&Fault::EngineLeaves) {
        // Some callers start only when hosts must know that the engine leaves.
        let late_callers = plans.len() / 3;
        for plan in plans.iter_mut().take(late_callers) {
            plan.delay += LEAVING_OBSERVATION;
        }
    }
    let addresses: Vec<_> = (0..settings.hosts)
        .map(|host| deployment.caller_address(host))
        .collect();
    let nodes: Vec<Arc<Node>> = deployment
        .running_hosts()
        .map(|host| host.node.clone())
        .collect();
    let monitor = RevisionMonitor::start(nodes);
    let callers: Vec<_> = plans
        .into_iter()
        .map(|plan| tokio::spawn(run_caller(plan, addresses.clone())))
        .collect();
    let deployment = Arc::new(Mutex::new(deployment));
    let mut verdict = Verdict {
        rounds: 1,
        ..Verdict::default()
    };
    for fault in &faults {
        let wait = Duration::from_millis(rng.random_range(100..900));
        tokio::time::sleep(wait).await;
        let result = inject(&mut *deployment.lock().await, *fault, &mut rng).await;
        *verdict.faults_injected.entry(fault.name()).or_default() += 1;
        verdict.cut_by_stop += result.interrupted as u64;
        for revision in result.accepted_revisions {
            let elapsed = time_to_activate(&*deployment.lock().await, revision).await;
            verdict.in_force_ms_max = verdict.in_force_ms_max.max(elapsed.as_millis() as u64);
            if elapsed > ACTIVATION_BOUND {
                verdict.late_in_force += 1;
            }
        }
    }
    let outcomes = join_all(callers).await;
    let deployment = deployment.lock().await;
    for outcome in outcomes.into_iter().flatten() {
        verdict.check(&deployment, &outcome, was_host_killed);
    }
    verdict.check_leaving(&deployment);
    verdict.reverted = u64::from(monitor.stop().await);
    Ok(verdict)
}

fn draw_faults(rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let one = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
    let other = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
    if rng.random::<bool>() && one != other {
        vec![one, other]
    } else {
        vec![one]
    }
}

/// Time until a revision is active on every running host; stops waiting at twice the bound.
async fn time_to_activate(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    let is_pending = || {
        deployment.running_hosts().any(|host| {
            let active = host.node.active_configuration();
            active.is_none_or(|active| active.root.revision < revision)
        })
    };
    while is_pending() && started.elapsed() < ACTIVATION_BOUND * 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// Monitors whether the active revision of any host decreases.
struct RevisionMonitor {
    stop: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<bool>,
}

impl RevisionMonitor {
    fn start(nodes: Vec<Arc<Node>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut latest = vec![0; nodes.len()];
            let mut has_decreased = false;
            while !stopped.load(Ordering::Relaxed) {
                for (node, latest) in nodes.iter().zip(&mut latest) {
                    let active = node
                        .active_configuration()
                        .map_or(0, |active| active.root.revision);
                    has_decreased |= active < *latest;
                    *latest = active;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            has_decreased
        });
        Self { stop, task }
    }

    async fn stop(self) -> bool {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap_or(true)
    }
}
