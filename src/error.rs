//! What a command can fail with.

use std::net::SocketAddr;
use std::path::PathBuf;

use fulmarpath::settings::SettingsDiagnostics;
use fulmarpath::{HostError, LogError, TraceError, dev::DevError};
use miette::Diagnostic;

/// A command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum CommandError {
    /// The settings or declarations have mistakes.
    #[error(transparent)]
    #[diagnostic(transparent)]
    SettingsDiagnostics(#[from] SettingsDiagnostics),
    /// The host could not start.
    #[error("could not run the host")]
    Host(#[from] HostError),
    /// The trial deployment could not start.
    #[error("could not run the trial deployment")]
    Dev(#[from] DevError),
    /// No settings file is named.
    #[error("could not find the settings")]
    #[diagnostic(help("name the file on the command line or in the environment"))]
    NoSettings,
    /// The platform's settings can't be used.
    #[error(transparent)]
    NodeFile(#[from] fulmarpath::platform::SettingsError),
    /// The gateway could not start.
    #[error("could not run the gateway")]
    Gateway(#[from] fulmarpath::gateway::ListenError),
    /// A log can't be read.
    #[error("could not read the log {}", file.display())]
    LogFile {
        /// The file.
        file: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The logs don't speak of the request.
    #[error(transparent)]
    #[diagnostic(help("name the logs of all hosts; only the host that took it writes its line"))]
    NotFound(#[from] fulmarpath::RequestNotFound),
    /// The log could not be set up.
    #[error("could not log")]
    Log(#[from] LogError),
    /// Traces could not be set up.
    #[error("could not trace")]
    Trace(#[from] TraceError),
    /// The runtime could not start.
    #[error("could not start the runtime")]
    Runtime(#[source] std::io::Error),
    /// The operators' key can't be read.
    #[error("could not read the operators' key from {}", file.display())]
    #[diagnostic(help("name a file that holds the key with --key-file"))]
    KeyFile {
        /// The file.
        file: PathBuf,
    },
    /// The host didn't answer.
    #[error("could not get an answer from {address}")]
    #[diagnostic(help("name another host with --host; look at `status` before trying again"))]
    NoAnswer {
        /// The host.
        address: SocketAddr,
    },
    /// The host refused.
    #[error("could not do it: {detail}")]
    Refused {
        /// What the host said.
        detail: String,
    },
    /// The change isn't in force everywhere in time.
    #[error("could not bring revision {revision} into force in time on: {lagging}")]
    Lagging {
        /// The revision.
        revision: u64,
        /// The hosts that lag.
        lagging: String,
    },
    /// A stop cut requests.
    #[error("could not finish {cut} running requests before the stop")]
    Cut {
        /// How many.
        cut: usize,
    },
}
