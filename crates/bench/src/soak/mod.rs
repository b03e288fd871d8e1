//! Fault soak: runs host processes, injects faults from outside, and checks the guarantees by what
//! callers and upstreams observe.

mod corruption;
mod crashing_caller;
mod deployment;
mod fault;
mod fault_set;
mod host_process;
mod proxy;
mod store_fault;
mod verdict;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use fulmarpath_platform_standin::{HOST, RequestKind, exchange, sample_request};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

pub(crate) use self::corruption::Corruption;
pub(crate) use self::crashing_caller::CrashingRequest;
use self::crashing_caller::{CRASHING_BODY, CRASHING_PARTS, repeat};
use self::deployment::{Deployment, FIRST_KEY, cold_start_configuration};
use self::fault::Fault;
pub(crate) use self::fault_set::FaultSet;
use self::host_process::HostProcess;
pub(crate) use self::verdict::Verdict;
use self::verdict::{Outcome, count_starts};

/// Why a seed could not be run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SoakError {
    /// A process, file or proxy could not be started or created.
    #[error("could not start a process or proxy, or create a file, of the deployment")]
    Process {
        /// The underlying I/O error.
        #[source]
        source: std::io::Error,
    },
    /// A host did not serve requests before the first fault.
    #[error("could not get a response from every host before the first fault")]
    NotServing,
}

/// Parameters of one seed.
#[derive(Debug, Clone)]
pub(crate) struct SoakSettings {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    pub(crate) callers: usize,
    pub(crate) faults: usize,
    /// The set from which the faults are drawn.
    pub(crate) fault_set: FaultSet,
    /// What one caller sends to crash upstreams.
    pub(crate) crashing_request: Option<CrashingRequest>,
    pub(crate) binary: PathBuf,
    pub(crate) corruption: Option<Corruption>,
}

/// Time for the hosts to start, and to serve again after all of them were killed.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for a new configuration to become active on all hosts after the last fault.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(7);
const CALL_TIMEOUT: Duration = Duration::from_secs(9);
/// How long callers send requests when no fault is injected.
const FAULT_FREE_DURATION: Duration = Duration::from_millis(2_500);
const SECOND_KEY: &str = "key-2";

/// State that the callers share.
struct Shared {
    addresses: Vec<SocketAddr>,
    is_over: AtomicBool,
    next_number: AtomicU32,
    outcomes: Mutex<Vec<Outcome>>,
    may_be_interrupted: bool,
}

/// Runs one seed.
pub(crate) async fn run_seed(settings: SoakSettings) -> Result<Verdict, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let faults: Vec<Fault> = (0..settings.faults)
        .map(|_| Fault::draw(&mut rng, settings.fault_set))
        .collect();
    let mut deployment = Deployment::start(
        settings.seed,
        settings.hosts,
        settings.fault_set.framings(),
        settings.binary,
    )
    .await?;
    let shared = Arc::new(Shared {
        addresses: deployment
            .hosts
            .iter()
            .map(HostProcess::caller_address)
            .collect(),
        is_over: AtomicBool::new(false),
        next_number: AtomicU32::new(0),
        outcomes: Mutex::default(),
        may_be_interrupted: faults.iter().any(|fault| fault.may_interrupt())
            || settings.crashing_request == Some(CrashingRequest::Part),
    });
    if !wait_until_served(&shared.addresses, FIRST_KEY, "before", STARTUP_TIMEOUT).await {
        return Err(SoakError::NotServing);
    }
    let callers: Vec<_> = (0..settings.callers)
        .map(|caller| tokio::spawn(run_caller(shared.clone(), settings.seed, caller as u64)))
        .collect();
    match settings.crashing_request {
        Some(CrashingRequest::Body) => deployment.crash_plains_on(CRASHING_BODY),
        Some(CrashingRequest::Part) => deployment.crash_engines_on(&CRASHING_PARTS).await?,
        None => {}
    }
    let crashing_caller = settings
        .crashing_request
        .map(|crashing| tokio::spawn(repeat(shared.clone(), crashing, settings.seed)));
    if faults.is_empty() {
        sleep(FAULT_FREE_DURATION).await;
    }
    for fault in &faults {
        sleep(Duration::from_millis(rng.random_range(200..900))).await;
        fault.inject(&mut deployment, &mut rng).await?;
        deployment.replace_crashed().await?;
    }
    shared.is_over.store(true, Ordering::Relaxed);
    for caller in callers.into_iter().chain(crashing_caller) {
        let _ = caller.await;
    }
    deployment.replace_crashed().await?;
    let mut verdict = Verdict {
        seed: settings.seed,
        max_ended: settings
            .crashing_request
            .map_or(0, CrashingRequest::max_crashed),
        faults: faults.iter().map(|fault| format!("{fault:?}")).collect(),
        ..Verdict::default()
    };
    if !wait_until_served(&shared.addresses, FIRST_KEY, "after", STARTUP_TIMEOUT).await {
        verdict.not_served_again += 1;
    }
    deployment
        .store
        .put("config", "main", cold_start_configuration(2, SECOND_KEY));
    if !wait_until_served(&shared.addresses, SECOND_KEY, "new", ACTIVATION_TIMEOUT).await {
        verdict.not_in_force += 1;
    }
    for address in &shared.addresses {
        let request = sample_request(RequestKind::Check, "old-key", FIRST_KEY, HOST);
        let response = exchange(*address, request, CALL_TIMEOUT).await;
        verdict.old_key_served += u32::from(response.status != 401);
    }
    let engines = deployment.engines.iter().chain(&deployment.retired_engines);
    let engines = engines.flat_map(|engine| engine.received());
    let plains = deployment.plains.iter().chain(&deployment.crashed_plains);
    let plains = plains.chain(&deployment.retired_plains);
    let plains = plains.flat_map(|plain| plain.received());
    verdict.sent_to_evacuated = deployment.sent_to_evacuated as u32;
    verdict.over_cold_rate = deployment.over_cold_rate as u32;
    verdict.over_limit = deployment.over_limit as u32;
    verdict.sent_to_leaving = deployment.sent_to_leaving as u32;
    verdict.another_era = deployment.another_era as u32;
    verdict.sent_during_backoff = deployment.sent_during_backoff as u32;
    verdict.ended_upstreams = deployment.crashed_plains.len() as u32 + deployment.crashed_engines;
    let starts = count_starts(engines.chain(plains));
    let mut outcomes = std::mem::take(&mut *shared.outcomes.lock());
    let surges = deployment.surge_responses.drain(..);
    outcomes.extend(surges.map(|(id, response)| Outcome {
        id,
        kind: RequestKind::Draft,
        response,
        may_be_interrupted: shared.may_be_interrupted,
    }));
    if let Some(corruption) = settings.corruption {
        corruption.apply(&mut outcomes);
    }
    for outcome in &outcomes {
        verdict.check(outcome, &starts);
    }
    for index in 0..deployment.hosts.len() {
        if deployment.hosts[index].is_running() {
            continue;
        }
        let name = deployment.host_name(index);
        spdlog::warn!("soak: {name} exited without being stopped");
    }
    if verdict.violations() == 0 {
        let _ = std::fs::remove_dir_all(&deployment.folder);
    }
    Ok(verdict)
}

/// Waits until every host has served each kind of request; false if that takes longer than the
/// timeout.
async fn wait_until_served(
    addresses: &[SocketAddr],
    key: &str,
    id_prefix: &str,
    timeout: Duration,
) -> bool {
    let started = Instant::now();
    for (index, address) in addresses.iter().enumerate() {
        for kind in [RequestKind::Poll, RequestKind::Check, RequestKind::Draft] {
            let mut attempt = 0;
            loop {
                attempt += 1;
                let id = format!("{id_prefix}-{index}-{kind:?}-{attempt}");
                let response =
                    exchange(*address, sample_request(kind, &id, key, HOST), CALL_TIMEOUT).await;
                if response.status == 200 && response.is_complete {
                    break;
                }
                if started.elapsed() > timeout {
                    return false;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    true
}

/// Sends one request after the other, each to a random host.
async fn run_caller(shared: Arc<Shared>, seed: u64, caller: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller));
    while !shared.is_over.load(Ordering::Relaxed) {
        let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{seed:x}-{number:x}");
        let kind =
            [RequestKind::Poll, RequestKind::Check, RequestKind::Draft][rng.random_range(0..3)];
        let address = shared.addresses[rng.random_range(0..shared.addresses.len())];
        let response = exchange(
            address,
            sample_request(kind, &id, FIRST_KEY, HOST),
            CALL_TIMEOUT,
        )
        .await;
        // A host closes its port at the end of a planned stop. Requests to a closed port are not
        // counted as violations, since the platform's load balancer would choose another host.
        let is_port_closed =
            response.status == 0 && tokio::net::TcpStream::connect(address).await.is_err();
        shared.outcomes.lock().push(Outcome {
            id,
            kind,
            response,
            may_be_interrupted: shared.may_be_interrupted || is_port_closed,
        });
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// The host binary in the folder of this executable, or in its parent folder.
pub(crate) fn default_binary() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new("."));
    let here = folder.join("fulmarpath");
    if here.exists() {
        return here;
    }
    folder.join("..").join("fulmarpath")
}
