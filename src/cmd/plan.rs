//! `fulmarpath plan`: what an apply would change.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings::{self, Declarations, difference};

use super::status::Report;
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Show what an apply would change
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Plan {
    #[bpaf(external)]
    target: Target,
    /// The directory of declarations
    #[bpaf(positional("DIRECTORY"))]
    directory: PathBuf,
}

impl Run for Plan {
    fn run(&self) -> Result<(), CommandError> {
        let wanted = settings::check(&self.directory)?;
        block_on(async {
            let report: Report = self.target.get("/operator/status").await?;
            let held: Declarations = self.target.get("/operator/declarations").await?;
            let differences = difference(&held, &wanted);
            for one in &differences {
                println!("{one}");
            }
            let (count, revision) = (differences.len(), report.revision);
            println!("{count} differences from revision {revision}");
            if count > 0 {
                println!("apply with --onto {revision} to be sure of applying just these");
            }
            Ok(())
        })
    }
}
