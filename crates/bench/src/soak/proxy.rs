//! A proxy on loopback that misbehaves as links do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What a link does to the connections over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Passes everything on.
    Well,
    /// Passes everything on so much later.
    Slow {
        /// The delay of each piece.
        delay_ms: u64,
    },
    /// Passes nothing back on connections that are open now; new ones are well.
    SilentBack,
    /// Passes nothing on at all on connections that are open now.
    Silent,
    /// Resets the connections that are open now.
    Reset,
}

/// A proxy before one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<(u64, LinkMode)>,
    opened: Arc<Mutex<u64>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel((0, LinkMode::Well));
        let opened = Arc::new(Mutex::new(0));
        let counted = opened.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let number = {
                    let mut opened = counted.lock();
                    *opened += 1;
                    *opened
                };
                tokio::spawn(pass(socket, target, number, modes.clone()));
            }
        });
        Ok(Self {
            address,
            mode,
            opened,
        })
    }

    /// Changes what happens; modes that speak of open connections spare those that come later.
    pub(crate) fn set(&self, mode: LinkMode) {
        let opened = *self.opened.lock();
        self.mode.send_replace((opened, mode));
    }
}

async fn pass(
    mut caller: TcpStream,
    target: SocketAddr,
    number: u64,
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
            () = pump(caller_in, upstream_out, number, modes.clone(), false) => {}
            () = pump(upstream_in, caller_out, number, modes, true) => {}
            _ = reset.wait_for(|(opened, mode)| *mode == LinkMode::Reset && number <= *opened) => {}
        }
    }
    let is_reset = reset.borrow().1 == LinkMode::Reset;
    if is_reset {
        let _ = caller.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    number: u64,
    modes: watch::Receiver<(u64, LinkMode)>,
    is_back: bool,
) {
    let mut buffer = [0; 16_384];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let (opened, mode) = *modes.borrow();
        let is_old = number <= opened;
        match mode {
            LinkMode::Slow { delay_ms } => sleep(Duration::from_millis(delay_ms)).await,
            LinkMode::Silent if is_old => continue,
            LinkMode::SilentBack if is_old && is_back => continue,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
