//! Tracks one request from its arrival to its end and writes its log line.

use std::sync::Arc;

use fulmarpath_policy::{ContentKey, EngineSnapshot, Millis, Verdict};
use fulmarpath_wire::CellKey;
use hyper::StatusCode;
use spdlog::info;

use crate::configuration::{Route, RouteKind};
use crate::gateway::Gateway;
use crate::head::{GenerationHead, PromptPart};
use crate::key::run_key;
use crate::metrics::EndLabels;
use crate::problem::Problem;
use crate::record::{Dispatch, REQUEST_PREFIX, RequestRecord, Shortage, Size};
use crate::relay::framing::Framing;
use crate::upstreams::instance::ChosenUpstream;

/// Maximum number of parts of a prompt in a log line. Callers send few.
const MAX_LOGGED_PARTS: usize = 8;

/// The shared parts of a prompt that log lines name.
pub(crate) fn logged_parts(generation: &GenerationHead) -> &[PromptPart] {
    let parts = generation.shared_parts();
    &parts[..parts.len().min(MAX_LOGGED_PARTS)]
}

/// Outcome of a dispatch whose response has a success status.
pub(crate) const ANSWERED: &str = "answered";

impl RouteKind {
    /// Its name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// Tracks one request from its arrival to its end. If dropped without an end, the caller has left.
pub(crate) struct RequestTracker {
    gateway: Arc<Gateway>,
    pub(crate) id: String,
    content: Option<ContentKey>,
    quarantined_by: Option<ContentKey>,
    pub(crate) arrived_ms: Millis,
    /// Events that were sent to the caller.
    pub(crate) events: u32,
    placed_ms: Option<Millis>,
    size: Option<Size>,
    /// Ids of the shared parts of its prompt, for log lines.
    parts: Vec<String>,
    engine_snapshot: Option<EngineSnapshot>,
    /// The cell that has taken it from the one in which it arrived.
    taken_by: Option<CellKey>,
    /// Why it found no room, if it didn't at once.
    shortages: Vec<Shortage>,
    first_event_ms: Option<Millis>,
    longest_pause_ms: Millis,
    event_at_ms: Millis,
    version: u64,
    route: String,
    kind: &'static str,
    dispatches: Vec<Dispatch>,
    ended: bool,
}

impl RequestTracker {
    pub(crate) fn new(gateway: Arc<Gateway>, arrived_ms: Millis) -> Self {
        Self {
            version: gateway.configuration_version(),
            gateway,
            id: String::new(),
            content: None,
            quarantined_by: None,
            arrived_ms,
            events: 0,
            placed_ms: None,
            size: None,
            parts: Vec::new(),
            engine_snapshot: None,
            taken_by: None,
            shortages: Vec::new(),
            first_event_ms: None,
            longest_pause_ms: 0,
            event_at_ms: 0,
            route: String::new(),
            kind: "unknown",
            dispatches: Vec::new(),
            ended: false,
        }
    }

    /// Sets the route.
    pub(crate) fn set_route(&mut self, route: &Route) {
        self.route.clone_from(&route.name);
        self.kind = route.kind.name();
    }

    /// Sets the key of the request's content and organisation.
    pub(crate) fn set_content(&mut self, content: ContentKey) {
        self.content = Some(content);
    }

    /// Sets the size of the requested generation and the shared parts of its prompt.
    pub(crate) fn set_generation(&mut self, generation: &GenerationHead) {
        self.size = Some(Size {
            prompt_tokens: generation.prompt_tokens,
            limit_tokens: generation.output_limit_tokens,
            hint_tokens: generation.length_hint_tokens,
        });
        let parts = logged_parts(generation).iter();
        self.parts = parts.map(|part| format!("{:x}", part.id)).collect();
    }

    /// Sets the state of the engine on which the cell's home based its selection.
    pub(crate) fn set_engine_snapshot(&mut self, snapshot: EngineSnapshot) {
        self.engine_snapshot = Some(snapshot);
    }

    /// Sets the cell that has taken the request; `None` if that is the one in which it arrived.
    pub(crate) fn set_taken_by(&mut self, cell: Option<CellKey>) {
        self.taken_by = cell;
    }

    /// Records why it found no room; true if that is new.
    pub(crate) fn add_shortage(&mut self, shortage: Shortage) -> bool {
        let is_new = !self.shortages.contains(&shortage);
        self.shortages.extend(is_new.then_some(shortage));
        is_new
    }

    /// Records when an upstream was first selected for the request.
    pub(crate) fn mark_placed(&mut self, now_ms: Millis) {
        let since_ms = now_ms.saturating_sub(self.arrived_ms);
        self.placed_ms.get_or_insert(since_ms);
    }

    /// Records events sent to the caller; returns the pause since the previous ones, if there were
    /// any.
    pub(crate) fn record_events(&mut self, now_ms: Millis, events: u32) -> Option<Millis> {
        let is_first = self.events == 0;
        self.events += events;
        let last_ms = std::mem::replace(&mut self.event_at_ms, now_ms);
        if is_first {
            self.first_event_ms = Some(now_ms.saturating_sub(self.arrived_ms));
            return None;
        }
        let pause_ms = now_ms.saturating_sub(last_ms);
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        Some(pause_ms)
    }

    /// Time from the placement to the first event, if the first dispatch produced it.
    pub(crate) fn first_after_placed_ms(&self) -> Option<Millis> {
        let first = self.dispatches.first()?;
        let first_ms = self.first_event_ms?.checked_sub(self.placed_ms?)?;
        (first.outcome == ANSWERED).then_some(first_ms)
    }

    /// When events were last sent to the caller.
    pub(crate) fn last_event_ms(&self) -> Option<Millis> {
        (self.events > 0).then_some(self.event_at_ms)
    }

    /// Records that the request is being sent to an upstream.
    pub(crate) fn begin_dispatch(&mut self, dispatch: Dispatch) {
        self.dispatches.push(dispatch);
    }

    /// When the request was last sent to an upstream.
    pub(crate) fn last_dispatch_ms(&self) -> Millis {
        let since_ms = self.dispatches.last().map_or(0, |dispatch| dispatch.at_ms);
        self.arrived_ms + since_ms
    }

    /// Sets the outcome of the last dispatch.
    pub(crate) fn end_dispatch(&mut self, outcome: &'static str) {
        if let Some(last) = self.dispatches.last_mut() {
            outcome.clone_into(&mut last.outcome);
        }
    }

    /// Sets the framing of the last dispatch's response.
    pub(crate) fn set_framing(&mut self, framing: Framing) {
        if let Some(last) = self.dispatches.last_mut() {
            last.framing = Some(framing.name().to_owned());
        }
    }

    /// Records how the upstream that answered last ended its stream. A later dispatch may have been
    /// refused, if it was to replace a silent engine.
    pub(crate) fn end_stream(&mut self, end: &'static str) {
        let mut dispatches = self.dispatches.iter_mut().rev();
        let answered = dispatches.find(|dispatch| dispatch.outcome == ANSWERED);
        let Some(dispatch) = answered else { return };
        dispatch.stream_end = Some(end.to_owned());
        let framing = dispatch.framing.as_deref().unwrap_or_default();
        self.gateway.metrics.stream_end(framing, end);
    }

    /// The problem to report if this host stops before the request has a response.
    pub(crate) fn problem_at_stop(&self) -> Problem {
        match self.dispatches.is_empty() {
            true => Problem::Stopping,
            false => Problem::Stopped,
        }
    }

    /// Ends the request with a response of the gateway itself.
    pub(crate) fn end_with_problem(&mut self, problem: Problem) {
        if let Problem::Quarantined { content, .. } = problem {
            self.quarantined_by = Some(content);
        }
        self.end(problem.name(), problem.status().as_u16());
    }

    /// Ends the request: counts it and writes its log line.
    pub(crate) fn end(&mut self, outcome: &'static str, status: u16) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        // Refusals, and callers that leave, don't show how long a response takes.
        if outcome == ANSWERED || status == StatusCode::GATEWAY_TIMEOUT {
            self.record_response_time();
        }
        let kind = self.kind;
        let labels = EndLabels { kind, outcome };
        self.gateway.metrics.requests.get_or_create(&labels).inc();
        match serde_json::to_string(&self.record(outcome, status)) {
            Ok(line) => info!("{REQUEST_PREFIX}{line}"),
            Err(error) => {
                let id = &self.id;
                spdlog::warn!("log: could not serialize the record of request {id}: {error}")
            }
        }
    }

    fn record_response_time(&self) {
        let now_ms = self.gateway.clock.now_ms();
        let took_ms = now_ms.saturating_sub(self.arrived_ms);
        let mut longest_responses = self.gateway.longest_responses.lock();
        longest_responses.record(now_ms, &self.route, took_ms);
    }

    fn record(&self, outcome: &str, status: u16) -> RequestRecord {
        let name = |content: ContentKey| format!("{:016x}", content.0);
        RequestRecord {
            request: self.id.clone(),
            run: format!("{:016x}", run_key(&self.id).0),
            content: self.content.map(name),
            quarantined_by: self.quarantined_by.map(name),
            route: self.route.clone(),
            kind: self.kind.to_owned(),
            version: self.version,
            upstreams: self.gateway.roster.lock().revision(),
            outcome: outcome.to_owned(),
            status,
            took_ms: self.gateway.clock.now_ms().saturating_sub(self.arrived_ms),
            placed_ms: self.placed_ms,
            size: self.size,
            parts: self.parts.clone(),
            taken_by: self.taken_by.map(|cell| format!("{:016x}", cell.0)),
            seen: self.engine_snapshot,
            shortages: self.shortages.clone(),
            first_event_ms: self.first_event_ms,
            longest_pause_ms: self.longest_pause_ms,
            events: self.events,
            dispatches: self.dispatches.clone(),
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.end("caller_left", 0);
    }
}

/// A request in flight at an upstream. Unless another verdict is set, it counts as `Unheard` when
/// dropped.
pub(crate) struct InFlightRequest {
    gateway: Arc<Gateway>,
    pub(crate) chosen: ChosenUpstream,
    verdict: Verdict,
}

impl InFlightRequest {
    pub(crate) fn new(gateway: Arc<Gateway>, chosen: ChosenUpstream) -> Self {
        Self {
            gateway,
            chosen,
            verdict: Verdict::Unheard,
        }
    }

    /// Sets the verdict on the exchange.
    pub(crate) fn set_verdict(&mut self, verdict: Verdict) {
        self.verdict = verdict;
    }
}

impl Gateway {
    /// Ends the count of a request at an upstream to which it is not sent after all.
    pub(crate) fn release(self: &Arc<Self>, chosen: ChosenUpstream) {
        drop(InFlightRequest::new(self.clone(), chosen));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        let instances = &self.gateway.instances;
        instances.end(now_ms, &self.chosen, self.verdict);
    }
}
