//! The trace of a request over its hops: caller, host, home, engine.

use std::collections::HashMap;

use hyper::header::HeaderMap;
use opentelemetry::global;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// The header that carries a trace (W3C Trace Context).
const TRACEPARENT: &str = "traceparent";

/// Where a request stands in its trace.
#[derive(Debug, Clone)]
pub(crate) struct Hop {
    pub(crate) span: Span,
    /// As the caller sent it; goes on unchanged where no spans are exported.
    received: Option<String>,
}

impl Hop {
    /// The span of a request that has just come in, below its caller's.
    pub(crate) fn start(headers: &HeaderMap, service: &str) -> Self {
        let received = headers
            .get(TRACEPARENT)
            .and_then(|value| value.to_str().ok());
        let received = received.map(str::to_owned);
        let span = tracing::info_span!("entry.request", service);
        if let Some(parent) = &received {
            let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.clone())]);
            let context = global::get_text_map_propagator(|one| one.extract(&carrier));
            let _ = span.set_parent(context);
        }
        Self { span, received }
    }

    /// What the next hop below `span` is to be told.
    pub(crate) fn traceparent(&self, span: &Span) -> Option<String> {
        let mut carrier = HashMap::new();
        global::get_text_map_propagator(|one| one.inject_context(&span.context(), &mut carrier));
        carrier
            .remove(TRACEPARENT)
            .or_else(|| self.received.clone())
    }
}
