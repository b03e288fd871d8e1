//! Tasks that run as long as the host, and panics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spdlog::error;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// Pause before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Panics of the process since its start.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs each panic of the process from then on and counts it for the metrics, and then does what was
/// done before.
pub fn log_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        let thread = std::thread::current();
        let thread = thread.name().unwrap_or("unnamed").to_owned();
        let message = panic.payload_as_str().unwrap_or("no message");
        match panic.location() {
            Some(place) => error!("panic: thread {thread}, {place}: {message}"),
            None => error!("panic: thread {thread}: {message}"),
        }
        previous(panic);
    }));
}

/// Panics of the process since [`log_panics`].
pub(crate) fn panic_count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

impl Gateway {
    /// Runs a task that is started again whenever it panics, until it ends by itself.
    pub fn spawn_supervised<F>(
        self: &Arc<Self>,
        name: &'static str,
        mut start: impl FnMut() -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let gateway = self.clone();
        tokio::spawn(async move {
            while let Err(end) = tokio::spawn(start()).await {
                if !end.is_panic() {
                    return;
                }
                gateway.metrics.task_restart(name);
                let delay_ms = RESTART_DELAY.as_millis();
                error!("host: task `{name}` has panicked, starts again in {delay_ms} ms");
                sleep(RESTART_DELAY).await;
            }
        })
    }
}
