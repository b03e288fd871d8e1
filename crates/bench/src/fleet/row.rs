//! The result rows: one for each role and one for all hosts.

use std::str::FromStr;

use serde::Serialize;

use super::gateway_host::HostUsage;
use super::usage::resident_mb;

/// How rows are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// A format that isn't known.
#[derive(Debug, thiserror::Error)]
#[error("could not use the format `{0}`: use table or json")]
pub(crate) struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

/// Control work of the hosts of one role.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) role: &'static str,
    pub(crate) hosts: usize,
    pub(crate) upstreams: usize,
    /// Calls to the store, counted there, until all hosts served after the start.
    pub(crate) start_calls: u64,
    /// Calls to the store in the measurement, sum over the hosts; a list of several pages counts
    /// once.
    pub(crate) store_calls: u64,
    /// Messages from other hosts, of the busiest host.
    pub(crate) messages_per_s: f64,
    /// Bytes exchanged with other hosts in both directions, of the busiest host.
    pub(crate) bytes_per_s: f64,
    /// Share of a core, of the busiest host and of the median one.
    pub(crate) processor_share: f64,
    pub(crate) processor_share_median: f64,
    /// Memory of the process divided by the number of hosts.
    pub(crate) memory_mb: f64,
    /// Time until all hosts know a change.
    pub(crate) change_known_ms: Option<u64>,
    /// Time until all hosts serve after a start of all.
    pub(crate) serving_ms: Option<u64>,
}

/// Figures of the fleet as a whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetFigures {
    pub(crate) upstreams: usize,
    /// Duration of the measurement.
    pub(crate) seconds: f64,
    pub(crate) start_calls: u64,
    pub(crate) serving_ms: Option<u64>,
    pub(crate) change_known_ms: Option<u64>,
}

/// The name of a role, and which hosts have it.
type Role = (&'static str, fn(&HostUsage) -> bool);
/// The name of a value, and how it is read from a row.
type Value = (&'static str, fn(&Row) -> f64);

/// Summarises the usage of all hosts by role.
pub(crate) fn summarise(used: &[HostUsage], fleet: &FleetFigures) -> Vec<Row> {
    let seconds = fleet.seconds;
    let memory_mb = resident_mb() / used.len().max(1) as f64;
    let roles: [Role; 4] = [
        ("watcher", |host| host.is_watcher),
        ("home", |host| host.is_home && !host.is_watcher),
        ("neither", |host| !host.is_home && !host.is_watcher),
        ("all", |_| true),
    ];
    let rows = roles.into_iter().map(|(role, is_member)| {
        let members: Vec<&HostUsage> = used.iter().filter(|host| is_member(host)).collect();
        let most = |value: fn(&HostUsage) -> f64| {
            let values = members.iter().map(|host| value(host));
            values.fold(0.0, f64::max) / seconds
        };
        let mut processor_ms: Vec<f64> = members.iter().map(|host| host.processor_ms).collect();
        processor_ms.sort_by(f64::total_cmp);
        let median_ms = processor_ms.get(members.len() / 2).copied();
        Row {
            role,
            hosts: members.len(),
            upstreams: fleet.upstreams,
            start_calls: fleet.start_calls,
            store_calls: members.iter().map(|host| host.store_calls).sum(),
            messages_per_s: most(|host| host.peer_messages as f64),
            bytes_per_s: most(|host| host.peer_bytes as f64),
            processor_share: most(|host| host.processor_ms / 1_000.0),
            processor_share_median: median_ms.unwrap_or_default() / 1_000.0 / seconds,
            memory_mb,
            change_known_ms: fleet.change_known_ms,
            serving_ms: fleet.serving_ms,
        }
    });
    rows.collect()
}

const HEADERS: [&str; 12] = [
    "role",
    "hosts",
    "upstreams",
    "start",
    "calls",
    "messages/s",
    "kB/s",
    "core %",
    "median %",
    "MB",
    "known ms",
    "serving ms",
];

/// Prints rows as a table or as JSON lines.
pub(crate) fn print_rows(format: Format, rows: &[Row]) {
    if format == Format::Table {
        println!(
            "{}",
            HEADERS.map(|header| format!("{header:>10}")).join(" ")
        );
    }
    for row in rows {
        match format {
            Format::Json => println!("{}", serde_json::to_string(row).unwrap_or_default()),
            Format::Table => println!("{}", cells(row).map(|cell| format!("{cell:>10}")).join(" ")),
        }
    }
}

fn cells(row: &Row) -> [String; 12] {
    let time = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| ms.to_string());
    [
        row.role.to_owned(),
        row.hosts.to_string(),
        row.upstreams.to_string(),
        row.start_calls.to_string(),
        row.store_calls.to_string(),
        format!("{:.1}", row.messages_per_s),
        format!("{:.1}", row.bytes_per_s / 1_000.0),
        format!("{:.3}", row.processor_share * 100.0),
        format!("{:.3}", row.processor_share_median * 100.0),
        format!("{:.1}", row.memory_mb),
        time(row.change_known_ms),
        time(row.serving_ms),
    ]
}

/// The growth of one value over the sizes.
#[derive(Debug, Serialize)]
struct Growth {
    role: &'static str,
    value: &'static str,
    /// The value grows with this power of the number of hosts, over the last two sizes.
    power: f64,
}

/// Prints the power with which each value grows between the last two sizes.
pub(crate) fn print_growth(format: Format, sizes: &[Vec<Row>]) {
    let [.., smaller, larger] = sizes else {
        return;
    };
    let hosts = |rows: &[Row]| rows.last().map_or(1, |row| row.hosts) as f64;
    let ratio = hosts(larger) / hosts(smaller);
    let values: [Value; 8] = [
        ("start_calls", |row| row.start_calls as f64),
        ("store_calls", |row| row.store_calls as f64),
        ("messages_per_s", |row| row.messages_per_s),
        ("bytes_per_s", |row| row.bytes_per_s),
        ("processor_share", |row| row.processor_share),
        ("memory_mb", |row| row.memory_mb),
        ("change_known_ms", |row| {
            row.change_known_ms.unwrap_or(0) as f64
        }),
        ("serving_ms", |row| row.serving_ms.unwrap_or(0) as f64),
    ];
    for (small, large) in smaller.iter().zip(larger) {
        for (value, read) in values {
            if read(small) <= 0.0 || read(large) <= 0.0 {
                continue;
            }
            let growth = Growth {
                role: small.role,
                value,
                power: (read(large) / read(small)).ln() / ratio.ln(),
            };
            match format {
                Format::Json => println!("{}", serde_json::to_string(&growth).unwrap_or_default()),
                Format::Table => println!(
                    "{:>10} {:>16} {:>6.2}",
                    growth.role, growth.value, growth.power
                ),
            }
        }
    }
}
