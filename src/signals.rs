//! Signals that arrive before the runtime listens for them.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag::register;

/// Name of the subcommand that handles signals from its start.
const COMMAND: &str = "gateway";

static RECEIVED: OnceLock<Received> = OnceLock::new();

#[derive(Debug, Clone, Default)]
struct Received {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Installs the handlers if the process is to run a gateway. Other commands keep the default
/// actions.
///
/// # Errors
/// The system's error.
pub(crate) fn install() -> std::io::Result<()> {
    if std::env::args_os()
        .nth(1)
        .is_none_or(|word| word != COMMAND)
    {
        return Ok(());
    }
    let received = RECEIVED.get_or_init(Received::default);
    register(SIGTERM, received.stop.clone())?;
    register(SIGINT, received.stop.clone())?;
    register(SIGHUP, received.reload.clone())?;
    Ok(())
}

/// Whether the process was told to stop.
pub(crate) fn has_stop() -> bool {
    let received = RECEIVED.get();
    received.is_some_and(|received| received.stop.load(Ordering::SeqCst))
}

/// Whether the process was told to read its settings again since the last call.
pub(crate) fn take_reload() -> bool {
    let received = RECEIVED.get();
    received.is_some_and(|received| received.reload.swap(false, Ordering::SeqCst))
}
