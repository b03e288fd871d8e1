//! One round: a deployment, callers, one or two faults, a verdict.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fulmarpath::cluster::{Node, Safeguard};
use fulmarpath::dev::{Deployment, DeploymentSpec, DevError};
use futures::future::join_all;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;

use super::fault::{Fault, strike};
use super::judge::Verdict;
use super::session::{draw, play};

/// What a round consists of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoundSettings {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    pub(crate) requests: usize,
    pub(crate) without: Option<Safeguard>,
    /// This fault rather than drawn ones.
    pub(crate) fault: Option<Fault>,
}

const IN_FORCE_BOUND: Duration = Duration::from_millis(3_000);
const SILENCE_BOUND_MS: u64 = 400;
/// The round goes on so long after the last caller, so that what is late shows.
const LEAVING_WATCH: Duration = Duration::from_millis(3_200);

/// Plays one round.
pub(crate) async fn run(settings: RoundSettings) -> Result<Verdict, DevError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let size = DeploymentSpec {
        hosts: settings.hosts,
        engines: 3,
        silence_bound_ms: SILENCE_BOUND_MS,
        disabled_safeguard: settings.without,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(size).await?;
    let drawn = draw_faults(&mut rng);
    let faults = settings.fault.map_or(drawn, |fault| vec![fault]);
    let host_died = faults.contains(&Fault::HostKilled);
    let mut parts = draw(&mut rng, settings.seed, settings.requests, settings.hosts);
    if faults.contains(&Fault::EngineLeaves) {
        // Some callers come only when the engine must be known to leave.
        let late = parts.len() / 3;
        for part in parts.iter_mut().take(late) {
            part.after += LEAVING_WATCH;
        }
    }
    let addresses: Vec<_> = (0..settings.hosts)
        .map(|host| deployment.caller_address(host))
        .collect();
    let nodes: Vec<Arc<Node>> = deployment
        .running_hosts()
        .map(|host| host.node.clone())
        .collect();
    let watched = Watch::start(nodes);
    let callers: Vec<_> = parts
        .into_iter()
        .map(|part| tokio::spawn(play(part, addresses.clone())))
        .collect();
    let deployment = Arc::new(Mutex::new(deployment));
    let mut verdict = Verdict {
        rounds: 1,
        ..Verdict::default()
    };
    for fault in &faults {
        let wait = Duration::from_millis(rng.random_range(100..900));
        tokio::time::sleep(wait).await;
        let struck = strike(&mut *deployment.lock().await, *fault, &mut rng).await;
        *verdict.faults_injected.entry(fault.name()).or_default() += 1;
        verdict.cut_by_stop += struck.cut as u64;
        for revision in struck.accepted {
            let took = in_force(&*deployment.lock().await, revision).await;
            verdict.in_force_ms_max = verdict.in_force_ms_max.max(took.as_millis() as u64);
            if took > IN_FORCE_BOUND {
                verdict.late_in_force += 1;
            }
        }
    }
    let outcomes = join_all(callers).await;
    let deployment = deployment.lock().await;
    for outcome in outcomes.into_iter().flatten() {
        verdict.judge(&deployment, &outcome, host_died);
    }
    verdict.judge_leaving(&deployment);
    verdict.reverted = u64::from(watched.stop().await);
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

/// How long it takes until every live host has a revision in force.
async fn in_force(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    let lags = || {
        deployment.running_hosts().any(|host| {
            let held = host.node.active_configuration();
            held.is_none_or(|held| held.root.revision < revision)
        })
    };
    while lags() && started.elapsed() < IN_FORCE_BOUND * 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// Watches that no host's revision ever falls.
struct Watch {
    stop: Arc<AtomicBool>,
    watching: tokio::task::JoinHandle<bool>,
}

impl Watch {
    fn start(nodes: Vec<Arc<Node>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let watching = tokio::spawn(async move {
            let mut seen = vec![0; nodes.len()];
            let mut fell = false;
            while !stopped.load(Ordering::Relaxed) {
                for (node, seen) in nodes.iter().zip(&mut seen) {
                    let held = node
                        .active_configuration()
                        .map_or(0, |held| held.root.revision);
                    fell |= held < *seen;
                    *seen = held;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            fell
        });
        Self { stop, watching }
    }

    async fn stop(self) -> bool {
        self.stop.store(true, Ordering::Relaxed);
        self.watching.await.unwrap_or(true)
    }
}
