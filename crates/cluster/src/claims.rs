//! The claim log: which submission holds an idempotency key.
//!
//! Keys fall into a fixed number of shards. A shard's log is a row of numbered objects in the
//! object API, each created only where none stands. Who writes is a hint; that each number is
//! created once is what makes claims exclusive. docs/DESIGN.md has the ways that were weighed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_store::{ObjectApi, PlatformError};
use fulmarpath_wire::{ClaimAnswer, ClaimRequest};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use spdlog::warn;
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;

use crate::clock::Clock;

/// How the claim log is kept.
#[derive(Debug, Clone, Copy)]
pub struct ClaimSettings {
    /// Shards; fixed by the platform's write budget, not by the fleet.
    pub shards: u32,
    /// Writes a second over all shards together.
    pub writes_per_s: u32,
    /// How long a claim is kept.
    pub window_ms: u64,
    /// Segments after which older ones are folded into a chunk.
    pub fold_segments: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            writes_per_s: 200,
            window_ms: 3_600_000,
            fold_segments: 64,
        }
    }
}

impl ClaimSettings {
    /// The shard of a key.
    pub fn shard(&self, key: u128) -> u32 {
        (key % u128::from(self.shards.max(1))) as u32
    }

    fn pause(&self) -> Duration {
        let pause_ms = 1_000 * u64::from(self.shards) / u64::from(self.writes_per_s.max(1));
        Duration::from_millis(pause_ms)
    }
}

/// Why nothing was learnt of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The claim was certainly not made.
    #[error("could not make the claim")]
    NotMade,
    /// The claim may have been made.
    #[error("could not learn whether the claim was made")]
    Unsure,
}

impl From<PlatformError> for ClaimError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::NotDone(_) => Self::NotMade,
            PlatformError::Unsure(_) | PlatformError::Conflict { .. } => Self::Unsure,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    key: u128,
    request_hash: u64,
    generation: String,
    supersedes: Option<String>,
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Segment {
    records: Vec<Record>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Fold {
    /// Segments up to this number are in chunks, and their objects may be gone.
    upto: u64,
    chunks: Vec<Chunk>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Chunk {
    name: String,
    newest_ms: u64,
}

struct Shard {
    number: u32,
    index: HashMap<u128, Record>,
    /// The first number that isn't known to be taken; 0 before the log was read.
    next: u64,
    folded: u64,
}

type Waiter = (ClaimRequest, oneshot::Sender<ClaimAnswer>);

/// The shards that this host writes.
pub struct ClaimLog {
    api: Arc<dyn ObjectApi>,
    settings: ClaimSettings,
    writers: Mutex<HashMap<u32, mpsc::Sender<Waiter>>>,
}

const WAITERS: usize = 4_096;
const BATCH: usize = 1_000;
const WRITE_TRIES: u32 = 3;

impl ClaimLog {
    /// A log without any shard read yet.
    pub fn new(api: Arc<dyn ObjectApi>, settings: ClaimSettings) -> Self {
        Self {
            api,
            settings,
            writers: Mutex::new(HashMap::new()),
        }
    }

    /// How the log is kept.
    pub fn settings(&self) -> ClaimSettings {
        self.settings
    }

    /// Claims a key, or tells who holds it.
    pub async fn claim(&self, ask: ClaimRequest) -> ClaimAnswer {
        let writer = self.writer(self.settings.shard(ask.key));
        let (sender, receiver) = oneshot::channel();
        if writer.try_send((ask, sender)).is_err() {
            return ClaimAnswer::NotClaimed;
        }
        receiver.await.unwrap_or(ClaimAnswer::Unsure)
    }

    fn writer(&self, shard: u32) -> mpsc::Sender<Waiter> {
        let mut writers = self.writers.lock();
        let writer = writers.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(WAITERS);
            let writer = Writer {
                api: self.api.clone(),
                settings: self.settings,
                shard: Shard {
                    number: shard,
                    index: HashMap::new(),
                    next: 0,
                    folded: 0,
                },
            };
            tokio::spawn(writer.run(receiver));
            sender
        });
        writer.clone()
    }
}

struct Writer {
    api: Arc<dyn ObjectApi>,
    settings: ClaimSettings,
    shard: Shard,
}

impl Writer {
    /// Gathers claims while the pause since the last write lasts, then writes them as one segment.
    async fn run(mut self, mut receiver: mpsc::Receiver<Waiter>) {
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, BATCH).await > 0 {
            let started = tokio::time::Instant::now();
            self.settle(std::mem::take(&mut batch)).await;
            if self.shard.next - self.shard.folded > self.settings.fold_segments
                && self.fold().await.is_err()
            {
                warn!("claims: could not fold shard {}", self.shard.number);
            }
            tokio::time::sleep_until(started + self.settings.pause()).await;
        }
    }

    async fn settle(&mut self, waiters: Vec<Waiter>) {
        if let Err(error) = self.catch_up().await {
            let answer = match error {
                // Nothing was written, whatever the read met.
                ClaimError::NotMade | ClaimError::Unsure => ClaimAnswer::NotClaimed,
            };
            answer_all(waiters, &answer);
            return;
        }
        let mut open = waiters;
        loop {
            let (records, rest) = self.sort_out(open);
            open = rest;
            if records.is_empty() {
                return;
            }
            match self.write(records).await {
                // Written, or another writer took the number: its records are known now, and the
                // next turn tells for each claim whether it holds.
                Ok(()) => {}
                Err(ClaimError::NotMade) => return answer_all(open, &ClaimAnswer::NotClaimed),
                Err(ClaimError::Unsure) => return answer_all(open, &ClaimAnswer::Unsure),
            }
        }
    }

    /// Answers what the index decides; returns the records still to be written, and their waiters.
    fn sort_out(&self, waiters: Vec<Waiter>) -> (Vec<Record>, Vec<Waiter>) {
        let mut records: Vec<Record> = Vec::new();
        let mut open = Vec::new();
        let at_ms = Clock::wall_ms();
        for (ask, waiter) in waiters {
            let held = self.shard.index.get(&ask.key);
            if let Some(answer) = held.and_then(|held| decide(held, &ask)) {
                let _ = waiter.send(answer);
                continue;
            }
            if !records.iter().any(|record| record.key == ask.key) {
                records.push(Record {
                    key: ask.key,
                    request_hash: ask.request_hash,
                    generation: ask.generation.clone(),
                    supersedes: ask.supersedes.clone(),
                    at_ms,
                });
            }
            open.push((ask, waiter));
        }
        (records, open)
    }

    /// Creates the next segment with `records`, or learns what stands there.
    async fn write(&mut self, records: Vec<Record>) -> Result<(), ClaimError> {
        let number = self.shard.next;
        let segment = Segment { records };
        let value = Bytes::from(serde_json::to_vec(&segment).unwrap_or_default());
        let key = self.segment_key(number);
        let mut outcome = Err(ClaimError::NotMade);
        for _ in 0..WRITE_TRIES {
            match self.api.create(&key, value.clone()).await {
                Ok(_) => {
                    self.check_fold(number).await?;
                    self.take_in(segment.records);
                    self.shard.next = number + 1;
                    return Ok(());
                }
                // Somebody's segment stands there, perhaps this very one: an answer that was lost
                // after the write took effect. Reading it back tells, by the generations in it.
                Err(PlatformError::Conflict { .. }) => {
                    let theirs = self.read_segment(number).await;
                    let Ok(Some(theirs)) = theirs else {
                        return Err(ClaimError::Unsure);
                    };
                    self.check_fold(number).await?;
                    self.take_in(theirs.records);
                    self.shard.next = number + 1;
                    return Ok(());
                }
                Err(PlatformError::NotDone(_)) => {}
                Err(PlatformError::Unsure(_)) => outcome = Err(ClaimError::Unsure),
            }
        }
        outcome
    }

    /// A writer that was paused for long may find its number free because a newer writer has
    /// folded that segment away; its symptom would be a key claimed twice. The fold's mark is
    /// written before any segment is removed, so reading it after the create is enough.
    async fn check_fold(&mut self, number: u64) -> Result<(), ClaimError> {
        let fold = self.read_fold().await;
        match fold {
            Ok((fold, _)) if fold.upto < number => Ok(()),
            _ => {
                self.shard.next = 0;
                Err(ClaimError::Unsure)
            }
        }
    }

    fn take_in(&mut self, records: Vec<Record>) {
        for record in records {
            let held = self.shard.index.get(&record.key);
            let follows = held.is_none_or(|held| {
                record.supersedes.as_ref() == Some(&held.generation)
                    || record.at_ms.saturating_sub(held.at_ms) > self.settings.window_ms
            });
            if follows {
                self.shard.index.insert(record.key, record);
            }
        }
    }

    /// Reads the log as far as it goes.
    async fn catch_up(&mut self) -> Result<(), ClaimError> {
        if self.shard.next == 0 {
            let (fold, _) = self.read_fold().await?;
            self.shard.index.clear();
            for chunk in &fold.chunks {
                let object = self.api.read(&chunk.name).await?;
                let Some(object) = object else { continue };
                let records: Vec<Record> =
                    serde_json::from_slice(&object.value).map_err(|_| ClaimError::NotMade)?;
                self.take_in(records);
            }
            self.shard.folded = fold.upto;
            let mut next = fold.upto + 1;
            while let Some(segment) = self.read_segment(next).await? {
                self.take_in(segment.records);
                next += 1;
            }
            self.shard.next = next;
        }
        let oldest_ms = Clock::wall_ms().saturating_sub(self.settings.window_ms);
        if self.shard.next.is_multiple_of(self.settings.fold_segments) {
            self.shard
                .index
                .retain(|_, record| record.at_ms >= oldest_ms);
        }
        Ok(())
    }

    /// Joins the segments since the last fold into one chunk, then removes them.
    async fn fold(&mut self) -> Result<(), ClaimError> {
        let (mut fold, version) = self.read_fold().await?;
        let upto = self.shard.next - 1;
        if fold.upto >= upto {
            self.shard.folded = fold.upto;
            return Ok(());
        }
        let mut records = Vec::new();
        for number in fold.upto + 1..=upto {
            let segment = self.read_segment(number).await?;
            records.extend(segment.ok_or(ClaimError::NotMade)?.records);
        }
        let newest_ms = records.iter().map(|record| record.at_ms).max().unwrap_or(0);
        let name = format!("{}/chunk-{}", self.shard_key(), Uuid::now_v7());
        let value = serde_json::to_vec(&records).unwrap_or_default();
        self.api.create(&name, value.into()).await?;
        let oldest_ms = Clock::wall_ms().saturating_sub(self.settings.window_ms);
        let (kept, expired): (Vec<_>, Vec<_>) = fold
            .chunks
            .drain(..)
            .partition(|chunk| chunk.newest_ms >= oldest_ms);
        let removed = fold.upto + 1..=upto;
        fold.upto = upto;
        fold.chunks = kept;
        fold.chunks.push(Chunk { name, newest_ms });
        let value = Bytes::from(serde_json::to_vec(&fold).unwrap_or_default());
        let key = self.fold_key();
        match version {
            Some(version) => self.api.replace(&key, value, version).await?,
            None => self.api.create(&key, value).await?,
        };
        self.shard.folded = upto;
        for number in removed {
            let _ = self.api.delete(&self.segment_key(number)).await;
        }
        for chunk in expired {
            let _ = self.api.delete(&chunk.name).await;
        }
        Ok(())
    }

    async fn read_fold(&self) -> Result<(Fold, Option<u64>), ClaimError> {
        let Some(object) = self.api.read(&self.fold_key()).await? else {
            return Ok((Fold::default(), None));
        };
        let fold = serde_json::from_slice(&object.value).map_err(|_| ClaimError::NotMade)?;
        Ok((fold, Some(object.version)))
    }

    async fn read_segment(&self, number: u64) -> Result<Option<Segment>, ClaimError> {
        let Some(object) = self.api.read(&self.segment_key(number)).await? else {
            return Ok(None);
        };
        let segment = serde_json::from_slice(&object.value);
        segment.map(Some).map_err(|_| ClaimError::NotMade)
    }

    fn shard_key(&self) -> String {
        format!("fulmarpath/claims/{}", self.shard.number)
    }

    fn segment_key(&self, number: u64) -> String {
        format!("{}/{number:020}", self.shard_key())
    }

    fn fold_key(&self) -> String {
        format!("{}/fold", self.shard_key())
    }
}

/// What a held record says to an ask; `None` where a new record is to be written.
fn decide(held: &Record, ask: &ClaimRequest) -> Option<ClaimAnswer> {
    if held.generation == ask.generation {
        return Some(ClaimAnswer::Claimed);
    }
    if ask.supersedes.as_ref() == Some(&held.generation) {
        return None;
    }
    Some(ClaimAnswer::Taken {
        generation: held.generation.clone(),
        same_request: held.request_hash == ask.request_hash,
    })
}

fn answer_all(waiters: Vec<Waiter>, answer: &ClaimAnswer) {
    for (_, waiter) in waiters {
        let _ = waiter.send(answer.clone());
    }
}
