//! The faults of the soak, each injected from outside the hosts.

use std::time::{Duration, Instant};

use fulmarpath_platform_standin::{
    EngineBehaviour, HOST, PlainBehaviour, RequestKind, ResponseSignals, StoreMode, exchange,
    sample_request,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::deployment::{COLD_MS, DATA_CENTRES, Deployment, FIRST_KEY};
use super::fault_set::{ADDED_SHARE, FaultSet};
use super::proxy::LinkMode;
use super::store_fault::{EntryExpiry, StoreRestore, expire_entries, restore_store};
use super::{CALL_TIMEOUT, SoakError};

/// Time within which an evacuation is complete, as in the hosts' settings.
const EVACUATION_BOUND: Duration = Duration::from_millis(4_000);
/// Time within which a change of a directory entry reaches all hosts.
pub(crate) const PROPAGATION_BOUND: Duration = Duration::from_millis(600);
/// Time after which a leaving upstream receives no requests, as in the hosts' settings.
pub(crate) const LEAVING_BOUND: Duration = Duration::from_millis(2_000);
/// Requests per second to a cold plain upstream that the settings and its service allow.
const MAX_COLD_PER_SECOND: usize = 17;

/// The limit that an upstream advertises in its responses.
const LIMIT_PER_S: f32 = 0.5;
/// The window over which requests to a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in this window: one and a half times the advertised limit, plus five.
const MAX_IN_LIMIT_WINDOW: usize = 8;
/// The backoff that an upstream requests.
const BACKOFF_S: f32 = 4.0;
/// Service time of each request at busy upstreams.
const BUSY_SERVICE_TIME: Duration = Duration::from_millis(300);
/// Requests that one host may send to an upstream during the backoff that it requested.
const MAX_PER_HOST_IN_BACKOFF: usize = 2;
/// Time within which nearly every host has had a response of each plain upstream.
const NOTIFICATION_BOUND: Duration = Duration::from_millis(1_500);

/// Factor by which an engine slows down.
const ENGINE_SLOWDOWN: u32 = 3;
/// Drafts of a surge: more than the 96 slots of the four engines.
const SURGE_REQUESTS: usize = 130;

/// One fault, with its own duration. Verdicts and tests contain the names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    HostKilled,
    HostPaused,
    /// A host stops gracefully on SIGTERM and starts again.
    HostStopped,
    AllHostsKilled,
    StoreBusy,
    StoreSilent,
    StoreLossy,
    StoreSlow,
    /// The store compacts its history, so that watches can't resume from an earlier revision.
    HistoryForgotten,
    StoreLinkReset,
    StoreLinkSilent,
    /// An engine is reclaimed after a notice.
    EngineLeaves,
    EngineCrashes,
    EngineLinkReset,
    EngineLinkSilent,
    EngineLinkSlow,
    PlainMisbehaves,
    /// An engine restarts under its name without closing its connections.
    EngineReborn,
    /// Another writer leaves unusable directory entries.
    ForeignEntries,
    Evacuation,
    /// A plain upstream returns cold.
    ColdReturn,
    /// A plain upstream advertises a rate limit.
    PlainNamesLimit,
    /// A plain upstream signals in its responses that it leaves.
    PlainSaysItLeaves,
    /// A plain upstream requests a backoff.
    PlainAsksForRest,
    /// The store is restored from a backup.
    StoreReturnsFromCopy,
    /// All entries of upstreams expire in an outage of the store, and one upstream leaves soon after.
    EntriesExpire,
    /// The process of an engine ends and closes its connections in order.
    EngineEnds,
    /// An engine takes several times its usual time.
    EngineSlows,
    /// More drafts arrive at once than the engines have slots.
    Surge,
}

impl Fault {
    pub(super) const ALL: [Self; 29] = [
        Self::HostKilled,
        Self::HostPaused,
        Self::HostStopped,
        Self::AllHostsKilled,
        Self::StoreBusy,
        Self::StoreSilent,
        Self::StoreLossy,
        Self::StoreSlow,
        Self::HistoryForgotten,
        Self::StoreLinkReset,
        Self::StoreLinkSilent,
        Self::EngineLeaves,
        Self::EngineCrashes,
        Self::EngineLinkReset,
        Self::EngineLinkSilent,
        Self::EngineLinkSlow,
        Self::PlainMisbehaves,
        Self::EngineReborn,
        Self::ForeignEntries,
        Self::Evacuation,
        Self::ColdReturn,
        Self::PlainNamesLimit,
        Self::PlainSaysItLeaves,
        Self::PlainAsksForRest,
        Self::StoreReturnsFromCopy,
        Self::EntriesExpire,
        Self::EngineEnds,
        Self::EngineSlows,
        Self::Surge,
    ];

    pub(crate) fn draw(rng: &mut ChaCha8Rng, fault_set: FaultSet) -> Self {
        let frequent = fault_set.frequent();
        if !frequent.is_empty() && rng.random_bool(ADDED_SHARE) {
            // One fault is not drawn, so that the seeds of earlier sets keep their sequences.
            return match frequent {
                [only] => *only,
                several => several[rng.random_range(0..several.len())],
            };
        }
        Self::ALL[rng.random_range(0..fault_set.count())]
    }

    /// Whether the fault may leave a caller with an incomplete response or none, outside of planned
    /// work.
    pub(crate) fn may_interrupt(self) -> bool {
        !matches!(
            self,
            Self::HostStopped
                | Self::StoreBusy
                | Self::StoreSilent
                | Self::StoreLossy
                | Self::StoreSlow
                | Self::HistoryForgotten
                | Self::StoreLinkReset
                | Self::StoreLinkSilent
                | Self::EngineLeaves
                | Self::ForeignEntries
                | Self::Evacuation
                | Self::ColdReturn
                | Self::PlainNamesLimit
                | Self::PlainSaysItLeaves
                | Self::PlainAsksForRest
                | Self::EntriesExpire
                | Self::EngineSlows
                | Self::Surge
        )
    }

    /// Injects the fault, and ends it if it is temporary.
    pub(crate) async fn inject(
        self,
        deployment: &mut Deployment,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), SoakError> {
        let host = rng.random_range(0..deployment.hosts.len());
        let engine = rng.random_range(0..deployment.engines.len());
        let duration = Duration::from_millis(rng.random_range(500..4_500));
        match self {
            Self::HostKilled => restart_host(deployment, host, "KILL").await?,
            Self::HostStopped => restart_host(deployment, host, "TERM").await?,
            Self::HostPaused => {
                deployment.hosts[host].signal("STOP");
                sleep(duration).await;
                deployment.hosts[host].signal("CONT");
            }
            Self::AllHostsKilled => {
                deployment.hosts.iter().for_each(|host| host.signal("KILL"));
                for host in &mut deployment.hosts {
                    host.wait_for_exit().await;
                    host.start()?;
                }
            }
            Self::StoreBusy => apply_store_mode(deployment, StoreMode::Busy, duration).await,
            Self::StoreSilent => apply_store_mode(deployment, StoreMode::Silent, duration).await,
            Self::StoreLossy => apply_store_mode(deployment, StoreMode::Lossy, duration).await,
            Self::StoreSlow => {
                apply_store_mode(deployment, StoreMode::Slow { delay_ms: 240 }, duration).await
            }
            Self::HistoryForgotten => deployment.store.compact_history(),
            Self::StoreLinkReset => deployment.store_link.set(LinkMode::Reset),
            Self::StoreLinkSilent => deployment.store_link.set(LinkMode::Blackhole),
            Self::EngineLeaves => reclaim_engine(deployment, engine).await?,
            Self::EngineCrashes => {
                deployment.engines[engine].crash();
                sleep(Duration::from_millis(1_500)).await;
                deployment.replace_engine(engine).await?;
            }
            Self::EngineEnds => {
                deployment.engines[engine].exit();
                sleep(Duration::from_millis(1_500)).await;
                deployment.replace_engine(engine).await?;
            }
            Self::EngineSlows => slow_engine(deployment, engine, duration).await,
            Self::Surge => send_surge(deployment, rng, host).await,
            Self::EngineLinkReset => deployment.engine_links[engine].set(LinkMode::Reset),
            Self::EngineLinkSilent => {
                deployment.engine_links[engine].set(LinkMode::BlackholeResponses)
            }
            Self::EngineLinkSlow => {
                deployment.engine_links[engine].set(LinkMode::Slow { delay_ms: 30 });
                sleep(duration).await;
                deployment.engine_links[engine].set(LinkMode::Normal);
            }
            Self::PlainMisbehaves => {
                let behaviours = [
                    PlainBehaviour::Fails,
                    PlainBehaviour::Sheds,
                    PlainBehaviour::Resets,
                    PlainBehaviour::Truncates,
                    PlainBehaviour::SendsGarbage,
                    PlainBehaviour::WrongRequestId,
                    PlainBehaviour::RespondsTwice,
                ];
                let plain = rng.random_range(0..deployment.plains.len());
                let behaviour = behaviours[rng.random_range(0..behaviours.len())];
                deployment.plains[plain].set_behaviour(behaviour);
                sleep(duration).await;
                deployment.plains[plain].set_behaviour(PlainBehaviour::Good);
            }
            Self::EngineReborn => deployment.restart_engine(engine).await,
            Self::ForeignEntries => {
                let overwritten = deployment.write_foreign_entries(rng);
                sleep(duration).await;
                deployment.register_plain(overwritten);
            }
            Self::Evacuation => {
                evacuate(
                    deployment,
                    rng.random_range(0..DATA_CENTRES.len()),
                    duration,
                )
                .await
            }
            Self::ColdReturn => {
                let plain = rng.random_range(0..deployment.plains.len());
                mark_cold(deployment, plain).await;
            }
            Self::PlainNamesLimit => {
                let plain = rng.random_range(0..deployment.plains.len());
                let paused_host = rng.random_bool(0.5).then_some(host);
                advertise_limit(deployment, plain, paused_host).await;
            }
            Self::PlainSaysItLeaves => {
                let plain = rng.random_range(0..deployment.plains.len());
                signal_leaving(deployment, plain, duration).await;
            }
            Self::PlainAsksForRest => {
                let plain = rng.random_range(0..deployment.plains.len());
                request_backoff(deployment, plain).await;
            }
            Self::StoreReturnsFromCopy => {
                let plain = rng.random_range(0..deployment.plains.len());
                let restore = StoreRestore::draw(rng, host);
                restore_store(deployment, plain, restore).await?;
            }
            Self::EntriesExpire => {
                let plain = rng.random_range(0..deployment.plains.len());
                expire_entries(deployment, plain, EntryExpiry::draw(rng)).await;
            }
        }
        Ok(())
    }
}

pub(crate) async fn restart_host(
    deployment: &mut Deployment,
    index: usize,
    signal: &str,
) -> Result<(), SoakError> {
    let host = &mut deployment.hosts[index];
    host.signal(signal);
    host.wait_for_exit().await;
    host.start()
}

/// Slows an engine down for some seconds, then returns it to its usual pace.
async fn slow_engine(deployment: &Deployment, index: usize, duration: Duration) {
    let engine = deployment.engines[index].clone();
    let usual = engine.behaviour();
    engine.set_behaviour(EngineBehaviour {
        event_interval: usual.event_interval * ENGINE_SLOWDOWN,
        first_event_delay: usual.first_event_delay * ENGINE_SLOWDOWN,
        ..usual
    });
    sleep(duration).await;
    engine.set_behaviour(usual);
}

/// Sends drafts to one host at once, and waits for their responses.
async fn send_surge(deployment: &mut Deployment, rng: &mut ChaCha8Rng, host: usize) {
    let address = deployment.hosts[host].caller_address();
    let number: u32 = rng.random();
    let calls = (0..SURGE_REQUESTS).map(|index| async move {
        let id = format!("surge-{number:x}-{index}");
        let request = sample_request(RequestKind::Draft, &id, FIRST_KEY, HOST);
        (id, exchange(address, request, CALL_TIMEOUT).await)
    });
    let responses = futures::future::join_all(calls).await;
    deployment.surge_responses.extend(responses);
}

async fn apply_store_mode(deployment: &Deployment, mode: StoreMode, duration: Duration) {
    deployment.store.set_mode(mode);
    sleep(duration).await;
    deployment.store.set_mode(StoreMode::Up);
}

/// Evacuates a data centre and ends the evacuation. Counts the requests that its upstreams receive
/// after the bound.
async fn evacuate(deployment: &mut Deployment, data_centre: usize, duration: Duration) {
    let name = DATA_CENTRES[data_centre];
    deployment
        .store
        .put("evacuations", name, serde_json::json!({}));
    sleep(EVACUATION_BOUND).await;
    let received_before = deployment.received_in(data_centre);
    sleep(duration).await;
    deployment.sent_to_evacuated += deployment.received_in(data_centre) - received_before;
    deployment.store.remove("evacuations", name);
    sleep(Duration::from_millis(COLD_MS)).await;
}

/// Registers a plain upstream as cold. Once all hosts must know, counts the requests beyond the
/// allowed ones in its busiest second.
async fn mark_cold(deployment: &mut Deployment, plain: usize) {
    deployment.register_cold(plain);
    sleep(PROPAGATION_BOUND).await;
    let since = Instant::now();
    sleep(Duration::from_millis(COLD_MS) - PROPAGATION_BOUND).await;
    let peak = deployment.plains[plain].max_requests_per_second(since);
    deployment.over_cold_rate += peak.saturating_sub(MAX_COLD_PER_SECOND);
    deployment.register_plain(plain);
}

/// Makes a plain upstream advertise a limit. Once all hosts must know, counts the requests beyond
/// the allowed ones in its busiest window. A host may be paused meanwhile, possibly the one that
/// grants starts on this upstream.
async fn advertise_limit(deployment: &mut Deployment, plain: usize, paused_host: Option<usize>) {
    let upstream = deployment.plains[plain].clone();
    upstream.set_signals(ResponseSignals {
        limit_per_s: Some(LIMIT_PER_S),
        ..ResponseSignals::default()
    });
    sleep(NOTIFICATION_BOUND).await;
    let since = Instant::now();
    if let Some(host) = paused_host {
        deployment.hosts[host].signal("STOP");
        sleep(LIMIT_WINDOW / 2).await;
        deployment.hosts[host].signal("CONT");
    }
    sleep(LIMIT_WINDOW + Duration::from_millis(500)).await;
    let peak = upstream.max_requests_within(LIMIT_WINDOW, since);
    deployment.over_limit += peak.saturating_sub(MAX_IN_LIMIT_WINDOW);
    upstream.set_signals(ResponseSignals::default());
}

/// Makes a plain upstream signal that it leaves while the store is unreachable. Counts the requests
/// from hosts that know; each other host may send one request, whose response carries the signal. A
/// new instance then replaces it.
async fn signal_leaving(deployment: &mut Deployment, plain: usize, duration: Duration) {
    let upstream = deployment.plains[plain].clone();
    let notified_before = deployment.leaving_reports(plain);
    deployment.store.set_mode(StoreMode::Silent);
    upstream.set_signals(ResponseSignals {
        is_leaving: true,
        ..ResponseSignals::default()
    });
    sleep(NOTIFICATION_BOUND).await;
    let received_before = upstream.received().len();
    let notified = deployment.leaving_reports(plain) - notified_before;
    sleep(duration).await;
    let sent = upstream.received().len() - received_before;
    deployment.sent_to_leaving +=
        sent.saturating_sub(deployment.hosts.len().saturating_sub(notified));
    deployment.store.set_mode(StoreMode::Up);
    let retired = deployment.restart_plain(plain).await;
    deployment.retired_plains.push(retired);
}

/// Makes a plain upstream refuse all requests and request a backoff, while the others are slow and
/// look like worse choices. Counts the requests beyond the allowed ones during the backoff.
async fn request_backoff(deployment: &mut Deployment, plain: usize) {
    let upstream = deployment.plains[plain].clone();
    upstream.set_signals(ResponseSignals {
        backoff_s: Some(BACKOFF_S),
        ..ResponseSignals::default()
    });
    deployment
        .plains
        .iter()
        .for_each(|one| one.set_service_time(BUSY_SERVICE_TIME));
    let since = Instant::now();
    upstream.set_behaviour(PlainBehaviour::Sheds);
    sleep(Duration::from_secs_f32(BACKOFF_S)).await;
    let refused_at = upstream.refused_at();
    let after_notification = refused_at
        .iter()
        .filter(|at| **at > since + NOTIFICATION_BOUND);
    let allowed = deployment.hosts.len() * MAX_PER_HOST_IN_BACKOFF;
    deployment.sent_during_backoff += after_notification.count().saturating_sub(allowed);
    deployment
        .plains
        .iter()
        .for_each(|one| one.set_service_time(Duration::ZERO));
    upstream.set_behaviour(PlainBehaviour::Good);
    upstream.set_signals(ResponseSignals::default());
}

/// Reclaims an engine 1.8 s after its notice and adds another one.
async fn reclaim_engine(deployment: &mut Deployment, index: usize) -> Result<(), SoakError> {
    deployment.mark_draining(index);
    sleep(Duration::from_millis(1_800)).await;
    deployment.engines[index].crash();
    deployment.replace_engine(index).await
}
