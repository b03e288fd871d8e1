//! The generations that this host holds.

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

/// How long a finished generation without a key is kept for a caller that lost its connection.
const UNKEYED_MS: Millis = 60_000;
/// The most that finished answers may take; the oldest go first.
const KEPT_BYTES: usize = 48 * 1024 * 1024;
const FETCH_WAIT: Duration = Duration::from_millis(300);

/// The generations that this host holds, running and finished.
pub(crate) struct Registry {
    clock: Clock,
    keyed_retention_ms: Millis,
    held: Mutex<HashMap<String, Arc<Generation>>>,
}

impl Registry {
    /// `keyed_retention_ms` is how long the answer of a keyed submission is kept.
    pub(crate) fn new(clock: Clock, keyed_retention_ms: Millis) -> Self {
        Self {
            clock,
            keyed_retention_ms,
            held: Mutex::default(),
        }
    }

    pub(crate) fn insert(&self, generation: Arc<Generation>) {
        let name = generation.name().to_owned();
        self.held.lock().insert(name, generation);
    }

    /// A generation, if it is that organisation's.
    pub(crate) fn find(
        &self,
        organisation: OrganisationKey,
        name: &str,
    ) -> Option<Arc<Generation>> {
        let held = self.held.lock();
        let generation = held.get(name)?;
        (generation.organisation() == organisation).then(|| generation.clone())
    }

    /// Generations that still run.
    pub(crate) fn running(&self) -> usize {
        let held = self.held.lock();
        held.values().filter(|one| one.end().is_none()).count()
    }

    /// Forgets what is past its time, or the oldest where there is too much.
    pub(crate) fn tidy(&self) {
        let now_ms = self.clock.now_ms();
        let mut held = self.held.lock();
        held.retain(|_, generation| {
            let keep_ms = if generation.is_keyed() {
                self.keyed_retention_ms
            } else {
                UNKEYED_MS
            };
            let ended_at_ms = generation.ended_at_ms();
            ended_at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) < keep_ms)
        });
        let mut finished: Vec<(Millis, String, usize)> = held
            .values()
            .filter_map(|one| {
                let at_ms = one.ended_at_ms()?;
                Some((at_ms, one.name().to_owned(), one.size_bytes()))
            })
            .collect();
        let mut total: usize = finished.iter().map(|(_, _, size)| size).sum();
        finished.sort();
        for (_, name, size) in finished {
            if total <= KEPT_BYTES {
                break;
            }
            held.remove(&name);
            total -= size;
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
        let Some(held) = self.find(organisation, generation) else {
            return FetchAnswer::Unknown;
        };
        if from < held.base() {
            return FetchAnswer::Unknown;
        }
        held.touch(self.clock.now_ms());
        let piece = held.wait_at_most(from, FETCH_WAIT).await;
        FetchAnswer::Tokens {
            texts: piece.texts,
            end: piece.end.map(|end| match end {
                End::Complete(finish) => GenerationEnd::Complete {
                    by_length: finish == Finish::Length,
                },
                End::NotRun(_) => GenerationEnd::NotRun,
                End::OutcomeUnknown | End::Abandoned => GenerationEnd::OutcomeUnknown,
            }),
        }
    }
}
