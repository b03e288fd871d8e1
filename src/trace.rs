//! Export of tracing spans to an OTLP collector.

use std::net::SocketAddr;

use opentelemetry::global;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{ExporterBuildError, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Tracing could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The exporter can't be built.
    #[error("could not build the span exporter")]
    Exporter(#[from] ExporterBuildError),
    /// A global subscriber is already installed.
    #[error("could not set up tracing: a global subscriber is already installed")]
    AlreadySet,
}

/// Exports the remaining spans when dropped.
pub struct TraceGuard(SdkTracerProvider);

impl Drop for TraceGuard {
    fn drop(&mut self) {
        let _ = self.0.shutdown();
    }
}

/// Exports the spans of the process to the collector at `address`.
///
/// # Errors
/// [`TraceError`]
pub fn init(address: SocketAddr, host: &str) -> Result<TraceGuard, TraceError> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("http://{address}/v1/traces"))
        .build()?;
    let resource = Resource::builder()
        .with_service_name(format!("fulmarpath/{host}"))
        .build();
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_resource(resource)
        .build();
    global::set_text_map_propagator(TraceContextPropagator::new());
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("fulmarpath"));
    let installed = tracing_subscriber::registry().with(layer).try_init();
    installed.map_err(|_| TraceError::AlreadySet)?;
    Ok(TraceGuard(provider))
}
