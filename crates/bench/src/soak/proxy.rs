//! A TCP proxy on loopback that simulates link faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// How a link treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards everything.
    Normal,
    /// Forwards everything with a delay.
    Slow {
        /// Delay of each chunk read.
        delay_ms: u64,
    },
    /// Drops what the target sends on connections that are open when the mode is set; later
    /// connections work.
    BlackholeResponses,
    /// Drops both directions of connections that are open when the mode is set.
    Blackhole,
    /// Resets connections that are open when the mode is set.
    Reset,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// The mode, and how many connections had been opened when it was set.
    mode: watch::Sender<(u64, LinkMode)>,
    /// Number of connections opened so far.
    opened: Arc<Mutex<u64>>,
}

impl Proxy {
    /// Starts a proxy that accepts connections until its target has `ended`, like the target itself.
    pub(crate) async fn start(
        target: SocketAddr,
        ended: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel((0, LinkMode::Normal));
        let opened = Arc::new(Mutex::new(0));
        let open_count = opened.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = ended.cancelled() => return,
                };
                let Ok((socket, _)) = accepted else { return };
                let connection = {
                    let mut opened = open_count.lock();
                    *opened += 1;
                    *opened
                };
                tokio::spawn(relay(socket, target, connection, modes.clone()));
            }
        });
        Ok(Self {
            address,
            mode,
            opened,
        })
    }

    /// Sets the mode. Modes that apply to open connections leave later ones unaffected.
    pub(crate) fn set(&self, mode: LinkMode) {
        let opened = *self.opened.lock();
        self.mode.send_replace((opened, mode));
    }
}

async fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    connection: u64,
    modes: watch::Receiver<(u64, LinkMode)>,
) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let mut reset = modes.clone();
    {
        let (caller_in, caller_out) = caller.split();
        let (upstream_in, upstream_out) = upstream.split();
        tokio::select! {
            () = copy_bytes(caller_in, upstream_out, connection, modes.clone(), false) => {}
            () = copy_bytes(upstream_in, caller_out, connection, modes, true) => {}
            _ = reset.wait_for(|(opened, mode)| *mode == LinkMode::Reset && connection <= *opened) => {}
        }
    }
    let is_reset = reset.borrow().1 == LinkMode::Reset;
    if is_reset {
        let _ = caller.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

async fn copy_bytes(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    connection: u64,
    modes: watch::Receiver<(u64, LinkMode)>,
    is_response: bool,
) {
    let mut buffer = [0; 16_384];
    let mut has_dropped = false;
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            // TCP delivers no end of a stream before the data that precedes it.
            if has_dropped {
                std::future::pending::<()>().await;
            }
            return;
        };
        let (opened, mode) = *modes.borrow();
        let was_open = connection <= opened;
        match mode {
            LinkMode::Slow { delay_ms } => sleep(Duration::from_millis(delay_ms)).await,
            LinkMode::Blackhole if was_open => {
                has_dropped = true;
                continue;
            }
            LinkMode::BlackholeResponses if was_open && is_response => {
                has_dropped = true;
                continue;
            }
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
