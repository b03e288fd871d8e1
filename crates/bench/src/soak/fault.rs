//! The soak's faults, each brought about from outside the hosts.

use std::time::Duration;

use fulmarpath_platform_standin::{PlainBehaviour, StoreMode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::SoakError;
use super::proxy::LinkMode;
use super::stage::Stage;

/// One fault; how long it lasts is its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    HostKilled,
    HostPaused,
    HostStopped,
    AllHostsKilled,
    StoreBusy,
    StoreSilent,
    StoreLossy,
    StoreSlow,
    HistoryForgotten,
    StoreLinkReset,
    StoreLinkSilent,
    EngineLeaves,
    EngineCrashes,
    EngineLinkReset,
    EngineLinkSilent,
    EngineLinkSlow,
    PlainMisbehaves,
    EngineReborn,
    ForeignEntries,
}

impl Fault {
    /// Those that seeds draw from. The last two came later and are drawn where they are asked for, so
    /// that a seed that was kept plays what it played.
    const ALL: [Self; 19] = [
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
    ];
    const FIRST: usize = 17;

    /// Draws one.
    pub(crate) fn draw(rng: &mut ChaCha8Rng, of_all: bool) -> Self {
        let count = if of_all { Self::ALL.len() } else { Self::FIRST };
        Self::ALL[rng.random_range(0..count)]
    }

    /// Whether a caller may hear nothing at all, or only a part, with no planned work to blame.
    pub(crate) fn may_cut(self) -> bool {
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
        )
    }

    /// Brings it about, and ends it where it ends by itself.
    pub(crate) async fn strike(
        self,
        stage: &mut Stage,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), SoakError> {
        let host = rng.random_range(0..stage.hosts.len());
        let engine = rng.random_range(0..stage.engines.len());
        let lasts = Duration::from_millis(rng.random_range(500..4_500));
        match self {
            Self::HostKilled => restart(stage, host, "KILL").await?,
            Self::HostStopped => restart(stage, host, "TERM").await?,
            Self::HostPaused => {
                stage.hosts[host].signal("STOP");
                sleep(lasts).await;
                stage.hosts[host].signal("CONT");
            }
            Self::AllHostsKilled => {
                stage.hosts.iter().for_each(|host| host.signal("KILL"));
                for host in &mut stage.hosts {
                    host.ended().await;
                    host.start()?;
                }
            }
            Self::StoreBusy => store(stage, StoreMode::Busy, lasts).await,
            Self::StoreSilent => store(stage, StoreMode::Silent, lasts).await,
            Self::StoreLossy => store(stage, StoreMode::Lossy, lasts).await,
            Self::StoreSlow => store(stage, StoreMode::Slow { delay_ms: 240 }, lasts).await,
            Self::HistoryForgotten => stage.store.forget_history(),
            Self::StoreLinkReset => stage.store_link.set(LinkMode::Reset),
            Self::StoreLinkSilent => stage.store_link.set(LinkMode::Silent),
            Self::EngineLeaves => leave(stage, engine).await?,
            Self::EngineCrashes => {
                stage.engines[engine].crash();
                sleep(Duration::from_millis(1_500)).await;
                replace(stage, engine).await?;
            }
            Self::EngineLinkReset => stage.engine_links[engine].set(LinkMode::Reset),
            Self::EngineLinkSilent => stage.engine_links[engine].set(LinkMode::SilentBack),
            Self::EngineLinkSlow => {
                stage.engine_links[engine].set(LinkMode::Slow { delay_ms: 30 });
                sleep(lasts).await;
                stage.engine_links[engine].set(LinkMode::Well);
            }
            Self::PlainMisbehaves => {
                let behaviours = [
                    PlainBehaviour::Fails,
                    PlainBehaviour::Sheds,
                    PlainBehaviour::Resets,
                    PlainBehaviour::Truncates,
                    PlainBehaviour::Babbles,
                    PlainBehaviour::Crosses,
                    PlainBehaviour::Doubles,
                ];
                let plain = rng.random_range(0..stage.plains.len());
                let behaviour = behaviours[rng.random_range(0..behaviours.len())];
                stage.plains[plain].set(behaviour);
                sleep(lasts).await;
                stage.plains[plain].set(PlainBehaviour::Good);
            }
            Self::EngineReborn => stage.restart_engine(engine).await,
            Self::ForeignEntries => {
                let over = stage.foreign_entries(rng);
                sleep(lasts).await;
                stage.register_plain(over);
            }
        }
        Ok(())
    }
}

async fn restart(stage: &mut Stage, place: usize, signal: &str) -> Result<(), SoakError> {
    let host = &mut stage.hosts[place];
    host.signal(signal);
    host.ended().await;
    host.start()
}

async fn store(stage: &Stage, mode: StoreMode, lasts: Duration) {
    stage.store.set_mode(mode);
    sleep(lasts).await;
    stage.store.set_mode(StoreMode::Up);
}

/// Notice, then the end 1.8 s later, and another engine in its place.
async fn leave(stage: &mut Stage, place: usize) -> Result<(), SoakError> {
    stage.give_notice(place);
    sleep(Duration::from_millis(1_800)).await;
    stage.engines[place].crash();
    replace(stage, place).await
}

async fn replace(stage: &mut Stage, place: usize) -> Result<(), SoakError> {
    let gone = stage.engines.remove(place);
    stage.engine_links.remove(place);
    stage.store.remove("servers", &gone.instance);
    stage.gone.push(gone);
    let next: u32 = rand::random();
    stage.add_engine(&format!("i-n{next:08x}")).await
}
