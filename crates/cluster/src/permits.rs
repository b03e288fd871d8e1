//! The entry host's side of permits: ask two homes, take the first grant, report progress.

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

/// After so long without a grant the second home is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(10);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Homes tried for one engine: the best and the next, since views of who is alive may differ.
const HOMES_TRIED: usize = 2;
/// Generations that one host may start on one engine when no home answers.
const MAX_HOMELESS_PERMITS: u32 = 2;

/// What a generation needs to start.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// For whom.
    pub organisation: OrganisationKey,
    /// For which service.
    pub service: ServiceKey,
    /// The organisation's weight.
    pub weight: f32,
    /// Its guaranteed share of an engine's memory.
    pub share: f32,
    /// The model.
    pub model: String,
    /// Hash of the prompt's first blocks.
    pub prefix: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that are out already.
    pub out_tokens: u32,
    /// The answer's bound.
    pub output_limit_tokens: u32,
    /// How long it may wait.
    pub max_wait_ms: Millis,
    /// Whether to be refused rather than queue.
    pub only_now: bool,
    /// Engines not to ask.
    pub excluded: Vec<UpstreamKey>,
}

/// Why no permit was given. Nothing was sent to any engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotGranted {
    /// No engine of the model takes work.
    #[error("could not find a live engine of the model")]
    NoEngine,
    /// All that were asked refused.
    #[error("could not start within the time allowed")]
    Refused {
        /// The last reason.
        reason: RefusalReason,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// No home answers, and this host's own small share is in use.
    #[error("could not reach the engine's home")]
    NoHome,
}

impl NotGranted {
    /// When to come back.
    pub fn retry_after_ms(&self) -> Millis {
        const UNKNOWN_MS: Millis = 2_000;
        match self {
            Self::Refused { retry_after_ms, .. } => *retry_after_ms,
            Self::NoEngine | Self::NoHome => UNKNOWN_MS,
        }
    }
}

/// What the entry host knows of a permit between reports.
#[derive(Debug)]
pub(crate) struct HeldPermit {
    pub(crate) upstream: UpstreamKey,
    pub(crate) ask: EnginePermitRequest,
    /// `None` where the generation started without a home; changes when a new home takes over.
    pub(crate) id: Mutex<Option<PermitId>>,
    pub(crate) out_tokens: AtomicU32,
    pub(crate) move_requested: AtomicBool,
}

impl HeldPermit {
    /// What there is to report; nothing for a start without a home.
    pub(crate) fn progress(&self) -> Option<Progress> {
        Some(Progress {
            upstream: self.upstream,
            permit: (*self.id.lock())?,
            out_tokens: self.out_tokens.load(Ordering::Relaxed),
            state: RunState::Running,
        })
    }
}

/// Leave to run one generation on one engine; given back when dropped.
pub struct Permit {
    node: Arc<Node>,
    held: Arc<HeldPermit>,
    ended: bool,
    /// The engine.
    pub upstream: UpstreamKey,
    /// Its client.
    pub engine: Arc<dyn Engine>,
    /// The engine's priority for this generation.
    pub priority: i32,
}

impl Permit {
    /// So many tokens are out.
    pub fn advance(&self, out_tokens: u32) {
        self.held.out_tokens.store(out_tokens, Ordering::Relaxed);
    }

    /// Whether the home asks to move this generation; asked once for each such request.
    pub fn take_move_request(&self) -> bool {
        self.held.move_requested.swap(false, Ordering::Relaxed)
    }

    /// The generation is whole.
    pub fn finish(mut self) {
        self.end(RunState::Complete);
    }

    fn end(&mut self, state: RunState) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let node = self.node.clone();
        let held = self.held.clone();
        node.held.lock().remove(&held.ask.id);
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
            if let Some((home, note)) = node.engine_homes(held.upstream, 1).pop() {
                node.send_progress(home, note.address, vec![progress]).await;
            }
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(RunState::Incomplete);
    }
}

/// An ask under way; withdrawn when dropped without a grant, so that a caller who left or a lost
/// race leaves no reservation behind.
struct PendingRequest {
    node: Arc<Node>,
    upstream: UpstreamKey,
    ask: PermitRequestId,
    granted: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let (node, upstream, ask) = (self.node.clone(), self.upstream, self.ask);
        tokio::spawn(async move { node.withdraw(upstream, ask).await });
    }
}

struct Grant {
    upstream: UpstreamKey,
    ask: EnginePermitRequest,
    id: Option<PermitId>,
    priority: i32,
}

impl Node {
    /// Asks for leave to run a generation.
    ///
    /// # Errors
    /// [`NotGranted`]: nothing was sent to any engine.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        request: &PermitRequest,
    ) -> Result<Permit, NotGranted> {
        let candidates = self.candidates(request);
        let picked = pick(request.prefix, &candidates).ok_or(NotGranted::NoEngine)?;
        let deadline_ms = self.clock.now_ms() + request.max_wait_ms;
        let ask = |upstream| {
            Box::pin(
                self.clone()
                    .request_until(upstream, request.clone(), deadline_ms),
            )
        };
        let mut first = ask(picked.first);
        // Most first asks are granted at once; a second home is troubled only by the others.
        let granted = match (timeout(HEDGE_DELAY, &mut first).await, picked.second) {
            (Ok(Ok(grant)), _) => Ok(grant),
            (Ok(Err(error)), None) => Err(error),
            (Ok(Err(_)), Some(second)) => ask(second).await,
            (Err(_), None) => first.await,
            (Err(_), Some(second)) => select_ok([first, ask(second)])
                .await
                .map(|(grant, _)| grant),
        };
        let grant = match granted {
            Ok(grant) => grant,
            Err(NotGranted::NoHome) => self.grant_without_home(picked.first, request)?,
            Err(refused) => return Err(refused),
        };
        self.hold(grant)
    }

    fn hold(self: &Arc<Self>, grant: Grant) -> Result<Permit, NotGranted> {
        let listing = self.documents.listing();
        let Some(upstream) = listing.engines.get(&grant.upstream) else {
            return Err(NotGranted::NoEngine);
        };
        let held = Arc::new(HeldPermit {
            upstream: grant.upstream,
            ask: grant.ask,
            id: Mutex::new(grant.id),
            out_tokens: AtomicU32::new(grant.ask.out_tokens),
            move_requested: AtomicBool::new(false),
        });
        self.held.lock().insert(grant.ask.id, held.clone());
        Ok(Permit {
            node: self.clone(),
            held,
            ended: false,
            upstream: grant.upstream,
            engine: upstream.engine.clone(),
            priority: grant.priority,
        })
    }

    fn candidates(&self, request: &PermitRequest) -> Vec<Candidate> {
        let listing = self.documents.listing();
        let configuration = self.documents.active();
        let closed = configuration
            .as_ref()
            .map(|held| held.preset().closed_data_centres.as_slice())
            .unwrap_or_default();
        let loads = self.loads.lock();
        listing
            .engines_of(&request.model)
            .filter(|upstream| !request.excluded.contains(&upstream.key))
            .filter(|upstream| !closed.contains(&upstream.entry.data_centre))
            .map(|upstream| Candidate {
                upstream: upstream.key,
                is_local: upstream.entry.data_centre == self.settings.data_centre,
                load: loads.get(&upstream.key).copied().unwrap_or_default(),
                cached: false,
            })
            .collect()
    }

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
            ask: id,
            granted: false,
        };
        let mut unanswered = 0;
        loop {
            let now_ms = self.clock.now_ms();
            let ask = self.request_message(id, &request, deadline_ms.saturating_sub(now_ms));
            let Some(reply) = self.request_from_home(upstream, ask).await else {
                unanswered += 1;
                if unanswered >= HOMES_TRIED {
                    return Err(NotGranted::NoHome);
                }
                continue;
            };
            unanswered = 0;
            self.loads.lock().insert(upstream, reply.load);
            match reply.answer {
                PermitAnswer::Granted { permit, priority } => {
                    pending.granted = true;
                    return Ok(Grant {
                        upstream,
                        ask,
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

    /// Asks the best home that answers.
    async fn request_from_home(
        &self,
        upstream: UpstreamKey,
        ask: EnginePermitRequest,
    ) -> Option<PermitReply> {
        for (key, note) in self.engine_homes(upstream, HOMES_TRIED) {
            if key == self.key {
                return self.handle_permit_request(upstream, ask).await;
            }
            let call = |client: PeerClient, context| async move {
                client.ask(context, upstream, ask).await
            };
            if let Ok(reply) = self.peers.call(note.address, call).await {
                return Some(reply);
            }
            warn!("permits: {} does not answer for an engine", note.name);
        }
        None
    }

    /// Decides as the engine's home.
    pub(crate) async fn handle_permit_request(
        &self,
        upstream: UpstreamKey,
        ask: EnginePermitRequest,
    ) -> Option<PermitReply> {
        let settings = self.home_settings_of(upstream)?;
        let now_ms = self.clock.now_ms();
        Some(self.homes.ask(now_ms, upstream, settings, ask).await)
    }

    /// A start without a home, out of this host's own small share of the engine.
    ///
    /// When no home answers, refusing everything would stop the service for want of coordination;
    /// so many starts from each host overfill an engine by a bounded amount only.
    fn grant_without_home(
        &self,
        upstream: UpstreamKey,
        request: &PermitRequest,
    ) -> Result<Grant, NotGranted> {
        let mut homeless_permits = self.homeless_permits.lock();
        let running = homeless_permits.entry(upstream).or_default();
        if *running >= MAX_HOMELESS_PERMITS {
            return Err(NotGranted::NoHome);
        }
        *running += 1;
        info!("permits: started without a home");
        Ok(Grant {
            upstream,
            ask: self.request_message(PermitRequestId(rand::rng().random()), request, 0),
            id: None,
            priority: 0,
        })
    }

    fn release_without_home(&self, upstream: UpstreamKey) {
        if let Some(running) = self.homeless_permits.lock().get_mut(&upstream) {
            *running = running.saturating_sub(1);
        }
    }

    async fn withdraw(&self, upstream: UpstreamKey, ask: PermitRequestId) {
        for (key, note) in self.engine_homes(upstream, HOMES_TRIED) {
            if key == self.key {
                self.homes.withdraw(self.clock.now_ms(), upstream, ask);
                return;
            }
            let call = |client: PeerClient, context| async move {
                client.withdraw(context, upstream, ask).await
            };
            if self.peers.call(note.address, call).await.is_ok() {
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

    /// The last known loads, for the metrics page.
    pub fn engine_stats(&self) -> Vec<EngineStats> {
        self.homes.engine_stats()
    }
}
