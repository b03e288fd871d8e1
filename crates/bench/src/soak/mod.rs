//! A fault soak: real hosts as processes, faults from outside, promises checked by what callers
//! and upstreams see.

mod ending;
mod fault;
mod judge;
mod proxy;
mod spoil;
mod stage;

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

use self::fault::Fault;
pub(crate) use self::fault::Kinds;
pub(crate) use self::judge::Verdict;
use self::judge::{Outcome, begun};
pub(crate) use self::spoil::Spoil;
use self::stage::{FIRST_KEY, Stage, declared};

/// A seed could not be played.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SoakError {
    /// A process, file or proxy failed.
    #[error("could not start a part of the deployment")]
    Process {
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The hosts serve nobody before any fault.
    #[error("could not get an answer before the first fault")]
    NotServing,
}

/// What is played.
#[derive(Debug, Clone)]
pub(crate) struct SoakSettings {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    pub(crate) callers: usize,
    pub(crate) faults: usize,
    /// The faults that it draws from.
    pub(crate) kinds: Kinds,
    /// Whether one caller repeats a request that ends its upstream.
    pub(crate) has_ending: bool,
    pub(crate) binary: PathBuf,
    pub(crate) spoil: Option<Spoil>,
}

/// Time for the hosts to come up, and again after everything was killed.
const UP_BOUND: Duration = Duration::from_secs(12);
/// A new version may take so long after the last fault.
const FORCE_BOUND: Duration = Duration::from_secs(7);
const CALL_BOUND: Duration = Duration::from_secs(9);
/// How long callers ask where nothing happens.
const CALM: Duration = Duration::from_millis(2_500);
const SECOND_KEY: &str = "key-2";

struct Shared {
    addresses: Vec<SocketAddr>,
    is_over: AtomicBool,
    next: AtomicU32,
    outcomes: Mutex<Vec<Outcome>>,
    may_be_cut: bool,
}

/// Plays one seed.
pub(crate) async fn play(settings: SoakSettings) -> Result<Verdict, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let faults: Vec<Fault> = (0..settings.faults)
        .map(|_| Fault::draw(&mut rng, settings.kinds))
        .collect();
    let mut stage = Stage::start(settings.seed, settings.hosts, settings.binary).await?;
    let shared = Arc::new(Shared {
        addresses: stage
            .hosts
            .iter()
            .map(stage::HostProcess::callers)
            .collect(),
        is_over: AtomicBool::new(false),
        next: AtomicU32::new(0),
        outcomes: Mutex::default(),
        may_be_cut: faults.iter().any(|fault| fault.may_cut()),
    });
    if !served(&shared.addresses, FIRST_KEY, "before", UP_BOUND).await {
        return Err(SoakError::NotServing);
    }
    let callers: Vec<_> = (0..settings.callers)
        .map(|caller| tokio::spawn(insist(shared.clone(), settings.seed, caller as u64)))
        .collect();
    let ending = settings.has_ending.then(|| {
        stage.end_plains_on(ending::ENDS);
        tokio::spawn(ending::repeat(shared.clone(), settings.seed))
    });
    if faults.is_empty() {
        sleep(CALM).await;
    }
    for fault in &faults {
        sleep(Duration::from_millis(rng.random_range(200..900))).await;
        fault.strike(&mut stage, &mut rng).await?;
        stage.replace_ended_plains().await;
    }
    shared.is_over.store(true, Ordering::Relaxed);
    for caller in callers.into_iter().chain(ending) {
        let _ = caller.await;
    }
    stage.replace_ended_plains().await;
    let mut verdict = Verdict {
        seed: settings.seed,
        faults: faults.iter().map(|fault| format!("{fault:?}")).collect(),
        ..Verdict::default()
    };
    if !served(&shared.addresses, FIRST_KEY, "after", UP_BOUND).await {
        verdict.not_served_again += 1;
    }
    stage.store.put("config", "main", declared(2, SECOND_KEY));
    if !served(&shared.addresses, SECOND_KEY, "new", FORCE_BOUND).await {
        verdict.not_in_force += 1;
    }
    for address in &shared.addresses {
        let request = sample_request(RequestKind::Check, "old-key", FIRST_KEY, HOST);
        let got = exchange(*address, request, CALL_BOUND).await;
        verdict.old_key_served += u32::from(got.status != 401);
    }
    let engines = stage.engines.iter().chain(&stage.gone);
    let engines = engines.flat_map(|engine| engine.received());
    let plains = stage.plains.iter().chain(&stage.ended_plains);
    let plains = plains.chain(&stage.left_plains);
    let plains = plains.flat_map(|plain| plain.received());
    verdict.sent_to_evacuated = stage.sent_to_evacuated as u32;
    verdict.over_cold_rate = stage.over_cold_rate as u32;
    verdict.over_limit = stage.over_limit as u32;
    verdict.sent_to_leaving = stage.sent_to_leaving as u32;
    verdict.another_era = stage.another_era as u32;
    verdict.sent_to_resting = stage.sent_to_resting as u32;
    verdict.ended_upstreams = stage.ended_plains.len() as u32;
    let begun = begun(engines.chain(plains));
    let mut outcomes = std::mem::take(&mut *shared.outcomes.lock());
    if let Some(spoil) = settings.spoil {
        spoil.apply(&mut outcomes);
    }
    for outcome in &outcomes {
        verdict.judge(outcome, &begun);
    }
    let running = (0..stage.hosts.len()).filter(|place| !stage.hosts[*place].is_running());
    for place in running {
        spdlog::warn!("soak: {} has ended by itself", stage.host_name(place));
    }
    if verdict.violations() == 0 {
        let _ = std::fs::remove_dir_all(&stage.folder);
    }
    Ok(verdict)
}

/// Whether every host serves each kind of request within a bound.
async fn served(addresses: &[SocketAddr], key: &str, name: &str, bound: Duration) -> bool {
    let started = Instant::now();
    for (place, address) in addresses.iter().enumerate() {
        for kind in [RequestKind::Poll, RequestKind::Check, RequestKind::Draft] {
            let mut attempt = 0;
            loop {
                attempt += 1;
                let id = format!("{name}-{place}-{kind:?}-{attempt}");
                let got =
                    exchange(*address, sample_request(kind, &id, key, HOST), CALL_BOUND).await;
                if got.status == 200 && got.is_complete {
                    break;
                }
                if started.elapsed() > bound {
                    return false;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    true
}

/// A caller: one request after the other, each at a host of its choice.
async fn insist(shared: Arc<Shared>, seed: u64, caller: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller));
    while !shared.is_over.load(Ordering::Relaxed) {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{seed:x}-{number:x}");
        let kind =
            [RequestKind::Poll, RequestKind::Check, RequestKind::Draft][rng.random_range(0..3)];
        let address = shared.addresses[rng.random_range(0..shared.addresses.len())];
        let got = exchange(
            address,
            sample_request(kind, &id, FIRST_KEY, HOST),
            CALL_BOUND,
        )
        .await;
        // A planned stop closes its port at its end: a caller who finds it closed asks another
        // host, as the platform's balancer would have had it do.
        let is_closed_door =
            got.status == 0 && tokio::net::TcpStream::connect(address).await.is_err();
        shared.outcomes.lock().push(Outcome {
            id,
            kind,
            got,
            may_be_cut: shared.may_be_cut || is_closed_door,
        });
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// The hosts' program beside this one.
pub(crate) fn beside_this() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new("."));
    let here = folder.join("fulmarpath");
    if here.exists() {
        return here;
    }
    folder.join("..").join("fulmarpath")
}
