//! `fulmarpath status`: shows the active revision of each host.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde::Deserialize;

use super::{Run, block_on};
use crate::client::{Target, target};
use crate::error::CommandError;

/// Show the active revision of each host
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Status {
    #[bpaf(external)]
    target: Target,
}

/// Response to an accepted change.
#[derive(Debug, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) revision: u64,
}

/// A host's status, with the revisions of its peers.
#[derive(Debug, Deserialize)]
pub(crate) struct Report {
    host: String,
    pub(crate) revision: u64,
    preset: String,
    takes_work: bool,
    running: usize,
    members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    host: String,
    revision: Option<u64>,
}

impl Run for Status {
    fn run(&self) -> Result<(), CommandError> {
        block_on(async {
            let report: Report = self.target.get("/operator/status").await?;
            println!(
                "{}: revision {}, preset {}, {} running, {}",
                report.host,
                report.revision,
                report.preset,
                report.running,
                if report.takes_work {
                    "takes work"
                } else {
                    "takes no work"
                }
            );
            for member in report.members {
                match member.revision {
                    Some(revision) => println!("  {}: revision {revision}", member.host),
                    None => println!("  {}: no answer", member.host),
                }
            }
            Ok(())
        })
    }
}

const WAIT_TIMEOUT: Duration = Duration::from_millis(10_000);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every live member has activated the revision.
pub(crate) async fn wait_until_active(target: &Target, revision: u64) -> Result<(), CommandError> {
    let started = Instant::now();
    loop {
        let report: Report = target.get("/operator/status").await?;
        let lagging: Vec<String> = report
            .members
            .into_iter()
            .filter(|member| member.revision.is_none_or(|active| active < revision))
            .map(|member| member.host)
            .collect();
        if lagging.is_empty() {
            println!("revision {revision} is active on every live host");
            return Ok(());
        }
        if started.elapsed() > WAIT_TIMEOUT {
            let lagging = lagging.join(", ");
            return Err(CommandError::Lagging { revision, lagging });
        }
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}
