//! Responses whose framing is malformed, as each reader of this crate sees them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_http::{Connection, HttpError, Lines, get};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Sends these bytes as the response to the first request of each connection.
async fn start(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = socket.read(&mut [0; 4_096]).await;
                let _ = socket.write_all(response).await;
                let _ = socket.read(&mut [0; 64]).await;
            });
        }
    });
    address
}

/// Guards against a head that states no framing, or two, and is taken for that of a response.
#[rstest]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
)]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n{}")]
#[case::chunks_last(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: x, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn a_head_with_another_framing_is_malformed(#[case] response: &'static [u8]) {
    let address = start(response).await;
    let call = get(address, "/", TIME_LIMIT).await;
    assert_eq!(call.err(), Some(HttpError::Malformed { address }));
}

/// Guards against a status that no final response has.
#[rstest]
#[case::switching_protocols(b"HTTP/1.1 101 Whatever\r\n\r\n")]
#[case::too_large(b"HTTP/1.1 600 Whatever\r\nContent-Length: 2\r\n\r\n{}")]
#[case::largest(b"HTTP/1.1 999 Whatever\r\nContent-Length: 2\r\n\r\n{}")]
#[case::zero(b"HTTP/1.1 000 Whatever\r\nContent-Length: 2\r\n\r\n{}")]
#[tokio::test]
async fn a_status_out_of_range_is_malformed(#[case] response: &'static [u8]) {
    let address = start(response).await;
    let call = get(address, "/", TIME_LIMIT).await;
    assert_eq!(call.err(), Some(HttpError::Malformed { address }));
}

/// Guards against a part of a body that a call takes for the whole.
#[rstest]
#[case::length_0(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n10")]
#[case::closing(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n10")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n\r\n1\r\n0")]
#[case::no_content(b"HTTP/1.1 204 No Content\r\n\r\n10")]
#[tokio::test]
async fn a_body_that_goes_on_is_not_complete(#[case] response: &'static [u8]) {
    let address = start(response).await;
    let call = get(address, "/", TIME_LIMIT).await.expect("a head");
    let body = call.bytes(TIME_LIMIT).await;
    assert_eq!(body, Err(HttpError::Incomplete { address }));
}

/// Guards against a stream of lines that ends at a line's end although its body goes on.
#[tokio::test]
async fn lines_that_go_on_are_not_complete() {
    let address = start(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\none\ntwo\n").await;
    let call = get(address, "/", TIME_LIMIT).await.expect("a head");
    let mut lines = Lines::new(call);
    let line = lines.next(TIME_LIMIT).await.expect("a line");
    assert_eq!(line.as_deref(), Some(b"one".as_slice()));
    let end = lines.next(TIME_LIMIT).await;
    assert_eq!(end, Err(HttpError::Incomplete { address }));
}

struct Whole {
    method: Method,
    response: &'static [u8],
    body: &'static [u8],
}

/// Guards against a whole response that is given up because of what follows it.
#[rstest]
#[case::another_response(Whole { method: Method::GET, response: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n10HTTP/1.1 200 OK\r\n\r\n", body: b"10" })]
#[case::body_for_head(Whole { method: Method::HEAD, response: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n10", body: b"" })]
#[tokio::test]
async fn what_follows_a_whole_response_does_no_harm(#[case] case: Whole) {
    let address = start(case.response).await;
    let mut connection = Connection::open(address, TIME_LIMIT).await.expect("a peer");
    let request = Request::builder().method(case.method);
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let response = connection.exchange(request).await.expect("a head");
    let body = response.into_body().collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), case.body);
    assert!(!connection.has_surplus(Duration::from_millis(20)).await);
    assert!(!connection.is_idle(), "bytes are left on it");
}

/// Guards against the rest of a body that is missed since it arrives just after its stated end.
#[tokio::test]
async fn a_rest_that_arrives_later_is_seen() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (send_rest, rest) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let _ = socket.read(&mut [0; 4_096]).await;
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        socket.write_all(head).await.expect("sent");
        rest.await.expect("the head is read");
        socket.write_all(b"rest").await.expect("sent");
        let _ = socket.read(&mut [0; 64]).await;
    });
    let mut connection = Connection::open(address, TIME_LIMIT).await.expect("a peer");
    let request = Request::new(Full::new(Bytes::new()));
    let response = connection.exchange(request).await.expect("a head");
    response.into_body().collect().await.expect("an empty body");
    assert!(!connection.has_surplus(Duration::ZERO).await);
    send_rest.send(()).expect("the peer waits");
    assert!(connection.has_surplus(TIME_LIMIT).await);
}
