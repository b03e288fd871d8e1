//! Limits how many requests start per second on cold and on rate-limited upstreams. A start here is
//! that of one request, not of an upstream's process.
//!
//! The limit of a cold upstream, or the limit that an overloaded upstream advertises, applies to
//! the sum over all hosts, while each host sees only its own requests. With many hosts a static
//! share per host would be less than one request, and the shares would exceed the limit if some
//! hosts considered others dead. Therefore one host per upstream, found by rendezvous hashing,
//! grants the starts, at the cost of one message per request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{ColdStarts, Draws, Millis, Pacer, UpstreamKey};
use fulmarpath_wire::{
    AdvertisedLimit, GatewayPeerClient, MemberInfo, NoAnswer, StartAnswer, StartRequest,
};
use parking_lot::Mutex;
use spdlog::warn;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::problem::Problem;
use crate::upstreams::instance::{ChosenUpstream, InstanceKey};
use crate::upstreams::instances::Selection;

/// Timeout of a start request: several round trips between data centres.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(80);
/// Retry delay if no home answers: another home is determined within the time of a few pings.
const NO_HOME_RETRY_MS: Millis = 300;
/// Maximum number of cold upstreams tried in sequence: each request costs a round trip.
const MAX_COLD_REQUESTS: usize = 3;
/// Timeout for connecting to a home and requesting a start: a host that has lost power does not
/// answer at all.
pub(crate) const HOME_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound on the retry delay if this host's share is used up: the next start of a share may be
/// minutes away, and a home is available again within seconds.
const MAX_SHARE_WAIT_MS: Millis = 1_000;
/// Fraction of a limit that all hosts together use without a home. The home may still be reachable
/// for other hosts and grant them the full limit.
pub(crate) const FRACTION_WITHOUT_HOME: f32 = 0.25;
/// How long a generation that resumes on another engine waits for a start there: its caller sees a
/// pause and disconnects after seconds.
const CONTINUATION_WAIT_MS: Millis = 400;
/// Bounds of the `Retry-After` returned during an evacuation, which lasts until an operator ends
/// it.
const EVACUATION_RETRY_MS: std::ops::RangeInclusive<Millis> = 1_000..=30_000;

/// The starts that this host has granted at one upstream.
#[derive(Debug, Default)]
struct UpstreamStarts {
    cold: ColdStarts,
    full: Pacer,
    share: Pacer,
}

impl UpstreamStarts {
    fn grant(&mut self, now_ms: Millis, start_limit: StartLimit) -> Result<(), Millis> {
        match start_limit.rate {
            Some(StartRate::Full { per_s }) => self.full.grant(now_ms, per_s)?,
            Some(StartRate::Share { per_s, hosts }) => {
                let draw = rand::random();
                let granted = self.share.grant_share(now_ms, per_s, hosts, draw);
                granted.map_err(|wait_ms| wait_ms.min(MAX_SHARE_WAIT_MS))?;
            }
            None => {}
        }
        match start_limit.cold {
            Some(starts) => self.cold.grant(now_ms, starts),
            None => Ok(()),
        }
    }

    fn is_idle(&self, now_ms: Millis) -> bool {
        self.cold.is_idle(now_ms) && self.full.is_idle(now_ms) && self.share.is_idle(now_ms)
    }
}

/// Limits on the starts that one host grants at an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct StartLimit {
    /// Requests that may start within any one second while the upstream is cold.
    cold: Option<u32>,
    /// The rate that follows from the limit that the upstream advertises.
    rate: Option<StartRate>,
}

/// A rate derived from the limit that an upstream advertises.
#[derive(Debug, Clone, Copy)]
enum StartRate {
    /// The full rate, granted to all hosts by the home.
    Full { per_s: f32 },
    /// This host's share, used if no home grants starts.
    Share { per_s: f32, hosts: usize },
}

/// The starts that this host has granted as the home of upstreams.
#[derive(Debug, Default)]
pub(crate) struct StartLimiter {
    starts: Mutex<HashMap<UpstreamKey, UpstreamStarts>>,
}

impl StartLimiter {
    fn grant(
        &self,
        now_ms: Millis,
        upstream: UpstreamKey,
        start_limit: StartLimit,
    ) -> Result<(), Millis> {
        let mut starts = self.starts.lock();
        starts.retain(|_, starts| !starts.is_idle(now_ms));
        starts
            .entry(upstream)
            .or_default()
            .grant(now_ms, start_limit)
    }
}

impl Gateway {
    /// Selects an upstream for a request; `None` if no other is left. If all are at their limit,
    /// waits until `until_ms` for a start.
    pub(crate) async fn find_upstream(
        &self,
        service: &str,
        excluded: &[InstanceKey],
        until_ms: Millis,
    ) -> Result<Option<ChosenUpstream>, Problem> {
        loop {
            let now_ms = self.clock.now_ms();
            let found = self.instances.choose(now_ms, service, excluded, draws());
            let (cold, full) = match found {
                Selection::Warm(chosen) => return Ok(Some(chosen)),
                Selection::NoneAvailable => return self.explain_no_upstream(now_ms, service),
                Selection::Limited(upstream) if self.is_start_refused(upstream).await => continue,
                Selection::Limited(upstream) => {
                    match self.instances.reserve(self.clock.now_ms(), upstream) {
                        Some(chosen) => return Ok(Some(chosen)),
                        None => continue,
                    }
                }
                Selection::Throttled { available_ms } if available_ms > until_ms => {
                    return Err(Problem::Throttled {
                        retry_after_ms: available_ms - now_ms,
                    });
                }
                Selection::Throttled { available_ms } => {
                    sleep(Duration::from_millis(available_ms.saturating_sub(now_ms))).await;
                    continue;
                }
                Selection::Cold { cold, full } => (cold, full),
            };
            let wait_ms = match self.start_on_cold(&cold).await {
                Ok(chosen) => return Ok(Some(chosen)),
                Err(wait_ms) => wait_ms,
            };
            if let Some(full) = full
                && !self.is_start_refused(full).await
                && let Some(chosen) = self.instances.reserve(self.clock.now_ms(), full)
            {
                return Ok(Some(chosen));
            }
            let now_ms = self.clock.now_ms();
            if now_ms.saturating_add(wait_ms) > until_ms {
                return Err(Problem::Cold {
                    retry_after_ms: wait_ms,
                });
            }
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// The first of the given cold upstreams that grants a start now.
    ///
    /// # Errors
    /// How long to wait for the next start at any of them, in ms.
    async fn start_on_cold(&self, cold: &[UpstreamKey]) -> Result<ChosenUpstream, Millis> {
        let mut min_wait_ms = NO_HOME_RETRY_MS;
        // Each host begins at a random upstream, which spreads the requests over the homes.
        let offset = rand::random_range(0..cold.len());
        let order = cold.iter().cycle().skip(offset).take(cold.len());
        for upstream in order.take(MAX_COLD_REQUESTS) {
            match self.request_start_if_limited(*upstream).await {
                Ok(()) => {
                    let chosen = self.instances.reserve(self.clock.now_ms(), *upstream);
                    if let Some(chosen) = chosen {
                        return Ok(chosen);
                    }
                }
                Err(wait_ms) => min_wait_ms = min_wait_ms.min(wait_ms),
            }
        }
        Err(min_wait_ms)
    }

    /// Replaces `AllRefused` by `Throttled`, which has a retry time, if the upstreams that accept
    /// work throttle this host.
    pub(crate) fn refine_refusal(&self, problem: Problem, service: &str) -> Problem {
        let now_ms = self.clock.now_ms();
        match (problem, self.instances.available_at_ms(now_ms, service)) {
            (Problem::AllRefused, Some(available_ms)) => Problem::Throttled {
                retry_after_ms: available_ms - now_ms,
            },
            _ => problem,
        }
    }

    /// The reason why no upstream of a service accepts work: an evacuation, or `None` if nothing
    /// more specific is known.
    fn explain_no_upstream(
        &self,
        now_ms: Millis,
        service: &str,
    ) -> Result<Option<ChosenUpstream>, Problem> {
        if !self.instances.is_evacuated(service) {
            return Ok(None);
        }
        let since_ms = self.evacuations.lock().oldest_ms().unwrap_or(now_ms);
        // An evacuation is expected to last as long again as it has lasted so far.
        let lasted_ms = now_ms.saturating_sub(since_ms);
        Err(Problem::Evacuated {
            retry_after_ms: lasted_ms
                .clamp(*EVACUATION_RETRY_MS.start(), *EVACUATION_RETRY_MS.end()),
        })
    }

    /// Requests a start from the home of an upstream.
    ///
    /// # Errors
    /// How long to wait before the next request, in ms.
    async fn request_start(
        &self,
        upstream: UpstreamKey,
        request: StartRequest,
    ) -> Result<(), Millis> {
        if request == StartRequest::default() {
            return Ok(());
        }
        let answer = match self.home_of_starts(upstream) {
            Some(home) => self.request_start_from_home(&home, upstream, request).await,
            None => self.grant_start(upstream, request),
        };
        let StartAnswer::Later { wait_ms } = answer else {
            return Ok(());
        };
        match request.limit {
            Some(_) => self.metrics.limit_waits.inc(),
            None => self.metrics.cold_waits.inc(),
        };
        Err(wait_ms)
    }

    /// The host that grants an upstream's starts; `None` if it is this host.
    pub(crate) fn home_of_starts(&self, upstream: UpstreamKey) -> Option<MemberInfo> {
        let members = self.fleet.members.lock();
        let (key, info) = members.homes_of(upstream.0, 1).pop()?;
        (key != members.own_key()).then_some(info)
    }

    async fn request_start_from_home(
        &self,
        home: &MemberInfo,
        upstream: UpstreamKey,
        request: StartRequest,
    ) -> StartAnswer {
        let call = |client: GatewayPeerClient, context| async move {
            client.ask_start(context, upstream, request).await
        };
        let peers = &self.fleet.peers;
        let reply = peers.call_with_timeout(home.address, REQUEST_TIMEOUT, call);
        let no_answer = NoAnswer {
            address: home.address,
        };
        let answer = timeout(HOME_TIMEOUT, reply).await;
        match answer.unwrap_or(Err(no_answer)) {
            Ok(answer) => answer,
            Err(error) if request.is_cold => {
                warn!(
                    "starts: upstream {:016x} gets no start, its home did not answer: {error}",
                    upstream.0
                );
                StartAnswer::Later {
                    wait_ms: NO_HOME_RETRY_MS,
                }
            }
            Err(error) => {
                warn!(
                    "starts: upstream {:016x} gets only this host's share of its limit: {error}",
                    upstream.0
                );
                let now_ms = self.clock.now_ms();
                let start_limit = StartLimit {
                    cold: None,
                    rate: request.limit.map(|limit| self.share_of(limit)),
                };
                start_answer(self.start_limiter.grant(now_ms, upstream, start_limit))
            }
        }
    }

    /// The share of a limit that this host may use without a home.
    fn share_of(&self, limit: AdvertisedLimit) -> StartRate {
        StartRate::Share {
            per_s: limit.per_s * FRACTION_WITHOUT_HOME,
            hosts: self.fleet.host_count().max(1),
        }
    }

    /// Grants a start as the home of an upstream.
    ///
    /// A partitioned host considers itself the home of every upstream. A host that has not heard
    /// from another host recently therefore grants no start at a cold upstream, and only its own
    /// share of an advertised limit.
    pub(crate) fn grant_start(&self, upstream: UpstreamKey, request: StartRequest) -> StartAnswer {
        let now_ms = self.clock.now_ms();
        if let Some(limit) = request.limit {
            let received_ms = now_ms.saturating_sub(limit.age_ms);
            self.instances
                .apply_limit(upstream, limit.per_s, received_ms);
        }
        let has_recent_contact = self.fleet.has_recent_contact(now_ms);
        let cold = self.instances.availability(upstream).cold;
        if request.is_cold && (cold.is_none() || !has_recent_contact) {
            return StartAnswer::Later {
                wait_ms: NO_HOME_RETRY_MS,
            };
        }
        let is_home = has_recent_contact && self.home_of_starts(upstream).is_none();
        let limit = self.instances.advertised_limit(now_ms, upstream);
        let start_limit = StartLimit {
            cold: cold.filter(|_| request.is_cold).map(|cold| cold.starts),
            rate: limit.map(|limit| match is_home {
                true => StartRate::Full { per_s: limit.per_s },
                false => self.share_of(limit),
            }),
        };
        start_answer(self.start_limiter.grant(now_ms, upstream, start_limit))
    }

    /// Reports to the home of an upstream's starts that its limit has ended. The home, to which the
    /// other hosts turn for each start, would otherwise keep the limit until a response of its own.
    pub(crate) fn report_limit_end(self: &Arc<Self>, upstream: UpstreamKey) {
        let Some(home) = self.home_of_starts(upstream) else {
            return;
        };
        let gateway = self.clone();
        tokio::spawn(async move {
            let call = |client: GatewayPeerClient, context| async move {
                client.report_limit_end(context, upstream).await
            };
            if let Err(error) = gateway.fleet.peers.call(home.address, call).await {
                warn!(
                    "starts: could not report the end of the limit of upstream {:016x}: {error}",
                    upstream.0
                );
            }
        });
    }

    /// Requests a start if the upstream is cold.
    ///
    /// # Errors
    /// How long to wait before the next request, in ms.
    pub(crate) async fn request_start_if_cold(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let request = StartRequest {
            is_cold: self.is_cold(upstream),
            limit: None,
        };
        self.request_start(upstream, request).await
    }

    /// Requests a start if the upstream is cold, advertises a limit or is brittle.
    async fn request_start_if_limited(&self, upstream: UpstreamKey) -> Result<(), Millis> {
        let request = StartRequest {
            is_cold: self.is_cold(upstream),
            limit: self
                .instances
                .advertised_limit(self.clock.now_ms(), upstream),
        };
        self.request_start(upstream, request).await?;
        self.request_start_if_brittle(upstream).await
    }

    fn is_cold(&self, upstream: UpstreamKey) -> bool {
        let cold = self.instances.availability(upstream).cold;
        cold.is_some_and(|cold| self.clock.now_ms() < cold.until_ms)
    }

    /// Requests a start if the upstream advertises a limit or is brittle; returns whether it was
    /// refused. In that case the upstream is throttled locally until the time that the home gave, and other requests
    /// do not ask the home until then.
    pub(crate) async fn is_start_refused(&self, upstream: UpstreamKey) -> bool {
        let request = StartRequest {
            is_cold: false,
            limit: self
                .instances
                .advertised_limit(self.clock.now_ms(), upstream),
        };
        let requested = match self.request_start(upstream, request).await {
            Ok(()) => self.request_start_if_brittle(upstream).await,
            refused => refused,
        };
        if let Err(wait_ms) = requested {
            let until_ms = self.clock.now_ms() + wait_ms;
            self.instances.throttle_until(upstream, until_ms);
        }
        requested.is_err()
    }

    /// Counts a generation that resumes at an upstream, if it may do so before `until_ms`.
    pub(crate) async fn reserve_continuation(
        &self,
        upstream: UpstreamKey,
        until_ms: Millis,
    ) -> Option<ChosenUpstream> {
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

fn draws() -> Draws {
    Draws {
        among: rand::random(),
        trial: rand::random(),
    }
}

pub(crate) fn start_answer(granted: Result<(), Millis>) -> StartAnswer {
    match granted {
        Ok(()) => StartAnswer::Now,
        Err(wait_ms) => StartAnswer::Later { wait_ms },
    }
}
