//! From a request's id and hosts' logs to its cause.

use fulmarpath::explain;
use fulmarpath::gateway::{Dispatch, REQUEST_PREFIX, RequestRecord, STORE_RESTORED_PREFIX};
use fulmarpath_policy::Revision;
use rstest::rstest;

fn record(outcome: &str, status: u16, instances: &[&str]) -> RequestRecord {
    let dispatches = instances.iter().map(|instance| Dispatch {
        instance: (*instance).to_owned(),
        at_ms: 3,
        outcome: "sent".to_owned(),
    });
    RequestRecord {
        content: Some("00000000000000cc".to_owned()),
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
        seen: None,
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

struct Cause {
    outcome: &'static str,
    status: u16,
    instances: &'static [&'static str],
    /// What the sentence must name.
    names: &'static str,
}

/// Every way in which a request can end is named, with what decided it.
#[rstest]
#[case::refused(Cause { outcome: "full", status: 503, instances: &[], names: "predicted to be full" })]
#[case::all_refused(Cause { outcome: "all_refused", status: 503, instances: &["i-1", "i-2"], names: "each of 2" })]
#[case::broken_stream(Cause { outcome: "stream_broken", status: 200, instances: &["i-1", "i-2"], names: "i-2 was lost after 12 events" })]
#[case::unknown_outcome(Cause { outcome: "broken", status: 502, instances: &["i-1"], names: "it may have run" })]
#[case::timeout(Cause { outcome: "timeout", status: 504, instances: &["i-1"], names: "did not answer" })]
#[case::held_back(Cause { outcome: "held_back", status: 503, instances: &[], names: "the limit that it named" })]
#[case::own_failure(Cause { outcome: "answered", status: 500, instances: &["i-1"], names: "i-1 itself failed" })]
#[case::key(Cause { outcome: "unknown_key", status: 401, instances: &[], names: "version 7" })]
#[case::too_large(Cause { outcome: "too_large", status: 503, instances: &[], names: "no engine" })]
#[case::stopping(Cause { outcome: "stopping", status: 503, instances: &[], names: "stopping" })]
#[case::of_another_version(Cause { outcome: "invented", status: 503, instances: &[], names: "`invented`" })]
fn names_the_cause(#[case] case: Cause) {
    let record = record(case.outcome, case.status, case.instances);
    let logs = [("host-a".to_owned(), request_line(5, &record))];
    let explanation = explain("9c41", &logs).expect("it is found");
    assert_eq!(explanation.causes.len(), 1);
    assert!(
        explanation.causes[0].contains(case.names),
        "{}",
        explanation.causes[0]
    );
}

/// Lines of several hosts are merged by their times: the relaying host names the request, the
/// home of its cell only the generation's key. Cut lines are counted, and what a collector writes
/// before a line is no matter.
#[test]
fn merges_the_lines_of_several_hosts() {
    let moved = line(
        20,
        "moves: request 9c41 goes on at i-2 after event Some(4), 9 ms",
    );
    let ended = request_line(40, &record("answered", 200, &["i-1", "i-2"]));
    let home = line(
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
            format!("{ended}\n  1.5 host-a {moved}\n{{\"level\":\"in"),
        ),
        ("host-b".to_owned(), format!("{other}\n{home}")),
    ];
    let explanation = explain("9c41", &logs).expect("it is found");
    let order: Vec<u64> = explanation.lines.iter().map(|line| line.at_ms).collect();
    assert_eq!(order, [20, 30, 40]);
    assert_eq!(explanation.unreadable, 1);
    let shown = explanation.to_string();
    assert!(shown.starts_with("it was answered"), "{shown}");
    assert!(shown.contains("host-b cells: 00000000000000aa"), "{shown}");
}

/// A request was refused because others of its content had ended upstreams: their lines are shown,
/// with the circuits on the content, and not those of other contents.
#[test]
fn shows_what_a_content_did() {
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

struct Word {
    outcome: &'static str,
    /// The line that tells why.
    told: &'static str,
    names: &'static str,
}

/// Guards against a refusal that only the operator's or an upstream's own word explains, and that
/// `explain` leaves out.
#[rstest]
#[case::of_the_operator(Word {
    outcome: "evacuated",
    told: "evacuations: upstreams in dc-b get no work at revision 7, by a watcher",
    names: "an evacuated data centre",
})]
#[case::of_an_upstream(Word {
    outcome: "held_back",
    told: "backpressure: i-1 takes 2.9 requests a second from all hosts",
    names: "the limit that it named",
})]
fn shows_by_whose_word_upstreams_got_nothing(#[case] case: Word) {
    let told = line(20, case.told);
    let other = line(21, "upstreams: 7 known at revision 8");
    let refused = request_line(30, &record(case.outcome, 503, &[]));
    let text = [told, other, refused].join("\n");
    let explanation = explain("9c41", &[("host-a".to_owned(), text)]).expect("it is found");
    let order: Vec<u64> = explanation.lines.iter().map(|line| line.at_ms).collect();
    assert_eq!(order, [20, 30]);
    assert!(explanation.causes[0].contains(case.names));
}

struct Return {
    at_ms: u64,
    is_shown: bool,
}

/// Guards against a request that hosts sent by what the store had lost, and that `explain` can't tell from
/// any other.
#[rstest]
#[case::just_before(Return { at_ms: 95_000, is_shown: true })]
#[case::while_it_ran(Return { at_ms: 100_500, is_shown: true })]
#[case::long_before(Return { at_ms: 20_000, is_shown: false })]
fn shows_that_the_store_came_back_from_a_copy(#[case] case: Return) {
    let told = format!("{STORE_RESTORED_PREFIX}era 2 follows 1, told by a watcher");
    let told = line(case.at_ms, &told);
    let answered = request_line(101_000, &record("answered", 200, &["i-1"]));
    let text = [told, answered].join("\n");
    let explanation = explain("9c41", &[("host-a".to_owned(), text)]).expect("it is found");
    let shown = explanation.to_string();
    assert_eq!(shown.contains("era 2 follows 1"), case.is_shown, "{shown}");
    assert!(shown.contains("by revision 45 of era 2"), "{shown}");
}

/// An id that nobody wrote of is said not to be found, with how much was looked at.
#[test]
fn an_unknown_id_is_not_found() {
    let logs = [(
        "host-a".to_owned(),
        request_line(5, &record("full", 503, &[])),
    )];
    let error = explain("ffff", &logs).expect_err("nobody wrote of it");
    assert_eq!(
        error.to_string(),
        "could not find request ffff in 1 lines (0 of them unreadable)"
    );
}
