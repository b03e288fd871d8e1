//! Counters and histograms of one host.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency histograms: from a near upstream's answer to a caller's patience.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 300.0, 600.0, 1_200.0, 2_500.0, 6_000.0, 39_000.0,
];
/// Upper bounds of the pauses between events: a step of an engine to what callers give up at.
const PAUSE_BUCKETS_MS: [f64; 9] = [
    20.0, 40.0, 60.0, 90.0, 120.0, 180.0, 400.0, 1_000.0, 7_200.0,
];

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// What one host counts.
pub(crate) struct Metrics {
    pub(crate) requests: Family<EndLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) store_failures: Counter,
    pub(crate) configuration_version: Gauge,
    pub(crate) first_byte_ms: Histogram,
    pub(crate) pause_ms: Histogram,
    registry: Arc<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let requests = Family::default();
        let retries = Counter::default();
        let store_failures = Counter::default();
        let configuration_version = Gauge::default();
        let first_byte_ms = Histogram::new(LATENCY_BUCKETS_MS);
        let pause_ms = Histogram::new(PAUSE_BUCKETS_MS);
        let mut registry = Registry::with_prefix("fulmarpath_gateway");
        registry.register("requests", "Requests by kind and end", requests.clone());
        registry.register("retries", "Requests sent once more", retries.clone());
        let help = "Failed calls to the store";
        registry.register("store_failures", help, store_failures.clone());
        let help = "The configuration in force";
        registry.register("configuration_version", help, configuration_version.clone());
        let help = "Time from a request to the first byte of its answer";
        registry.register("first_byte_ms", help, first_byte_ms.clone());
        let help = "Pauses between the events of a stream";
        registry.register("pause_ms", help, pause_ms.clone());
        Self {
            requests,
            retries,
            store_failures,
            configuration_version,
            first_byte_ms,
            pause_ms,
            registry: Arc::new(registry),
        }
    }
}

impl Metrics {
    /// The page for the collector of metrics.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        if encode(&mut page, &self.registry).is_err() {
            spdlog::warn!("metrics: could not write the page");
        }
        page
    }
}
