//! Upstreams that send bytes without an end to `fulmarpath gateway` as a process.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{CALLER_PORT, GatewayProcess, KEY, TEST_TIMEOUT, request};
use fulmarpath_platform_standin::{
    RawUpstream, ReceivedRequest, ReceivedResponse, StandInStore, configuration, entry, exchange,
    signed_head,
};
use futures::future::join_all;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

const CALLERS: usize = 8;
const PIECE_BYTES: usize = 65_536;
/// The host's memory limit. The platform ends a process that exceeds it.
const MEMORY_MB: usize = 110;
const DEADLINE_MS: u64 = 1_500;
/// When all requests have to be answered: their deadline, and a second for the host and the test.
const ANSWER_LIMIT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

const CHECK: &str = "/checks/1";
const POLL: &str = "/polls/1";
const DRAFT: &str = "/drafts/1";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const LENGTH: &str = "Content-Length: 900000000000\r\n";

/// What an upstream sends instead of a response.
#[derive(Debug, Clone, Copy)]
struct Endless {
    path: &'static str,
    /// The fields of a head with a signature that comes first, if one does.
    fields: Option<&'static str>,
    status: u16,
    repeated: &'static [u8],
    is_chunked: bool,
    /// The status of the host's own response, unless it has passed on a beginning.
    own_status: u16,
}

impl Endless {
    /// Bytes that make no response.
    const fn head(path: &'static str, repeated: &'static [u8]) -> Self {
        Self {
            path,
            fields: None,
            status: 200,
            repeated,
            is_chunked: false,
            own_status: 502,
        }
    }

    /// Bytes after a head.
    const fn after_head(path: &'static str, fields: &'static str, repeated: &'static [u8]) -> Self {
        Self {
            fields: Some(fields),
            ..Self::head(path, repeated)
        }
    }

    /// A sound response whose body goes on.
    const fn body(path: &'static str, fields: &'static str) -> Self {
        Self {
            own_status: 504,
            ..Self::after_head(path, fields, b"x")
        }
    }

    const fn chunks(path: &'static str) -> Self {
        Self {
            is_chunked: true,
            ..Self::body(path, CHUNKED)
        }
    }

    const fn failing(self) -> Self {
        Self {
            status: 500,
            ..self
        }
    }

    fn first(self, request: &ReceivedRequest) -> String {
        let Some(fields) = self.fields else {
            return String::new();
        };
        signed_head(request, fields).replacen("200", &self.status.to_string(), 1)
    }

    fn piece(self) -> Vec<u8> {
        let piece = self.repeated.repeat(PIECE_BYTES / self.repeated.len());
        if !self.is_chunked {
            return piece;
        }
        [format!("{PIECE_BYTES:x}\r\n").as_bytes(), &piece, b"\r\n"].concat()
    }
}

/// Starts a host with a memory limit before one upstream of each service.
async fn start(number: u8, endless: Endless) -> (StandInStore, GatewayProcess, RawUpstream) {
    let store = StandInStore::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    store.put("config", "main", configuration(1, KEY));
    let upstream = RawUpstream::start(move |mut socket, request| async move {
        if request.path.starts_with("/api/") {
            let report = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            let _ = socket.write_all(report).await;
            return;
        }
        let (first, piece) = (endless.first(&request), endless.piece());
        let mut sent = socket.write_all(first.as_bytes()).await;
        while sent.is_ok() {
            sent = socket.write_all(&piece).await;
        }
    })
    .await;
    for service in ["portal", "engines"] {
        let entry = entry(service, upstream.address, "dc-a", false);
        store.put("servers", &format!("{service}-1"), entry);
    }
    let mut host = GatewayProcess::new("endless", number);
    let text = host.settings_text(store.address, &[]);
    let limits = format!("limits:\n  memory-mb: {MEMORY_MB}\n");
    let text = text.replacen("limits:\n", &limits, 1);
    std::fs::write(&host.settings, text).expect("it is written");
    host.start();
    host.ready().await;
    host.logged("upstreams: 2 known").await;
    (store, host, upstream)
}

async fn call(callers: SocketAddr, path: &str, id: &str) -> ReceivedResponse {
    let request = request(path, id, DEADLINE_MS)
        .header("fulmarpath-model", "m")
        .header("fulmarpath-token-usage", "1000,48")
        .header("fulmarpath-prompt-prefix", "5c1e:100,91bd:900")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    exchange(callers, request, TEST_TIMEOUT).await
}

/// Guards against bytes without an end that take a host's memory, or its worker: the process stays
/// below its limit, other requests are answered meanwhile, and no such response looks complete.
#[rstest]
#[case::no_line(1, Endless::head(CHECK, b"\0\x80\xffx"))]
#[case::no_line_of_an_engine(2, Endless::head(DRAFT, b"x"))]
#[case::lines(3, Endless::head(POLL, b"out of memory\r\n"))]
#[case::empty_lines(4, Endless::head(CHECK, b"\r\n"))]
#[case::status_line(5, Endless::head(CHECK, b"HTTP/1.1 200 "))]
#[case::interim_responses(6, Endless::head(CHECK, b"HTTP/1.1 100 Continue\r\n\r\n"))]
#[case::length(7, Endless::body(CHECK, LENGTH))]
#[case::chunks(8, Endless::chunks(CHECK))]
#[case::close(9, Endless::body(CHECK, ""))]
#[case::not_repeatable(10, Endless::chunks(POLL))]
#[case::failure(11, Endless::chunks(CHECK).failing())]
#[case::failure_of_an_engine(12, Endless::body(DRAFT, "").failing())]
#[case::digits(13, Endless::after_head(POLL, CHUNKED, b"0"))]
#[case::trailers(
    14,
    Endless::after_head(CHECK, "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n", b"A: b\r\n")
)]
#[case::after_a_response(15, Endless::after_head(CHECK, "Content-Length: 0\r\n", b"x"))]
#[case::event(16, Endless::after_head(DRAFT, "", b"data: x\n"))]
#[case::events(17, Endless::after_head(DRAFT, "", b"data: x\n\n"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_an_end_are_not_held(#[case] number: u8, #[case] endless: Endless) {
    let (_store, mut host, _upstream) = start(number, endless).await;
    let callers = host.address(CALLER_PORT);
    let calls = (0..CALLERS)
        .map(|number| async move { call(callers, endless.path, &format!("c{number}")).await });
    let calls = tokio::spawn(join_all(calls));
    let other = tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        let started = Instant::now();
        let status = call(callers, "/none", "other").await.status;
        (status, started.elapsed())
    });
    let started = Instant::now();
    let mut peak_mb = 0;
    while !calls.is_finished() {
        peak_mb = peak_mb.max(host.resident_mb());
        sleep(SAMPLE_PERIOD).await;
    }
    assert_eq!(host.ended(), None, "{}", host.output());
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB are resident");
    let took = started.elapsed();
    assert!(took < ANSWER_LIMIT, "{took:?}");
    let (status, took) = other.await.expect("the call ends");
    assert!(status == 404 && took < Duration::from_secs(1), "{took:?}");
    for got in calls.await.expect("the calls end") {
        let is_own = (got.status, got.is_complete) == (endless.own_status, true);
        let is_cut = (got.status, got.is_complete) == (endless.status, false);
        assert!(is_own || is_cut, "{} {}", got.status, got.is_complete);
    }
}
