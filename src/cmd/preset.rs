//! `fulmarpath preset use`: puts another preset in force.

use bpaf::Bpaf;
use serde::Serialize;

use super::status::{Accepted, wait_in_force};
use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Choose the preset in force
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Preset {
    #[bpaf(external(put))]
    put: Put,
}

/// Put a preset in force
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("use"))]
pub(crate) struct Put {
    #[bpaf(external)]
    target: Target,
    /// End only when every live host has it in force
    wait: bool,
    /// The preset
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
                wait_in_force(target, accepted.revision).await?;
            }
            Ok(())
        })
    }
}
