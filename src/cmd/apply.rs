//! `fulmarpath apply`: brings a directory of declarations into force.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings::{self, Declarations};
use serde::Serialize;

use super::status::{Accepted, wait_in_force};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Bring a directory of declarations into force
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Apply {
    #[bpaf(external)]
    target: Target,
    /// Refuse unless this revision is in force
    #[bpaf(argument("REVISION"))]
    onto: Option<u64>,
    /// End only when every live host has it in force
    wait: bool,
    /// The directory of declarations
    #[bpaf(positional("DIRECTORY"))]
    directory: PathBuf,
}

#[derive(Serialize)]
struct Body {
    declarations: Declarations,
    onto: Option<u64>,
}

impl Run for Apply {
    fn run(&self) -> Result<(), CommandError> {
        let declarations = settings::check(&self.directory)?;
        let onto = self.onto;
        block_on(async {
            let body = Body { declarations, onto };
            let accepted: Accepted = self.target.post("/operator/apply", &body).await?;
            println!("revision {} accepted", accepted.revision);
            if self.wait {
                wait_in_force(&self.target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
