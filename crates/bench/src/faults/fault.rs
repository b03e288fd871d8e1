//! The faults of the brief, as orders to a trial deployment.

use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::cluster::Change;
use fulmarpath::dev::{Deployment, declarations};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    EngineDies,
    EngineLeaves,
    ConnectionsGoSilent,
    StreamsBreak,
    ResumesTooEarly,
    StrangersTokens,
    HostKilled,
    HostStopped,
    PlatformDown,
    PlatformSlow,
    AnswersLost,
    PlainAnswersLost,
    OperatorsRace,
    PresetSwitched,
}

impl Fault {
    pub(crate) const ALL: [Self; 14] = [
        Self::EngineDies,
        Self::EngineLeaves,
        Self::ConnectionsGoSilent,
        Self::StreamsBreak,
        Self::ResumesTooEarly,
        Self::StrangersTokens,
        Self::HostKilled,
        Self::HostStopped,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::AnswersLost,
        Self::PlainAnswersLost,
        Self::OperatorsRace,
        Self::PresetSwitched,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::EngineDies => "engine_dies",
            Self::EngineLeaves => "engine_leaves",
            Self::ConnectionsGoSilent => "connections_go_silent",
            Self::StreamsBreak => "streams_break",
            Self::ResumesTooEarly => "resumes_too_early",
            Self::StrangersTokens => "strangers_tokens",
            Self::HostKilled => "host_killed",
            Self::HostStopped => "host_stopped",
            Self::PlatformDown => "platform_down",
            Self::PlatformSlow => "platform_slow",
            Self::AnswersLost => "answers_lost",
            Self::PlainAnswersLost => "plain_answers_lost",
            Self::OperatorsRace => "operators_race",
            Self::PresetSwitched => "preset_switched",
        }
    }
}

/// What a fault did that the judge must know.
#[derive(Debug, Default)]
pub(crate) struct Struck {
    pub(crate) cut: usize,
    pub(crate) accepted: Vec<u64>,
}

/// Outages of the platform last so long.
const OUTAGE: Duration = Duration::from_millis(1_200);
/// The last host is never killed or stopped; it makes the changes of the configuration.
const OPERATORS_HOST: usize = 0;

/// Brings a fault about, on an engine or host that the draw chooses.
pub(crate) async fn strike(
    deployment: &mut Deployment,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> Struck {
    // One engine always stays whole, or there is nothing to survive on.
    let engine = rng.random_range(1..deployment.engines.len());
    let host = rng.random_range(1..deployment.host_count());
    let engine = &deployment.engines[engine];
    let platform = deployment.object_api.faults.clone();
    let mut struck = Struck::default();
    match fault {
        Fault::EngineDies => engine.faults.dead.store(true, Ordering::Relaxed),
        Fault::EngineLeaves => engine.leave(),
        Fault::ConnectionsGoSilent => {
            deployment.engines.iter().for_each(|one| one.silence_open());
        }
        Fault::StreamsBreak => {
            let after = rng.random_range(4..40);
            let breaks = &engine.faults.break_after_tokens;
            breaks.store(after, Ordering::Relaxed);
        }
        Fault::ResumesTooEarly => {
            for one in &deployment.engines {
                let faults = &one.faults;
                faults.resume_too_early_tokens.store(5, Ordering::Relaxed);
                faults.break_after_tokens.store(25, Ordering::Relaxed);
            }
        }
        Fault::StrangersTokens => {
            for one in &deployment.engines {
                one.faults.crossed.store(true, Ordering::Relaxed);
            }
        }
        Fault::HostKilled => deployment.kill(host),
        Fault::HostStopped => struck.cut = deployment.stop(host).await,
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
        Fault::AnswersLost => {
            let lost = rng.random_range(1..4);
            platform.lose_write_answers.store(lost, Ordering::Relaxed);
        }
        Fault::PlainAnswersLost => deployment.plain.lose_answers.store(3, Ordering::Relaxed),
        Fault::OperatorsRace => struck.accepted = race(deployment, rng).await,
        Fault::PresetSwitched => {
            let preset = ["peak", "ordinary"][rng.random_range(0..2)].to_owned();
            let node = &deployment.host(OPERATORS_HOST).node;
            let revision = node.publish(&Change::UsePreset { preset }).await;
            struck.accepted.extend(revision.ok());
        }
    }
    struck
}

async fn race(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let node = deployment.host(OPERATORS_HOST).node.clone();
    let onto = node.in_force().map(|held| held.root.revision);
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
