//! Errors of the commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use fulmarpath::settings::SettingsDiagnostics;
use fulmarpath::{HostError, LogError, TraceError, dev::DevError};
use miette::Diagnostic;

/// A command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum CommandError {
    /// The settings or declarations are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    SettingsDiagnostics(#[from] SettingsDiagnostics),
    /// The host could not start.
    #[error("could not run the host")]
    Host(#[from] HostError),
    /// The trial deployment could not start.
    #[error("could not run the trial deployment")]
    Dev(#[from] DevError),
    /// No settings file is given.
    #[error("could not find the settings file: none is given")]
    #[diagnostic(help(
        "pass the file on the command line or in the variable {}",
        fulmarpath::platform::FILE_VARIABLE
    ))]
    NoSettings,
    /// The platform's settings can't be used.
    #[error(transparent)]
    NodeFile(#[from] fulmarpath::platform::SettingsError),
    /// The gateway could not start.
    #[error("could not run the gateway")]
    Gateway(#[from] fulmarpath::gateway::ListenError),
    /// A log file can't be read.
    #[error("could not read the log {}", file.display())]
    LogFile {
        /// The file.
        file: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// No log line mentions the request.
    #[error(transparent)]
    #[diagnostic(help(
        "pass the logs of all hosts: only the host that received the request logs it"
    ))]
    RequestNotFound(#[from] fulmarpath::RequestNotFound),
    /// The log could not be set up.
    #[error("could not start logging")]
    Log(#[from] LogError),
    /// Tracing could not be set up.
    #[error("could not start tracing")]
    Trace(#[from] TraceError),
    /// The runtime could not start, or a signal handler could not be installed.
    #[error("could not start the runtime or install its signal handlers")]
    Runtime(#[source] std::io::Error),
    /// The operator key can't be read.
    #[error("could not read the operator key from {}", file.display())]
    #[diagnostic(help("pass the file that holds the key with --key-file"))]
    UnreadableKey {
        /// The file.
        file: PathBuf,
    },
    /// The host did not respond, or its response was not valid.
    #[error("could not get a valid response from {address}")]
    #[diagnostic(help("pass another host with --host; check `status` before a retry"))]
    NoResponse {
        /// The host.
        address: SocketAddr,
    },
    /// The host rejected the request.
    #[error("could not complete the request: {detail}")]
    Rejected {
        /// The reason that the host gave.
        detail: String,
    },
    /// A live host did not activate the revision before the timeout.
    #[error("could not activate revision {revision} in time on: {lagging}")]
    Lagging {
        /// The revision.
        revision: u64,
        /// The hosts that still run an older revision.
        lagging: String,
    },
    /// The shutdown aborted running requests.
    #[error("could not finish {count} running requests before the shutdown")]
    Aborted {
        /// How many.
        count: usize,
    },
}
