//! `fulmarpath check`: validates a directory of declarations and reports every error in it.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings;

use super::Run;
use crate::error::CommandError;

/// Check a directory of declarations
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Check {
    /// Directory of declarations
    #[bpaf(positional("DIRECTORY"))]
    directory: PathBuf,
}

impl Run for Check {
    fn run(&self) -> Result<(), CommandError> {
        let declarations = settings::read_declarations(&self.directory)?;
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
