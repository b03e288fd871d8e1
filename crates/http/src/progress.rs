//! Bounds the work that a peer's bytes cost.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read from one connection before other tasks run.
const MAX_TURN_BYTES: usize = 16 * 1024;
/// Bytes that may arrive without a response head or a piece of a body. hyper accepts interim
/// responses and leading zeros of a chunk's size without a limit of its own.
const MAX_UNUSED_BYTES: usize = 128 * 1024;

/// Counts the bytes of a connection that have brought its reader nothing so far, and tells whether
/// bytes follow a response that is complete by its framing.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    unused_bytes: AtomicUsize,
    /// The response may have a body.
    expects_body: AtomicBool,
    has_surplus: AtomicBool,
}

impl Progress {
    /// A request is being sent.
    pub(crate) fn begin(&self, expects_body: bool) {
        self.expects_body.store(expects_body, Ordering::Relaxed);
        self.advance();
    }

    /// More of a body has arrived than its framing states.
    pub(crate) fn record_surplus(&self) {
        self.has_surplus.store(true, Ordering::Relaxed);
    }

    /// Whether the last response is longer than its framing states, as far as is known. The body
    /// that some peers send in response to HEAD does not count.
    pub(crate) fn has_surplus(&self) -> bool {
        self.expects_body.load(Ordering::Relaxed) && self.has_surplus.load(Ordering::Relaxed)
    }

    /// A response head or a piece of a body has been read.
    pub(crate) fn advance(&self) {
        self.unused_bytes.store(0, Ordering::Relaxed);
    }

    /// Whether the peer has sent too much without any progress.
    pub(crate) fn has_stalled(&self) -> bool {
        self.unused_bytes.load(Ordering::Relaxed) > MAX_UNUSED_BYTES
    }

    fn add(&self, bytes: usize) {
        self.unused_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A byte stream that yields to other tasks, and fails once [`Progress`] has stalled.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    /// Bytes read since other tasks could run.
    turn_bytes: usize,
    progress: Arc<Progress>,
}

impl<S> BoundedStream<S> {
    pub(crate) fn new(stream: S, progress: Arc<Progress>) -> Self {
        Self {
            stream,
            turn_bytes: 0,
            progress,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.turn_bytes >= MAX_TURN_BYTES {
            this.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let Poll::Ready(result) = Pin::new(&mut this.stream).poll_read(context, buffer) else {
            this.turn_bytes = 0;
            return Poll::Pending;
        };
        result?;
        let read = buffer.filled().len() - filled;
        this.turn_bytes += read;
        this.progress.add(read);
        if this.progress.has_stalled() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A response's body could not be read in full.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It broke off, or its framing is malformed.
    #[error("could not read the complete body")]
    Broken(#[source] hyper::Error),
    /// More bytes follow than its framing states.
    #[error("could not tell where the body ends")]
    Surplus,
}

/// The body of a peer's response.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    progress: Arc<Progress>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, progress: Arc<Progress>) -> Self {
        Self { incoming, progress }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.progress.advance();
        }
        if frame.is_none() && self.progress.has_surplus() {
            return Poll::Ready(Some(Err(BodyError::Surplus)));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Broken)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
