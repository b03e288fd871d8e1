//! A caller's connection that is reset when its response was interrupted, and closed when its
//! response stays unread.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Tells a connection to end with a reset.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResetSignal(Arc<AtomicBool>);

impl ResetSignal {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A socket that is closed in order when dropped, or reset if the signal was set. Writing fails once
/// the peer has taken nothing for `write_timeout`.
#[derive(Debug)]
pub(crate) struct ResettableSocket {
    socket: TcpStream,
    signal: ResetSignal,
    write_timeout: Duration,
    /// Runs while a write waits.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl ResettableSocket {
    pub(crate) fn new(socket: TcpStream, signal: ResetSignal, write_timeout: Duration) -> Self {
        Self {
            socket,
            signal,
            write_timeout,
            write_timer: None,
        }
    }

    fn limit_wait(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for ResettableSocket {
    fn drop(&mut self) {
        if self.signal.is_set()
            && let Err(error) = self.socket.set_zero_linger()
        {
            spdlog::warn!("http: could not reset an interrupted connection: {error}");
        }
    }
}

impl AsyncRead for ResettableSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.limit_wait(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.limit_wait(context, written)
    }
}
