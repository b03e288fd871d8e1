//! Keeps bars of contents in the store, where they outlive all hosts.
//!
//! Without this, three more upstreams would end after each loss of all hosts. Only bars are kept: they
//! are rare, a write each by both homes, and those hosts read them once after their start that read
//! the configuration there.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath_cluster::Clock;
use fulmarpath_policy::{ContentKey, Millis, Ruling, Standing};
use fulmarpath_wire::Holding;
use spdlog::warn;
use tokio::time::sleep;

use crate::follow::outcome;
use crate::gateway::Gateway;
use crate::metadata::{Freshness, KeptBar, StoreError};

/// Between two tries to write while the store is away.
const WRITE_PERIOD: Duration = Duration::from_secs(1);
/// Tries: the store's longest outages are over by then, and the hosts know the ruling themselves.
const WRITE_TRIES: u32 = 60;

impl Gateway {
    /// Writes down what this host has ruled as a home.
    pub(crate) fn keep_bar(self: &Arc<Self>, ruling: &Ruling) {
        let gateway = self.clone();
        let ruling = ruling.clone();
        match ruling.standing {
            Standing::OneAtATime => {}
            Standing::Barred => {
                tokio::spawn(async move { gateway.write_bar(ruling).await });
            }
            Standing::Free if ruling.bars > 0 => {
                tokio::spawn(async move { gateway.lift_bar(ruling.content).await });
            }
            Standing::Free => {}
        }
    }

    async fn write_bar(&self, ruling: Ruling) {
        let (content, turn) = (ruling.content, ruling.turn);
        let bar = kept(Clock::wall_ms(), ruling);
        for _ in 0..WRITE_TRIES {
            // Written late, it would stand there after the content was freed.
            if self.quarantine.turn(content) != Some(turn) {
                return;
            }
            let written = self.metadata.bar_registry.keep(&bar).await;
            if self.note_write(content, written) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    async fn lift_bar(&self, content: ContentKey) {
        for _ in 0..WRITE_TRIES {
            let lifted = self.metadata.bar_registry.lift(content).await;
            if self.note_write(content, lifted) {
                return;
            }
            sleep(WRITE_PERIOD).await;
        }
    }

    fn note_write(&self, content: ContentKey, written: Result<(), StoreError>) -> bool {
        self.metrics.store_call("a_bar", outcome(&written));
        if let Err(error) = &written {
            let content = content.0;
            warn!("quarantine: could not write the bar of content {content:016x}: {error}");
        }
        written.is_ok()
    }

    /// Reads the bars once after this host's start, and tells its area.
    pub(crate) async fn read_bars(self: &Arc<Self>) {
        if self.has_read_bars.load(Ordering::Relaxed) {
            return;
        }
        let listed = self.metadata.bars.list(Freshness::Newest).await;
        self.metrics.store_call("bars", outcome(&listed));
        match listed {
            Ok(all) => {
                self.has_read_bars.store(true, Ordering::Relaxed);
                self.skip_of_list("the bars", &all);
                let unix_ms = Clock::wall_ms();
                let rulings = all.items.into_iter().map(|bar| told(unix_ms, bar));
                let (old, rulings) = rulings.partition(Ruling::is_forgotten);
                let news = self.adopt_rulings(rulings, "the store");
                if !news.is_empty() {
                    self.announce(Holding::Rulings, &news, self.neighbours());
                }
                self.remove_old(old).await;
            }
            Err(error) => warn!("quarantine: the bars can't be read: {error}"),
        }
    }

    async fn remove_old(&self, old: Vec<Ruling>) {
        for ruling in old {
            let lifted = self.metadata.bar_registry.lift(ruling.content).await;
            self.note_write(ruling.content, lifted);
        }
    }
}

fn kept(unix_ms: u64, ruling: Ruling) -> KeptBar {
    KeptBar {
        content: ruling.content,
        bars: ruling.bars,
        crashes: ruling.crashes,
        since_unix_ms: unix_ms.saturating_sub(ruling.age_ms),
    }
}

/// The turn of a bar that the store has told: any that hosts know goes before it.
const TOLD_TURN: u32 = 1;

/// A clock that is ahead of the one that wrote it ends a bar sooner by so much, one that is behind
/// later: seconds of minutes.
fn told(unix_ms: u64, bar: KeptBar) -> Ruling {
    let age_ms: Millis = unix_ms.saturating_sub(bar.since_unix_ms);
    Ruling {
        content: bar.content,
        turn: TOLD_TURN,
        standing: Standing::Barred,
        bars: bar.bars,
        crashes: bar.crashes,
        age_ms,
    }
}
