//! `fulmarpath history`: lists the latest configuration changes.

use bpaf::Bpaf;
use fulmarpath::cluster::HistoryEntry;

use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Show the latest configuration changes
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct History {
    #[bpaf(external)]
    target: Target,
}

impl Run for History {
    fn run(&self) -> Result<(), CommandError> {
        block_on(async {
            let history: Vec<HistoryEntry> = self.target.get("/operator/history").await?;
            for entry in history.iter().rev() {
                println!(
                    "{}\t{:?}\tpreset {}\tat {} ms\tchange {}",
                    entry.revision, entry.kind, entry.preset, entry.at_ms, entry.change
                );
            }
            Ok(())
        })
    }
}
