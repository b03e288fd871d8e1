//! Replies of the server loop on the wire.

use fulmarpath_http::{full, serve};
use hyper::StatusCode;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

struct Framing {
    request: &'static str,
    is_kept_open: bool,
}

/// Guards against replies of known length that are sent in chunks, which callers of HTTP/1.0 can't
/// read and for which their connection is closed.
#[rstest]
#[case::http_1_1(Framing { request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", is_kept_open: true })]
#[case::http_1_0(Framing { request: "GET / HTTP/1.0\r\n\r\n", is_kept_open: false })]
#[case::http_1_0_keep_alive(Framing { request: "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", is_kept_open: true })]
#[tokio::test]
async fn reply_of_known_length_states_it(#[case] case: Framing) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let serving = serve(listener, 8_192, stopped, |_| async {
        full(StatusCode::OK, "text/plain", "hello")
    });
    tokio::spawn(serving);
    let mut caller = TcpStream::connect(address).await.expect("connect");
    let sent = caller.write_all(case.request.as_bytes()).await;
    sent.expect("send the request");
    let mut reply = Vec::new();
    while !reply.ends_with(b"hello") {
        let read = caller.read_buf(&mut reply).await.expect("read the reply");
        assert!(read > 0, "{}", String::from_utf8_lossy(&reply));
    }
    let reply = String::from_utf8_lossy(&reply).to_lowercase();
    assert!(reply.contains("content-length: 5\r\n"), "{reply}");
    let mut byte = [0];
    let read = caller.read(&mut byte);
    let read = tokio::time::timeout(std::time::Duration::from_millis(200), read).await;
    assert_eq!(read.is_err(), case.is_kept_open, "{reply}");
}
