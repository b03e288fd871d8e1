//! The state of one host's gateway.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use fulmarpath_cluster::{CircuitBreakers, Clock};
use fulmarpath_http::{ConnectionLimits, Dial, TcpDial};
use fulmarpath_policy::{
    ColdBound, Evacuations, LateRequest, LongestResponses, Millis, RetryBound, RetryWindow,
    can_finish_generation,
};
use parking_lot::Mutex;
use spdlog::info;
use tokio_util::sync::CancellationToken;

use crate::cells::homes::CellDuties;
use crate::cells::probe::ProbeTimes;
use crate::cells::runs::Runs;
use crate::cells::{Cells, LayoutChanged};
use crate::configuration::{ActiveConfiguration, Configuration, RouteKind};
use crate::control::EngineControl;
use crate::dissemination::Dissemination;
use crate::fleet::Fleet;
use crate::head::Dialect;
use crate::inbound::InboundRequest;
use crate::metrics::{Metrics, PeerBytes, Readings};
use crate::relay::stream_buffer::StreamBuffers;
use crate::resources::{HostLimits, Resources};
use crate::roster::Roster;
use crate::roster::directory::{HostRegistration, RegistrationChange};
use crate::serve::RESPONSE_RESERVE_MS;
use crate::store::era::StoreEra;
use crate::store::metadata::Metadata;
use crate::store::unusable_entries::UnusableLog;
use crate::surge_guard::SurgeGuard;
use crate::upstreams::availability::ColdLimits;
use crate::upstreams::brittle_starts::BrittleLimiter;
use crate::upstreams::dial::UpstreamDial;
use crate::upstreams::instances::Instances;
use crate::upstreams::start_limits::StartLimiter;
use crate::upstreams::tunnels::Tunnels;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This host, as it registers itself.
    pub host: HostRegistration,
    /// The operator's bound on retries.
    pub retries: RetryBound,
    /// Other hosts to contact before the store has named any.
    pub seeds: Vec<SocketAddr>,
    /// Bound within which a change of the configuration or of the upstreams has to be in force.
    pub change_bound_ms: Millis,
    /// The store removes an upstream's entry this long after its last heartbeat.
    pub registration_ttl_ms: Millis,
    /// Bound within which requests to an evacuated data centre have to stop; `None` if the operator
    /// evacuates none, in which case evacuations are not read.
    pub evacuation_bound_ms: Option<Millis>,
    /// Bound on the requests to a cold upstream; `None` if they are not bounded.
    pub cold_bound: Option<ColdBound>,
    /// Bound on the time between an engine's making of an event and its arrival at the caller; `None`
    /// if the operator states none, in which case no event is held.
    pub event_delay_bound_ms: Option<Millis>,
    /// Time between a stop signal and the end of the process.
    pub grace_ms: Millis,
    /// Limits of this host's process.
    pub limits: HostLimits,
}

/// What the control work of a host has cost since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlCounts {
    /// Calls to the store; a list of several pages counts once.
    pub store_calls: u64,
    /// Messages from other hosts.
    pub peer_messages: u64,
    /// Bytes exchanged with other hosts, in both directions.
    pub peer_bytes: u64,
}

/// One host's gateway.
///
/// Lock order: roster, evacuations, instances, cells, runs, crashes, circuits, paths, tunnel hosts,
/// members, retries, retry bound, longest responses; none is held across an await.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) metadata: Metadata,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) evacuations: Mutex<Evacuations>,
    pub(crate) start_limiter: StartLimiter,
    pub(crate) brittle_limiter: BrittleLimiter,
    pub(crate) instances: Instances,
    pub(crate) metrics: Metrics,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) cells: Cells,
    pub(crate) runs: Runs,
    pub(crate) stream_buffers: StreamBuffers,
    pub(crate) resources: Resources,
    pub(crate) cell_duties: CellDuties,
    pub(crate) probe_times: ProbeTimes,
    pub(crate) dissemination: Dissemination,
    pub(crate) surge: SurgeGuard,
    pub(crate) circuit_breakers: CircuitBreakers,
    pub(crate) unusable_log: UnusableLog,
    pub(crate) store_era: StoreEra,
    pub(crate) control: Arc<dyn EngineControl>,
    /// Opens connections to upstreams.
    pub(crate) dial: UpstreamDial,
    pub(crate) tunnels: Tunnels,
    active_configuration: ArcSwapOption<ActiveConfiguration>,
    retries: Mutex<HashMap<String, RetryWindow>>,
    retry_bound: Mutex<RetryBound>,
    /// When the active configuration was applied.
    applied_ms: AtomicU64,
    /// When the process ends, once it was told to stop; 0 before.
    stops_at_ms: AtomicU64,
    /// Cancelled when a stopping host responds to the requests that still have no response.
    pub(crate) last_responses: CancellationToken,
    pub(crate) longest_responses: Mutex<LongestResponses>,
    /// The store's era in which this host last read the stored circuits.
    pub(crate) circuits_era: Mutex<Option<u64>>,
}

impl Gateway {
    /// Creates a gateway without any configuration or upstreams.
    pub fn new(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        control: Arc<dyn EngineControl>,
        metadata: Metadata,
    ) -> Self {
        let clock = Clock::start();
        let own = settings.host.address;
        let has_seeds = settings.seeds.iter().any(|seed| *seed != own);
        let fleet = Arc::new(Fleet::new(clock.now_ms(), &settings.host, has_seeds));
        let metrics = Metrics::default();
        let counts = metrics.dials.clone();
        Self {
            dial: UpstreamDial::new(Arc::new(TcpDial), fleet.clone(), clock, counts),
            tunnels: Tunnels::default(),
            instances: Instances::new(&settings.host.data_centre),
            fleet,
            clock,
            cells: Cells::default(),
            runs: Runs::default(),
            stream_buffers: StreamBuffers::new(clock, metrics.hidden_pauses.clone()),
            resources: Resources::new(settings.limits, clock),
            cell_duties: CellDuties::default(),
            probe_times: ProbeTimes::default(),
            dissemination: Dissemination::default(),
            surge: SurgeGuard::default(),
            circuit_breakers: CircuitBreakers::default(),
            unusable_log: UnusableLog::default(),
            store_era: StoreEra::default(),
            control,
            dialect,
            metadata,
            roster: Mutex::new(Roster::new(settings.registration_ttl_ms)),
            evacuations: Mutex::default(),
            start_limiter: StartLimiter::default(),
            brittle_limiter: BrittleLimiter::default(),
            metrics,
            active_configuration: ArcSwapOption::empty(),
            retries: Mutex::default(),
            retry_bound: Mutex::new(settings.retries),
            applied_ms: AtomicU64::new(0),
            stops_at_ms: AtomicU64::new(0),
            last_responses: CancellationToken::new(),
            longest_responses: Mutex::default(),
            circuits_era: Mutex::default(),
            settings,
        }
    }

    /// Replaces how connections to upstreams are opened over this host's own links.
    pub fn with_dial(mut self, dial: Arc<dyn Dial>) -> Self {
        let counts = self.metrics.dials.clone();
        self.dial = UpstreamDial::new(dial, self.fleet.clone(), self.clock, counts);
        self
    }

    /// Replaces the maximum number of engines in a cell.
    pub fn with_max_cell_engines(mut self, max_cell_engines: usize) -> Self {
        self.cells.set_max_cell_engines(max_cell_engines);
        self
    }

    /// The active configuration.
    pub fn active_configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active_configuration.load_full()
    }

    /// The version of the active configuration; 0 for none.
    pub(crate) fn configuration_version(&self) -> u64 {
        let held = self.active_configuration.load();
        held.as_ref().map_or(0, |held| held.configuration.version)
    }

    /// Applies a configuration that is newer than the active one; returns whether it was applied.
    ///
    /// The store and peers deliver versions in any order. An older one would revert a change that
    /// callers have seen; versions only grow, so comparing them is enough.
    pub(crate) fn apply_configuration(&self, configuration: Configuration, source: &str) -> bool {
        let version = configuration.version;
        let newer = Arc::new(ActiveConfiguration::new(configuration));
        let held = self.active_configuration.rcu(|held| match held {
            Some(held) if held.configuration.version >= version => Some(held.clone()),
            _ => Some(newer.clone()),
        });
        let has_same_services = held
            .as_ref()
            .is_some_and(|held| held.configuration.services == newer.configuration.services);
        let held = held.map_or(0, |held| held.configuration.version);
        if held >= version {
            return false;
        }
        self.metrics.configuration_version.set(version as i64);
        let now_ms = self.clock.now_ms();
        self.applied_ms.store(now_ms, Ordering::Relaxed);
        info!("configuration: version {version} from {source} replaces {held}");
        if !has_same_services {
            self.apply_directory(&mut self.roster.lock());
        }
        true
    }

    /// Applies all registrations of the roster to the instances and cells.
    pub(crate) fn apply_directory(&self, roster: &mut Roster) {
        let now_ms = self.clock.now_ms();
        // All registrations include the changed ones.
        roster.take_changes();
        let directory = roster.directory();
        let active_configuration = self.active_configuration();
        let cold_limits = ColdLimits::of(self.settings.cold_bound, active_configuration.as_deref());
        {
            let evacuations = self.evacuations.lock();
            self.instances
                .apply_directory(now_ms, &directory, &evacuations, &cold_limits);
        }
        let availability_of = |engine| self.instances.availability(engine);
        let has_new_layout = active_configuration.is_some_and(|active_configuration| {
            self.cells
                .apply_directory(now_ms, &active_configuration, &directory, availability_of)
        });
        self.restate_if_needed(has_new_layout);
    }

    /// Applies the roster's changes since the last call to the instances and cells. The work is in
    /// proportion to the changes, as each change of any upstream reaches every host.
    pub(crate) fn apply_roster_changes(&self, roster: &mut Roster) {
        let changes = roster.take_changes();
        self.apply_registration_changes(roster, changes);
    }

    pub(crate) fn apply_registration_changes(
        &self,
        roster: &mut Roster,
        mut changes: Vec<RegistrationChange>,
    ) {
        let now_ms = self.clock.now_ms();
        let active_configuration = self.active_configuration();
        let cold_limits = ColdLimits::of(self.settings.cold_bound, active_configuration.as_deref());
        {
            let evacuations = self.evacuations.lock();
            let found_cold =
                self.instances
                    .apply_changes(now_ms, &changes, &evacuations, &cold_limits);
            changes.extend(found_cold);
        }
        let Some(active_configuration) = active_configuration else {
            return;
        };
        let availability_of = |engine| self.instances.availability(engine);
        let applied =
            self.cells
                .apply_changes(now_ms, &active_configuration, &changes, availability_of);
        match applied {
            Ok(()) => self.restate_if_needed(false),
            Err(LayoutChanged) => self.apply_directory(roster),
        }
    }

    /// Triggers a statement of the running generations where homes need one.
    fn restate_if_needed(&self, has_new_layout: bool) {
        if has_new_layout || !self.cells.leaving().is_empty() {
            self.cell_duties.restate_now.notify_one();
        }
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.active_configuration.load().is_some() && !self.is_draining()
    }

    /// Upstreams that this host knows.
    pub fn upstream_count(&self) -> usize {
        self.roster.lock().len()
    }

    /// Hosts that this host considers present, itself included.
    pub fn host_count(&self) -> usize {
        self.fleet.host_count()
    }

    /// Data centres that the operator has evacuated, whose upstreams get no work.
    pub fn evacuated_count(&self) -> usize {
        self.evacuations.lock().count()
    }

    /// Contents with restricted admission after upstreams crashed while running them.
    pub fn open_circuit_count(&self) -> usize {
        self.circuit_breakers.restricted()
    }

    /// Upstreams that get only a few new requests per second.
    pub fn cold_count(&self) -> usize {
        self.instances.cold(self.clock.now_ms()).len()
    }

    /// Requests that were retried.
    pub fn retry_count(&self) -> u64 {
        self.metrics.retries.get()
    }

    /// Dispatches of requests for which no connection could be made.
    pub fn unsent_count(&self) -> u64 {
        self.metrics.unsent.get()
    }

    /// What this host's control work has cost since its start.
    pub fn control_counts(&self) -> ControlCounts {
        let traffic = &self.fleet.traffic;
        ControlCounts {
            store_calls: self.metrics.all_store_calls.get(),
            peer_messages: self.metrics.all_peer_messages.get(),
            peer_bytes: traffic.sent_bytes() + traffic.received_bytes(),
        }
    }

    /// Whether this host is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.stops_at_ms().is_some()
    }

    /// When the process ends, once it was told to stop.
    pub(crate) fn stops_at_ms(&self) -> Option<Millis> {
        let stops_at_ms = self.stops_at_ms.load(Ordering::Relaxed);
        (stops_at_ms > 0).then_some(stops_at_ms)
    }

    /// Whether a request may be expected to end before this host stops, if it is stopping.
    pub(crate) fn can_finish(&self, inbound: &InboundRequest) -> bool {
        let Some(stops_at_ms) = self.stops_at_ms() else {
            return true;
        };
        let now_ms = self.clock.now_ms();
        if let Some(generation) = &inbound.generation {
            return can_finish_generation(now_ms, stops_at_ms, generation.output_limit_tokens);
        }
        let route = &inbound.route;
        let request = LateRequest {
            deadline_ms: inbound.deadline_ms,
            is_repeatable: route.kind == RouteKind::Idempotent,
            longest_ms: self
                .longest_responses
                .lock()
                .longest_ms(now_ms, &route.name),
        };
        request.can_finish(now_ms, stops_at_ms.saturating_sub(RESPONSE_RESERVE_MS))
    }

    /// Starts draining: callers are told to disconnect from then on.
    pub(crate) fn drain(&self, stops_at_ms: Millis) {
        self.stops_at_ms.store(stops_at_ms, Ordering::Relaxed);
    }

    /// Applies the settings that may change while the host runs.
    pub fn reload(&self, settings: GatewaySettings) {
        *self.retry_bound.lock() = settings.retries;
        for window in self.retries.lock().values_mut() {
            window.set_bound(settings.retries);
        }
    }

    /// Counts a caller's request towards its service's retry budget.
    pub(crate) fn count_request(&self, now_ms: Millis, service: &str) {
        let mut retries = self.retries.lock();
        if let Some(window) = retries.get_mut(service) {
            window.record_request(now_ms);
            return;
        }
        let mut window = RetryWindow::new(*self.retry_bound.lock());
        window.record_request(now_ms);
        retries.insert(service.to_owned(), window);
    }

    /// Counts a generation that continues on another engine towards its service's retry budget.
    pub(crate) fn count_continuation(&self, now_ms: Millis, service: &str) {
        if let Some(window) = self.retries.lock().get_mut(service) {
            window.record_continuation(now_ms);
        }
    }

    /// The present values of the gauges on the metrics page.
    pub(crate) fn readings(&self) -> Readings {
        let now_ms = self.clock.now_ms();
        let age = |since_ms: Millis| now_ms.saturating_sub(since_ms) as i64;
        let hosts = self.fleet.host_count();
        let (upstreams_updated_ms, upstreams, missing) = {
            let roster = self.roster.lock();
            let missing = roster.unconfirmed().missing;
            (roster.last_update_ms(), roster.len(), missing)
        };
        let mut retries = self.retries.lock();
        let left = retries.iter_mut().map(|(service, window)| {
            let left = window.remaining(now_ms, hosts);
            (service.clone(), left as i64)
        });
        Readings {
            configuration_age_ms: age(self.applied_ms.load(Ordering::Relaxed)),
            upstreams_age_ms: age(upstreams_updated_ms),
            upstreams: upstreams as i64,
            missing: missing as i64,
            hosts: hosts as i64,
            peer_bytes: PeerBytes {
                sent: self.fleet.traffic.sent_bytes(),
                received: self.fleet.traffic.received_bytes(),
            },
            quarantined: self.open_circuit_count() as i64,
            evacuated: self.evacuated_count() as i64,
            cold: self.cold_count() as i64,
            limited: self.instances.limited_count() as i64,
            leaving: self.instances.leaving_count() as i64,
            brittle: self.instances.brittle_count() as i64,
            tunnelled: self.dial.tunnelled_count() as i64,
            backing_off: self.instances.backing_off_count(now_ms) as i64,
            retries_left: left.collect(),
            usage: self.usage(),
        }
    }

    /// Whether a request of this service may be retried; counts the retry.
    pub(crate) fn may_retry(&self, now_ms: Millis, service: &str) -> bool {
        let hosts = self.fleet.host_count();
        let mut retries = self.retries.lock();
        let window = retries.get_mut(service);
        let allowed = window.is_some_and(|window| window.try_retry(now_ms, hosts));
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }
}

/// Used until a configuration is known.
const DEFAULT_HEADER_LIMIT_BYTES: usize = 16_384;
/// The idle time until a configuration is known, and the least that is used afterwards.
const DEFAULT_IDLE_MS: Millis = 15_000;
/// Added to the idle time: a caller may send just as it runs out, and a request that is sent while
/// the gateway closes the connection is lost.
const IDLE_MARGIN_MS: Millis = 2_000;

impl ConnectionLimits for Gateway {
    fn header_limit_bytes(&self) -> usize {
        let held = self.active_configuration.load();
        let limits = held.as_ref().map(|held| held.configuration.limits);
        limits.map_or(DEFAULT_HEADER_LIMIT_BYTES, |limits| limits.header_bytes)
    }

    fn accepts_connection(&self) -> bool {
        let is_accepted = self.surge.accepts(self.clock.now_ms());
        if !is_accepted {
            self.metrics.turned_away_connections.inc();
        }
        is_accepted
    }

    fn max_descriptors(&self) -> usize {
        self.resources.caller_descriptors()
    }

    fn record_turned_away(&self) {
        self.metrics.turned_away_connections.inc();
    }

    fn idle_timeout(&self) -> Duration {
        let held = self.active_configuration.load();
        let limits = held.as_ref().map(|held| held.configuration.limits);
        let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| {
            limits.idle_ms.max(limits.header_ms)
        });
        // Doubled, since the operator may raise the idle time while a connection is open, but the
        // connection's bound was set when it was accepted.
        let doubled_ms = idle_ms.max(DEFAULT_IDLE_MS).saturating_mul(2);
        Duration::from_millis(doubled_ms.saturating_add(IDLE_MARGIN_MS))
    }
}
