//! The subcommands.

mod apply;
mod check;
mod dev;
mod explain;
mod gateway;
mod history;
mod plan;
mod preset;
mod rollback;
mod serve;
mod status;

use bpaf::Bpaf;

use crate::error::CommandError;

/// A subcommand.
pub(crate) trait Run {
    /// Executes the subcommand.
    fn run(&self) -> Result<(), CommandError>;
}

/// Serves generations of unknown length on engines under high load
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options("fulmarpath"), version, generate(command))]
pub(crate) enum Command {
    Serve(#[bpaf(external(serve::serve))] serve::Serve),
    Dev(#[bpaf(external(dev::dev))] dev::Dev),
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    Gateway(#[bpaf(external(gateway::serve))] gateway::Serve),
    Check(#[bpaf(external(check::check))] check::Check),
    Plan(#[bpaf(external(plan::plan))] plan::Plan),
    Apply(#[bpaf(external(apply::apply))] apply::Apply),
    Preset(#[bpaf(external(preset::preset))] preset::Preset),
    History(#[bpaf(external(history::history))] history::History),
    Rollback(#[bpaf(external(rollback::rollback))] rollback::Rollback),
    Status(#[bpaf(external(status::status))] status::Status),
}

impl Run for Command {
    fn run(&self) -> Result<(), CommandError> {
        match self {
            Self::Serve(command) => command.run(),
            Self::Dev(command) => command.run(),
            Self::Explain(command) => command.run(),
            Self::Gateway(command) => command.run(),
            Self::Check(command) => command.run(),
            Self::Plan(command) => command.run(),
            Self::Apply(command) => command.run(),
            Self::Preset(command) => command.run(),
            Self::History(command) => command.run(),
            Self::Rollback(command) => command.run(),
            Self::Status(command) => command.run(),
        }
    }
}

/// Runs a future to completion on a new runtime.
fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(future)
}
