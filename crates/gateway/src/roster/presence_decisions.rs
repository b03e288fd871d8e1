//! Collects for the log what a host decides about upstreams that the store does not list.
//!
//! A store outage may concern thousands of upstreams at once, so each decision names a few of them
//! and counts the rest.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Maximum number of upstreams named in one log line.
const MAX_NAMED: usize = 4;

/// A decision about an upstream that the store does not list, or lists again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PresenceDecision {
    /// Its entry has expired, and it may register again.
    Kept,
    /// It has not registered again in time.
    Dropped,
    /// It had left and is present again, in the same incarnation.
    PresentAgain,
}

impl Display for PresenceDecision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Kept => "kept without an entry",
            Self::Dropped => "dropped, as not registered again in time",
            Self::PresentAgain => "present again after having left",
        })
    }
}

#[derive(Debug, Default)]
struct Upstreams {
    named: Vec<String>,
    unnamed: usize,
}

impl Display for Upstreams {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.named.join(", "))?;
        match self.unnamed {
            0 => Ok(()),
            unnamed => write!(formatter, " and {unnamed} more"),
        }
    }
}

/// The decisions since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct PresenceDecisions {
    upstreams: BTreeMap<PresenceDecision, Upstreams>,
}

impl PresenceDecisions {
    pub(crate) fn record(&mut self, decision: PresenceDecision, instance: &str) {
        let upstreams = self.upstreams.entry(decision).or_default();
        match upstreams.named.len() < MAX_NAMED {
            true => upstreams.named.push(instance.to_owned()),
            false => upstreams.unnamed += 1,
        }
    }

    /// Takes the decisions as texts, one for each kind.
    pub(crate) fn take(&mut self) -> Vec<String> {
        let taken = std::mem::take(&mut self.upstreams);
        let texts = taken.into_iter().map(|(decision, upstreams)| {
            let count = upstreams.named.len() + upstreams.unnamed;
            format!("{count} {decision}: {upstreams}")
        });
        texts.collect()
    }
}
