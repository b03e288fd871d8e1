//! `fulmarpath plan`: shows what `apply` would change.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings::{self, Declarations, difference};

use super::status::Report;
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Show what `apply` would change
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Plan {
    #[bpaf(external)]
    target: Target,
    /// Directory of declarations
    #[bpaf(positional("DIRECTORY"))]
    directory: PathBuf,
}

impl Run for Plan {
    fn run(&self) -> Result<(), CommandError> {
        let desired = settings::read_declarations(&self.directory)?;
        block_on(async {
            let report: Report = self.target.get("/operator/status").await?;
            let active: Declarations = self.target.get("/operator/declarations").await?;
            let differences = difference(&active, &desired);
            for line in &differences {
                println!("{line}");
            }
            let (count, revision) = (differences.len(), report.revision);
            println!("{count} differences from revision {revision}");
            if count > 0 {
                println!("apply with --onto {revision} to apply exactly these differences");
            }
            Ok(())
        })
    }
}
