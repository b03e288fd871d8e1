//! The `fulmarpath` command.

mod client;
mod cmd;
mod error;
mod settings_file;
mod signals;

use cmd::Run;
use error::CommandError;

fn main() -> miette::Result<()> {
    // First of all, as an unhandled signal would end the process.
    signals::install().map_err(CommandError::Runtime)?;
    cmd::command().run().run()?;
    Ok(())
}
