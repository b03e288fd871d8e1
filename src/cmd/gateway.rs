//! `fulmarpath gateway`: one gateway host on the platform.

use std::path::PathBuf;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use fulmarpath::gateway::{Gateway, log_panics};
use fulmarpath::platform::{EngineClient, FILE_VARIABLE, HeaderDialect, NodeFile, metadata};
use fulmarpath::{dropped_lines, init_gateway_log};
use spdlog::{info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::Run;
use crate::error::CommandError;
use crate::settings_file::{self, ReadSettings};
use crate::signals;

/// Stack size of a worker thread. Decoding a configuration needs the deepest stack.
const STACK_BYTES: usize = 512 * 1024;
/// Threads for blocking calls, of which there are few.
const BLOCKING_THREADS: usize = 2;

/// Added to the grace period, within which a process before this one frees its addresses.
const BIND_MARGIN: Duration = Duration::from_secs(2);

/// Limit on writing the last log lines.
const EXIT_LIMIT: Duration = Duration::from_millis(250);

/// Interval between reports of dropped log lines.
const DROPPED_LINES_PERIOD: Duration = Duration::from_secs(2);

/// Run one gateway host on the platform
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("gateway"))]
pub(crate) struct Serve {
    /// Settings file; by default the one that the variable FULMARPATH_NODE_FILE names
    #[bpaf(positional("SETTINGS.YAML"), optional)]
    settings: Option<PathBuf>,
}

impl Run for Serve {
    fn run(&self) -> Result<(), CommandError> {
        let result = self.serve();
        // At the exit the log is written out, which would wait for a reader that has stopped.
        let status = i32::from(result.is_err());
        // Without the thread the process ends all the same, once the log is written.
        let _ = std::thread::Builder::new().spawn(move || {
            std::thread::sleep(EXIT_LIMIT);
            signal_hook::low_level::exit(status);
        });
        result
    }
}

impl Serve {
    fn serve(&self) -> Result<(), CommandError> {
        let from_environment = std::env::var_os(FILE_VARIABLE).map(PathBuf::from);
        let file = self
            .settings
            .clone()
            .or(from_environment)
            .ok_or(CommandError::NoSettings)?;
        init_gateway_log()?;
        log_panics();
        let Some(read) = settings_file::read_at_start(&file)? else {
            info!("host: stopped before its start");
            return Ok(());
        };
        let settings = &read.settings;
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.workers())
            .max_blocking_threads(BLOCKING_THREADS)
            .thread_stack_size(STACK_BYTES)
            .enable_all()
            .build()
            .map_err(CommandError::Runtime)?;
        let result = runtime.block_on(run_host(file, read));
        runtime.shutdown_background();
        result
    }
}

async fn run_host(file: PathBuf, read: ReadSettings) -> Result<(), CommandError> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut stopped = pin!(async move {
        // Asked only now, as the signals before were not for the runtime.
        if !signals::has_stop() {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
    });
    let settings = read.settings.clone();
    let host_settings = settings.gateway_settings();
    let bind_limit = Duration::from_millis(host_settings.grace_ms) + BIND_MARGIN;
    let listeners = tokio::select! {
        listeners = settings.listen().bind_within(bind_limit) => listeners?,
        () = &mut stopped => {
            info!("host: stopped before its start");
            return Ok(());
        }
    };
    let store = metadata(settings.store_address());
    let (dialect, control) = (Arc::new(HeaderDialect), Arc::new(EngineClient));
    let gateway = Arc::new(Gateway::new(host_settings, dialect, control, store));
    // Listens from now on, as a signal before the task has started would be lost.
    let mut hang_up = Some(listen(SignalKind::hangup())?);
    let reloaded = gateway.clone();
    gateway.spawn_supervised("settings", move || {
        let (file, read, gateway) = (file.clone(), read.clone(), reloaded.clone());
        let hang_up = hang_up
            .take()
            .map_or_else(|| listen(SignalKind::hangup()), Ok);
        async move {
            let apply = |settings: &NodeFile| gateway.reload(settings.gateway_settings());
            match hang_up {
                Ok(hang_up) => settings_file::follow(file, read, hang_up, apply).await,
                Err(error) => warn!("settings: no longer reloaded: {error}"),
            }
        }
    });
    tokio::spawn(report_dropped_lines());
    gateway.run(listeners, stopped).await;
    Ok(())
}

/// Logs how many log lines were dropped since the last report.
async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        tokio::time::sleep(DROPPED_LINES_PERIOD).await;
        let dropped = dropped_lines();
        if dropped > reported {
            warn!("log: {} lines were dropped", dropped - reported);
            reported = dropped;
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Runtime)
}
