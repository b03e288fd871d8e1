//! `fulmarpath check`: reads a directory of declarations and names every mistake in it.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings;

use super::Run;
use crate::error::CommandError;

/// Check a directory of declarations
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Check {
    /// The directory
    #[bpaf(positional("DIRECTORY"))]
    directory: PathBuf,
}

impl Run for Check {
    fn run(&self) -> Result<(), CommandError> {
        let declarations = settings::check(&self.directory)?;
        println!(
            "{} organisations, {} services, {} models, {} presets",
            declarations.organisations.len(),
            declarations.services.len(),
            declarations.models.len(),
            declarations.presets.len(),
        );
        Ok(())
    }
}
