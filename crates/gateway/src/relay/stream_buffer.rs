//! Buffers streams for callers that read slowly.
//!
//! An engine cuts off a response that stays unread for some seconds, and a relay that waits for its
//! caller migrates nothing off a leaving engine. A relay therefore reads on ahead of its caller,
//! within a bound for each stream and one for all streams of the host. Once the host's bound is
//! reached, each stream goes on at the pace of its own caller, with one piece at a time.
//!
//! Where the operator bounds the delay of events, a stream's events are also held for up to a part
//! of that bound, so that its caller sees shorter pauses: see [`Playout`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_cluster::Clock;
use fulmarpath_http::BodyInterrupted;
use fulmarpath_policy::{Millis, Playout};
use futures::Stream;
use futures::stream::unfold;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;

use crate::relay::events::EventBuffer;
use crate::resources::ByteBudget;

/// Bytes that one stream may be ahead of its caller: the whole of a usual answer.
const MAX_STREAM_BYTES: usize = 256 * 1024;
/// Bytes that all streams of a host together may be ahead of their callers.
const MAX_HOST_BYTES: usize = 8 * 1024 * 1024;
/// Bytes that all streams of a host together hold of events that are not complete yet.
const MAX_HOST_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Time for a connection to write the events that were held until just before their stream is broken
/// off. What has not been written by then is lost with the connection.
const WRITE_TIME: Duration = Duration::from_millis(10);

/// The caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// A piece of a stream, or its failure.
pub type Chunk = Result<Bytes, BodyInterrupted>;

/// A piece with its share of the bounds, which it holds until the caller's connection takes it.
struct Buffered {
    chunk: Chunk,
    arrived_ms: Millis,
    _permits: Option<(OwnedSemaphorePermit, Option<OwnedSemaphorePermit>)>,
}

/// The buffers of all streams of one host.
#[derive(Debug)]
pub struct StreamBuffers {
    host: Arc<Semaphore>,
    events: ByteBudget,
    clock: Clock,
    hidden_pauses: Counter,
}

impl StreamBuffers {
    /// Creates the buffers of a host. `hidden_pauses` counts the pauses that were too long at the
    /// engine and on time for the caller.
    pub fn new(clock: Clock, hidden_pauses: Counter) -> Self {
        Self {
            host: Arc::new(Semaphore::new(MAX_HOST_BYTES)),
            events: ByteBudget::new(MAX_HOST_EVENT_BYTES),
            clock,
            hidden_pauses,
        }
    }

    /// Bytes that the host's streams are ahead of their callers, and hold of incomplete events.
    pub(crate) fn held_bytes(&self) -> usize {
        MAX_HOST_BYTES - self.host.available_permits() + self.events.held_bytes()
    }

    /// Opens a buffer for the events of one stream.
    pub(crate) fn event_buffer(&self) -> EventBuffer {
        EventBuffer::new(self.events.clone())
    }

    /// Opens a buffer; the stream ends with [`BufferWriter::finish`], and is broken off when the
    /// writer is dropped before. Events are passed on as `playout` decides, or as they come.
    pub fn open(
        &self,
        playout: Option<Playout>,
    ) -> (BufferWriter, impl Stream<Item = Chunk> + Send + 'static) {
        let (chunks, received) = mpsc::unbounded_channel::<Buffered>();
        let writer = BufferWriter {
            chunks,
            own: Arc::new(Semaphore::new(MAX_STREAM_BYTES)),
            host: self.host.clone(),
            clock: self.clock,
            is_finished: false,
        };
        let reader = BufferReader {
            received,
            clock: self.clock,
            hidden_pauses: self.hidden_pauses.clone(),
            playout,
        };
        let chunks = unfold(reader, |mut reader| async {
            let chunk = reader.next().await?;
            Some((chunk, reader))
        });
        (writer, chunks)
    }
}

/// The caller's end of a buffer.
struct BufferReader {
    received: mpsc::UnboundedReceiver<Buffered>,
    clock: Clock,
    hidden_pauses: Counter,
    playout: Option<Playout>,
}

impl BufferReader {
    /// The next chunk, when it is to be passed on. Nothing is held once the stream has ended.
    async fn next(&mut self) -> Option<Chunk> {
        let buffered = self.received.recv().await?;
        let Some(playout) = &mut self.playout else {
            return Some(buffered.chunk);
        };
        if buffered.chunk.is_err() {
            sleep(WRITE_TIME).await;
            return Some(buffered.chunk);
        }
        let release = playout.release(buffered.arrived_ms);
        if release.hides_pause {
            self.hidden_pauses.inc();
        }
        let is_last = self.received.is_closed() && self.received.is_empty();
        if !is_last {
            let held_ms = release.at_ms.saturating_sub(self.clock.now_ms());
            sleep(Duration::from_millis(held_ms)).await;
        }
        Some(buffered.chunk)
    }
}

/// The relay's end of a buffer.
pub struct BufferWriter {
    chunks: mpsc::UnboundedSender<Buffered>,
    own: Arc<Semaphore>,
    host: Arc<Semaphore>,
    clock: Clock,
    is_finished: bool,
}

impl Drop for BufferWriter {
    /// A task that panics or is cancelled drops its writer in the middle of a stream, which must not
    /// look complete.
    fn drop(&mut self) {
        if !self.is_finished {
            let _ = self.chunks.send(Buffered {
                chunk: Err(BodyInterrupted),
                arrived_ms: self.clock.now_ms(),
                _permits: None,
            });
        }
    }
}

impl BufferWriter {
    /// Ends the stream as complete.
    pub fn finish(mut self) {
        self.is_finished = true;
    }

    /// Waits until the caller has left.
    pub async fn caller_gone(&self) {
        self.chunks.closed().await;
    }

    /// Appends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    /// [`CallerGone`]
    pub async fn send(&self, chunk: Chunk) -> Result<(), CallerGone> {
        let arrived_ms = self.clock.now_ms();
        let permits = tokio::select! {
            () = self.caller_gone() => return Err(CallerGone),
            permits = self.permits(&chunk) => permits?,
        };
        let buffered = Buffered {
            chunk,
            arrived_ms,
            _permits: Some(permits),
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
