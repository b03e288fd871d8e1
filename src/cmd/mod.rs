//! The subcommands, one file each.

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

/// Something that the command line asks for.
pub(crate) trait Run {
    /// Does it.
    fn run(&self) -> Result<(), CommandError>;
}

/// Serves generations of unknown length on crowded engines
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
            Self::Serve(one) => one.run(),
            Self::Dev(one) => one.run(),
            Self::Explain(one) => one.run(),
            Self::Gateway(one) => one.run(),
            Self::Check(one) => one.run(),
            Self::Plan(one) => one.run(),
            Self::Apply(one) => one.run(),
            Self::Preset(one) => one.run(),
            Self::History(one) => one.run(),
            Self::Rollback(one) => one.run(),
            Self::Status(one) => one.run(),
        }
    }
}

/// Runs a future to its end on a runtime of its own.
fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(future)
}
