//! `fulmarpath apply`: activates a directory of declarations.

use std::path::PathBuf;

use bpaf::Bpaf;
use fulmarpath::settings::{self, Declarations};
use serde::Serialize;

use super::status::{Accepted, wait_until_active};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Activate a directory of declarations
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Apply {
    #[bpaf(external)]
    target: Target,
    /// Apply only if this revision is active
    #[bpaf(argument("REVISION"))]
    onto: Option<u64>,
    /// Wait until the revision is active on every live host
    wait: bool,
    /// Directory of declarations
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
        let declarations = settings::read_declarations(&self.directory)?;
        let onto = self.onto;
        block_on(async {
            let body = Body { declarations, onto };
            let accepted: Accepted = self.target.post("/operator/apply", &body).await?;
            println!("revision {} accepted", accepted.revision);
            if self.wait {
                wait_until_active(&self.target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
