//! Whom a host sends news to, that pass them on to the rest.
//!
//! Near before far: each other data centre hears once, over its first host, and passes the news on
//! within; a way between data centres is paid for by the byte. The order is the same each time, so
//! the same hosts speak to each other and their connections are kept.

use std::collections::BTreeMap;

/// Parts that the hosts of one data centre are cut into. Some hundred hosts are reached over five.
const FANOUT: usize = 3;

/// A host that is to hear news, and where it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient<'a, T> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its rank among all hosts, the same at each host that sends.
    pub rank: u64,
    /// How it is reached.
    pub address: T,
}

/// Cuts the audience of a host in `here` into branches. The first of each is told, with the rest of
/// its branch to tell.
pub fn broadcast_branches<'a, T: Copy>(
    here: &str,
    audience: impl IntoIterator<Item = Recipient<'a, T>>,
) -> Vec<Vec<T>> {
    let mut by_data_centre: BTreeMap<&str, Vec<Recipient<'a, T>>> = BTreeMap::new();
    for one in audience {
        by_data_centre.entry(one.data_centre).or_default().push(one);
    }
    let mut all = Vec::new();
    for (data_centre, mut hosts) in by_data_centre {
        hosts.sort_by_key(|one| one.rank);
        let addresses: Vec<T> = hosts.into_iter().map(|one| one.address).collect();
        match data_centre == here {
            true => all.extend(split_branch(&addresses)),
            false => all.push(addresses),
        }
    }
    all
}

/// Cuts hosts of one data centre into branches.
pub fn split_branch<T: Copy>(addresses: &[T]) -> Vec<Vec<T>> {
    let size = addresses.len().div_ceil(FANOUT).max(1);
    addresses.chunks(size).map(<[T]>::to_vec).collect()
}
