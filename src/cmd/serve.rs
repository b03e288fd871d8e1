//! `fulmarpath serve`: runs one entry host.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings::read_host;
use fulmarpath::{Host, init_log, init_traces};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{Run, block_on};
use crate::error::CommandError;

/// Run one entry host
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Serve {
    /// Settings file of the host
    #[bpaf(positional("SETTINGS.YAML"))]
    settings: PathBuf,
}

impl Run for Serve {
    fn run(&self) -> Result<(), CommandError> {
        let settings = read_host(&self.settings)?;
        init_log(settings.log_form)?;
        let trace_guard = settings
            .otlp_address
            .map(|address| init_traces(address, &settings.host));
        let _trace_guard = trace_guard.transpose()?;
        block_on(async {
            let mut terminate = listen(SignalKind::terminate())?;
            let mut interrupt = listen(SignalKind::interrupt())?;
            let host = Host::start(&settings).await?;
            wait_for_signal(&mut terminate, &mut interrupt).await;
            let abort = wait_for_signal(&mut terminate, &mut interrupt);
            let stopped = host.stop(abort).await;
            if stopped.interrupted > 0 {
                return Err(CommandError::Aborted {
                    count: stopped.interrupted,
                });
            }
            Ok(())
        })
    }
}

fn listen(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Runtime)
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
