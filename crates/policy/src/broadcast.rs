//! Broadcast tree: which hosts a host sends an update to, and which of them relay it to the rest.
//!
//! Each remote data centre receives an update once, through its first host, which relays it within
//! the data centre, because traffic between data centres is billed by the byte. The order is the
//! same each time, so the same hosts communicate and their connections are reused.

use std::collections::BTreeMap;

/// Branches that the hosts of one data centre are split into. About a hundred hosts are reached
/// over five hops.
const FANOUT: usize = 3;

/// A host that is to receive an update, and its location.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient<'a, T> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its rank among all hosts, the same at every sender.
    pub rank: u64,
    /// The address of the host.
    pub address: T,
}

/// Splits the recipients of a sender in data centre `here` into branches. The first host of each
/// branch receives the update and relays it to the rest of the branch.
pub fn broadcast_branches<'a, T: Copy>(
    here: &str,
    recipients: impl IntoIterator<Item = Recipient<'a, T>>,
) -> Vec<Vec<T>> {
    let mut by_data_centre: BTreeMap<&str, Vec<Recipient<'a, T>>> = BTreeMap::new();
    for recipient in recipients {
        by_data_centre
            .entry(recipient.data_centre)
            .or_default()
            .push(recipient);
    }
    let mut all = Vec::new();
    for (data_centre, mut hosts) in by_data_centre {
        hosts.sort_by_key(|recipient| recipient.rank);
        let addresses: Vec<T> = hosts
            .into_iter()
            .map(|recipient| recipient.address)
            .collect();
        match data_centre == here {
            true => all.extend(split_branch(&addresses)),
            false => all.push(addresses),
        }
    }
    all
}

/// Splits hosts of one data centre into branches.
pub fn split_branch<T: Copy>(addresses: &[T]) -> Vec<Vec<T>> {
    let size = addresses.len().div_ceil(FANOUT).max(1);
    addresses.chunks(size).map(<[T]>::to_vec).collect()
}
