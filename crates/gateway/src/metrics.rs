//! Metrics of one host.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use fulmarpath_policy::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::resources::Usage;
use crate::supervision::panic_count;

/// Upper bounds of the latency histogram buckets: from the response of a nearby upstream to a
/// caller's timeout.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 300.0, 600.0, 1_200.0, 2_500.0, 6_000.0, 39_000.0,
];
/// Upper bounds of the buckets for pauses between events: from one decode step to the pause after
/// which callers disconnect.
const PAUSE_BUCKETS_MS: [f64; 9] = [
    20.0, 40.0, 60.0, 90.0, 120.0, 180.0, 400.0, 1_000.0, 7_200.0,
];

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// How a migration of a generation ended, at the home that ordered it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TransferLabels {
    pub(crate) end: &'static str,
}

/// Whether a generation resumed on another engine, at the host that relays it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ContinuationLabels {
    pub(crate) went_on: &'static str,
}

/// The outcome of stopping a generation on an engine that was abandoned.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AbandonedRunLabels {
    outcome: &'static str,
}

/// How an upstream ended a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamEndLabels {
    /// How the stream was framed.
    framing: String,
    end: &'static str,
}

/// What became of a request that one cell tried to hand on to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverflowLabels {
    outcome: &'static str,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StoreLabels {
    /// What was read or written.
    pub(crate) what: &'static str,
    pub(crate) outcome: &'static str,
}

/// A kind of entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EntryLabels {
    pub(crate) what: &'static str,
}

/// A task that runs as long as the host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TaskLabels {
    task: &'static str,
}

/// Whether a run is suspected of having crashed its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CrashLabels {
    pub(crate) suspect: &'static str,
}

/// A kind of message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MessageLabels {
    pub(crate) kind: &'static str,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// An attempt to connect to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DialLabels {
    /// `own` for this host's own link, `tunnel` for one over another host.
    path: &'static str,
    outcome: &'static str,
}

/// Counts attempts to connect to upstreams.
#[derive(Debug, Clone, Default)]
pub(crate) struct DialCounts {
    dials: Family<DialLabels, Counter>,
}

impl DialCounts {
    pub(crate) fn direct(&self, is_open: bool) {
        self.count("own", is_open);
    }

    pub(crate) fn tunnel(&self, is_open: bool) {
        self.count("tunnel", is_open);
    }

    fn count(&self, path: &'static str, is_open: bool) {
        let outcome = if is_open { "open" } else { "unreachable" };
        self.dials
            .get_or_create(&DialLabels { path, outcome })
            .inc();
    }
}

/// A kind of buffer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BufferLabels {
    of: &'static str,
}

/// The direction of bytes between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabels {
    direction: &'static str,
}

/// Bytes exchanged with other hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerBytes {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

impl PeerBytes {
    fn set(self, gauges: &Family<DirectionLabels, Gauge>) {
        for (direction, bytes) in [("sent", self.sent), ("received", self.received)] {
            let labels = DirectionLabels { direction };
            gauges.get_or_create(&labels).set(bytes as i64);
        }
    }
}

/// Values sampled when the metrics are scraped.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Readings {
    pub(crate) configuration_age_ms: i64,
    pub(crate) upstreams_age_ms: i64,
    pub(crate) upstreams: i64,
    /// Upstreams among them that the store does not list.
    pub(crate) missing: i64,
    pub(crate) hosts: i64,
    pub(crate) peer_bytes: PeerBytes,
    pub(crate) quarantined: i64,
    pub(crate) evacuated: i64,
    pub(crate) cold: i64,
    pub(crate) limited: i64,
    pub(crate) leaving: i64,
    pub(crate) brittle: i64,
    pub(crate) tunnelled: i64,
    pub(crate) backing_off: i64,
    pub(crate) retries_left: Vec<(String, i64)>,
    pub(crate) usage: Usage,
}

/// All metrics of one host.
pub(crate) struct Metrics {
    pub(crate) requests: Family<EndLabels, Counter>,
    pub(crate) retries: Counter,
    /// Dispatches for which no connection could be made.
    pub(crate) unsent: Counter,
    /// New connections that were closed unread.
    pub(crate) turned_away_connections: Counter,
    pub(crate) store_failures: Counter,
    pub(crate) watch_substitutions: Counter,
    pub(crate) configuration_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) first_byte_ms: Histogram,
    pub(crate) pause_ms: Histogram,
    pub(crate) transfers: Family<TransferLabels, Counter>,
    pub(crate) rebalanced: Family<TransferLabels, Counter>,
    pub(crate) engine_speed_ratio_percent: Gauge,
    pub(crate) continuations: Family<ContinuationLabels, Counter>,
    abandoned_runs: Family<AbandonedRunLabels, Counter>,
    pub(crate) running_copies: Counter,
    pub(crate) stalls: Counter,
    /// Pauses that were too long at the engine and on time for the caller, as events were held.
    pub(crate) hidden_pauses: Counter,
    /// Responses that were passed on while they arrived.
    pub(crate) long_responses: Counter,
    stream_ends: Family<StreamEndLabels, Counter>,
    overflow: Family<OverflowLabels, Counter>,
    border_transfers: Family<TransferLabels, Counter>,
    /// Attempts to connect to upstreams.
    pub(crate) dials: DialCounts,
    /// Tunnels that this host has carried for others.
    pub(crate) tunnels: Counter,
    pub(crate) cold_waits: Counter,
    pub(crate) limit_waits: Counter,
    pub(crate) brittle_waits: Counter,
    pub(crate) protected_room_waits: Counter,
    pub(crate) early_refusals: Counter,
    crashes: Family<CrashLabels, Counter>,
    peer_messages: Family<MessageLabels, Counter>,
    peer_bytes: Family<DirectionLabels, Gauge>,
    /// Sum of `peer_messages` over all kinds.
    pub(crate) all_peer_messages: Counter,
    /// Sum of `store_calls` over all purposes and outcomes.
    pub(crate) all_store_calls: Counter,
    pub(crate) store_calls: Family<StoreLabels, Counter>,
    skipped_entries: Family<EntryLabels, Counter>,
    dropped_answers: Family<EntryLabels, Counter>,
    panics: Counter,
    task_restarts: Family<TaskLabels, Counter>,
    configuration_age_ms: Gauge,
    upstreams_age_ms: Gauge,
    upstreams: Gauge,
    missing: Gauge,
    hosts: Gauge,
    quarantined: Gauge,
    evacuated: Gauge,
    cold: Gauge,
    limited: Gauge,
    leaving: Gauge,
    brittle: Gauge,
    tunnelled: Gauge,
    backing_off: Gauge,
    retries_left: Family<ServiceLabels, Gauge>,
    held_bytes: Family<BufferLabels, Gauge>,
    resident_bytes: Gauge,
    open_descriptors: Gauge,
    worker_delay_ms: Gauge,
    /// Longest delay of a timer since the last scrape.
    longest_delay_ms: AtomicU64,
    registry: Arc<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let requests = Family::default();
        let retries = Counter::default();
        let store_failures = Counter::default();
        let watch_substitutions = Counter::default();
        let configuration_version = Gauge::default();
        let store_era = Gauge::default();
        let first_byte_ms = Histogram::new(LATENCY_BUCKETS_MS);
        let pause_ms = Histogram::new(PAUSE_BUCKETS_MS);
        let mut registry = Registry::with_prefix("fulmarpath_gateway");
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        registry.register("retries", "Retries of requests", retries.clone());
        let unsent = Counter::default();
        let help = "Dispatches of requests for which no connection could be made";
        registry.register("unsent", help, unsent.clone());
        let turned_away_connections = Counter::default();
        let help = "New connections that were closed unread in a surge that overloaded this host";
        registry.register(
            "turned_away_connections",
            help,
            turned_away_connections.clone(),
        );
        let help = "Failed calls to the store";
        registry.register("store_failures", help, store_failures.clone());
        let help = "Times that this host began to watch the store because no watcher was heard of";
        registry.register("watch_substitutions", help, watch_substitutions.clone());
        let help = "Version of the active configuration";
        registry.register("configuration_version", help, configuration_version.clone());
        let help =
            "Latest known era of the store, which increases when it is restored from a backup";
        registry.register("store_era", help, store_era.clone());
        let help = "Time from a request to the first byte of its response";
        registry.register("first_byte_ms", help, first_byte_ms.clone());
        let help = "Pauses between the events of a stream";
        registry.register("pause_ms", help, pause_ms.clone());
        let transfers = Family::default();
        let help = "Migrations off leaving engines that this host ordered, by outcome";
        registry.register("transfers", help, transfers.clone());
        let rebalanced = Family::default();
        let help = "Migrations between engines that stay that this host ordered, by outcome";
        registry.register("rebalanced_generations", help, rebalanced.clone());
        let engine_speed_ratio_percent = Gauge::default();
        let help = "Largest ratio of the slowest to the fastest engine in a cell of this home";
        registry.register(
            "engine_speed_ratio_percent",
            help,
            engine_speed_ratio_percent.clone(),
        );
        let continuations = Family::default();
        let help = "Generations that this host asked another engine to resume";
        registry.register("continuations", help, continuations.clone());
        let abandoned_runs = Family::default();
        let help = "Generations that engines were asked to stop after they were abandoned";
        registry.register("abandoned_runs", help, abandoned_runs.clone());
        let running_copies = Counter::default();
        let help = "Generations that started with a running copy";
        registry.register("running_copies", help, running_copies.clone());
        let stalls = Counter::default();
        let help =
            "Pauses over the route's target on one engine, caused by preemption or by its link";
        registry.register("stalls", help, stalls.clone());
        let hidden_pauses = Counter::default();
        let help = "Pauses over the route's target that held events have shortened to within it";
        registry.register("hidden_pauses", help, hidden_pauses.clone());
        let long_responses = Counter::default();
        let help = "Responses that were too long to be buffered, and can't be retried";
        registry.register("long_responses", help, long_responses.clone());
        let stream_ends = Family::default();
        let help = "Streams that their engines ended, by framing and by how they ended";
        registry.register("stream_ends", help, stream_ends.clone());
        let overflow = Family::default();
        let help = "Requests between homes of cells of one service, by outcome";
        registry.register("overflow", help, overflow.clone());
        let border_transfers = Family::default();
        let help = "Migrations to engines of another cell that this host ordered, by outcome";
        registry.register("border_transfers", help, border_transfers.clone());
        let crashes = Family::default();
        let help = "Runs that ended because their upstream ended without notice";
        registry.register("crashed_runs", help, crashes.clone());
        let skipped_entries = Family::default();
        let help = "Unusable entries in the store, counted at each read";
        registry.register("skipped_entries", help, skipped_entries.clone());
        let dropped_answers = Family::default();
        let help = "Responses of the store that were older than the known state";
        registry.register("dropped_answers", help, dropped_answers.clone());
        let panics = Counter::default();
        registry.register("panics", "Panics of the process", panics.clone());
        let task_restarts = Family::default();
        let help = "Background tasks that were started again after a panic";
        registry.register("task_restarts", help, task_restarts.clone());
        let store_calls = Family::default();
        let help = "Calls to the store by purpose and outcome";
        registry.register("store_calls", help, store_calls.clone());
        let peer_messages = Family::default();
        let help = "Messages from other hosts, by kind";
        registry.register("peer_messages", help, peer_messages.clone());
        let peer_bytes = Family::default();
        let help = "Bytes exchanged with other hosts since the start";
        registry.register("peer_bytes", help, peer_bytes.clone());
        let configuration_age_ms = Gauge::default();
        let help = "Time since the active configuration was received";
        registry.register("configuration_age_ms", help, configuration_age_ms.clone());
        let upstreams_age_ms = Gauge::default();
        let help = "Time since the list of upstreams was last confirmed by the store or a peer";
        registry.register("upstreams_age_ms", help, upstreams_age_ms.clone());
        let upstreams = Gauge::default();
        registry.register("upstreams", "Known upstreams", upstreams.clone());
        let missing = Gauge::default();
        let help = "Upstreams that are kept although the store has no entry of them";
        registry.register("missing_upstreams", help, missing.clone());
        let hosts = Gauge::default();
        registry.register("hosts", "Hosts considered alive", hosts.clone());
        let quarantined = Gauge::default();
        let help = "Contents that are quarantined after upstreams crashed on them";
        registry.register("quarantined", help, quarantined.clone());
        let evacuated = Gauge::default();
        let help = "Data centres whose upstreams receive no work by the operator's order";
        registry.register("evacuated_data_centres", help, evacuated.clone());
        let cold = Gauge::default();
        let help = "Upstreams that are cold and receive only a few new requests per second";
        registry.register("cold_upstreams", help, cold.clone());
        let limited = Gauge::default();
        let help = "Upstreams that have advertised a limit in their responses to this host";
        registry.register("limited_upstreams", help, limited.clone());
        let leaving = Gauge::default();
        let help = "Upstreams that have announced their departure in their responses to this host";
        registry.register("leaving_upstreams", help, leaving.clone());
        let backing_off = Gauge::default();
        let help = "Upstreams that have refused this host and asked it to back off";
        registry.register("resting_upstreams", help, backing_off.clone());
        let brittle = Gauge::default();
        let help = "Upstreams that have told this host that they are brittle";
        registry.register("brittle_upstreams", help, brittle.clone());
        let tunnelled = Gauge::default();
        let help = "Upstreams that this host reaches through tunnels over other hosts";
        registry.register("tunnelled_upstreams", help, tunnelled.clone());
        let dials = DialCounts::default();
        let help = "Attempts to connect to upstreams, by path and outcome";
        registry.register("dials", help, dials.dials.clone());
        let tunnels = Counter::default();
        let help = "Tunnels to upstreams that this host has carried for other hosts";
        registry.register("tunnels", help, tunnels.clone());
        let cold_waits = Counter::default();
        let help = "Deferred start requests at cold upstreams";
        registry.register("cold_waits", help, cold_waits.clone());
        let limit_waits = Counter::default();
        let help = "Deferred start requests at upstreams that advertise a limit";
        registry.register("limit_waits", help, limit_waits.clone());
        let brittle_waits = Counter::default();
        let help = "Deferred start requests at brittle upstreams";
        registry.register("brittle_waits", help, brittle_waits.clone());
        let protected_room_waits = Counter::default();
        let help = "Generations that lacked only room kept for more urgent ones";
        registry.register("protected_room_waits", help, protected_room_waits.clone());
        let early_refusals = Counter::default();
        let help = "Generations refused at once because they could not start in time";
        registry.register("early_refusals", help, early_refusals.clone());
        let retries_left = Family::default();
        let help = "Remaining retry budget of this host for a service";
        registry.register("retries_left", help, retries_left.clone());
        let held_bytes = Family::default();
        let help = "Bytes that the buffers of a kind hold";
        registry.register("held_bytes", help, held_bytes.clone());
        let resident_bytes = Gauge::default();
        let help = "Memory that the process has resident";
        registry.register("resident_bytes", help, resident_bytes.clone());
        let open_descriptors = Gauge::default();
        let help = "Descriptors that the process has open";
        registry.register("open_descriptors", help, open_descriptors.clone());
        let worker_delay_ms = Gauge::default();
        let help = "Longest delay of a timer since the last scrape, in ms";
        registry.register("worker_delay_ms", help, worker_delay_ms.clone());
        Self {
            transfers,
            rebalanced,
            engine_speed_ratio_percent,
            continuations,
            abandoned_runs,
            running_copies,
            stalls,
            hidden_pauses,
            long_responses,
            stream_ends,
            overflow,
            border_transfers,
            crashes,
            store_calls,
            peer_messages,
            peer_bytes,
            all_peer_messages: Counter::default(),
            all_store_calls: Counter::default(),
            skipped_entries,
            dropped_answers,
            panics,
            task_restarts,
            configuration_age_ms,
            upstreams_age_ms,
            upstreams,
            missing,
            hosts,
            quarantined,
            evacuated,
            cold,
            limited,
            leaving,
            brittle,
            tunnelled,
            backing_off,
            dials,
            tunnels,
            cold_waits,
            limit_waits,
            brittle_waits,
            protected_room_waits,
            early_refusals,
            retries_left,
            held_bytes,
            resident_bytes,
            open_descriptors,
            worker_delay_ms,
            longest_delay_ms: AtomicU64::new(0),
            requests,
            retries,
            unsent,
            turned_away_connections,
            store_failures,
            watch_substitutions,
            configuration_version,
            store_era,
            first_byte_ms,
            pause_ms,
            registry: Arc::new(registry),
        }
    }
}

impl Metrics {
    /// Counts a request to another engine to resume a generation.
    pub(crate) fn continuation(&self, went_on: &'static str) {
        let labels = ContinuationLabels { went_on };
        self.continuations.get_or_create(&labels).inc();
    }

    /// Counts a generation that an engine was asked to stop after it was abandoned.
    pub(crate) fn abandoned_run(&self, outcome: &'static str) {
        self.abandoned_runs
            .get_or_create(&AbandonedRunLabels { outcome })
            .inc();
    }

    /// Counts a stream that its engine ended.
    pub(crate) fn stream_end(&self, framing: &str, end: &'static str) {
        let framing = framing.to_owned();
        let labels = StreamEndLabels { framing, end };
        self.stream_ends.get_or_create(&labels).inc();
    }

    /// Counts a request that a home tried to hand on to another one, or has taken from another one.
    pub(crate) fn overflow(&self, outcome: &'static str) {
        self.overflow
            .get_or_create(&OverflowLabels { outcome })
            .inc();
    }

    /// Counts a migration to an engine of another cell.
    pub(crate) fn border_transfer(&self, end: &'static str) {
        let labels = TransferLabels { end };
        self.border_transfers.get_or_create(&labels).inc();
    }

    /// Counts a run that ended because its upstream did.
    pub(crate) fn crash(&self, is_suspect: bool) {
        let suspect = if is_suspect { "yes" } else { "no" };
        self.crashes.get_or_create(&CrashLabels { suspect }).inc();
    }

    /// Counts a call to the store.
    pub(crate) fn store_call(&self, what: &'static str, outcome: &'static str) {
        let labels = StoreLabels { what, outcome };
        self.store_calls.get_or_create(&labels).inc();
        self.all_store_calls.inc();
    }

    /// Counts a message from another host.
    pub(crate) fn peer_message(&self, kind: &'static str) {
        let labels = MessageLabels { kind };
        self.peer_messages.get_or_create(&labels).inc();
        self.all_peer_messages.inc();
    }

    /// Counts unusable entries of a kind.
    pub(crate) fn skipped_entries(&self, what: &'static str, count: u64) {
        let labels = EntryLabels { what };
        self.skipped_entries.get_or_create(&labels).inc_by(count);
    }

    /// Counts a dropped response of the store.
    pub(crate) fn dropped_answer(&self, what: &'static str) {
        let labels = EntryLabels { what };
        self.dropped_answers.get_or_create(&labels).inc();
    }

    /// Counts a background task that is started again after a panic.
    pub(crate) fn task_restart(&self, task: &'static str) {
        let labels = TaskLabels { task };
        self.task_restarts.get_or_create(&labels).inc();
    }

    /// Records how late a timer fired.
    pub(crate) fn record_worker_delay(&self, delay_ms: Millis) {
        self.longest_delay_ms.fetch_max(delay_ms, Ordering::Relaxed);
    }

    fn set_usage(&self, usage: Usage) {
        let held = [
            ("request_bodies", usage.request_body_bytes),
            ("response_bodies", usage.response_body_bytes),
            ("streams", usage.stream_bytes),
        ];
        for (of, bytes) in held {
            let gauge = self.held_bytes.get_or_create(&BufferLabels { of });
            gauge.set(bytes as i64);
        }
        self.resident_bytes.set(usage.resident_bytes as i64);
        self.open_descriptors.set(usage.open_descriptors as i64);
        let delay_ms = self.longest_delay_ms.swap(0, Ordering::Relaxed);
        self.worker_delay_ms.set(delay_ms as i64);
    }

    /// The metrics page in text format.
    pub(crate) fn page(&self, readings: &Readings) -> String {
        self.configuration_age_ms.set(readings.configuration_age_ms);
        self.upstreams_age_ms.set(readings.upstreams_age_ms);
        self.upstreams.set(readings.upstreams);
        self.missing.set(readings.missing);
        self.hosts.set(readings.hosts);
        readings.peer_bytes.set(&self.peer_bytes);
        self.quarantined.set(readings.quarantined);
        self.evacuated.set(readings.evacuated);
        self.cold.set(readings.cold);
        self.limited.set(readings.limited);
        self.leaving.set(readings.leaving);
        self.brittle.set(readings.brittle);
        self.tunnelled.set(readings.tunnelled);
        self.backing_off.set(readings.backing_off);
        for (service, left) in &readings.retries_left {
            let service = service.clone();
            let labels = ServiceLabels { service };
            self.retries_left.get_or_create(&labels).set(*left);
        }
        self.set_usage(readings.usage);
        self.panics.inner().store(panic_count(), Ordering::Relaxed);
        let mut page = String::new();
        if encode(&mut page, &self.registry).is_err() {
            spdlog::warn!("metrics: could not write the page");
        }
        page
    }
}
