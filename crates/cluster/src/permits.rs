//! Permits as an entry host acquires them: it requests one at the homes of up to two engines, and
//! takes the first grant.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use fulmarpath_policy::{
    Candidate, EnginePermitRequest, HostKey, Millis, OrganisationKey, PermitRequestId,
    RefusalReason, ServiceKey, UpstreamKey, pick,
};
use fulmarpath_upstream::Engine;
use fulmarpath_wire::{
    MemberInfo, PeerClient, PermitAnswer, PermitId, PermitReply, Progress, RunState,
};
use futures::future::select_ok;
use parking_lot::Mutex;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::timeout;

use crate::homes::EngineStats;
use crate::node::Node;

/// Delay without a grant after which a hedged request goes to the second engine's home.
const HEDGE_DELAY: Duration = Duration::from_millis(10);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Homes tried for one engine: the best and the next, since hosts may disagree on who is alive.
const HOMES_TRIED: usize = 2;
/// Generations that one host may run on one engine without a permit while no home answers.
const MAX_PERMITS_WITHOUT_HOME: u32 = 2;

/// A request for a permit to run one generation.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// Organisation of the caller.
    pub organisation: OrganisationKey,
    /// Requested service.
    pub service: ServiceKey,
    /// Weight of the organisation.
    pub weight: f32,
    /// The organisation's guaranteed share of an engine's memory.
    pub share: f32,
    /// Name of the model.
    pub model: String,
    /// Hash of the prompt's first blocks.
    pub prefix: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens already generated.
    pub out_tokens: u32,
    /// Limit on the answer's length.
    pub output_limit_tokens: u32,
    /// Longest wait for a permit.
    pub max_wait_ms: Millis,
    /// Whether to be refused instead of queued.
    pub only_now: bool,
    /// Engines that are no candidates.
    pub excluded: Vec<UpstreamKey>,
}

/// Why no permit was given. Nothing was sent to any engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotGranted {
    /// No engine of the model takes work.
    #[error("could not find a live engine of the model")]
    NoEngine,
    /// All engines that were tried refused.
    #[error("could not start within the time allowed")]
    Refused {
        /// Reason of the last refusal.
        reason: RefusalReason,
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// No home answers, and this host's share of starts without a home is used up.
    #[error("could not reach the engine's home")]
    NoHome,
}

impl NotGranted {
    /// When to retry.
    pub fn retry_after_ms(&self) -> Millis {
        const DEFAULT_MS: Millis = 2_000;
        match self {
            Self::Refused { retry_after_ms, .. } => *retry_after_ms,
            Self::NoEngine | Self::NoHome => DEFAULT_MS,
        }
    }
}

/// A permit that this host holds, as its progress reports state it.
#[derive(Debug)]
pub(crate) struct HeldPermit {
    pub(crate) upstream: UpstreamKey,
    pub(crate) engine_request: EnginePermitRequest,
    /// `None` where the generation started without a home; replaced when a new home takes over.
    pub(crate) id: Mutex<Option<PermitId>>,
    pub(crate) out_tokens: AtomicU32,
    pub(crate) move_requested: AtomicBool,
}

impl HeldPermit {
    /// The progress to report; `None` for a start without a home.
    pub(crate) fn progress(&self) -> Option<Progress> {
        Some(Progress {
            upstream: self.upstream,
            permit: (*self.id.lock())?,
            out_tokens: self.out_tokens.load(Ordering::Relaxed),
            state: RunState::Running,
        })
    }
}

/// Permission to run one generation on one engine; released when dropped.
pub struct Permit {
    node: Arc<Node>,
    held: Arc<HeldPermit>,
    ended: bool,
    /// Key of the engine.
    pub upstream: UpstreamKey,
    /// Client of the engine.
    pub engine: Arc<dyn Engine>,
    /// Priority of this generation at the engine.
    pub priority: i32,
}

impl Permit {
    /// Records the number of tokens generated so far.
    pub fn advance(&self, out_tokens: u32) {
        self.held.out_tokens.store(out_tokens, Ordering::Relaxed);
    }

    /// Whether the home has requested to move this generation; clears the request.
    pub fn take_move_request(&self) -> bool {
        self.held.move_requested.swap(false, Ordering::Relaxed)
    }

    /// Releases the permit of a completed generation.
    pub fn finish(mut self) {
        self.end(RunState::Complete);
    }

    fn end(&mut self, state: RunState) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let node = self.node.clone();
        let held = self.held.clone();
        node.held_permits.lock().remove(&held.engine_request.id);
        let Some(permit) = *held.id.lock() else {
            node.release_without_home(held.upstream);
            return;
        };
        let progress = Progress {
            upstream: held.upstream,
            permit,
            out_tokens: held.out_tokens.load(Ordering::Relaxed),
            state,
        };
        tokio::spawn(async move {
            if let Some((home, info)) = node.engine_homes(held.upstream, 1).pop() {
                node.send_progress(home, info.address, vec![progress]).await;
            }
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(RunState::Incomplete);
    }
}

/// A pending permit request. It is withdrawn when dropped without a grant: a caller who disconnects
/// or a hedged request that loses leaves no reservation behind.
struct PendingRequest {
    node: Arc<Node>,
    upstream: UpstreamKey,
    request_id: PermitRequestId,
    granted: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let (node, upstream, request_id) = (self.node.clone(), self.upstream, self.request_id);
        tokio::spawn(async move { node.withdraw(upstream, request_id).await });
    }
}

struct Grant {
    upstream: UpstreamKey,
    engine_request: EnginePermitRequest,
    id: Option<PermitId>,
    priority: i32,
}

impl Node {
    /// Acquires a permit to run a generation.
    ///
    /// # Errors
    /// [`NotGranted`]: nothing was sent to any engine.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        request: &PermitRequest,
    ) -> Result<Permit, NotGranted> {
        let candidates = self.candidates(request);
        let choice = pick(request.prefix, &candidates).ok_or(NotGranted::NoEngine)?;
        let deadline_ms = self.clock.now_ms() + request.max_wait_ms;
        let request_from = |upstream| {
            Box::pin(
                self.clone()
                    .request_until(upstream, request.clone(), deadline_ms),
            )
        };
        let mut first = request_from(choice.first);
        // Most requests are granted at once; only the others add load on a second engine's home.
        let granted = match (timeout(HEDGE_DELAY, &mut first).await, choice.second) {
            (Ok(Ok(grant)), _) => Ok(grant),
            (Ok(Err(error)), None) => Err(error),
            (Ok(Err(_)), Some(second)) => request_from(second).await,
            (Err(_), None) => first.await,
            (Err(_), Some(second)) => select_ok([first, request_from(second)])
                .await
                .map(|(grant, _)| grant),
        };
        let grant = match granted {
            Ok(grant) => grant,
            Err(NotGranted::NoHome) => self.grant_without_home(choice.first, request)?,
            Err(refused) => return Err(refused),
        };
        self.register_permit(grant)
    }

    /// Adds a granted permit to those that this host holds and reports on.
    fn register_permit(self: &Arc<Self>, grant: Grant) -> Result<Permit, NotGranted> {
        let listing = self.documents.listing();
        let Some(engine) = listing.engines.get(&grant.upstream) else {
            return Err(NotGranted::NoEngine);
        };
        let held = Arc::new(HeldPermit {
            upstream: grant.upstream,
            engine_request: grant.engine_request,
            id: Mutex::new(grant.id),
            out_tokens: AtomicU32::new(grant.engine_request.out_tokens),
            move_requested: AtomicBool::new(false),
        });
        self.held_permits
            .lock()
            .insert(grant.engine_request.id, held.clone());
        Ok(Permit {
            node: self.clone(),
            held,
            ended: false,
            upstream: grant.upstream,
            engine: engine.client.clone(),
            priority: grant.priority,
        })
    }

    fn candidates(&self, request: &PermitRequest) -> Vec<Candidate> {
        let listing = self.documents.listing();
        let configuration = self.documents.active();
        let closed = configuration
            .as_ref()
            .map(|active| active.preset().closed_data_centres.as_slice())
            .unwrap_or_default();
        let loads = self.loads.lock();
        listing
            .engines_of(&request.model)
            .filter(|engine| !request.excluded.contains(&engine.key))
            .filter(|engine| !closed.contains(&engine.entry.data_centre))
            .map(|engine| Candidate {
                upstream: engine.key,
                is_local: engine.entry.data_centre == self.settings.data_centre,
                load: loads.get(&engine.key).copied().unwrap_or_default(),
                cached: false,
            })
            .collect()
    }

    /// Requests a permit from an engine's home until it is granted or refused.
    async fn request_until(
        self: Arc<Self>,
        upstream: UpstreamKey,
        request: PermitRequest,
        deadline_ms: Millis,
    ) -> Result<Grant, NotGranted> {
        let id = PermitRequestId(rand::rng().random());
        let mut pending = PendingRequest {
            node: self.clone(),
            upstream,
            request_id: id,
            granted: false,
        };
        // Requests in a row that none of the engine's homes answered.
        let mut failed_rounds = 0;
        loop {
            let now_ms = self.clock.now_ms();
            let engine_request =
                self.request_message(id, &request, deadline_ms.saturating_sub(now_ms));
            let Some(reply) = self.request_from_home(upstream, engine_request).await else {
                failed_rounds += 1;
                if failed_rounds >= HOMES_TRIED {
                    return Err(NotGranted::NoHome);
                }
                continue;
            };
            failed_rounds = 0;
            self.loads.lock().insert(upstream, reply.load);
            match reply.answer {
                PermitAnswer::Granted { permit, priority } => {
                    pending.granted = true;
                    return Ok(Grant {
                        upstream,
                        engine_request,
                        id: Some(permit),
                        priority,
                    });
                }
                PermitAnswer::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    return Err(NotGranted::Refused {
                        reason,
                        retry_after_ms,
                    });
                }
                PermitAnswer::Queued => {}
                PermitAnswer::NotHome => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn request_message(
        &self,
        id: PermitRequestId,
        request: &PermitRequest,
        max_wait_ms: Millis,
    ) -> EnginePermitRequest {
        EnginePermitRequest {
            id,
            host: self.key,
            organisation: request.organisation,
            service: request.service,
            weight: request.weight,
            share: request.share,
            prompt_tokens: request.prompt_tokens,
            out_tokens: request.out_tokens,
            output_limit_tokens: request.output_limit_tokens,
            max_wait_ms,
            only_now: request.only_now,
            known_tokens: None,
        }
    }

    /// Sends the request to the best home that answers.
    async fn request_from_home(
        &self,
        upstream: UpstreamKey,
        engine_request: EnginePermitRequest,
    ) -> Option<PermitReply> {
        for (key, info) in self.engine_homes(upstream, HOMES_TRIED) {
            if key == self.key {
                return self.handle_permit_request(upstream, engine_request).await;
            }
            let call = |client: PeerClient, context| async move {
                client.ask(context, upstream, engine_request).await
            };
            if let Ok(reply) = self.peers.call(info.address, call).await {
                return Some(reply);
            }
            warn!(
                "permits: home {} of engine {} does not answer",
                info.name,
                self.upstream_name(upstream)
            );
        }
        None
    }

    /// Decides on a permit request as the engine's home; `None` where this host doesn't know the
    /// engine or its model.
    pub(crate) async fn handle_permit_request(
        &self,
        upstream: UpstreamKey,
        engine_request: EnginePermitRequest,
    ) -> Option<PermitReply> {
        let settings = self.home_settings_of(upstream)?;
        let now_ms = self.clock.now_ms();
        Some(
            self.homes
                .request_permit(now_ms, upstream, settings, engine_request)
                .await,
        )
    }

    /// Grants a start without a home, limited by this host's own share of the engine.
    ///
    /// When no home answers, refusing all requests would stop the service for lack of coordination.
    /// The limit per host bounds by how much an engine can be overcommitted.
    fn grant_without_home(
        &self,
        upstream: UpstreamKey,
        request: &PermitRequest,
    ) -> Result<Grant, NotGranted> {
        let mut permits_without_home = self.permits_without_home.lock();
        let running = permits_without_home.entry(upstream).or_default();
        if *running >= MAX_PERMITS_WITHOUT_HOME {
            return Err(NotGranted::NoHome);
        }
        *running += 1;
        info!("permits: started without a home");
        Ok(Grant {
            upstream,
            engine_request: self.request_message(PermitRequestId(rand::rng().random()), request, 0),
            id: None,
            priority: 0,
        })
    }

    fn release_without_home(&self, upstream: UpstreamKey) {
        if let Some(running) = self.permits_without_home.lock().get_mut(&upstream) {
            *running = running.saturating_sub(1);
        }
    }

    async fn withdraw(&self, upstream: UpstreamKey, request_id: PermitRequestId) {
        for (key, info) in self.engine_homes(upstream, HOMES_TRIED) {
            if key == self.key {
                self.homes
                    .withdraw(self.clock.now_ms(), upstream, request_id);
                return;
            }
            let call = |client: PeerClient, context| async move {
                client.withdraw(context, upstream, request_id).await
            };
            if self.peers.call(info.address, call).await.is_ok() {
                return;
            }
        }
    }

    /// The homes of an engine, best first.
    pub(crate) fn engine_homes(
        &self,
        upstream: UpstreamKey,
        count: usize,
    ) -> Vec<(HostKey, MemberInfo)> {
        let listing = self.documents.listing();
        let listed = listing.engines.get(&upstream);
        let members = self.members.lock();
        match listed {
            Some(listed) => members.homes_in(upstream.0, &listed.entry.data_centre, count),
            None => members.homes_of(upstream.0, count),
        }
    }

    /// Statistics of the engines whose home this host is, for the metrics page.
    pub fn engine_stats(&self) -> Vec<EngineStats> {
        self.homes.engine_stats()
    }
}
