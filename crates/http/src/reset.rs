//! A caller's connection that is reset when its response was interrupted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// A socket that is closed in order when dropped, or reset if the signal was set.
#[derive(Debug)]
pub(crate) struct ResettableSocket {
    pub(crate) socket: TcpStream,
    pub(crate) signal: ResetSignal,
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
        Pin::new(&mut self.socket).poll_write(context, bytes)
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
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }
}
