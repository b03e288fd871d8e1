//! The faults that are injected into a development deployment.

use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::cluster::Change;
use fulmarpath::dev::{Deployment, declarations};
use fulmarpath_wire::{Document, PeerClient};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tarpc::client::Config;
use tarpc::tokio_serde::formats::Bincode;

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    EngineHangs,
    EngineLeaves,
    ConnectionsGoSilent,
    StreamsBreak,
    ResumesTooEarly,
    ForeignTokens,
    HostKilled,
    HostStopped,
    PlatformDown,
    PlatformSlow,
    WriteResponsesLost,
    PlainResponsesLost,
    OperatorsRace,
    PresetSwitched,
    PlatformDownAfterChange,
    StaleAnnouncement,
}

impl Fault {
    pub(crate) const ALL: [Self; 16] = [
        Self::EngineHangs,
        Self::EngineLeaves,
        Self::ConnectionsGoSilent,
        Self::StreamsBreak,
        Self::ResumesTooEarly,
        Self::ForeignTokens,
        Self::HostKilled,
        Self::HostStopped,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::WriteResponsesLost,
        Self::PlainResponsesLost,
        Self::OperatorsRace,
        Self::PresetSwitched,
        Self::PlatformDownAfterChange,
        Self::StaleAnnouncement,
    ];

    /// The name on the command line and in the verdict.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::EngineHangs => "engine_dies",
            Self::EngineLeaves => "engine_leaves",
            Self::ConnectionsGoSilent => "connections_go_silent",
            Self::StreamsBreak => "streams_break",
            Self::ResumesTooEarly => "resumes_too_early",
            Self::ForeignTokens => "strangers_tokens",
            Self::HostKilled => "host_killed",
            Self::HostStopped => "host_stopped",
            Self::PlatformDown => "platform_down",
            Self::PlatformSlow => "platform_slow",
            Self::WriteResponsesLost => "answers_lost",
            Self::PlainResponsesLost => "plain_answers_lost",
            Self::OperatorsRace => "operators_race",
            Self::PresetSwitched => "preset_switched",
            Self::PlatformDownAfterChange => "platform_down_after_change",
            Self::StaleAnnouncement => "old_announcement",
        }
    }
}

impl std::str::FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let found = Self::ALL.into_iter().find(|one| one.name() == name);
        found.ok_or(UnknownFault)
    }
}

/// The name on the command line is not that of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not find a fault of this name")]
pub(crate) struct UnknownFault;

/// What an injection did that the verdict depends on.
#[derive(Debug, Default)]
pub(crate) struct InjectionResult {
    /// Streams that a stopping host interrupted.
    pub(crate) interrupted: usize,
    /// Revisions of the configuration that were accepted.
    pub(crate) accepted_revisions: Vec<u64>,
}

/// Duration of an outage of the platform.
const OUTAGE: Duration = Duration::from_millis(1_200);
/// Duration of an outage that is longer than the time in which a change must become active.
const LONG_OUTAGE: Duration = Duration::from_millis(4_000);
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);
/// The host that publishes configuration changes; it is never killed or stopped.
const OPERATOR_HOST: usize = 0;

/// Injects a fault, on a random engine or host where it has a target.
pub(crate) async fn inject(
    deployment: &mut Deployment,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> InjectionResult {
    // The first engine is never chosen: with all engines failing, no request could be served.
    let engine = rng.random_range(1..deployment.engines.len());
    let host = rng.random_range(1..deployment.host_count());
    let engine = &deployment.engines[engine];
    let platform = deployment.object_api.faults.clone();
    let mut result = InjectionResult::default();
    match fault {
        Fault::EngineHangs => engine.faults.unresponsive.store(true, Ordering::Relaxed),
        Fault::EngineLeaves => engine.leave(),
        Fault::ConnectionsGoSilent => {
            deployment
                .engines
                .iter()
                .for_each(|one| one.silence_open_streams());
        }
        Fault::StreamsBreak => {
            let tokens = rng.random_range(4..40);
            let break_after = &engine.faults.break_after_tokens;
            break_after.store(tokens, Ordering::Relaxed);
        }
        Fault::ResumesTooEarly => {
            for one in &deployment.engines {
                let faults = &one.faults;
                faults.resume_rewind_tokens.store(5, Ordering::Relaxed);
                faults.break_after_tokens.store(25, Ordering::Relaxed);
            }
        }
        Fault::ForeignTokens => {
            for one in &deployment.engines {
                one.faults.foreign_tokens.store(true, Ordering::Relaxed);
            }
        }
        Fault::HostKilled => deployment.kill(host),
        Fault::HostStopped => result.interrupted = deployment.stop(host).await,
        Fault::PlatformDown => {
            platform.down.store(true, Ordering::Relaxed);
            tokio::time::sleep(OUTAGE).await;
            platform.down.store(false, Ordering::Relaxed);
        }
        Fault::PlatformSlow => {
            platform.delay_ms.store(300, Ordering::Relaxed);
            tokio::time::sleep(OUTAGE).await;
            platform.delay_ms.store(0, Ordering::Relaxed);
        }
        Fault::WriteResponsesLost => {
            let lost = rng.random_range(1..4);
            platform.drop_write_responses.store(lost, Ordering::Relaxed);
        }
        Fault::PlainResponsesLost => deployment.plain.drop_responses.store(3, Ordering::Relaxed),
        Fault::OperatorsRace => {
            result.accepted_revisions = publish_concurrently(deployment, rng).await
        }
        Fault::PresetSwitched => result
            .accepted_revisions
            .extend(switch_preset(deployment, rng).await),
        Fault::PlatformDownAfterChange => {
            platform.suppress_watches.store(true, Ordering::Relaxed);
            result
                .accepted_revisions
                .extend(switch_preset(deployment, rng).await);
            platform.down.store(true, Ordering::Relaxed);
            let down = platform.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LONG_OUTAGE).await;
                down.suppress_watches.store(false, Ordering::Relaxed);
                down.down.store(false, Ordering::Relaxed);
            });
        }
        Fault::StaleAnnouncement => result
            .accepted_revisions
            .extend(announce_stale(deployment, rng).await),
    }
    result
}

async fn switch_preset(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Option<u64> {
    let preset = ["peak", "ordinary"][rng.random_range(0..2)].to_owned();
    let node = &deployment.host(OPERATOR_HOST).node;
    node.publish(&Change::UsePreset { preset }).await.ok()
}

/// Delivers an announcement from before a change to every host after the change.
async fn announce_stale(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Option<u64> {
    let active = deployment.host(OPERATOR_HOST).node.active_configuration()?;
    let old = serde_json::to_vec(&active.root).ok()?;
    let revision = switch_preset(deployment, rng).await?;
    tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
    for host in deployment.running_hosts() {
        let address = host.peer_address;
        let connect = tarpc::serde_transport::tcp::connect(address, Bincode::default).await;
        let client = PeerClient::new(Config::default(), connect.ok()?).spawn();
        let context = tarpc::context::current();
        let announced = client.announce(context, address, Document::Root, old.clone());
        let _ = announced.await;
    }
    Some(revision)
}

async fn publish_concurrently(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let node = deployment.host(OPERATOR_HOST).node.clone();
    let onto = node
        .active_configuration()
        .map(|active| active.root.revision);
    let mut apply = |weight: f32| {
        let mut declarations = declarations();
        declarations.organisations[0].weight = weight + rng.random::<f32>();
        Change::Apply {
            declarations: Box::new(declarations),
            onto,
        }
    };
    let (one, other) = (apply(1.0), apply(3.0));
    let (first, second) = tokio::join!(node.publish(&one), node.publish(&other));
    [first, second].into_iter().filter_map(Result::ok).collect()
}
