//! A caller's connection: counts as busy from the first byte of a request, is reset when its
//! response was interrupted, and closed when its response stays unread.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::connections::OpenConnection;

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
    socket: Arc<TcpStream>,
    signal: ResetSignal,
    connection: Arc<OpenConnection>,
    write_timeout: Duration,
    /// Runs while a write waits.
    write_timer: Option<Pin<Box<Sleep>>>,
}

/// Whether the peer has sent bytes that were not read.
pub(crate) fn has_unread_bytes(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(socket).peek(&mut byte);
    peeked.is_ok_and(|bytes| bytes > 0)
}

impl ResettableSocket {
    pub(crate) fn new(
        socket: Arc<TcpStream>,
        signal: ResetSignal,
        connection: Arc<OpenConnection>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            socket,
            signal,
            connection,
            write_timeout,
            write_timer: None,
        }
    }

    fn write(
        &self,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match self.socket.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
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
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            match self.socket.try_read_buf(buffer) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.connection.begin();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ResettableSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut = SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write);
        Poll::Ready(shut)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.write(context, slices);
        self.limit_wait(context, written)
    }
}
