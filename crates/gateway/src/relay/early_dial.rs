//! Opens a connection before it is needed, so that a migration's pause does not include its set-up,
//! which takes a round trip, and several over a tunnel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_http::{ByteStream, Dial, HttpError};
use futures::FutureExt;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::attempt::CONNECT_TIMEOUT_MS;

type Opening = AbortOnDropHandle<Result<Box<dyn ByteStream>, HttpError>>;

/// Opens a byte stream to one upstream ahead of the first call to it. The stream is closed if there
/// is no call.
pub(crate) struct EarlyDial {
    address: SocketAddr,
    opening: Mutex<Option<Opening>>,
    dial: Arc<dyn Dial>,
}

impl EarlyDial {
    /// Begins to connect to an upstream.
    pub(crate) fn open(dial: Arc<dyn Dial>, address: SocketAddr) -> Self {
        let time_limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let opening = {
            let dial = dial.clone();
            tokio::spawn(async move { dial.dial(address, time_limit).await })
        };
        Self {
            address,
            opening: Mutex::new(Some(AbortOnDropHandle::new(opening))),
            dial,
        }
    }

    /// Takes the stream to an upstream; `None` if it has been taken, could not be opened or was
    /// closed meanwhile.
    async fn take(&self, address: SocketAddr) -> Option<Box<dyn ByteStream>> {
        let opening = match address == self.address {
            true => self.opening.lock().take()?,
            false => return None,
        };
        let mut stream = opening.await.ok()?.ok()?;
        // Before the first request an upstream sends nothing: what can be read is the end.
        let is_open = stream.read(&mut [0]).now_or_never().is_none();
        is_open.then_some(stream)
    }
}

#[async_trait]
impl Dial for EarlyDial {
    async fn dial(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Box<dyn ByteStream>, HttpError> {
        let until = Instant::now() + time_limit;
        if let Ok(Some(stream)) = timeout_at(until, self.take(address)).await {
            return Ok(stream);
        }
        let left = until.saturating_duration_since(Instant::now());
        self.dial.dial(address, left).await
    }
}
