//! `fulmarpath gateway`: one host on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use fulmarpath::gateway::Gateway;
use fulmarpath::platform::{EngineClient, FILE_VARIABLE, HeaderDialect, NodeFile, metadata};
use fulmarpath::{dropped_lines, init_gateway_log};
use spdlog::{info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::Run;
use crate::error::CommandError;

/// A worker's stack; decoding a configuration goes deepest.
const STACK_BYTES: usize = 512 * 1024;
/// Threads for the few calls of the runtime that block.
const BLOCKING_THREADS: usize = 2;

/// Between two looks whether lines of the log were left out.
const DROPPED_PERIOD: Duration = Duration::from_secs(2);

/// Run one host of the gateway on the platform
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("gateway"))]
pub(crate) struct Serve {
    /// The settings file; by default the one that the environment names
    #[bpaf(positional("SETTINGS.YAML"), optional)]
    settings: Option<PathBuf>,
}

impl Run for Serve {
    fn run(&self) -> Result<(), CommandError> {
        let named = std::env::var_os(FILE_VARIABLE).map(PathBuf::from);
        let file = self
            .settings
            .clone()
            .or(named)
            .ok_or(CommandError::NoSettings)?;
        let settings = NodeFile::read(&file)?;
        init_gateway_log()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.workers())
            .max_blocking_threads(BLOCKING_THREADS)
            .thread_stack_size(STACK_BYTES)
            .enable_all()
            .build()
            .map_err(CommandError::Runtime)?;
        let ended = runtime.block_on(run_host(&file, &settings));
        runtime.shutdown_background();
        ended
    }
}

async fn run_host(file: &Path, settings: &NodeFile) -> Result<(), CommandError> {
    let mut terminate = listen(SignalKind::terminate())?;
    let hang_up = listen(SignalKind::hangup())?;
    let store = metadata(settings.store_address());
    let (dialect, control) = (Arc::new(HeaderDialect), Arc::new(EngineClient));
    let gateway = Arc::new(Gateway::new(
        settings.gateway_settings(),
        dialect,
        control,
        store,
    ));
    tokio::spawn(reload(file.to_owned(), gateway.clone(), hang_up));
    tokio::spawn(tell_dropped_lines());
    let stopped = async {
        let _ = terminate.recv().await;
    };
    let listeners = settings.listen().bind().await?;
    gateway.run(listeners, stopped).await;
    Ok(())
}

/// Takes what may change of the settings while the host runs.
async fn reload(file: PathBuf, gateway: Arc<Gateway>, mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        match NodeFile::read(&file) {
            Ok(settings) => {
                info!("settings: read anew from {}", file.display());
                gateway.reload(settings.gateway_settings());
            }
            Err(error) => warn!("settings: kept as they were: {error}"),
        }
    }
}

/// Tells the log how much of it was left out.
async fn tell_dropped_lines() {
    let mut told = 0;
    loop {
        tokio::time::sleep(DROPPED_PERIOD).await;
        let dropped = dropped_lines();
        if dropped > told {
            warn!("log: {} lines were left out", dropped - told);
            told = dropped;
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Runtime)
}
