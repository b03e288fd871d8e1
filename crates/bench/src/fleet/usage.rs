//! Processor time and memory, from the files of the operating system.

use std::fs::read_to_string;

const NS_PER_MS: f64 = 1e6;
const KB_PER_MB: f64 = 1_024.0;

/// The calling thread's id.
pub(crate) fn thread_id() -> u32 {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    let id = link.file_name().and_then(|id| id.to_str());
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// Processor time that a thread of this process has used.
pub(crate) fn processor_ms(thread_id: u32) -> f64 {
    let path = format!("/proc/self/task/{thread_id}/schedstat");
    let stat = read_to_string(path).unwrap_or_default();
    let ns = stat.split_whitespace().next();
    ns.and_then(|ns| ns.parse::<f64>().ok()).unwrap_or_default() / NS_PER_MS
}

/// Resident memory of this process.
pub(crate) fn resident_mb() -> f64 {
    field_mb("/proc/self/status", "VmRSS:")
}

/// Memory of this machine.
pub(crate) fn machine_memory_mb() -> f64 {
    field_mb("/proc/meminfo", "MemTotal:")
}

fn field_mb(path: &str, field: &str) -> f64 {
    let text = read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or_default() / KB_PER_MB
}
