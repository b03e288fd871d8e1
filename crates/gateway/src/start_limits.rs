//! Starts at upstreams that bear a few requests only, which one host for each hands out.
//!
//! What a cold upstream bears, or one in need that names a limit, is summed over all hosts, and each sees
//! its own requests only. A share for each host would be less than one request where hosts are many, and
//! more than all of it where some believe others gone. So the host that the upstream's name points at
//! hands out starts, at the price of a message for each request that goes there.

use std::collections::HashMap;
use std::time::Duration;

use fulmarpath_policy::{ColdStarts, Millis, Pacer, UpstreamKey};
use fulmarpath_wire::{
    AdvertisedLimit, GatewayPeerClient, MemberInfo, NoAnswer, StartAnswer, StartRequest,
};
use parking_lot::Mutex;
use spdlog::warn;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::instance::{Chosen, InstanceKey};
use crate::instances::Selection;
use crate::problem::Problem;

/// A home that doesn't answer in time: several ways there and back between data centres.
const ASK_BOUND: Duration = Duration::from_millis(80);
/// When to ask again where no home answers: another one is found within the time of some pings.
const NO_HOME_MS: Millis = 300;
/// Cold upstreams that are asked for at most, one after the other: each question costs a way there
/// and back.
const ASKED: usize = 3;
/// Connecting to a home and asking it: one that has lost its power answers nothing at all.
const HOME_BOUND: Duration = Duration::from_millis(100);
/// When to ask again at the latest where a share leaves none: it may be minutes until its next start, and
/// there is a home again within seconds.
const SHARE_WAIT_MS: Millis = 1_000;
/// The part of a limit that hosts use, all together, which no home hands out to them. The home may be there
/// for others, and hand out the whole.
const SHARE_WITHOUT_HOME: f32 = 0.25;
/// How long a generation that goes on elsewhere waits for a start there: its caller sees a pause, and
/// gives up after seconds.
const CONTINUATION_WAIT_MS: Millis = 400;
/// How long an evacuation lasts at least and at most, as callers are told: an operator's hand ends it.
const EVACUATION_MS: std::ops::RangeInclusive<Millis> = 1_000..=30_000;

/// The starts at one upstream that this host has handed out.
#[derive(Debug, Default)]
struct Starts {
    cold: ColdStarts,
    whole: Pacer,
    share: Pacer,
}

impl Starts {
    fn grant(&mut self, now_ms: Millis, bound: Bound) -> Result<(), Millis> {
        match bound.paced {
            Some(Pace::Whole { per_s }) => self.whole.grant(now_ms, per_s)?,
            Some(Pace::Share { per_s, hosts }) => {
                let draw = rand::random();
                let granted = self.share.grant_share(now_ms, per_s, hosts, draw);
                granted.map_err(|wait_ms| wait_ms.min(SHARE_WAIT_MS))?;
            }
            None => {}
        }
        match bound.cold {
            Some(most) => self.cold.grant(now_ms, most),
            None => Ok(()),
        }
    }

    fn is_idle(&self, now_ms: Millis) -> bool {
        self.cold.is_idle(now_ms) && self.whole.is_idle(now_ms) && self.share.is_idle(now_ms)
    }
}

/// What an upstream bears of the starts that one host hands out.
#[derive(Debug, Clone, Copy, Default)]
struct Bound {
    /// In any one second, while it is cold.
    cold: Option<u32>,
    /// By the limit that it names.
    paced: Option<Pace>,
}

/// A rate, by the limit that an upstream names.
#[derive(Debug, Clone, Copy)]
enum Pace {
    /// Handed out to all hosts.
    Whole { per_s: f32 },
    /// This host's part, where nobody hands it out.
    Share { per_s: f32, hosts: usize },
}

/// The starts that this host has handed out.
#[derive(Debug, Default)]
pub(crate) struct StartLimiter {
    starts: Mutex<HashMap<UpstreamKey, Starts>>,
}

impl StartLimiter {
    fn grant(&self, now_ms: Millis, upstream: UpstreamKey, bound: Bound) -> Result<(), Millis> {
        let mut starts = self.starts.lock();
        starts.retain(|_, starts| !starts.is_idle(now_ms));
        starts.entry(upstream).or_default().grant(now_ms, bound)
    }
}

impl Gateway {
    /// An upstream for a request; `None` where no other is left. One that bears no more now is waited
    /// for until `until_ms`.
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
                Selection::Warm(chosen) => return Ok(Some(chosen)),
                Selection::NoneAvailable => return self.explain_no_upstream(now_ms, service),
                Selection::Limited(upstream) if self.is_throttled(upstream).await => continue,
                Selection::Limited(upstream) => {
                    match self.instances.reserve(self.clock.now_ms(), upstream) {
                        Some(chosen) => return Ok(Some(chosen)),
                        None => continue,
                    }
                }
                Selection::Throttled { opens_ms } if opens_ms > until_ms => {
                    return Err(Problem::Throttled {
                        retry_after_ms: opens_ms - now_ms,
                    });
                }
                Selection::Throttled { opens_ms } => {
                    sleep(Duration::from_millis(opens_ms.saturating_sub(now_ms))).await;
                    continue;
                }
                Selection::Cold { cold, full } => (cold, full),
            };
            let wait_ms = match self.first_start(&cold).await {
                Ok(chosen) => return Ok(Some(chosen)),
                Err(wait_ms) => wait_ms,
            };
            if let Some(full) = full
                && !self.is_throttled(full).await
                && let Some(chosen) = self.instances.reserve(self.clock.now_ms(), full)
            {
                return Ok(Some(chosen));
            }
            let now_ms = self.clock.now_ms();
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
            match self.request_start_if_limited(*upstream).await {
                Ok(()) => {
                    let chosen = self.instances.reserve(self.clock.now_ms(), *upstream);
                    if let Some(chosen) = chosen {
                        return Ok(chosen);
                    }
                }
                Err(wait_ms) => least_ms = least_ms.min(wait_ms),
            }
        }
        Err(least_ms)
    }

    /// What a caller is told whom every upstream has refused that was asked: when to come back, where
    /// those that take work have asked for rest meanwhile.
    pub(crate) fn refine_refusal(&self, problem: Problem, service: &str) -> Problem {
        let now_ms = self.clock.now_ms();
        match (problem, self.instances.opens_ms(now_ms, service)) {
            (Problem::AllRefused, Some(opens_ms)) => Problem::Throttled {
                retry_after_ms: opens_ms - now_ms,
            },
            _ => problem,
        }
    }

    /// Why no upstream of a service takes work, where its caller can be told more than that.
    fn explain_no_upstream(
        &self,
        now_ms: Millis,
        service: &str,
    ) -> Result<Option<Chosen>, Problem> {
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

    /// Asks the home of an upstream for a start there.
    ///
    /// # Errors
    /// How long to wait before the next question, in ms.
    async fn request_start(&self, upstream: UpstreamKey, ask: StartRequest) -> Result<(), Millis> {
        if ask == StartRequest::default() {
            return Ok(());
        }
        let answer = match self.home_of_starts(upstream) {
            Some(home) => self.request_start_from_home(&home, upstream, ask).await,
            None => self.grant_start(upstream, ask),
        };
        let StartAnswer::Later { wait_ms } = answer else {
            return Ok(());
        };
        match ask.limit {
            Some(_) => self.metrics.limit_waits.inc(),
            None => self.metrics.cold_waits.inc(),
        };
        Err(wait_ms)
    }

    /// The host that hands out an upstream's starts; `None` where it is this one.
    fn home_of_starts(&self, upstream: UpstreamKey) -> Option<MemberInfo> {
        let members = self.fleet.members.lock();
        let (key, note) = members.homes_of(upstream.0, 1).pop()?;
        (key != members.my_key()).then_some(note)
    }

    async fn request_start_from_home(
        &self,
        home: &MemberInfo,
        upstream: UpstreamKey,
        ask: StartRequest,
    ) -> StartAnswer {
        let call = |client: GatewayPeerClient, context| async move {
            client.ask_start(context, upstream, ask).await
        };
        let peers = &self.fleet.peers;
        let asked = peers.call_with_timeout(home.address, ASK_BOUND, call);
        let no_answer = NoAnswer {
            address: home.address,
        };
        let answer = timeout(HOME_BOUND, asked).await;
        match answer.unwrap_or(Err(no_answer)) {
            Ok(answer) => answer,
            Err(error) if ask.is_cold => {
                warn!("starts: {:016x} got none: {error}", upstream.0);
                StartAnswer::Later {
                    wait_ms: NO_HOME_MS,
                }
            }
            Err(error) => {
                warn!("starts: a share alone of {:016x}: {error}", upstream.0);
                let now_ms = self.clock.now_ms();
                let bound = Bound {
                    cold: None,
                    paced: ask.limit.map(|limit| self.share_of(limit)),
                };
                answer_of(self.start_limiter.grant(now_ms, upstream, bound))
            }
        }
    }

    /// What this host may use of a limit by itself.
    fn share_of(&self, limit: AdvertisedLimit) -> Pace {
        Pace::Share {
            per_s: limit.per_s * SHARE_WITHOUT_HOME,
            hosts: self.fleet.host_count().max(1),
        }
    }

    /// Hands out a start as the home of an upstream.
    ///
    /// A host that is cut off takes itself for the home of everything: one that has not heard another
    /// just now hands out none at a cold upstream, and its own share of a limit.
    pub(crate) fn grant_start(&self, upstream: UpstreamKey, ask: StartRequest) -> StartAnswer {
        let now_ms = self.clock.now_ms();
        if let Some(limit) = ask.limit {
            let heard_ms = now_ms.saturating_sub(limit.age_ms);
            self.instances.hear_limit(upstream, limit.per_s, heard_ms);
        }
        let is_in_touch = self.fleet.is_in_touch(now_ms);
        let cold = self.instances.availability(upstream).cold;
        if ask.is_cold && (cold.is_none() || !is_in_touch) {
            return StartAnswer::Later {
                wait_ms: NO_HOME_MS,
            };
        }
        let is_home = is_in_touch && self.home_of_starts(upstream).is_none();
        let limit = self.instances.named_limit(now_ms, upstream);
        let bound = Bound {
            cold: cold.filter(|_| ask.is_cold).map(|cold| cold.starts),
            paced: limit.map(|limit| match is_home {
                true => Pace::Whole { per_s: limit.per_s },
                false => self.share_of(limit),
            }),
        };
        answer_of(self.start_limiter.grant(now_ms, upstream, bound))
    }

    /// Asks for a start where the upstream is cold.
    ///
    /// # Errors
    /// How long to wait before the next question, in ms.
    pub(crate) async fn request_start_if_cold(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let ask = StartRequest {
            is_cold: self.is_cold(upstream),
            limit: None,
        };
        self.request_start(upstream, ask).await
    }

    /// Asks for a start where the upstream is cold or names a limit.
    async fn request_start_if_limited(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let ask = StartRequest {
            is_cold: self.is_cold(upstream),
            limit: self.instances.named_limit(self.clock.now_ms(), upstream),
        };
        self.request_start(upstream, ask).await
    }

    fn is_cold(&self, upstream: UpstreamKey) -> bool {
        let cold = self.instances.availability(upstream).cold;
        cold.is_some_and(|cold| self.clock.now_ms() < cold.until_ms)
    }

    /// Whether the limit that an upstream names leaves no start for this host now. No other request
    /// asks for one there before the home has said that there may be one.
    pub(crate) async fn is_throttled(&self, upstream: UpstreamKey) -> bool {
        let ask = StartRequest {
            is_cold: false,
            limit: self.instances.named_limit(self.clock.now_ms(), upstream),
        };
        let asked = self.request_start(upstream, ask).await;
        if let Err(wait_ms) = asked {
            let until_ms = self.clock.now_ms() + wait_ms;
            self.instances.hold(upstream, until_ms);
        }
        asked.is_err()
    }

    /// Counts a generation that goes on at an upstream, where it may before `until_ms`.
    pub(crate) async fn reserve_continuation(
        &self,
        upstream: UpstreamKey,
        until_ms: Millis,
    ) -> Option<Chosen> {
        let until_ms = until_ms.min(self.clock.now_ms() + CONTINUATION_WAIT_MS);
        while let Err(wait_ms) = self.request_start_if_limited(upstream).await {
            if self.clock.now_ms() + wait_ms > until_ms {
                return None;
            }
            sleep(Duration::from_millis(wait_ms)).await;
        }
        self.instances
            .reserve_continuation(self.clock.now_ms(), upstream)
    }
}

fn answer_of(granted: Result<(), Millis>) -> StartAnswer {
    match granted {
        Ok(()) => StartAnswer::Now,
        Err(wait_ms) => StartAnswer::Later { wait_ms },
    }
}
