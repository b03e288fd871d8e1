//! When the entry of a host that doesn't answer is removed.
//!
//! Nothing of ours expires in the store by itself. Each host that was lost for good would leave an
//! entry there, and a host whose seeds are gone would try ever more of the dead before it finds one
//! that lives. A host that is only cut off writes its entry again when it sees that it is missing.

use std::collections::HashMap;

/// Looks in a row at which a host must not have answered: half a minute, longer than a host is down
/// when it is restarted.
const MISSES: u32 = 6;

/// Named hosts that did not answer, and how often in a row.
#[derive(Debug, Clone, Default)]
pub struct UnresponsiveHosts {
    misses: HashMap<String, u32>,
}

impl UnresponsiveHosts {
    /// Forgets all hosts but those that are still named and not known to be present.
    pub fn retain(&mut self, is_absent: impl Fn(&str) -> bool) {
        self.misses.retain(|name, _| is_absent(name));
    }

    /// A host has answered.
    pub fn record_answer(&mut self, name: &str) {
        self.misses.remove(name);
    }

    /// A host did not answer; true where its entry is to be removed.
    pub fn record_miss(&mut self, name: &str) -> bool {
        let misses = self.misses.entry(name.to_owned()).or_default();
        *misses += 1;
        *misses >= MISSES
    }
}
