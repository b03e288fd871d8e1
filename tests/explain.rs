//! `explain` finds the cause of an outcome from the request id and the logs of hosts.

use fulmarpath::explain;
use fulmarpath::gateway::{
    Dispatch, REQUEST_PREFIX, RequestRecord, STORE_RESTORED_PREFIX, Shortage,
};
use fulmarpath_policy::Revision;
use rstest::rstest;

fn record(outcome: &str, status: u16, instances: &[&str]) -> RequestRecord {
    let dispatches = instances.iter().map(|instance| Dispatch {
        instance: (*instance).to_owned(),
        at_ms: 3,
        outcome: "sent".to_owned(),
        framing: Some("chunked".to_owned()),
        stream_end: None,
    });
    RequestRecord {
        content: Some("00000000000000cc".to_owned()),
        quarantined_by: None,
        request: "9c41".to_owned(),
        run: "00000000000000aa".to_owned(),
        route: "drafts".to_owned(),
        kind: "streaming".to_owned(),
        version: 7,
        upstreams: Revision::new(2, 45),
        outcome: outcome.to_owned(),
        status,
        took_ms: 90,
        placed_ms: None,
        size: None,
        parts: Vec::new(),
        taken_by: None,
        seen: None,
        shortages: Vec::new(),
        first_event_ms: None,
        longest_pause_ms: 0,
        events: 12,
        dispatches: dispatches.collect(),
    }
}

fn line(at_ms: u64, payload: &str) -> String {
    serde_json::json!({"level": "info", "timestamp": at_ms, "payload": payload, "tid": 1})
        .to_string()
}

fn request_line(at_ms: u64, record: &RequestRecord) -> String {
    let json = serde_json::to_string(record).expect("a record");
    line(at_ms, &format!("{REQUEST_PREFIX}{json}"))
}

struct CauseCase {
    outcome: &'static str,
    status: u16,
    instances: &'static [&'static str],
    /// Text that the cause must contain.
    expected: &'static str,
}

/// Each outcome of a request is explained, with the cause that led to it.
#[rstest]
#[case::refused(CauseCase { outcome: "full", status: 503, instances: &[], expected: "predicted to be full" })]
#[case::all_refused(CauseCase { outcome: "all_refused", status: 503, instances: &["i-1", "i-2"], expected: "each of 2" })]
#[case::broken_stream(CauseCase { outcome: "stream_broken", status: 200, instances: &["i-1", "i-2"], expected: "i-2 was lost after 12 events" })]
#[case::unknown_outcome(CauseCase { outcome: "broken", status: 502, instances: &["i-1"], expected: "it may have run" })]
#[case::timeout(CauseCase { outcome: "timeout", status: 504, instances: &["i-1"], expected: "did not answer" })]
#[case::throttled(CauseCase { outcome: "held_back", status: 503, instances: &[], expected: "the limit that it named" })]
#[case::upstream_error(CauseCase { outcome: "answered", status: 500, instances: &["i-1"], expected: "i-1 itself failed" })]
#[case::unknown_key(CauseCase { outcome: "unknown_key", status: 401, instances: &[], expected: "version 7" })]
#[case::too_large(CauseCase { outcome: "too_large", status: 503, instances: &[], expected: "no engine" })]
#[case::stopping(CauseCase { outcome: "stopping", status: 503, instances: &[], expected: "stopping" })]
#[case::unknown_outcome_name(CauseCase { outcome: "invented", status: 503, instances: &[], expected: "`invented`" })]
fn explains_the_outcome(#[case] case: CauseCase) {
    let record = record(case.outcome, case.status, case.instances);
    let logs = [("host-a".to_owned(), request_line(5, &record))];
    let explanation = explain("9c41", &logs).expect("it is found");
    assert_eq!(explanation.causes.len(), 1);
    assert!(
        explanation.causes[0].contains(case.expected),
        "{}",
        explanation.causes[0]
    );
}

/// The cause names the cell that took a request from its own cell, and no cell otherwise; the record
/// has no such field then.
#[rstest]
#[case::own_cell(None, "")]
#[case::other_cell(Some("00000000000000b2"), "handed it on to cell 00000000000000b2")]
fn names_the_cell_that_took_it(#[case] taken_by: Option<&str>, #[case] expected: &str) {
    let record = RequestRecord {
        taken_by: taken_by.map(str::to_owned),
        ..record("answered", 200, &["i-1"])
    };
    let line = request_line(5, &record);
    assert_eq!(line.contains("taken_by"), taken_by.is_some());
    let logs = [("host-a".to_owned(), line)];
    let cause = &explain("9c41", &logs).expect("it is found").causes[0];
    assert!(cause.contains(expected), "{cause}");
    assert_eq!(
        cause.contains("handed it on"),
        taken_by.is_some(),
        "{cause}"
    );
}

/// Lines of several hosts are merged by time. The relaying host logs the request id, the home of
/// its cell only the key of the generation. Truncated lines are counted, and a prefix that a log
/// collector puts before a line is ignored.
#[test]
fn merges_lines_of_several_hosts() {
    let migrated = line(
        20,
        "moves: request 9c41 goes on at i-2 after event Some(4), 9 ms",
    );
    let request_end = request_line(40, &record("answered", 200, &["i-1", "i-2"]));
    let cell_home = line(
        30,
        "cells: 00000000000000aa from 01 to 02: Moved after 200 ms",
    );
    let other = line(
        25,
        "cells: 00000000000000bb from 01 to 02: Moved after 200 ms",
    );
    let logs = [
        (
            "host-a".to_owned(),
            format!("{request_end}\n  1.5 host-a {migrated}\n{{\"level\":\"in"),
        ),
        ("host-b".to_owned(), format!("{other}\n{cell_home}")),
    ];
    let explanation = explain("9c41", &logs).expect("it is found");
    let order: Vec<u64> = explanation.lines.iter().map(|line| line.at_ms).collect();
    assert_eq!(order, [20, 30, 40]);
    assert_eq!(explanation.unreadable, 1);
    let shown = explanation.to_string();
    assert!(shown.starts_with("it was answered"), "{shown}");
    assert!(shown.contains("host-b cells: 00000000000000aa"), "{shown}");
}

/// A request is refused because other requests with the same content crashed upstreams. The lines
/// of those crashes and of the circuit for the content are shown; lines of other contents are not.
#[test]
fn shows_crashes_of_the_same_content() {
    let crashed = line(
        10,
        "crashes: i-1 ended without notice under request 77, content 00000000000000cc, before",
    );
    let opened = line(20, "circuits: content 00000000000000cc is open, by a home");
    let other = line(21, "circuits: content 00000000000000dd is open, by a home");
    let refused = request_line(30, &record("quarantined", 503, &[]));
    let text = [crashed, opened, other, refused].join("\n");
    let explanation = explain("9c41", &[("host-a".to_owned(), text)]).expect("it is found");
    let order: Vec<u64> = explanation.lines.iter().map(|line| line.at_ms).collect();
    assert_eq!(order, [10, 20, 30]);
    assert!(explanation.causes[0].contains("content 00000000000000cc"));
}

struct RefusalCase {
    outcome: &'static str,
    /// The log line that states the reason.
    reason: &'static str,
    expected: &'static str,
}

/// Guards against refusals whose reason is missing from the output. The evacuation or the
/// advertised rate limit that caused the refusal is logged without the request id.
#[rstest]
#[case::by_operator(RefusalCase {
    outcome: "evacuated",
    reason: "evacuations: upstreams in dc-b get no work at revision 7, by a watcher",
    expected: "an evacuated data centre",
})]
#[case::by_upstream_limit(RefusalCase {
    outcome: "held_back",
    reason: "backpressure: i-1 takes 2.9 requests a second from all hosts",
    expected: "the limit that it named",
})]
fn shows_why_upstreams_got_no_work(#[case] case: RefusalCase) {
    let reason = line(20, case.reason);
    let other = line(21, "upstreams: 7 known at revision 8");
    let refused = request_line(30, &record(case.outcome, 503, &[]));
    let text = [reason, other, refused].join("\n");
    let explanation = explain("9c41", &[("host-a".to_owned(), text)]).expect("it is found");
    let order: Vec<u64> = explanation.lines.iter().map(|line| line.at_ms).collect();
    assert_eq!(order, [20, 30]);
    assert!(explanation.causes[0].contains(case.expected));
}

struct RestoreCase {
    at_ms: u64,
    is_shown: bool,
}

/// Guards against an explanation that omits a store restore: a request that ends near one may have
/// been routed by entries that the restore lost.
#[rstest]
#[case::shortly_before(RestoreCase { at_ms: 95_000, is_shown: true })]
#[case::during_the_request(RestoreCase { at_ms: 100_500, is_shown: true })]
#[case::long_before(RestoreCase { at_ms: 20_000, is_shown: false })]
fn shows_a_store_restore_near_the_request(#[case] case: RestoreCase) {
    let reason = format!("{STORE_RESTORED_PREFIX}era 2 follows 1, told by a watcher");
    let reason = line(case.at_ms, &reason);
    let answered = request_line(101_000, &record("answered", 200, &["i-1"]));
    let text = [reason, answered].join("\n");
    let explanation = explain("9c41", &[("host-a".to_owned(), text)]).expect("it is found");
    let shown = explanation.to_string();
    assert_eq!(shown.contains("era 2 follows 1"), case.is_shown, "{shown}");
    assert!(shown.contains("by revision 45 of era 2"), "{shown}");
}

/// For an id that no log contains, the error says how many lines were searched.
#[test]
fn unknown_id_is_not_found() {
    let logs = [(
        "host-a".to_owned(),
        request_line(5, &record("full", 503, &[])),
    )];
    let error = explain("ffff", &logs).expect_err("no line contains it");
    assert_eq!(
        error.to_string(),
        "could not find request ffff in 1 lines (0 of them unreadable)"
    );
}

/// A refusal names what the request lacked, so that an operator can tell a cell without room from
/// room that is kept for more urgent requests.
#[rstest]
#[case::no_room(&[], "predicted to be full; upstreams")]
#[case::early(&[Shortage::RefusedEarly], "refused at once")]
#[case::protected(&[Shortage::ProtectedRoom], "kept for more urgent requests")]
fn refusals_name_what_was_lacking(#[case] shortages: &[Shortage], #[case] expected: &str) {
    let refused = RequestRecord {
        shortages: shortages.to_vec(),
        ..record("full", 503, &[])
    };
    let cause = refused.cause();
    assert!(cause.contains(expected), "{cause}");
}
