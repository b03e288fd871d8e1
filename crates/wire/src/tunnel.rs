//! Tunnels: byte streams from one host to an upstream over another host.
//!
//! A tunnel begins with [`TUNNEL_MARK`] on a connection to the other host's port for peers, then a
//! request and its answer, each in a length-delimited frame. Bytes to the upstream follow as they
//! are. Bytes from the upstream are framed, and an empty frame marks their orderly end: a host that
//! is killed closes its connections in order as well, and its peer could otherwise take that for
//! the end of a response.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::{self, BoxStream};
use futures::{SinkExt, StreamExt, TryStreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy, join, sink, split};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// The first bytes of a tunnel. No call between hosts begins with them: as the length of a frame
/// they exceed its limit.
pub const TUNNEL_MARK: [u8; 4] = *b"\xffTUN";
/// Bytes read from an upstream at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time for the other host to close a tunnel after the final frame.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limit on the length of a frame.
const FRAME_LIMIT_BYTES: usize = 64 * 1024;

/// A request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The upstream at the other end.
    pub upstream: SocketAddr,
    /// How long the other host may take to reach it.
    pub time_limit_ms: u64,
}

/// The answer to a [`TunnelRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelAnswer {
    /// The tunnel is open.
    Open,
    /// The host could not reach the upstream.
    Unreachable,
    /// The host has lost its own links to upstreams, stops, or has no room for tunnels.
    Refused,
}

/// Why there is no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TunnelError {
    /// The other host could not reach the upstream.
    #[error("could not reach the upstream from the other host")]
    Unreachable,
    /// The other host opens no tunnels at present, or did not answer.
    #[error("could not get a tunnel from the other host")]
    Refused,
}

/// Opens a tunnel over a new connection to another host.
///
/// # Errors
/// [`TunnelError`]
pub async fn open_tunnel(
    socket: TcpStream,
    request: TunnelRequest,
) -> Result<impl AsyncRead + AsyncWrite + Send + Unpin + use<>, TunnelError> {
    let (read, mut write) = socket.into_split();
    let mut frames = FramedRead::new(read, codec());
    let sent = async {
        write.write_all(&TUNNEL_MARK).await?;
        FramedWrite::new(&mut write, codec())
            .send(encode(&request)?)
            .await
    };
    sent.await.map_err(|_| TunnelError::Refused)?;
    let answer = frames.next().await;
    let answer = answer.and_then(Result::ok).map(|frame| decode(&frame));
    match answer {
        Some(Ok(TunnelAnswer::Open)) => Ok(join(StreamReader::new(chunks(frames)), write)),
        Some(Ok(TunnelAnswer::Unreachable)) => Err(TunnelError::Unreachable),
        Some(Ok(TunnelAnswer::Refused) | Err(_)) | None => Err(TunnelError::Refused),
    }
}

/// The bytes from the upstream. They end with an error if the tunnel ends without the final frame.
fn chunks<R>(frames: FramedRead<R, LengthDelimitedCodec>) -> BoxStream<'static, io::Result<Bytes>>
where
    R: AsyncRead + Send + Unpin + 'static,
{
    let ended = stream::once(async { Err(io::ErrorKind::ConnectionReset.into()) });
    let chunks = frames.map_ok(BytesMut::freeze).chain(ended);
    let is_final = |chunk: &io::Result<Bytes>| matches!(chunk, Ok(bytes) if bytes.is_empty());
    chunks
        .take_while(move |chunk| std::future::ready(!is_final(chunk)))
        .boxed()
}

/// Reads the request for a tunnel, after its mark.
///
/// # Errors
/// If the connection ends or the request can't be decoded.
pub async fn read_request<R: AsyncRead + Unpin>(read: &mut R) -> io::Result<TunnelRequest> {
    let length = read.read_u32().await? as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await?;
    decode(&frame)
}

/// Answers a request for a tunnel.
///
/// # Errors
/// If the connection has ended.
pub async fn write_answer<W: AsyncWrite + Unpin>(
    write: &mut W,
    answer: TunnelAnswer,
) -> io::Result<()> {
    FramedWrite::new(write, codec())
        .send(encode(&answer)?)
        .await
}

/// Carries the bytes of a tunnel between a host and an upstream until either side ends.
pub async fn carry<S>(mut host: TcpStream, upstream: S)
where
    S: AsyncRead + AsyncWrite,
{
    let (upstream_read, upstream_write) = split(upstream);
    let (mut host_read, mut host_write) = host.split();
    let ends_in_order = tokio::select! {
        () = carry_request(&mut host_read, upstream_write) => false,
        carried = carry_response(upstream_read, &mut host_write) => carried.is_ok(),
    };
    if ends_in_order {
        // Closing with bytes unread would reset the connection and lose the final frame.
        let _ = timeout(CLOSE_TIMEOUT, copy(&mut host_read, &mut sink())).await;
    }
}

/// Carries bytes to the upstream until the host ends its side: whoever asked has left.
async fn carry_request<R, W>(host: &mut R, mut upstream: W)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    while let Ok(1..) = host.read_buf(&mut buffer).await {
        if upstream.write_all(&buffer).await.is_err() {
            // The upstream reads no more; its response may still be on its way.
            return pending().await;
        }
        buffer.clear();
    }
}

async fn carry_response<R, W>(mut upstream: R, host: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut frames = FramedWrite::new(&mut *host, codec());
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    loop {
        let count = upstream.read_buf(&mut buffer).await?;
        frames.send(buffer.split().freeze()).await?;
        if count == 0 {
            break;
        }
        buffer.reserve(CHUNK_BYTES);
    }
    host.shutdown().await
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec()
}

fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    let bytes = bincode::serialize(message);
    bytes.map(Bytes::from).map_err(io::Error::other)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    bincode::deserialize(bytes).map_err(io::Error::other)
}
