//! `fulmarpath rollback`: activates the content of an earlier revision as a new revision.

use bpaf::Bpaf;
use serde::Serialize;

use super::status::{Accepted, wait_until_active};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Activate the content of an earlier revision again
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Rollback {
    #[bpaf(external)]
    target: Target,
    /// Wait until the revision is active on every live host
    wait: bool,
    /// Earlier revision to restore
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
                wait_until_active(&self.target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
