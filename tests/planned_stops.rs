//! Requests at a process of `fulmarpath gateway` that is told to stop, in calm.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use common::{CALLER_PORT, GatewayProcess, KEY, request};
use fulmarpath_platform_standin::{
    RawUpstream, ReceivedRequest, ReceivedResponse, StandInStore, configuration, entry, exchange,
    signed_head,
};
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// Between a stop signal and the end of the process.
const GRACE: Duration = Duration::from_secs(8);
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// A request during a stop.
struct Late {
    path: &'static str,
    /// Since the stop signal; `None` for just before it.
    sent_ms: Option<u64>,
    deadline_ms: u64,
    /// Time limit of its route.
    route_timeout_ms: u64,
    /// How long its upstream works on it.
    work_ms: u64,
    /// Whether such requests have been answered before the signal.
    is_known: bool,
    expected: Expected,
}

const LATE: Late = Late {
    path: "/polls/1",
    sent_ms: Some(3_000),
    deadline_ms: 8_000,
    route_timeout_ms: 6_000,
    work_ms: 100,
    is_known: false,
    expected: Expected::NotRun,
};

#[derive(Debug, PartialEq, Eq)]
enum Expected {
    Answered,
    /// Refused as not run, and never sent to an upstream.
    NotRun,
    /// Answered by the host, without a promise.
    Overdue,
}

async fn respond(mut socket: TcpStream, request: ReceivedRequest, work_ms: u64) {
    if request.path.starts_with("/api/") {
        let report = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        let _ = socket.write_all(report).await;
        return;
    }
    if request.id() == "late" {
        sleep(Duration::from_millis(work_ms)).await;
    }
    let body = "id: 1\ndata: x\n\n";
    let head = signed_head(&request, &format!("Content-Length: {}\r\n", body.len()));
    let _ = socket.write_all((head + body).as_bytes()).await;
}

async fn call(callers: SocketAddr, id: &str, path: &str, deadline_ms: u64) -> ReceivedResponse {
    let request = request(path, id, deadline_ms)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    exchange(callers, request, TIME_LIMIT).await
}

async fn start(number: u8, late: &Late) -> (StandInStore, GatewayProcess, RawUpstream) {
    let store = StandInStore::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    let mut configuration = configuration(1, KEY);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = late.route_timeout_ms.into();
    }
    store.put("config", "main", configuration);
    let work_ms = late.work_ms;
    let upstream =
        RawUpstream::start(move |socket, request| respond(socket, request, work_ms)).await;
    for service in ["portal", "engines"] {
        let entry = entry(service, upstream.address, "dc-a", false);
        store.put("servers", &format!("{service}-1"), entry);
    }
    let mut host = GatewayProcess::new("planned-stop", number);
    host.start_with(store.address, &[]);
    host.ready().await;
    host.logged("upstreams: 2 known").await;
    (store, host, upstream)
}

/// Guards against a request that a stopping host passes on and cuts at the end of its grace period
/// without a response, and against one that it refuses although it would end in time.
#[rstest]
#[case::ends_in_time(1, Late { sent_ms: Some(1_000), expected: Expected::Answered, ..LATE })]
#[case::has_little_time(2, Late { deadline_ms: 2_000, expected: Expected::Answered, ..LATE })]
#[case::may_take_long(3, LATE)]
#[case::takes_long(4, Late { work_ms: 5_000, ..LATE })]
#[case::repeatable_and_usually_short(5, Late { path: "/checks/1", is_known: true, expected: Expected::Answered, ..LATE })]
#[case::repeatable_and_unknown(6, Late { path: "/checks/1", ..LATE })]
#[case::once_and_usually_short(7, Late { is_known: true, ..LATE })]
#[case::stream(8, Late { path: "/drafts/1", ..LATE })]
#[case::runs_at_the_end(9, Late { sent_ms: None, route_timeout_ms: 10_000, work_ms: 11_000, expected: Expected::Overdue, ..LATE })]
#[case::repeatable_runs_at_the_end(10, Late { path: "/checks/1", sent_ms: None, route_timeout_ms: 10_000, work_ms: 11_000, expected: Expected::Overdue, ..LATE })]
#[case::stream_starts_at_the_end(11, Late { path: "/drafts/1", sent_ms: None, route_timeout_ms: 10_000, work_ms: 11_000, expected: Expected::Overdue, ..LATE })]
#[tokio::test]
async fn a_late_request_is_not_cut(#[case] number: u8, #[case] late: Late) {
    let (_store, mut host, upstream) = start(number, &late).await;
    let callers = host.address(CALLER_PORT);
    if late.is_known {
        assert_eq!(call(callers, "first", late.path, 8_000).await.status, 200);
    }
    let deadline_ms = match late.sent_ms {
        Some(_) => late.deadline_ms,
        None => late.route_timeout_ms,
    };
    let (id, path) = ("late", late.path);
    let caller = move || tokio::spawn(async move { call(callers, id, path, deadline_ms).await });
    let signal = Instant::now();
    let calling = match late.sent_ms {
        Some(sent_ms) => {
            host.signal("TERM");
            sleep_until(signal + Duration::from_millis(sent_ms)).await;
            caller()
        }
        None => {
            let calling = caller();
            while upstream.received().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            host.signal("TERM");
            calling
        }
    };
    let got = calling.await.expect("the caller task ends");
    let is_sent = upstream.received().iter().any(|request| request.id() == id);
    let seen = (got.status, got.retry_after.as_deref(), got.is_complete);
    let expected = match late.expected {
        Expected::Answered => (200, None, true),
        Expected::NotRun => (503, Some("0.000"), true),
        Expected::Overdue => (504, None, true),
    };
    assert_eq!(seen, expected);
    assert_eq!(is_sent, late.expected != Expected::NotRun);
    if late.expected == Expected::NotRun {
        let again = call(callers, "again", path, deadline_ms).await;
        assert_eq!(again.status, 503, "a refusal tells nothing of its route");
    }
    assert_eq!(host.end().await.code(), Some(0));
    assert!(signal.elapsed() < GRACE, "{:?}", signal.elapsed());
}
