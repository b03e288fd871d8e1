//! Registry of the generations that this host holds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_cluster::{Clock, Generations};
use fulmarpath_policy::{Millis, OrganisationKey};
use fulmarpath_upstream::Finish;
use fulmarpath_wire::{FetchAnswer, GenerationEnd};
use parking_lot::Mutex;

use crate::generation::Generation;
use crate::outcome::End;

/// How long a finished generation without an idempotency key is kept for a caller that reconnects.
const UNKEYED_RETENTION_MS: Millis = 60_000;
/// Memory limit for finished generations; the oldest are evicted first.
const MAX_FINISHED_BYTES: usize = 48 * 1024 * 1024;
const FETCH_WAIT: Duration = Duration::from_millis(300);

/// The generations that this host holds, running and finished.
pub(crate) struct Registry {
    clock: Clock,
    keyed_retention_ms: Millis,
    generations: Mutex<HashMap<String, Arc<Generation>>>,
}

impl Registry {
    /// `keyed_retention_ms` is how long the generation of a keyed submission is kept after its end.
    pub(crate) fn new(clock: Clock, keyed_retention_ms: Millis) -> Self {
        Self {
            clock,
            keyed_retention_ms,
            generations: Mutex::default(),
        }
    }

    pub(crate) fn insert(&self, generation: Arc<Generation>) {
        let name = generation.name().to_owned();
        self.generations.lock().insert(name, generation);
    }

    /// Finds a generation by name; `None` if it belongs to another organisation.
    pub(crate) fn find(
        &self,
        organisation: OrganisationKey,
        name: &str,
    ) -> Option<Arc<Generation>> {
        let generations = self.generations.lock();
        let generation = generations.get(name)?;
        (generation.organisation() == organisation).then(|| generation.clone())
    }

    /// Number of generations that still run.
    pub(crate) fn running(&self) -> usize {
        let generations = self.generations.lock();
        generations
            .values()
            .filter(|generation| generation.end().is_none())
            .count()
    }

    /// Evicts finished generations past their retention time, then the oldest beyond
    /// [`MAX_FINISHED_BYTES`].
    pub(crate) fn evict(&self) {
        let now_ms = self.clock.now_ms();
        let mut generations = self.generations.lock();
        generations.retain(|_, generation| {
            let keep_ms = if generation.is_keyed() {
                self.keyed_retention_ms
            } else {
                UNKEYED_RETENTION_MS
            };
            let ended_at_ms = generation.ended_at_ms();
            ended_at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) < keep_ms)
        });
        let mut finished: Vec<(Millis, String, usize)> = generations
            .values()
            .filter_map(|generation| {
                let at_ms = generation.ended_at_ms()?;
                Some((at_ms, generation.name().to_owned(), generation.size_bytes()))
            })
            .collect();
        let mut total_bytes: usize = finished.iter().map(|(_, _, size_bytes)| size_bytes).sum();
        finished.sort();
        for (_, name, size_bytes) in finished {
            if total_bytes <= MAX_FINISHED_BYTES {
                break;
            }
            generations.remove(&name);
            total_bytes -= size_bytes;
        }
    }
}

#[async_trait]
impl Generations for Registry {
    async fn fetch(
        &self,
        organisation: OrganisationKey,
        generation: &str,
        from: u32,
    ) -> FetchAnswer {
        let Some(found) = self.find(organisation, generation) else {
            return FetchAnswer::Unknown;
        };
        if from < found.base() {
            return FetchAnswer::Unknown;
        }
        found.touch(self.clock.now_ms());
        let batch = found.wait_for_tokens_within(from, FETCH_WAIT).await;
        FetchAnswer::Tokens {
            texts: batch.texts,
            end: batch.end.map(|end| match end {
                End::Complete(finish) => GenerationEnd::Complete {
                    by_length: finish == Finish::Length,
                },
                End::NotRun(_) => GenerationEnd::NotRun,
                End::OutcomeUnknown | End::Abandoned => GenerationEnd::OutcomeUnknown,
            }),
        }
    }
}
