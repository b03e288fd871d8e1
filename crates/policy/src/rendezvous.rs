//! Rendezvous hashing: selects the home of an item among the live members without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `member` for `item`. The member with the highest rank is the item's home.
pub fn rank(item: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&item.to_le_bytes(), member)
}

/// The member that ranks highest for `item`.
pub fn highest<M: Copy + Into<u64>>(item: u64, members: impl IntoIterator<Item = M>) -> Option<M> {
    members
        .into_iter()
        .max_by_key(|member| rank(item, (*member).into()))
}

impl From<crate::key::HostKey> for u64 {
    fn from(key: crate::key::HostKey) -> Self {
        key.0
    }
}

impl From<crate::key::UpstreamKey> for u64 {
    fn from(key: crate::key::UpstreamKey) -> Self {
        key.0
    }
}
