//! Rendezvous hashing: who of the live members is the home of a thing, without any exchange.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `member` for `thing`; the highest rank is the thing's home.
pub fn rank(thing: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&thing.to_le_bytes(), member)
}

/// The member that ranks highest for `thing`.
pub fn highest<M: Copy + Into<u64>>(thing: u64, members: impl IntoIterator<Item = M>) -> Option<M> {
    members
        .into_iter()
        .max_by_key(|member| rank(thing, (*member).into()))
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
