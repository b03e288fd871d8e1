//! Responses whose bytes never end or never make a response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarpath_http::{Connection, HttpError, Lines, get};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Listens on a free port. Sends `head`, then `repeated` as often as stated or without an end, and
/// closes the connection.
async fn start(head: &'static str, repeated: String, times: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(respond(socket, head, repeated.clone(), times));
        }
    });
    address
}

async fn respond(mut socket: TcpStream, head: &str, repeated: String, times: usize) {
    let _ = socket.read(&mut [0; 4_096]).await;
    let _ = socket.write_all(head.as_bytes()).await;
    for _ in 0..times {
        if socket.write_all(repeated.as_bytes()).await.is_err() {
            return;
        }
    }
    let _ = socket.write_all(b"0\r\n\r\n").await;
}

/// Reads a response and waits `pause` after each piece; returns the length of its body.
async fn exchange(address: SocketAddr, pause: Duration) -> Result<usize, HttpError> {
    let mut connection = Connection::open(address, TIME_LIMIT).await?;
    let request = Request::new(Full::new(Bytes::new()));
    let mut body = connection.exchange(request).await?.into_body();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| HttpError::Incomplete { address })?;
        length += frame.data_ref().map_or(0, Bytes::len);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(length)
}

/// Guards against a peer whose bytes hold a worker: another task of the same thread runs on, and
/// the exchange fails long before its time limit.
#[rstest]
#[case::digits(CHUNKED, "0".repeat(65_536), false)]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000), true)]
#[case::head("HTTP/1.1 200 OK\r\nA: ", "a".repeat(65_536), true)]
fn bytes_that_make_no_response_fail_the_exchange(
    #[case] head: &'static str,
    #[case] repeated: String,
    #[case] is_malformed: bool,
) {
    let peer = tokio::runtime::Runtime::new().expect("a runtime");
    let address = peer.block_on(start(head, repeated, usize::MAX));
    let (sender, outcome) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let got = runtime.expect("a runtime").block_on(async {
            let exchanging = tokio::spawn(exchange(address, Duration::ZERO));
            let mut longest_delay = Duration::ZERO;
            while !exchanging.is_finished() {
                let started = Instant::now();
                tokio::time::sleep(Duration::from_millis(5)).await;
                longest_delay = longest_delay.max(started.elapsed());
            }
            (exchanging.await.expect("the exchange ends"), longest_delay)
        });
        let _ = sender.send(got);
    });
    let got = outcome.recv_timeout(TIME_LIMIT);
    peer.shutdown_background();
    let (result, longest_delay) = got.expect("the exchange ends by itself");
    let expected = match is_malformed {
        true => HttpError::Malformed { address },
        false => HttpError::Incomplete { address },
    };
    assert_eq!(result, Err(expected));
    assert!(
        longest_delay < Duration::from_millis(500),
        "{longest_delay:?}"
    );
}

struct Legitimate {
    repeated: String,
    times: usize,
    pause: Duration,
    length: usize,
}

/// Guards against a sound response that is taken for an endless one: long ones, tiny chunks, chunks
/// with extensions or many leading zeros, and readers that pause.
#[rstest]
#[case::long(Legitimate { repeated: format!("10000\r\n{}\r\n", "x".repeat(65_536)), times: 200, pause: Duration::ZERO, length: 200 * 65_536 })]
#[case::tiny_chunks(Legitimate { repeated: "1\r\nx\r\n".repeat(1_000), times: 200, pause: Duration::ZERO, length: 200_000 })]
#[case::leading_zeros(Legitimate { repeated: format!("{}1\r\nx\r\n", "0".repeat(1_000)), times: 1_000, pause: Duration::ZERO, length: 1_000 })]
#[case::extension(Legitimate { repeated: format!("1;a={}\r\nx\r\n", "b".repeat(12_000)), times: 1, pause: Duration::ZERO, length: 1 })]
#[case::slow_reader(Legitimate { repeated: format!("10000\r\n{}\r\n", "x".repeat(65_536)), times: 40, pause: Duration::from_millis(5), length: 40 * 65_536 })]
#[tokio::test]
async fn sound_responses_are_read_in_full(#[case] case: Legitimate) {
    let address = start(CHUNKED, case.repeated, case.times).await;
    assert_eq!(exchange(address, case.pause).await, Ok(case.length));
}

/// Guards against a line without an end that is scanned again for each of its pieces.
#[tokio::test]
async fn a_line_without_an_end_is_given_up_in_time() {
    let address = start(CHUNKED, "8\r\nxxxxxxxx\r\n".repeat(1_000), usize::MAX).await;
    let call = get(address, "/", TIME_LIMIT).await.expect("a response");
    let mut lines = Lines::new(call);
    let line = tokio::time::timeout(TIME_LIMIT, lines.next(TIME_LIMIT)).await;
    assert_eq!(line, Ok(Err(HttpError::Malformed { address })));
}

/// Guards against a body without an end that a call collects.
#[tokio::test]
async fn a_body_without_an_end_is_given_up() {
    let piece = format!("10000\r\n{}\r\n", "x".repeat(65_536));
    let address = start(CHUNKED, piece, usize::MAX).await;
    let call = get(address, "/", TIME_LIMIT).await.expect("a response");
    let body = call.bytes(TIME_LIMIT).await;
    assert_eq!(body, Err(HttpError::Malformed { address }));
}
