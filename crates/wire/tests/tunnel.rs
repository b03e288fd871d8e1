//! Tunnels over connections between hosts.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_wire::tunnel::{
    TUNNEL_MARK, TunnelAnswer, TunnelError, TunnelRequest, carry, open_tunnel, read_request,
    write_answer,
};
use rstest::rstest;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(5);

fn request() -> TunnelRequest {
    TunnelRequest {
        upstream: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        time_limit_ms: 100,
    }
}

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (asking, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (asking.expect("connected"), accepted.expect("accepted").0)
}

/// Reads the start of a tunnel and answers it.
async fn answer(socket: &mut TcpStream, answer: TunnelAnswer) -> TunnelRequest {
    let mut mark = [0; 4];
    socket.read_exact(&mut mark).await.expect("the mark");
    assert_eq!(mark, TUNNEL_MARK);
    let request = read_request(socket).await.expect("a request");
    write_answer(socket, answer).await.expect("answered");
    request
}

/// A tunnel to a stand-in for the upstream, which is the second part.
async fn tunnel() -> (impl AsyncRead + AsyncWrite + Unpin, DuplexStream) {
    let (asking, mut carrying) = connected().await;
    let (upstream, far_end) = duplex(4_096);
    tokio::spawn(async move {
        answer(&mut carrying, TunnelAnswer::Open).await;
        carry(carrying, upstream).await;
    });
    let tunnel = open_tunnel(asking, request()).await.expect("a tunnel");
    (tunnel, far_end)
}

/// Guards against bytes that are lost or changed in a tunnel.
#[rstest]
#[case::short(2)]
#[case::several_frames(200_000)]
#[tokio::test]
async fn bytes_pass_in_both_directions(#[case] length: usize) {
    let (mut tunnel, mut upstream) = tunnel().await;
    let sent: Vec<u8> = (0..length).map(|index| index as u8).collect();
    let response = sent.clone();
    let upstream = tokio::spawn(async move {
        let mut asked = [0; 3];
        upstream.read_exact(&mut asked).await.expect("a request");
        assert_eq!(&asked, b"ask");
        upstream.write_all(&response).await.expect("sent");
    });
    tunnel.write_all(b"ask").await.expect("asked");
    let mut received = Vec::new();
    let read = timeout(LIMIT, tunnel.read_to_end(&mut received)).await;
    read.expect("in time").expect("an orderly end");
    assert!(received == sent, "{} of {length} bytes", received.len());
    upstream.await.expect("the upstream ends");
}

/// Guards against a response that looks complete because the host that carried it has ended: its
/// connection is closed in order, but the upstream's was not.
#[tokio::test]
async fn end_of_the_carrying_host_is_not_the_end_of_the_response() {
    let (asking, mut carrying) = connected().await;
    let carried = tokio::spawn(async move {
        answer(&mut carrying, TunnelAnswer::Open).await;
        // One frame of five bytes, and no final one.
        let sent = carrying.write_all(b"\0\0\0\x05start").await;
        sent.expect("sent");
    });
    let mut tunnel = open_tunnel(asking, request()).await.expect("a tunnel");
    carried.await.expect("the host ends");
    let mut received = Vec::new();
    let read = timeout(LIMIT, tunnel.read_to_end(&mut received)).await;
    let error = read.expect("in time").expect_err("an interrupted stream");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(received, b"start");
}

/// Guards against upstreams that go on working after the caller has left.
#[tokio::test]
async fn closing_the_tunnel_closes_the_upstream() {
    let (mut tunnel, mut upstream) = tunnel().await;
    tunnel.write_all(b"ask").await.expect("asked");
    let mut asked = [0; 3];
    upstream.read_exact(&mut asked).await.expect("a request");
    drop(tunnel);
    let read = timeout(LIMIT, upstream.read(&mut asked)).await;
    assert_eq!(read.expect("in time").expect("closed in order"), 0);
}

/// Guards against a request that counts as sent although no tunnel was opened.
#[rstest]
#[case::unreachable(TunnelAnswer::Unreachable, TunnelError::Unreachable)]
#[case::refused(TunnelAnswer::Refused, TunnelError::Refused)]
#[tokio::test]
async fn no_tunnel_without_its_answer(#[case] given: TunnelAnswer, #[case] error: TunnelError) {
    let (asking, mut carrying) = connected().await;
    let answered = tokio::spawn(async move { answer(&mut carrying, given).await });
    let opened = open_tunnel(asking, request()).await;
    assert_eq!(opened.err(), Some(error));
    assert_eq!(answered.await.expect("answered"), request());
}

/// Guards against a host that waits for a request of any length.
#[tokio::test]
async fn oversized_request_is_an_error() {
    let frame = [&u32::MAX.to_be_bytes()[..], b"rest"].concat();
    let read = read_request(&mut &frame[..]).await;
    assert_eq!(read.expect_err("refused").kind(), ErrorKind::InvalidData);
}
