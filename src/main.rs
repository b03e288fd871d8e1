//! The `fulmarpath` command.

mod client;
mod cmd;
mod error;

use cmd::Run;

fn main() -> miette::Result<()> {
    cmd::command().run().run()?;
    Ok(())
}
