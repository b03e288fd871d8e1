//! Homes of resources by rendezvous hashing, kept while hosts come and go.
//!
//! Ranking all hosts for each lookup costs in proportion to the fleet, and each host looks up the
//! homes of all cells several times per second. Here only the first lookup of a resource ranks all
//! hosts. A host that joins is compared with each known home, and a host that leaves discards only
//! the homes that it held.

use std::collections::HashMap;

use crate::key::HostKey;
use crate::rendezvous::{highest, rank};

/// Maximum number of resources whose home is kept. A service of 20,000 engines has at most 640
/// cells.
const MAX_RESOURCES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Home {
    host: HostKey,
    rank: u64,
}

/// The homes of the resources that were looked up.
#[derive(Debug, Clone, Default)]
pub struct HomeIndex {
    homes: HashMap<u64, Home>,
}

impl HomeIndex {
    /// The home of a resource. `hosts` are the hosts present; they are ranked only if the home is
    /// unknown.
    pub fn home_of(
        &mut self,
        resource: u64,
        hosts: impl IntoIterator<Item = HostKey>,
    ) -> Option<HostKey> {
        if let Some(home) = self.homes.get(&resource) {
            return Some(home.host);
        }
        let host = highest(resource, hosts)?;
        if self.homes.len() >= MAX_RESOURCES {
            self.homes.clear();
        }
        let rank = rank(resource, host.0);
        self.homes.insert(resource, Home { host, rank });
        Some(host)
    }

    /// Applies that a host is present: it becomes the home of the resources for which it ranks
    /// highest.
    pub fn add(&mut self, host: HostKey) {
        for (resource, home) in &mut self.homes {
            let rank = rank(*resource, host.0);
            if rank > home.rank {
                *home = Home { host, rank };
            }
        }
    }

    /// Applies that a host is gone.
    pub fn remove(&mut self, host: HostKey) {
        self.homes.retain(|_, home| home.host != host);
    }
}
