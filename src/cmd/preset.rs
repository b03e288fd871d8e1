//! `fulmarpath preset use`: activates another preset.

use bpaf::Bpaf;
use serde::Serialize;

use super::status::{Accepted, wait_until_active};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Choose the active preset
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Preset {
    #[bpaf(external(put))]
    put: Put,
}

/// Activate a preset
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("use"))]
pub(crate) struct Put {
    #[bpaf(external)]
    target: Target,
    /// Wait until the revision is active on every live host
    wait: bool,
    /// Preset to activate
    #[bpaf(positional("PRESET"))]
    preset: String,
}

#[derive(Serialize)]
struct Body<'a> {
    preset: &'a str,
}

impl Run for Preset {
    fn run(&self) -> Result<(), CommandError> {
        let Put {
            target,
            wait,
            preset,
        } = &self.put;
        block_on(async {
            let accepted: Accepted = target.post("/operator/preset", &Body { preset }).await?;
            println!("revision {} accepted", accepted.revision);
            if *wait {
                wait_until_active(target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
