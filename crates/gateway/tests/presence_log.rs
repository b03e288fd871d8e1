//! Tests the log lines on hosts that join and leave.

use fulmarpath_gateway::{PresenceLog, PresentHosts};
use fulmarpath_policy::HostKey;

/// Hosts with these numbers.
fn present(numbers: impl IntoIterator<Item = u64>) -> PresentHosts {
    let hosts = numbers.into_iter();
    hosts
        .map(|number| (HostKey(number), format!("h{number}")))
        .collect()
}

struct Case {
    what: &'static str,
    /// The time of each update, and the hosts that are present then.
    updates: Vec<(u64, PresentHosts)>,
    lines: &'static [&'static str],
}

/// Guards against one log line per change when hundreds of hosts join within a second: one line
/// gives names, number and duration. A burst that does not end is logged in parts, and a host that
/// is absent for a moment is not logged at all.
#[test]
fn burst_is_logged_as_one_line() {
    let cases = [
        Case {
            what: "hundreds join",
            updates: (0..195)
                .map(|number| (number * 5, present(0..=number)))
                .chain([(1_250, present(0..195)), (1_700, present(0..195))])
                .collect(),
            lines: &[
                "195 other hosts present; over 970 ms came 195: h0, h1, h2, h3, h4, h5 and 189 more; went none",
            ],
        },
        Case {
            what: "one is replaced",
            updates: vec![
                (0, present(1..4)),
                (700, present(1..4)),
                (5_000, present(2..4)),
                (5_250, present(2..5)),
                (5_750, present(2..5)),
                (6_000, present(2..5)),
            ],
            lines: &[
                "3 other hosts present; over 0 ms came 3: h1, h2, h3; went none",
                "3 other hosts present; over 250 ms came 1: h4; went 1: h1",
            ],
        },
        Case {
            what: "one is absent for a moment",
            updates: vec![
                (0, present(1..4)),
                (700, present(1..4)),
                (5_000, present(2..4)),
                (5_250, present(1..4)),
                (6_000, present(1..4)),
            ],
            lines: &["3 other hosts present; over 0 ms came 3: h1, h2, h3; went none"],
        },
        Case {
            what: "the burst does not end",
            updates: (0..42).map(|step| (step * 250, present([step]))).collect(),
            lines: &[
                "1 other hosts present; over 5000 ms came 1: h20; went none",
                "1 other hosts present; over 5000 ms came 1: h41; went 1: h20",
            ],
        },
    ];
    for case in cases {
        let mut presence = PresenceLog::default();
        let updates = case.updates.into_iter();
        let lines: Vec<String> = updates
            .filter_map(|(now_ms, present)| presence.update(now_ms, present))
            .collect();
        assert_eq!(lines, case.lines, "{}", case.what);
    }
}
