//! Starts at cold upstreams, which one host for each of them hands out.
//!
//! What a cold upstream bears is summed over all hosts, and each sees its own requests only. A share
//! for each host would be less than one request where hosts are many, and more than all of it where
//! some believe others gone. So the host that the upstream's name points at hands out starts, at the
//! price of a message for each request that goes to a cold upstream while no warm one has room.

use std::collections::HashMap;
use std::time::Duration;

use fulmarpath_policy::{ColdStarts, Millis, UpstreamKey};
use fulmarpath_wire::{GatewayPeerClient, StartAnswer};
use parking_lot::Mutex;
use spdlog::warn;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::instance::{Chosen, InstanceKey};
use crate::instances::Found;
use crate::problem::Problem;

/// A home that doesn't answer in time: several ways there and back between data centres.
const ASK_BOUND: Duration = Duration::from_millis(80);
/// When to ask again where no home answers: another one is found within the time of some pings.
const NO_HOME_MS: Millis = 300;
/// Cold upstreams that are asked for at most, one after the other: each question costs a way there
/// and back.
const ASKED: usize = 3;
/// How long an evacuation lasts at least and at most, as callers are told: an operator's hand ends it.
const EVACUATION_MS: std::ops::RangeInclusive<Millis> = 1_000..=30_000;

/// The starts that this host has handed out.
#[derive(Debug, Default)]
pub(crate) struct ColdHome {
    starts: Mutex<HashMap<UpstreamKey, ColdStarts>>,
}

impl ColdHome {
    fn grant(&self, now_ms: Millis, upstream: UpstreamKey, most: u32) -> Result<(), Millis> {
        let mut starts = self.starts.lock();
        starts.retain(|_, starts| !starts.is_idle(now_ms));
        starts.entry(upstream).or_default().grant(now_ms, most)
    }
}

impl Gateway {
    /// An upstream for a request; `None` where no other is left. A cold one is waited for until
    /// `until_ms`.
    pub(crate) async fn find_upstream(
        &self,
        service: &str,
        without: &[InstanceKey],
        until_ms: Millis,
    ) -> Result<Option<Chosen>, Problem> {
        loop {
            let now_ms = self.clock.now_ms();
            let found = self
                .instances
                .choose(now_ms, service, without, rand::random());
            let (cold, full) = match found {
                Found::Warm(chosen) => return Ok(Some(chosen)),
                Found::Nobody => return self.nobody(now_ms, service),
                Found::Cold { cold, full } => (cold, full),
            };
            let wait_ms = match self.first_start(&cold).await {
                Ok(chosen) => return Ok(Some(chosen)),
                Err(wait_ms) => wait_ms,
            };
            let now_ms = self.clock.now_ms();
            if let Some(chosen) = full.and_then(|full| self.instances.take(now_ms, full)) {
                return Ok(Some(chosen));
            }
            if now_ms + wait_ms > until_ms {
                return Err(Problem::Cold {
                    retry_after_ms: wait_ms,
                });
            }
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// The first of some cold upstreams that may get a request now.
    ///
    /// # Errors
    /// How long to wait for the next start at any of them, in ms.
    async fn first_start(&self, cold: &[UpstreamKey]) -> Result<Chosen, Millis> {
        let mut least_ms = NO_HOME_MS;
        // Each host begins at another one, lest all ask the same home.
        let first = rand::random_range(0..cold.len());
        let order = cold.iter().cycle().skip(first).take(cold.len());
        for upstream in order.take(ASKED) {
            match self.ask_cold_start(*upstream).await {
                Ok(()) => {
                    let chosen = self.instances.take(self.clock.now_ms(), *upstream);
                    if let Some(chosen) = chosen {
                        return Ok(chosen);
                    }
                }
                Err(wait_ms) => least_ms = least_ms.min(wait_ms),
            }
        }
        Err(least_ms)
    }

    /// Why no upstream of a service takes work, where its caller can be told more than that.
    fn nobody(&self, now_ms: Millis, service: &str) -> Result<Option<Chosen>, Problem> {
        if !self.instances.is_evacuated(service) {
            return Ok(None);
        }
        let since_ms = self.evacuations.lock().oldest_ms().unwrap_or(now_ms);
        // An evacuation that has lasted for so long may be expected to last for as long again.
        let lasted_ms = now_ms.saturating_sub(since_ms);
        Err(Problem::Evacuated {
            retry_after_ms: lasted_ms.clamp(*EVACUATION_MS.start(), *EVACUATION_MS.end()),
        })
    }

    /// Asks for a start at a cold upstream.
    ///
    /// # Errors
    /// How long to wait before the next question, in ms.
    async fn ask_cold_start(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let home = self.fleet.members.lock().homes_of(upstream.0, 1).pop();
        let answer = match home {
            Some((key, note)) if key != self.host_key() => {
                let call = |client: GatewayPeerClient, context| async move {
                    client.start_cold(context, upstream).await
                };
                let peers = &self.fleet.peers;
                match peers.call_within(note.address, ASK_BOUND, call).await {
                    Ok(answer) => answer,
                    Err(error) => {
                        warn!("cold: {:016x} got no start: {error}", upstream.0);
                        return Err(NO_HOME_MS);
                    }
                }
            }
            _ => self.grant_cold_start(upstream),
        };
        match answer {
            StartAnswer::Now => Ok(()),
            StartAnswer::Later { wait_ms } => {
                self.metrics.cold_waits.inc();
                Err(wait_ms)
            }
        }
    }

    /// Hands out a start as the home of a cold upstream.
    ///
    /// A host that is cut off takes itself for the home of everything: one that has not heard another
    /// just now hands out nothing.
    pub(crate) fn grant_cold_start(&self, upstream: UpstreamKey) -> StartAnswer {
        let now_ms = self.clock.now_ms();
        let cold = self.instances.standing(upstream).cold;
        let granted = match cold {
            Some(cold) if self.fleet.is_in_touch(now_ms) => {
                self.cold_home.grant(now_ms, upstream, cold.starts)
            }
            _ => Err(NO_HOME_MS),
        };
        match granted {
            Ok(()) => StartAnswer::Now,
            Err(wait_ms) => StartAnswer::Later { wait_ms },
        }
    }

    /// Asks for a start where the upstream is cold.
    ///
    /// # Errors
    /// How long to wait before the next question, in ms.
    pub(crate) async fn ask_if_cold(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let cold = self.instances.standing(upstream).cold;
        let now_ms = self.clock.now_ms();
        match cold {
            Some(cold) if now_ms < cold.until_ms => self.ask_cold_start(upstream).await,
            _ => Ok(()),
        }
    }

    /// Counts a generation that goes on at an upstream, where it may.
    pub(crate) async fn take_continuation(&self, upstream: UpstreamKey) -> Option<Chosen> {
        self.ask_if_cold(upstream).await.ok()?;
        self.instances.take_again(self.clock.now_ms(), upstream)
    }
}
