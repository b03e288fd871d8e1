//! The cluster node that runs on each entry host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_policy::{
    EngineLoad, HostKey, LimitExceeded, LimitTable, Millis, OrganisationKey, PermitRequestId,
    RequestLimits, UpstreamKey,
};
use fulmarpath_store::{HostEntry, HostList, HostListing, ListedState, ObjectApi, Role};
use fulmarpath_upstream::Plain;
use fulmarpath_wire::{
    ClaimAnswer, ClaimRequest, Document, FetchAnswer, LimitAnswer, MemberInfo, MemberState,
    PeerClient, Peers, SlotRequest,
};
use futures::future::join_all;
use parking_lot::Mutex;
use spdlog::info;
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::circuit_breakers::CircuitBreakers;
use crate::claims::{ClaimLog, ClaimSettings};
use crate::clock::Clock;
use crate::configuration::ActiveConfiguration;
use crate::documents::Documents;
use crate::homes::HomeTable;
use crate::members::Members;
use crate::permits::HeldPermit;
use crate::publish::{Change, PublishError, Publisher};
use crate::safeguard::Safeguard;
use crate::upstream_clients::UpstreamClients;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Unique name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Time without contact to the platform or any peer after which the node takes no new work.
    pub contact_timeout_ms: Millis,
    /// Settings of the claim log.
    pub claims: ClaimSettings,
    /// Safeguard that a fault run disables.
    pub disabled_safeguard: Option<Safeguard>,
}

/// The generations that a host holds, for requests of peers.
#[async_trait]
pub trait Generations: Send + Sync {
    /// Returns tokens from an index on; waits briefly where there are none yet.
    async fn fetch(
        &self,
        organisation: OrganisationKey,
        generation: &str,
        from: u32,
    ) -> FetchAnswer;
}

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address for peers can't be used.
    #[error("could not listen for peers")]
    Listen(#[source] std::io::Error),
}

/// The cluster node of one entry host.
///
/// Lock order: `members`, `loads`, `held_permits`, `permits_without_home`, `limits`, `slots`,
/// `fetched_at_ms`, then `homes`; none is held across an await.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) key: HostKey,
    pub(crate) members: Mutex<Members>,
    pub(crate) loads: Mutex<HashMap<UpstreamKey, EngineLoad>>,
    pub(crate) held_permits: Mutex<HashMap<PermitRequestId, Arc<HeldPermit>>>,
    pub(crate) permits_without_home: Mutex<HashMap<UpstreamKey, u32>>,
    pub(crate) limits: Mutex<LimitTable>,
    slots: Mutex<HashMap<OrganisationKey, u32>>,
    pub(crate) fetched_at_ms: Mutex<HashMap<Document, Millis>>,
    pub(crate) homes: HomeTable,
    pub(crate) peers: Peers<PeerClient>,
    pub(crate) documents: Documents,
    pub(crate) object_api: Arc<dyn ObjectApi>,
    pub(crate) host_list: Arc<dyn HostList>,
    pub(crate) clients: Arc<dyn UpstreamClients>,
    pub(crate) claims: ClaimLog,
    pub(crate) circuit_breakers: CircuitBreakers,
    pub(crate) generations: OnceLock<Arc<dyn Generations>>,
    pub(crate) leaving: AtomicBool,
}

impl Node {
    /// Starts a node and its background tasks.
    ///
    /// # Errors
    /// [`StartError`] where the listener for peers can't be used.
    pub async fn start(
        settings: NodeSettings,
        listener: TcpListener,
        object_api: Arc<dyn ObjectApi>,
        host_list: Arc<dyn HostList>,
        clients: Arc<dyn UpstreamClients>,
    ) -> Result<Arc<Self>, StartError> {
        let info = MemberInfo {
            name: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.peer_address,
        };
        let incarnation = Clock::wall_ms();
        let epoch = xxh3_64(format!("{}/{incarnation}", settings.host).as_bytes());
        let node = Arc::new(Self {
            clock: Clock::start(),
            key: HostKey::of(&settings.host),
            members: Mutex::new(Members::new(info, incarnation)),
            loads: Mutex::default(),
            held_permits: Mutex::default(),
            permits_without_home: Mutex::default(),
            limits: Mutex::default(),
            slots: Mutex::default(),
            fetched_at_ms: Mutex::default(),
            homes: HomeTable::new(epoch),
            peers: Peers::new(crate::server::client),
            documents: Documents::new(
                settings.disabled_safeguard == Some(Safeguard::RevisionGrows),
            ),
            claims: ClaimLog::new(object_api.clone(), settings.claims),
            circuit_breakers: CircuitBreakers::default(),
            object_api,
            host_list,
            clients,
            generations: OnceLock::new(),
            leaving: AtomicBool::new(false),
            settings,
        });
        crate::server::listen(node.clone(), listener)
            .await
            .map_err(StartError::Listen)?;
        tokio::spawn(node.clone().watch_host_list());
        tokio::spawn(node.clone().watch_root());
        tokio::spawn(node.clone().ping_members());
        tokio::spawn(node.clone().step_homes());
        tokio::spawn(node.clone().poll_engines());
        tokio::spawn(node.clone().report_progress());
        tokio::spawn(node.clone().close_idle_connections());
        tokio::spawn(node.clone().send_orders());
        info!("node: {} started", node.settings.host);
        Ok(node)
    }

    /// Sets the generations that this node serves to peers.
    pub fn set_generations(&self, generations: Arc<dyn Generations>) {
        let _ = self.generations.set(generations);
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// This host's name.
    pub fn host(&self) -> &str {
        &self.settings.host
    }

    /// Whether a safeguard is enabled, which it is unless a fault run has disabled it.
    pub fn has(&self, safeguard: Safeguard) -> bool {
        self.settings.disabled_safeguard != Some(safeguard)
    }

    /// The configuration that is active on this host.
    pub fn active_configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.documents.active()
    }

    /// Whether this host may take new work.
    ///
    /// A host without contact to the platform or any peer can't know whether its revision is still
    /// active; taking work could apply a reverted change for as long as it is partitioned. Contact
    /// to peers suffices, since a newer revision reaches the host within one or two pings.
    pub fn takes_work(&self) -> bool {
        let since_contact_ms = self
            .clock
            .now_ms()
            .saturating_sub(self.documents.last_contact_ms());
        self.active_configuration().is_some()
            && !self.leaving.load(Ordering::Relaxed)
            && since_contact_ms <= self.settings.contact_timeout_ms
    }

    /// The live instances of a plain service, those of this data centre first.
    pub fn plain(&self, service: &str) -> Vec<(UpstreamKey, Arc<dyn Plain>)> {
        let listing = self.documents.listing();
        let mut entries: Vec<&HostEntry> = listing.plain(service).collect();
        let draw: u64 = rand::random();
        entries.sort_by_key(|entry| {
            let is_remote = entry.data_centre != self.settings.data_centre;
            (
                is_remote,
                xxh3_64(format!("{draw}{}", entry.name).as_bytes()),
            )
        });
        entries
            .into_iter()
            .map(|entry| {
                let upstream = UpstreamKey::of(&entry.name);
                (upstream, self.clients.plain(entry.address))
            })
            .collect()
    }

    /// All listed engines of a model, including leaving ones.
    pub fn engines_of(&self, model: &str) -> Vec<Arc<dyn fulmarpath_upstream::Engine>> {
        let listing = self.documents.listing();
        let engines = listing.engines.values();
        engines
            .filter(|engine| engine.entry.serves == model)
            .map(|engine| engine.client.clone())
            .collect()
    }

    /// Takes a slot under an organisation's limits, at the organisation's home.
    ///
    /// If no home answers, the request proceeds. Limits protect organisations from each other, and
    /// an unreachable counter must not block all of them.
    pub async fn take_slot(
        &self,
        organisation: OrganisationKey,
        bounds: RequestLimits,
    ) -> Result<(), LimitExceeded> {
        let request = SlotRequest {
            organisation,
            host: self.key,
            bounds,
        };
        let home = self.members.lock().homes_of(organisation.0, 1).pop();
        let answer = match home {
            Some((key, _)) if key == self.key => self.acquire_slot(request),
            Some((_, info)) => {
                let call = |client: PeerClient, context| async move {
                    client.take_slot(context, request).await
                };
                let answer = self.peers.call(info.address, call).await;
                answer.unwrap_or(LimitAnswer::Taken)
            }
            None => LimitAnswer::Taken,
        };
        match answer {
            LimitAnswer::Taken => {
                *self.slots.lock().entry(organisation).or_default() += 1;
                Ok(())
            }
            LimitAnswer::OverRate { retry_after_ms } => Err(LimitExceeded::Rate { retry_after_ms }),
            LimitAnswer::OverConcurrency { retry_after_ms } => {
                Err(LimitExceeded::Concurrency { retry_after_ms })
            }
        }
    }

    /// Releases a slot; the home is notified by the next report of held slots.
    pub fn release_slot(&self, organisation: OrganisationKey) {
        if let Some(slots) = self.slots.lock().get_mut(&organisation) {
            *slots = slots.saturating_sub(1);
        }
    }

    pub(crate) fn acquire_slot(&self, request: SlotRequest) -> LimitAnswer {
        let now_ms = self.clock.now_ms();
        let mut limits = self.limits.lock();
        match limits.acquire(now_ms, request.organisation, request.host, request.bounds) {
            Ok(()) => LimitAnswer::Taken,
            Err(LimitExceeded::Rate { retry_after_ms }) => LimitAnswer::OverRate { retry_after_ms },
            Err(LimitExceeded::Concurrency { retry_after_ms }) => {
                LimitAnswer::OverConcurrency { retry_after_ms }
            }
        }
    }

    /// Reports to each organisation's home how many slots this host holds.
    pub(crate) async fn restate_slots(&self) {
        let held: Vec<(OrganisationKey, u32)> = {
            let mut slots = self.slots.lock();
            let held = slots.iter().map(|(key, count)| (*key, *count)).collect();
            slots.retain(|_, count| *count > 0);
            held
        };
        let mut by_home: HashMap<SocketAddr, Vec<(OrganisationKey, u32)>> = HashMap::new();
        for (organisation, count) in held {
            let home = self.members.lock().homes_of(organisation.0, 1).pop();
            match home {
                Some((key, _)) if key == self.key => {
                    self.set_held_slots(self.key, &[(organisation, count)]);
                }
                Some((_, info)) => {
                    let group = by_home.entry(info.address).or_default();
                    group.push((organisation, count));
                }
                None => {}
            }
        }
        let calls = by_home.into_iter().map(|(address, slots)| {
            let own = self.key;
            self.peers.call(address, move |client, context| async move {
                client.restate_slots(context, own, slots).await
            })
        });
        join_all(calls).await;
    }

    pub(crate) fn set_held_slots(&self, host: HostKey, slots: &[(OrganisationKey, u32)]) {
        let now_ms = self.clock.now_ms();
        let mut limits = self.limits.lock();
        for (organisation, count) in slots {
            limits.set_held(now_ms, *organisation, host, *count);
        }
    }

    /// Claims an idempotency key at the home of its shard.
    ///
    /// Which host writes is only an optimisation: a second host that considers itself the home
    /// races on the conditional create, and one of the two loses.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimAnswer {
        if !self.has(Safeguard::Claim) {
            return ClaimAnswer::Claimed;
        }
        let shard = self.settings.claims.shard(request.key);
        let resource = xxh3_64(format!("claims/{shard}").as_bytes());
        let homes = self.members.lock().homes_of(resource, 2);
        let mut answer = ClaimAnswer::NotClaimed;
        for (key, info) in homes {
            if key == self.key {
                return self.claims.claim(request).await;
            }
            let request = request.clone();
            let call =
                |client: PeerClient, context| async move { client.claim(context, request).await };
            match self.peers.call(info.address, call).await {
                Ok(answer) => return answer,
                Err(_) => answer = ClaimAnswer::Unsure,
            }
        }
        answer
    }

    /// Fetches tokens of a generation from another host; `None` where that host doesn't answer.
    pub async fn fetch(
        &self,
        host: HostKey,
        organisation: OrganisationKey,
        generation: &str,
        from: u32,
    ) -> Option<FetchAnswer> {
        let address = {
            let members = self.members.lock();
            members.find(host)?.member.address
        };
        let generation = generation.to_owned();
        let call = |client: PeerClient, context| async move {
            client.fetch(context, organisation, generation, from).await
        };
        self.peers.call(address, call).await.ok()
    }

    /// Makes a change of the configuration, adopts it on this host at once and announces it.
    ///
    /// # Errors
    /// [`PublishError`]
    pub async fn publish(self: &Arc<Self>, change: &Change) -> Result<u64, PublishError> {
        let publisher = Publisher::new(self.object_api.clone());
        let configuration = publisher.publish(change).await?;
        let revision = configuration.root.revision;
        self.documents.record_contact(self.clock.now_ms());
        self.adopt_root(None, configuration, true);
        Ok(revision)
    }

    /// The active revision on each present member; `None` where it doesn't answer.
    pub async fn revisions(&self) -> Vec<(String, Option<u64>)> {
        let (ping, members) = {
            let members = self.members.lock();
            let ping = fulmarpath_wire::Ping {
                from: members.own_rumour(),
                rumours: Vec::new(),
                versions: self.versions(),
            };
            let present: Vec<MemberInfo> = members
                .present()
                .filter(|rumour| rumour.state != MemberState::Leaving)
                .map(|rumour| rumour.member.clone())
                .collect();
            (ping, present)
        };
        let calls = members.into_iter().map(|info| {
            let ping = ping.clone();
            async move {
                if info.name == self.settings.host {
                    return (info.name, Some(self.documents.versions().root));
                }
                let pong = self.ping_once(info.address, ping).await;
                (info.name, pong.map(|pong| pong.versions.root))
            }
        });
        let mut revisions = join_all(calls).await;
        revisions.sort();
        revisions
    }

    /// Number of members that this host considers present, including itself.
    pub fn member_count(&self) -> usize {
        self.members.lock().present().count()
    }

    /// The listed name of an engine; its key in hexadecimal where it isn't listed.
    pub fn upstream_name(&self, upstream: UpstreamKey) -> String {
        let listing = self.documents.listing();
        match listing.engines.get(&upstream) {
            Some(listed) => listed.entry.name.clone(),
            None => format!("{:016x}", upstream.0),
        }
    }

    /// Periodically closes idle connections.
    async fn close_idle_connections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_PERIOD).await;
            self.peers.close_idle();
        }
    }
}

const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(1_000);

/// The live entry hosts of a host list.
pub(crate) fn entry_hosts(listing: &HostListing) -> impl Iterator<Item = MemberInfo> {
    listing
        .hosts
        .iter()
        .filter(|host| host.role == Role::Entry && host.state == ListedState::Live)
        .map(|host| MemberInfo {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: host.address,
        })
}
