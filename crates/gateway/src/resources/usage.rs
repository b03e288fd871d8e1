//! What the operating system says of this process.

use rustix::process::{Resource, getrlimit};

/// Memory that the process has resident; `None` if the system does not tell.
pub(crate) fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kib: usize = resident.split_whitespace().next()?.parse().ok()?;
    Some(resident_kib * 1_024)
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
