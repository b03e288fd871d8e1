//! `fulmarpath serve`: one entry host.

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
    /// The host's own settings
    #[bpaf(positional("SETTINGS.YAML"))]
    settings: PathBuf,
}

impl Run for Serve {
    fn run(&self) -> Result<(), CommandError> {
        let settings = read_host(&self.settings)?;
        init_log(settings.log_form)?;
        let traces = settings
            .otlp_address
            .map(|address| init_traces(address, &settings.host));
        let _traces = traces.transpose()?;
        block_on(async {
            let mut terminate = listen(SignalKind::terminate())?;
            let mut interrupt = listen(SignalKind::interrupt())?;
            let host = Host::start(&settings).await?;
            wait(&mut terminate, &mut interrupt).await;
            let hurry = wait(&mut terminate, &mut interrupt);
            let stopped = host.stop(hurry).await;
            if stopped.interrupted > 0 {
                return Err(CommandError::Cut {
                    cut: stopped.interrupted,
                });
            }
            Ok(())
        })
    }
}

fn listen(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::Runtime)
}

async fn wait(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
