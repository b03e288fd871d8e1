//! Prometheus metrics of a host's decisions and of what it relayed.

use std::collections::HashSet;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of a caller. Organisations beyond [`MAX_ORGANISATION_LABELS`] share one label, which
/// bounds the size of the page.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallerLabels {
    pub(crate) organisation: String,
    pub(crate) service: String,
}

/// The label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    pub(crate) service: String,
}

/// The label of a kind of refusal or recovery.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    pub(crate) kind: &'static str,
}

/// The label of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UpstreamLabel {
    pub(crate) upstream: String,
}

const MAX_ORGANISATION_LABELS: usize = 200;
const TOKEN_GAP_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 15.0, 20.0, 25.0, 35.0, 50.0, 75.0, 100.0, 250.0, 1_000.0, 5_000.0,
];
const FIRST_TOKEN_BUCKETS_MS: [f64; 9] = [
    50.0, 100.0, 250.0, 500.0, 1_000.0, 1_500.0, 3_000.0, 6_000.0, 12_000.0,
];

type MsHistogram = Family<ServiceLabel, Histogram, fn() -> Histogram>;

/// All metrics of a host.
pub struct Metrics {
    registry: Registry,
    organisations: Mutex<HashSet<String>>,
    pub(crate) tokens: Family<CallerLabels, Counter>,
    pub(crate) stall_ms: Family<CallerLabels, Counter>,
    pub(crate) answers: Family<CallerLabels, Counter>,
    pub(crate) refusals: Family<KindLabel, Counter>,
    pub(crate) recoveries: Family<KindLabel, Counter>,
    pub(crate) between_tokens_ms: MsHistogram,
    pub(crate) first_token_ms: MsHistogram,
    pub(crate) engine_running: Family<UpstreamLabel, Gauge>,
    pub(crate) engine_queued: Family<UpstreamLabel, Gauge>,
    pub(crate) engine_used_tokens: Family<UpstreamLabel, Gauge>,
    pub(crate) engine_preemptions: Family<UpstreamLabel, Gauge>,
    pub(crate) cut_by_stop: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("fulmarpath"),
            organisations: Mutex::default(),
            tokens: Family::default(),
            stall_ms: Family::default(),
            answers: Family::default(),
            refusals: Family::default(),
            recoveries: Family::default(),
            between_tokens_ms: Family::new_with_constructor(|| {
                Histogram::new(TOKEN_GAP_BUCKETS_MS)
            }),
            first_token_ms: Family::new_with_constructor(|| Histogram::new(FIRST_TOKEN_BUCKETS_MS)),
            engine_running: Family::default(),
            engine_queued: Family::default(),
            engine_used_tokens: Family::default(),
            engine_preemptions: Family::default(),
            cut_by_stop: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("tokens", "Tokens relayed from engines", self.tokens.clone());
        registry.register(
            "stall_ms",
            "Stall time in ms: beyond 1,500 ms to the first token, beyond 250 ms between two",
            self.stall_ms.clone(),
        );
        registry.register("answers", "Completed generations", self.answers.clone());
        registry.register(
            "refusals",
            "Requests that were refused or failed, by kind of problem",
            self.refusals.clone(),
        );
        registry.register(
            "recoveries",
            "Generations continued over a new connection or on another engine, by kind",
            self.recoveries.clone(),
        );
        registry.register(
            "between_tokens_ms",
            "Time between two successive tokens of a generation, in ms",
            self.between_tokens_ms.clone(),
        );
        registry.register(
            "first_token_ms",
            "Time from the receipt of a request to its first token, in ms",
            self.first_token_ms.clone(),
        );
        registry.register(
            "engine_running",
            "Generations with a permit, for engines whose home is this host",
            self.engine_running.clone(),
        );
        registry.register(
            "engine_queued",
            "Permit requests queued at the home plus generations waiting in the engine, \
             for engines whose home is this host",
            self.engine_queued.clone(),
        );
        registry.register(
            "engine_used_tokens",
            "KV cache in use in tokens, the larger of permits' and the engine's own count, \
             for engines whose home is this host",
            self.engine_used_tokens.clone(),
        );
        registry.register(
            "engine_preemptions",
            "Preemptions since the engine started, as it reports them, \
             for engines whose home is this host",
            self.engine_preemptions.clone(),
        );
        registry.register(
            "cut_by_stop",
            "Generations interrupted by a shutdown",
            self.cut_by_stop.clone(),
        );
    }

    pub(crate) fn caller_labels(&self, organisation: &str, service: &str) -> CallerLabels {
        let mut known = self.organisations.lock();
        let organisation = if known.contains(organisation) || known.len() < MAX_ORGANISATION_LABELS
        {
            known.insert(organisation.to_owned());
            organisation
        } else {
            "other"
        };
        CallerLabels {
            organisation: organisation.to_owned(),
            service: service.to_owned(),
        }
    }

    pub(crate) fn record_refusal(&self, kind: &'static str) {
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    pub(crate) fn record_recovery(&self, kind: &'static str) {
        self.recoveries.get_or_create(&KindLabel { kind }).inc();
    }

    /// The metrics page in Prometheus text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        let _ = encode(&mut page, &self.registry);
        page
    }
}
