//! Turns new connections away while a surge of them overloads this host.

use std::time::Duration;

use fulmarpath_cluster::Clock;
use fulmarpath_policy::{DELAY_PERIOD_MS, Millis, Surge};
use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Counts new connections, and measures this host's delay while there is a surge of them.
#[derive(Debug, Default)]
pub(crate) struct SurgeGuard {
    surge: Mutex<Surge>,
    begun: Notify,
}

impl SurgeGuard {
    /// Whether a new connection is accepted.
    pub(crate) fn accepts(&self, now_ms: Millis) -> bool {
        let mut surge = self.surge.lock();
        let is_accepted = surge.accepts(now_ms);
        if surge.is_surging() {
            self.begun.notify_one();
        }
        is_accepted
    }

    /// Measures the delay of a timer during each surge.
    pub(crate) async fn measure(&self, clock: Clock) {
        loop {
            self.begun.notified().await;
            self.surge.lock().begin(clock.now_ms());
            while self.measure_once(clock).await {}
        }
    }

    /// Measures once; false after the end of the surge.
    async fn measure_once(&self, clock: Clock) -> bool {
        let due_ms = clock.now_ms() + DELAY_PERIOD_MS;
        sleep(Duration::from_millis(DELAY_PERIOD_MS)).await;
        let now_ms = clock.now_ms();
        let mut surge = self.surge.lock();
        if surge.record_delay(now_ms, now_ms.saturating_sub(due_ms)) {
            log_change(&surge);
        }
        surge.is_surging() || surge.is_turning_away()
    }
}

fn log_change(surge: &Surge) {
    let (arrived, usual) = surge.rates_per_s();
    match surge.is_turning_away() {
        true => info!(
            "surge: this host is overloaded and turns new connections away; {arrived} came in a \
             second, usually {usual:.1}"
        ),
        false => info!("surge: all new connections are accepted again; {arrived} came in a second"),
    }
}
