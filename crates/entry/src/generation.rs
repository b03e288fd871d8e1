//! One generation as held by this host: its tokens so far and how it ended.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use fulmarpath_policy::{Millis, OrganisationKey};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::outcome::End;

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    /// End offset of each token in `text`.
    end_offsets: Vec<u32>,
    end: Option<End>,
}

/// The tokens of one generation from index `base` on. Callers read from this buffer: a slow caller
/// delays neither the engine nor other readers, and one that reconnects continues where it was.
#[derive(Debug)]
pub struct Generation {
    name: String,
    organisation: OrganisationKey,
    base: u32,
    /// Whether it was submitted under an idempotency key.
    keyed: bool,
    buffer: Mutex<Buffer>,
    changed: watch::Sender<()>,
    cancelled: AtomicBool,
    readers: AtomicU32,
    /// Time of the last read.
    read_at_ms: AtomicU64,
    /// 0 until it has ended.
    ended_at_ms: AtomicU64,
}

/// The tokens from a reader's index on, and the end once reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TokenBatch {
    pub(crate) texts: Vec<String>,
    pub(crate) end: Option<End>,
}

impl Generation {
    /// Creates a generation without tokens; its first token will have index `base`.
    pub(crate) fn new(
        name: String,
        organisation: OrganisationKey,
        base: u32,
        keyed: bool,
        now_ms: Millis,
    ) -> Self {
        Self {
            name,
            organisation,
            base,
            keyed,
            buffer: Mutex::default(),
            changed: watch::Sender::new(()),
            cancelled: AtomicBool::new(false),
            readers: AtomicU32::new(0),
            read_at_ms: AtomicU64::new(now_ms),
            ended_at_ms: AtomicU64::new(0),
        }
    }

    /// The unique name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The organisation that requested it.
    pub fn organisation(&self) -> OrganisationKey {
        self.organisation
    }

    pub(crate) fn base(&self) -> u32 {
        self.base
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// Index of the next token to be appended.
    pub(crate) fn next_index(&self) -> u32 {
        self.base + self.buffer.lock().end_offsets.len() as u32
    }

    /// Appends the token at `index`.
    ///
    /// # Panics
    /// If `index` isn't the next one, or the generation has ended: otherwise a token would reach
    /// its caller twice, out of order or not at all.
    pub(crate) fn push(&self, index: u32, text: &str) {
        {
            let mut buffer = self.buffer.lock();
            let next = self.base + buffer.end_offsets.len() as u32;
            assert_eq!(index, next, "a token must be the next one");
            assert!(buffer.end.is_none(), "a token must not follow the end");
            buffer.text.push_str(text);
            let end_offset = buffer.text.len() as u32;
            buffer.end_offsets.push(end_offset);
        }
        self.changed.send_replace(());
    }

    /// Ends the generation; later calls have no effect.
    pub(crate) fn finish(&self, now_ms: Millis, end: End) {
        {
            let mut buffer = self.buffer.lock();
            if buffer.end.is_some() {
                return;
            }
            buffer.end = Some(end);
        }
        self.ended_at_ms.store(now_ms, Ordering::Relaxed);
        self.changed.send_replace(());
    }

    pub(crate) fn end(&self) -> Option<End> {
        self.buffer.lock().end
    }

    pub(crate) fn ended_at_ms(&self) -> Option<Millis> {
        let at_ms = self.ended_at_ms.load(Ordering::Relaxed);
        (at_ms > 0).then_some(at_ms)
    }

    /// Size of the buffers, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        let buffer = self.buffer.lock();
        buffer.text.capacity() + buffer.end_offsets.capacity() * size_of::<u32>()
    }

    /// All tokens, for an engine that continues after them.
    pub(crate) fn texts(&self) -> Vec<String> {
        self.tokens_from(self.base).texts
    }

    /// The tokens from index `from` on, and the end once reached.
    pub(crate) fn tokens_from(&self, from: u32) -> TokenBatch {
        let buffer = self.buffer.lock();
        let skip = from.saturating_sub(self.base) as usize;
        let mut start = match skip.checked_sub(1) {
            Some(last) => buffer.end_offsets.get(last).copied().unwrap_or(0) as usize,
            None => 0,
        };
        let mut texts = Vec::new();
        for end_offset in buffer.end_offsets.iter().skip(skip) {
            let end_offset = *end_offset as usize;
            texts.push(buffer.text[start..end_offset].to_owned());
            start = end_offset;
        }
        let end = buffer.end;
        TokenBatch { texts, end }
    }

    /// Waits for a token at or after index `from`, or for the end.
    pub(crate) async fn wait_for_tokens(&self, from: u32) -> TokenBatch {
        let mut changed = self.changed.subscribe();
        loop {
            let batch = self.tokens_from(from);
            if !batch.texts.is_empty() || batch.end.is_some() {
                return batch;
            }
            if changed.changed().await.is_err() {
                return batch;
            }
        }
    }

    /// Like [`Self::wait_for_tokens`], but waits at most `time_limit`.
    pub(crate) async fn wait_for_tokens_within(
        &self,
        from: u32,
        time_limit: Duration,
    ) -> TokenBatch {
        let waited = tokio::time::timeout(time_limit, self.wait_for_tokens(from)).await;
        waited.unwrap_or_else(|_| self.tokens_from(from))
    }

    /// Records the time of a read.
    pub(crate) fn touch(&self, now_ms: Millis) {
        self.read_at_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn drop_reader(&self, now_ms: Millis) {
        self.touch(now_ms);
        self.readers.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether it was cancelled, or has had no reader for longer than `grace_ms`.
    pub(crate) fn is_abandoned(&self, now_ms: Millis, grace_ms: Millis) -> bool {
        self.cancelled.load(Ordering::Relaxed)
            || self.readers.load(Ordering::Relaxed) == 0
                && now_ms.saturating_sub(self.read_at_ms.load(Ordering::Relaxed)) > grace_ms
    }
}
