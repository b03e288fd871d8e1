//! Buffers streams for callers that read slowly.
//!
//! An engine cuts off a response that stays unread for some seconds, and a relay that waits for its
//! caller migrates nothing off a leaving engine. A relay therefore reads on ahead of its caller,
//! within a bound for each stream and one for all streams of the host. Once the host's bound is
//! reached, each stream goes on at the pace of its own caller, with one piece at a time.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_http::BodyInterrupted;
use futures::Stream;
use futures::stream::unfold;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Bytes that one stream may be ahead of its caller: the whole of a usual answer.
const MAX_STREAM_BYTES: usize = 256 * 1024;
/// Bytes that all streams of a host together may be ahead of their callers.
const MAX_HOST_BYTES: usize = 8 * 1024 * 1024;

/// The caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// A piece of a stream, or its failure.
pub type Chunk = Result<Bytes, BodyInterrupted>;

/// A piece with its share of the bounds, which it holds until the caller's connection takes it.
struct Buffered {
    chunk: Chunk,
    _permits: (OwnedSemaphorePermit, Option<OwnedSemaphorePermit>),
}

/// The buffers of all streams of one host.
#[derive(Debug)]
pub struct StreamBuffers {
    host: Arc<Semaphore>,
}

impl Default for StreamBuffers {
    fn default() -> Self {
        Self {
            host: Arc::new(Semaphore::new(MAX_HOST_BYTES)),
        }
    }
}

impl StreamBuffers {
    /// Opens a buffer; the stream ends when the writer is dropped.
    pub fn open(&self) -> (BufferWriter, impl Stream<Item = Chunk> + Send + 'static) {
        let (chunks, received) = mpsc::unbounded_channel::<Buffered>();
        let writer = BufferWriter {
            chunks,
            own: Arc::new(Semaphore::new(MAX_STREAM_BYTES)),
            host: self.host.clone(),
        };
        let reader = unfold(received, |mut received| async {
            let buffered = received.recv().await?;
            Some((buffered.chunk, received))
        });
        (writer, reader)
    }
}

/// The relay's end of a buffer.
pub struct BufferWriter {
    chunks: mpsc::UnboundedSender<Buffered>,
    own: Arc<Semaphore>,
    host: Arc<Semaphore>,
}

impl BufferWriter {
    /// Waits until the caller has left.
    pub async fn caller_gone(&self) {
        self.chunks.closed().await;
    }

    /// Appends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    /// [`CallerGone`]
    pub async fn send(&self, chunk: Chunk) -> Result<(), CallerGone> {
        let permits = tokio::select! {
            () = self.caller_gone() => return Err(CallerGone),
            permits = self.permits(&chunk) => permits?,
        };
        let buffered = Buffered {
            chunk,
            _permits: permits,
        };
        self.chunks.send(buffered).map_err(|_| CallerGone)
    }

    async fn permits(
        &self,
        chunk: &Chunk,
    ) -> Result<(OwnedSemaphorePermit, Option<OwnedSemaphorePermit>), CallerGone> {
        let len = chunk.as_ref().map_or(0, Bytes::len).min(MAX_STREAM_BYTES) as u32;
        if let Ok(host) = self.host.clone().try_acquire_many_owned(len) {
            let own = self.own.clone().acquire_many_owned(len).await;
            return Ok((own.map_err(|_| CallerGone)?, Some(host)));
        }
        // The whole own bound is free only once the caller's connection has taken all chunks
        // before.
        let whole = self.own.clone();
        let own = whole.acquire_many_owned(MAX_STREAM_BYTES as u32).await;
        Ok((own.map_err(|_| CallerGone)?, None))
    }
}
