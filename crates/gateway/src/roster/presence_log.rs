//! Logs joined and departed hosts: one line for all changes that are close together.
//!
//! One line per change on each host would displace the log lines needed to trace a caller's
//! complaint, for instance when all hosts of a large fleet are restarted.

use std::collections::BTreeMap;

use fulmarpath_policy::{HostKey, Millis};

/// A burst ends when nothing has changed for this long.
const BURST_QUIET_MS: Millis = 700;
/// A longer burst is logged in parts, so that the log is not silent while hosts come and go.
const MAX_BURST_MS: Millis = 5_000;
/// Hosts named on one line; the rest are counted.
const MAX_NAMED_HOSTS: usize = 6;

/// Names of the other hosts that are considered present, by key.
pub type PresentHosts = BTreeMap<HostKey, String>;

/// The last logged set of present hosts, and the changes since.
#[derive(Debug, Clone, Default)]
pub struct PresenceLog {
    logged: PresentHosts,
    burst: Option<Burst>,
    members_version: Option<u64>,
}

/// Changes that have not been logged yet.
#[derive(Debug, Clone)]
struct Burst {
    since_ms: Millis,
    changed_ms: Millis,
    last: PresentHosts,
}

impl PresenceLog {
    /// Whether the present hosts may have changed since the last call, or changes have yet to be
    /// logged. The list of all hosts is only gathered then.
    pub(crate) fn is_due(&mut self, members_version: u64) -> bool {
        let is_changed = self.members_version.replace(members_version) != Some(members_version);
        is_changed || self.burst.is_some()
    }

    /// Takes the hosts that are present at `now_ms`; returns the log line when one is due.
    pub fn update(&mut self, now_ms: Millis, present: PresentHosts) -> Option<String> {
        match &mut self.burst {
            None if present == self.logged => return None,
            None => {
                self.burst = Some(Burst {
                    since_ms: now_ms,
                    changed_ms: now_ms,
                    last: present,
                });
                return None;
            }
            Some(burst) if burst.last != present => {
                burst.changed_ms = now_ms;
                burst.last = present;
            }
            Some(_) => {}
        }
        let burst = self.burst.as_ref()?;
        let lasted_ms = now_ms.saturating_sub(burst.since_ms);
        let quiet_ms = now_ms.saturating_sub(burst.changed_ms);
        if quiet_ms < BURST_QUIET_MS && lasted_ms < MAX_BURST_MS {
            return None;
        }
        let present = self.burst.take()?.last;
        let logged = std::mem::replace(&mut self.logged, present);
        let joined = names(&self.logged, &logged);
        let departed = names(&logged, &self.logged);
        if joined.is_empty() && departed.is_empty() {
            return None;
        }
        let (count, joined, departed) = (self.logged.len(), list(&joined), list(&departed));
        let over_ms = lasted_ms.saturating_sub(quiet_ms);
        Some(format!(
            "{count} other hosts present; over {over_ms} ms came {joined}; went {departed}"
        ))
    }
}

fn names<'a>(hosts: &'a PresentHosts, excluded: &PresentHosts) -> Vec<&'a str> {
    let remaining = hosts.iter().filter(|(key, _)| !excluded.contains_key(key));
    remaining.map(|(_, name)| name.as_str()).collect()
}

fn list(names: &[&str]) -> String {
    let named = names[..names.len().min(MAX_NAMED_HOSTS)].join(", ");
    match names.len() {
        0 => "none".to_owned(),
        count if count <= MAX_NAMED_HOSTS => format!("{count}: {named}"),
        count => format!("{count}: {named} and {} more", count - MAX_NAMED_HOSTS),
    }
}
