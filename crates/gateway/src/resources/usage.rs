//! What the operating system says of this process.

use rustix::process::{Resource, getrlimit};

/// Linux reports the resident size in pages.
const PAGE_BYTES: usize = 4_096;

/// Memory that the process has resident; `None` if the system does not tell.
pub(crate) fn resident_bytes() -> Option<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Descriptors that the process may have open.
pub(crate) fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| limit as usize)
}

/// Descriptors that the process has open; `None` if the system does not tell.
pub(crate) fn open_descriptors() -> Option<usize> {
    Some(std::fs::read_dir("/proc/self/fd").ok()?.count())
}
