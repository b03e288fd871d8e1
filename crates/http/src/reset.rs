//! A caller's connection: counts as busy from the first byte of a request, and is reset when its
//! response was interrupted.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// A socket that is closed in order when dropped, or reset if the signal was set.
#[derive(Debug, Clone)]
pub(crate) struct ResettableSocket {
    pub(crate) socket: Arc<TcpStream>,
    pub(crate) signal: ResetSignal,
    pub(crate) connection: Arc<OpenConnection>,
}

impl ResettableSocket {
    /// Whether the peer has sent bytes that were not read.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.socket).peek(&mut byte);
        peeked.is_ok_and(|bytes| bytes > 0)
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
        self: Pin<&mut Self>,
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
}
