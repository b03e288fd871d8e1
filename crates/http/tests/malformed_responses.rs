//! Responses whose framing is malformed, as each reader of this crate sees them.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::{HttpError, get};
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
