//! The claim log: which submission holds an idempotency key.
//!
//! Keys are partitioned into a fixed number of shards. A shard's log is a sequence of numbered
//! segment objects in the object API, each written by a conditional create. Which host writes is
//! only an optimisation; claims are exclusive since each segment number can be created only once.
//! Old segments are folded: their records are copied into one chunk object, the fold object lists
//! the chunk, and the segments are deleted. docs/DESIGN.md compares the alternatives.

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

/// Settings of the claim log.
#[derive(Debug, Clone, Copy)]
pub struct ClaimSettings {
    /// Number of shards; follows from the platform's write budget, not from the fleet's size.
    pub shards: u32,
    /// Writes per second over all shards together.
    pub writes_per_s: u32,
    /// Retention time of a claim.
    pub window_ms: u64,
    /// Number of segments after which they are folded into a chunk.
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

    fn write_interval(&self) -> Duration {
        let interval_ms = 1_000 * u64::from(self.shards) / u64::from(self.writes_per_s.max(1));
        Duration::from_millis(interval_ms)
    }
}

/// Why a claim was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The claim was certainly not made.
    #[error("could not make the claim")]
    NotMade,
    /// The claim may have been made.
    #[error("could not determine whether the claim was made")]
    Unsure,
}

impl From<PlatformError> for ClaimError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::NotExecuted(_) => Self::NotMade,
            PlatformError::OutcomeUnknown(_) | PlatformError::Conflict { .. } => Self::Unsure,
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
    /// Number of the last segment that is in a chunk. Its object and those of earlier segments may
    /// have been deleted.
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
    /// The record that holds each key.
    index: HashMap<u128, Record>,
    /// The first segment number not known to exist; 0 before the log was read.
    next: u64,
    /// Number of the last folded segment.
    folded: u64,
}

type PendingClaim = (ClaimRequest, oneshot::Sender<ClaimAnswer>);

/// The claim log, with a writer task for each shard that this host writes.
pub struct ClaimLog {
    api: Arc<dyn ObjectApi>,
    settings: ClaimSettings,
    writers: Mutex<HashMap<u32, mpsc::Sender<PendingClaim>>>,
}

const QUEUE_CAPACITY: usize = 4_096;
const MAX_BATCH: usize = 1_000;
const WRITE_ATTEMPTS: u32 = 3;

impl ClaimLog {
    /// Creates a log that has read no shard yet.
    pub fn new(api: Arc<dyn ObjectApi>, settings: ClaimSettings) -> Self {
        Self {
            api,
            settings,
            writers: Mutex::new(HashMap::new()),
        }
    }

    /// Settings of the log.
    pub fn settings(&self) -> ClaimSettings {
        self.settings
    }

    /// Claims a key, or returns the generation that holds it.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimAnswer {
        let writer = self.writer(self.settings.shard(request.key));
        let (sender, receiver) = oneshot::channel();
        if writer.try_send((request, sender)).is_err() {
            return ClaimAnswer::NotClaimed;
        }
        receiver.await.unwrap_or(ClaimAnswer::Unsure)
    }

    fn writer(&self, shard: u32) -> mpsc::Sender<PendingClaim> {
        let mut writers = self.writers.lock();
        let writer = writers.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
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
    /// Batches claims during the pause after the last write, then writes them as one segment.
    async fn run(mut self, mut receiver: mpsc::Receiver<PendingClaim>) {
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let started = tokio::time::Instant::now();
            self.process(std::mem::take(&mut batch)).await;
            if self.shard.next - self.shard.folded > self.settings.fold_segments
                && let Err(error) = self.fold().await
            {
                warn!(
                    "claims: could not fold the segments of shard {}: {error}",
                    self.shard.number
                );
            }
            tokio::time::sleep_until(started + self.settings.write_interval()).await;
        }
    }

    /// Decides and answers claims.
    async fn process(&mut self, claims: Vec<PendingClaim>) {
        if let Err(error) = self.catch_up().await {
            let answer = match error {
                // Nothing was written, whichever way the read failed.
                ClaimError::NotMade | ClaimError::Unsure => ClaimAnswer::NotClaimed,
            };
            answer_all(claims, &answer);
            return;
        }
        let mut pending = claims;
        loop {
            let (records, remaining) = self.answer_known(pending);
            pending = remaining;
            if records.is_empty() {
                return;
            }
            match self.write(records).await {
                // The segment was written, or another writer took the number and its records have
                // been read. The next iteration decides for each claim whether it is held.
                Ok(()) => {}
                Err(ClaimError::NotMade) => return answer_all(pending, &ClaimAnswer::NotClaimed),
                Err(ClaimError::Unsure) => return answer_all(pending, &ClaimAnswer::Unsure),
            }
        }
    }

    /// Answers the claims that the index decides, and returns the records still to be written with
    /// the claims that wait for them.
    fn answer_known(&self, claims: Vec<PendingClaim>) -> (Vec<Record>, Vec<PendingClaim>) {
        let mut records: Vec<Record> = Vec::new();
        let mut pending = Vec::new();
        let at_ms = Clock::wall_ms();
        for (request, sender) in claims {
            let held = self.shard.index.get(&request.key);
            if let Some(answer) = held.and_then(|held| decide(held, &request)) {
                let _ = sender.send(answer);
                continue;
            }
            if !records.iter().any(|record| record.key == request.key) {
                records.push(Record {
                    key: request.key,
                    request_hash: request.request_hash,
                    generation: request.generation.clone(),
                    supersedes: request.supersedes.clone(),
                    at_ms,
                });
            }
            pending.push((request, sender));
        }
        (records, pending)
    }

    /// Creates the next segment with `records`, or reads the one that exists.
    async fn write(&mut self, records: Vec<Record>) -> Result<(), ClaimError> {
        let number = self.shard.next;
        let segment = Segment { records };
        let value = Bytes::from(serde_json::to_vec(&segment).unwrap_or_default());
        let key = self.segment_key(number);
        let mut outcome = Err(ClaimError::NotMade);
        for _ in 0..WRITE_ATTEMPTS {
            match self.api.create(&key, value.clone()).await {
                Ok(_) => {
                    self.check_fold(number).await?;
                    self.apply(segment.records);
                    self.shard.next = number + 1;
                    return Ok(());
                }
                // The segment exists already. It may be this writer's own, if the write took effect
                // and the answer was lost. Reading it back shows which generations hold the claims.
                Err(PlatformError::Conflict { .. }) => {
                    let existing = self.read_segment(number).await;
                    let Ok(Some(existing)) = existing else {
                        return Err(ClaimError::Unsure);
                    };
                    self.check_fold(number).await?;
                    self.apply(existing.records);
                    self.shard.next = number + 1;
                    return Ok(());
                }
                Err(PlatformError::NotExecuted(_)) => {}
                Err(PlatformError::OutcomeUnknown(_)) => outcome = Err(ClaimError::Unsure),
            }
        }
        outcome
    }

    /// Checks that no fold has covered a segment number that was just created.
    ///
    /// A writer that was paused for long may find its number free because a newer writer has
    /// folded and deleted that segment; a key could then be claimed twice. The fold object is
    /// written before any segment is deleted, so reading it after the create is sufficient.
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

    fn apply(&mut self, records: Vec<Record>) {
        for record in records {
            let held = self.shard.index.get(&record.key);
            let replaces = held.is_none_or(|held| {
                record.supersedes.as_ref() == Some(&held.generation)
                    || record.at_ms.saturating_sub(held.at_ms) > self.settings.window_ms
            });
            if replaces {
                self.shard.index.insert(record.key, record);
            }
        }
    }

    /// Reads the log to its end, if it has not been read. Drops expired claims from the index once
    /// per `fold_segments` segments.
    async fn catch_up(&mut self) -> Result<(), ClaimError> {
        if self.shard.next == 0 {
            let (fold, _) = self.read_fold().await?;
            self.shard.index.clear();
            for chunk in &fold.chunks {
                let object = self.api.read(&chunk.name).await?;
                let Some(object) = object else { continue };
                let records: Vec<Record> =
                    serde_json::from_slice(&object.value).map_err(|_| ClaimError::NotMade)?;
                self.apply(records);
            }
            self.shard.folded = fold.upto;
            let mut next = fold.upto + 1;
            while let Some(segment) = self.read_segment(next).await? {
                self.apply(segment.records);
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

    /// Folds the segments since the last fold into one chunk, then deletes them.
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

/// Decides a claim request against the held record; `None` where a new record is to be written.
fn decide(held: &Record, request: &ClaimRequest) -> Option<ClaimAnswer> {
    if held.generation == request.generation {
        return Some(ClaimAnswer::Claimed);
    }
    if request.supersedes.as_ref() == Some(&held.generation) {
        return None;
    }
    Some(ClaimAnswer::Taken {
        generation: held.generation.clone(),
        same_request: held.request_hash == request.request_hash,
    })
}

fn answer_all(claims: Vec<PendingClaim>, answer: &ClaimAnswer) {
    for (_, sender) in claims {
        let _ = sender.send(answer.clone());
    }
}
