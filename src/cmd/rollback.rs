//! `fulmarpath rollback`: an earlier revision's content as a new revision.

use bpaf::Bpaf;
use serde::Serialize;

use super::status::{Accepted, wait_in_force};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Bring an earlier revision's content into force again
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Rollback {
    #[bpaf(external)]
    target: Target,
    /// End only when every live host has it in force
    wait: bool,
    /// The earlier revision
    #[bpaf(positional("REVISION"))]
    to: u64,
}

#[derive(Serialize)]
struct Body {
    to: u64,
}

impl Run for Rollback {
    fn run(&self) -> Result<(), CommandError> {
        block_on(async {
            let body = Body { to: self.to };
            let accepted: Accepted = self.target.post("/operator/rollback", &body).await?;
            println!("revision {} accepted", accepted.revision);
            if self.wait {
                wait_in_force(&self.target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
