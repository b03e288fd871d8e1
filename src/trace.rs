//! Spans sent to a collector by OTLP, where an endpoint is set.

use std::net::SocketAddr;

use opentelemetry::global;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{ExporterBuildError, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Traces could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The exporter can't be built.
    #[error("could not build the exporter of traces")]
    Exporter(#[from] ExporterBuildError),
    /// Another subscriber is in place.
    #[error("could not set up traces twice")]
    AlreadySet,
}

/// Sends what is left when dropped.
pub struct TraceGuard(SdkTracerProvider);

impl Drop for TraceGuard {
    fn drop(&mut self) {
        let _ = self.0.shutdown();
    }
}

/// Sends the spans of the whole process to the collector at `address`.
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
