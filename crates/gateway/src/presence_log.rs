//! Tells the log who has come and who is gone: one line for all that changes within a moment.
//!
//! A line for each change that each host hears would push out what a caller's complaint is traced by,
//! as where all hosts of a large fleet are restarted.

use std::collections::BTreeMap;

use fulmarpath_policy::{HostKey, Millis};

/// A burst is over when nothing has changed for so long.
const QUIET_MS: Millis = 700;
/// A burst that doesn't end is told in parts, lest the log says nothing while hosts come and go.
const BURST_MS: Millis = 5_000;
/// Hosts named on one line; the rest are counted.
const NAMED: usize = 6;

/// Other hosts that are believed present, by key, with their names.
pub type PresentHosts = BTreeMap<HostKey, String>;

/// What has been told of the hosts that are present.
#[derive(Debug, Clone, Default)]
pub struct PresenceLog {
    told: PresentHosts,
    burst: Option<Burst>,
}

/// Changes that have not been told yet.
#[derive(Debug, Clone)]
struct Burst {
    since_ms: Millis,
    changed_ms: Millis,
    last: PresentHosts,
}

impl PresenceLog {
    /// Sees who is present now; the line to write where one is due.
    pub fn update(&mut self, now_ms: Millis, present: PresentHosts) -> Option<String> {
        match &mut self.burst {
            None if present == self.told => return None,
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
        if quiet_ms < QUIET_MS && lasted_ms < BURST_MS {
            return None;
        }
        let present = self.burst.take()?.last;
        let told = std::mem::replace(&mut self.told, present);
        let came = names(&self.told, &told);
        let went = names(&told, &self.told);
        if came.is_empty() && went.is_empty() {
            return None;
        }
        let (count, came, went) = (self.told.len(), list(&came), list(&went));
        let over_ms = lasted_ms.saturating_sub(quiet_ms);
        Some(format!(
            "{count} other hosts present; over {over_ms} ms came {came}; went {went}"
        ))
    }
}

fn names<'a>(these: &'a PresentHosts, without: &PresentHosts) -> Vec<&'a str> {
    let those = these.iter().filter(|(key, _)| !without.contains_key(key));
    those.map(|(_, name)| name.as_str()).collect()
}

fn list(names: &[&str]) -> String {
    let named = names[..names.len().min(NAMED)].join(", ");
    match names.len() {
        0 => "none".to_owned(),
        count if count <= NAMED => format!("{count}: {named}"),
        count => format!("{count}: {named} and {} more", count - NAMED),
    }
}
