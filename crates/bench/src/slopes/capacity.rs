//! Totals at the size planned in two years, calculated from the slopes and printed as the tables of
//! docs/CAPACITY.md.

use fulmarpath::settings::{Organisation, key_hash};

use super::Slope;
use super::bytes::CallBytes;

const HOSTS: f64 = 410.0;
const REPLICAS: f64 = 600.0;
const REQUESTS_PER_S: f64 = 6_000.0;
const TOKENS_PER_S: f64 = 1_300_000.0;
const TIME_BETWEEN_TOKENS_S: f64 = 0.025;
const DATA_CENTRES: f64 = 9.0;
/// Share of submissions with an idempotency key.
const KEYED_SHARE: f64 = 0.1;
/// Permit requests to a second home, per request; 0.2 at load 0.95.
const SECOND_PERMIT_REQUESTS: f64 = 0.25;
/// Permit requests repeated while they wait in a queue, per request.
const REPEATED_PERMIT_REQUESTS: f64 = 0.25;
/// Interval between two progress reports in a fleet of this size.
const PROGRESS_S: f64 = 2.0;
/// Pings per second of a host, one per period of 300 ms.
const PINGS_PER_S: f64 = 3.33;
/// Pairs of organisation and service for which a host keeps length statistics.
const LENGTH_STATISTICS: f64 = 2_600.0;
const MAX_BYTES_PER_S: f64 = 26_000.0;
const MAX_CORE_SHARE: f64 = 0.022;
const MAX_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;

const CHANGES_PER_DAY: f64 = 480.0;
const DAY_S: f64 = 86_400.0;
/// Bytes of a small HTTP exchange on a new connection, with the handshake.
const LOAD_POLL_BYTES: f64 = 1_100.0;
const ORGANISATIONS: usize = 1_300;

/// Size of the organisations, which are the largest part of the configuration.
fn largest_part_bytes() -> f64 {
    let organisation = |number: usize| Organisation {
        name: format!("organisation-of-the-consortium-{number}"),
        key_sha256: vec![key_hash(&number.to_string())],
        weight: 1.0,
        requests_per_s: 40.0,
        concurrent_requests: 400,
    };
    let all: Vec<Organisation> = (0..ORGANISATIONS).map(organisation).collect();
    serde_json::to_vec(&all).map_or(0.0, |value| value.len() as f64)
}

struct Row {
    role: &'static str,
    mechanism: &'static str,
    /// Calls per second that a host makes and answers.
    calls_per_s: f64,
    bytes_per_s: f64,
    core: f64,
    memory_bytes: f64,
}

fn slope_of<'a>(slopes: &'a [Slope], what: &str) -> &'a Slope {
    let found = slopes.iter().find(|slope| slope.what == what);
    found.unwrap_or_else(|| panic!("no slope named {what}"))
}

fn bytes_of(calls: &[CallBytes], what: &str) -> f64 {
    let found = calls.iter().find(|call| call.what == what);
    found.map_or(0.0, CallBytes::total_bytes)
}

/// The table of costs per role, with the totals relative to the bounds in the last row.
pub(crate) fn table(bytes: &[CallBytes], cpu: &[Slope], memory: &[Slope]) -> String {
    let requests = REQUESTS_PER_S / HOSTS;
    let answer_duration_s = TOKENS_PER_S / REQUESTS_PER_S * TIME_BETWEEN_TOKENS_S;
    let streams = requests * answer_duration_s;
    let homes = REPLICAS / HOSTS;
    // A stream's engine is in the same data centre, and its home is a host of that data centre.
    let local_homes = (HOSTS / DATA_CENTRES).min(REPLICAS / DATA_CENTRES);
    let contacted_homes = local_homes * (1.0 - (1.0 - 1.0 / local_homes).powf(streams));
    let progress_per_s = contacted_homes / PROGRESS_S;
    let permits_per_home = streams / contacted_homes;
    let cpu_s = |what: &str| slope_of(cpu, what).fixed / 1e6;
    let permit_slope = slope_of(cpu, "progress, each permit");
    let progress_cpu_s = (permit_slope.fixed + permit_slope.each * permits_per_home) / 1e6;
    let one_permit_bytes = bytes_of(bytes, "progress of 1 permit");
    let eleven_permits_bytes = bytes_of(bytes, "progress of 11 permits");
    let bytes_per_permit = (eleven_permits_bytes - one_permit_bytes) / 10.0;
    let progress_bytes = one_permit_bytes + bytes_per_permit * (permits_per_home - 1.0);
    let permit_requests = requests * (1.0 + SECOND_PERMIT_REQUESTS + REPEATED_PERMIT_REQUESTS);
    let withdrawals = requests * SECOND_PERMIT_REQUESTS;
    // Each host answers as many calls of others as it makes, and both cross its link.
    let directions = 2.0;
    // The CPU time of a slot call stands for that of a claim, a load poll and a watch.
    let rows = [
        Row {
            role: "entry host: permits",
            mechanism: "request to one home, hedged to a second after 10 ms, repeated while queued",
            calls_per_s: directions * (permit_requests + withdrawals),
            bytes_per_s: directions
                * (permit_requests * bytes_of(bytes, "ask, granted")
                    + withdrawals * bytes_of(bytes, "withdraw")),
            core: permit_requests * cpu_s("ask and withdraw"),
            memory_bytes: streams * slope_of(memory, "open stream with both endpoints").each,
        },
        Row {
            role: "home of engines: progress",
            mechanism: "one message to each home every 2 s (0.5 s today), and one per end of a request",
            calls_per_s: directions * (progress_per_s + requests),
            bytes_per_s: directions
                * (progress_per_s * progress_bytes + requests * one_permit_bytes),
            core: progress_per_s * progress_cpu_s + requests * permit_slope.fixed / 1e6,
            memory_bytes: homes.ceil() * slope_of(memory, "home with 64 permits").each
                + LENGTH_STATISTICS
                    * slope_of(memory, "length statistics per organisation and service").each,
        },
        Row {
            role: "home of organisations: limits",
            mechanism: "exact counting at one host per organisation",
            calls_per_s: directions * (requests + 2.0),
            bytes_per_s: directions
                * (requests * bytes_of(bytes, "slot under a limit")
                    + 2.0 * bytes_of(bytes, "slots restated, 10 organisations")),
            core: requests * cpu_s("slot"),
            memory_bytes: 0.0,
        },
        Row {
            role: "home of claim shards",
            mechanism: "claims batched by shard into segments, each created once by its number",
            calls_per_s: directions * requests * KEYED_SHARE,
            bytes_per_s: directions * requests * KEYED_SHARE * bytes_of(bytes, "claim"),
            core: requests * KEYED_SHARE * cpu_s("slot"),
            memory_bytes: 0.0,
        },
        Row {
            role: "member of the cluster",
            mechanism: "one ping every 300 ms, which carries rumours",
            calls_per_s: directions * PINGS_PER_S,
            bytes_per_s: directions * PINGS_PER_S * bytes_of(bytes, "ping, nothing new"),
            core: PINGS_PER_S * cpu_s("ping"),
            memory_bytes: HOSTS * slope_of(memory, "member").each,
        },
        Row {
            role: "home of engines: load polls",
            mechanism: "each engine polled twice a second, only by its home",
            calls_per_s: homes * 2.0,
            bytes_per_s: homes * 2.0 * LOAD_POLL_BYTES,
            core: homes * 2.0 * cpu_s("slot"),
            memory_bytes: 0.0,
        },
        Row {
            role: "configuration: watch and distribution",
            mechanism: "2 watchers per data centre; each part fetched once, by its hash, from the announcing host",
            calls_per_s: 2.0,
            bytes_per_s: 2.0 * LOAD_POLL_BYTES
                + directions * largest_part_bytes() * CHANGES_PER_DAY / DAY_S,
            core: 2.0 * cpu_s("slot"),
            memory_bytes: largest_part_bytes() * 4.0,
        },
    ];
    let mut out = String::from(
        "| role | mechanism | calls/s | bytes/s, both ways | core % | memory MB | share of 26 KB/s, each way |\n\
         |---|---|---|---|---|---|---|\n",
    );
    let mut total = (0.0, 0.0, 0.0);
    for row in rows {
        total.0 += row.bytes_per_s;
        total.1 += row.core;
        total.2 += row.memory_bytes;
        out.push_str(&format!(
            "| {} | {} | {:.0} | {:.0} | {:.3} | {:.2} | {:.0}% |\n",
            row.role,
            row.mechanism,
            row.calls_per_s,
            row.bytes_per_s,
            row.core * 100.0,
            row.memory_bytes / 1e6,
            row.bytes_per_s / directions / MAX_BYTES_PER_S * 100.0
        ));
    }
    out.push_str(&format!(
        "| **total** | | | {:.0} | {:.3} | {:.2} | {:.0}% (core {:.0}%, memory {:.0}% of bound) |\n",
        total.0,
        total.1 * 100.0,
        total.2 / 1e6,
        total.0 / directions / MAX_BYTES_PER_S * 100.0,
        total.1 / MAX_CORE_SHARE * 100.0,
        total.2 / MAX_MEMORY_BYTES * 100.0
    ));
    out
}

/// The table of calls from the whole fleet to the platform.
pub(crate) fn platform() -> String {
    let watchers = DATA_CENTRES * 2.0;
    let claims = 200.0;
    let claim_reads = claims;
    let changes = CHANGES_PER_DAY * 5.0 / DAY_S;
    format!(
        "| platform call | rate | bound |\n|---|---|---|\n\
         | reads: watches of the root and reads of the host list, {watchers:.0} watchers | {:.0}/s | 2,000/s |\n\
         | reads: folds of the claim log, one per segment | at most {claim_reads:.0}/s | 2,000/s |\n\
         | writes: segments of the claim log | at most {claims:.0}/s | several hundred/s |\n\
         | writes: changes of the configuration, 5 objects each | {changes:.3}/s | several hundred/s |\n\
         | largest value: {ORGANISATIONS} organisations | {:.0} bytes | 1,000,000 bytes |\n",
        watchers * 2.0,
        largest_part_bytes()
    )
}
