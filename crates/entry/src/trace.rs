//! Distributed trace of a request across caller, host, home and engine.

use std::collections::HashMap;

use hyper::header::HeaderMap;
use opentelemetry::global;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Header that carries the trace (W3C Trace Context).
const TRACEPARENT: &str = "traceparent";

/// Position of a request in its trace.
#[derive(Debug, Clone)]
pub(crate) struct RequestTrace {
    pub(crate) span: Span,
    /// The header as the caller sent it; passed on unchanged if no spans are exported.
    received: Option<String>,
}

impl RequestTrace {
    /// Opens the span of a new request, as a child of its caller's span.
    pub(crate) fn start(headers: &HeaderMap, service: &str) -> Self {
        let received = headers
            .get(TRACEPARENT)
            .and_then(|value| value.to_str().ok());
        let received = received.map(str::to_owned);
        let span = tracing::info_span!("entry.request", service);
        if let Some(parent) = &received {
            let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.clone())]);
            let context =
                global::get_text_map_propagator(|propagator| propagator.extract(&carrier));
            let _ = span.set_parent(context);
        }
        Self { span, received }
    }

    /// The `traceparent` to send to the next hop below `span`.
    pub(crate) fn traceparent(&self, span: &Span) -> Option<String> {
        let mut carrier = HashMap::new();
        global::get_text_map_propagator(|propagator| {
            propagator.inject_context(&span.context(), &mut carrier)
        });
        carrier
            .remove(TRACEPARENT)
            .or_else(|| self.received.clone())
    }
}
