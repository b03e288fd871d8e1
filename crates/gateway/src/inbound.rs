//! Reads and checks callers' requests before they may be sent to an upstream.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_policy::{ContentKey, Millis, OrganisationKey, RequestContents};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use crate::configuration::{ActiveConfiguration, Organisation, Route, RouteKind};
use crate::gateway::Gateway;
use crate::head::{GenerationHead, HeadError, RequestHead};
use crate::hop;
use crate::problem::Problem;
use crate::resources::{ReadLimits, UnreadBody};
use crate::tracker::RequestTracker;

/// Time for reading the body of a request that states no deadline, and of one that is refused.
const BODY_TIMEOUT_MS: Millis = 30_000;
/// A request waits for room for its body no longer than this part of its time.
const ROOM_WAIT_PART: Millis = 4;
/// Longest wait for room. Callers give up a host that has not read a request after one second.
const MAX_ROOM_WAIT_MS: Millis = 800;
/// How long a refusal waits for the end of the body. Some callers read nothing before that.
const DISCARD_WAIT: Duration = Duration::from_millis(1_000);

/// A request that may be sent to an upstream.
pub(crate) struct InboundRequest {
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) organisation: Option<String>,
    /// The priority of the organisation, or else of the route; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) generation: Option<GenerationHead>,
    /// What in it may crash upstreams.
    pub(crate) contents: RequestContents,
    /// The last event that the caller has, if the stream may be resumed.
    pub(crate) last_event: Option<u64>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Deadline set by the caller or by the route's timeout, whichever is earlier.
    pub(crate) deadline_ms: Millis,
}

impl InboundRequest {
    /// Whether the request may run again after `runs` runs.
    pub(crate) fn may_run_again(&self, runs: u32) -> bool {
        let is_repeatable = match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.route.can_resume,
        };
        is_repeatable && runs < self.route.max_attempts
    }

    /// Whether a stream without any event may answer it: the caller may have all of them already.
    pub(crate) fn may_have_no_events(&self) -> bool {
        self.last_event.is_some() || self.method == Method::HEAD
    }

    /// The organisation to which the request is accounted. Requests on public routes share one
    /// additional key.
    pub(crate) fn organisation_key(&self) -> OrganisationKey {
        OrganisationKey::of(self.organisation.as_deref().unwrap_or_default())
    }

    /// Hash that is equal for retries of the same prompt by the same caller.
    pub(crate) fn retry_key(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.contents.whole.hash(&mut hasher);
        self.route.name.hash(&mut hasher);
        if let Some(generation) = &self.generation {
            generation.parts.hash(&mut hasher);
            generation.prompt_tokens.hash(&mut hasher);
        }
        hasher.finish()
    }
}

impl Gateway {
    /// Reads a request and checks whether it may proceed.
    pub(crate) async fn accept(
        self: &Arc<Self>,
        request: Request<Incoming>,
        tracker: &mut RequestTracker,
    ) -> Result<InboundRequest, Problem> {
        let (parts, mut body) = request.into_parts();
        let head = self.dialect.read_request(&parts.headers);
        if let Ok(head) = &head {
            tracker.id.clone_from(&head.id);
        }
        let left_ms = head.as_ref().ok().and_then(|head| head.time_left_ms);
        let read_ms = left_ms.unwrap_or(BODY_TIMEOUT_MS);
        let active = self.active_configuration();
        let admitted = self.admit_head(active.as_deref(), &parts, head, tracker);
        let (head, route, owner) = match admitted {
            Ok(admitted) => admitted,
            Err(problem) => {
                discard(&parts, body, read_ms).await;
                return Err(problem);
            }
        };
        let organisation = owner.map(|owner| owner.name.clone());
        let limits = ReadLimits {
            max_bytes: active
                .as_ref()
                .map_or(usize::MAX, |active| active.configuration.limits.body_bytes),
            max_wait_ms: (left_ms.unwrap_or(Millis::MAX) / ROOM_WAIT_PART).min(MAX_ROOM_WAIT_MS),
        };
        let key = OrganisationKey::of(organisation.as_deref().unwrap_or_default());
        let bodies = &self.resources.request_bodies;
        let read_timeout = Duration::from_millis(read_ms.min(route.timeout_ms));
        let read = timeout(read_timeout, bodies.read(&mut body, key, limits)).await;
        let body = match read.unwrap_or(Err(UnreadBody::Overdue)) {
            Ok(bytes) => bytes,
            Err(unread) => {
                let problem = match unread {
                    UnreadBody::TooLong => Problem::BodyTooLong,
                    UnreadBody::NoRoom => Problem::NoBodyRoom,
                    UnreadBody::Broken => Problem::BadBody,
                    UnreadBody::Overdue => Problem::TooLateToSend,
                };
                discard(&parts, body, read_ms).await;
                return Err(problem);
            }
        };
        let service = route
            .pick_service(rand::random())
            .ok_or(Problem::NoUpstream)?;
        let max_wait_ms = left_ms.unwrap_or(Millis::MAX).min(route.timeout_ms);
        let whole = content_of(organisation.as_deref(), &parts, &body);
        let contents = match &head.generation {
            Some(generation) => generation.contents(whole),
            None => RequestContents::of_whole(whole),
        };
        tracker.set_content(whole);
        let mut headers = parts.headers;
        hop::strip(&mut headers);
        Ok(InboundRequest {
            route: route.clone(),
            service: service.to_owned(),
            organisation,
            contents,
            priority: owner
                .and_then(|owner| owner.priority)
                .unwrap_or(route.priority),
            generation: head.generation,
            last_event: head.last_event.filter(|_| route.can_resume),
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            deadline_ms: tracker.arrived_ms.saturating_add(max_wait_ms),
        })
    }
}

impl Gateway {
    /// Checks what the head of a request states, before its body is read.
    fn admit_head<'a>(
        &self,
        active: Option<&'a ActiveConfiguration>,
        parts: &Parts,
        head: Result<RequestHead, HeadError>,
        tracker: &mut RequestTracker,
    ) -> Result<(RequestHead, &'a Route, Option<&'a Organisation>), Problem> {
        let active = active.ok_or(Problem::NoConfiguration)?;
        let head = head.map_err(|error| match error {
            HeadError::NoId | HeadError::Malformed { .. } => Problem::BadHead,
        })?;
        if self.is_misdirected(&head) {
            return Err(Problem::Misdirected);
        }
        let route = find_route(active, parts).ok_or(Problem::NoRoute)?;
        tracker.set_route(route);
        if let Some(generation) = &head.generation {
            tracker.set_generation(generation);
        }
        let owner = match active.requires_key(route) {
            true => {
                let key = head.api_key.as_deref().ok_or(Problem::UnknownKey)?;
                Some(active.organisation(key).ok_or(Problem::UnknownKey)?)
            }
            false => None,
        };
        Ok((head, route, owner))
    }

    /// Whether another gateway, or this one, has sent the request for an upstream. An upstream's
    /// entry may state an address of a host, and hosts would pass such a request on to each other
    /// without an end.
    fn is_misdirected(&self, head: &RequestHead) -> bool {
        let instance = head.target_instance.as_deref();
        instance.is_some_and(|instance| self.roster.lock().contains(instance))
    }
}

fn find_route<'a>(active: &'a ActiveConfiguration, parts: &Parts) -> Option<&'a Route> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    active.route(host, parts.uri.path())
}

fn content_of(organisation: Option<&str>, parts: &Parts, body: &Bytes) -> ContentKey {
    let mut hasher = Xxh3::new();
    organisation.hash(&mut hasher);
    parts.method.hash(&mut hasher);
    parts.headers.get(HOST).hash(&mut hasher);
    parts.uri.path_and_query().hash(&mut hasher);
    body.hash(&mut hasher);
    ContentKey(hasher.finish())
}

/// Reads the rest of a refused request's body without storing it. Closing a connection with unread
/// bytes resets it, and the caller may lose the response that states the reason.
///
/// The response is sent while a slow caller still sends.
async fn discard(parts: &Parts, mut body: Incoming, read_ms: Millis) {
    // A caller that waits for an interim response has not sent the body and doesn't have to.
    if body.is_end_stream() || parts.headers.contains_key(EXPECT) {
        return;
    }
    let read_timeout = Duration::from_millis(read_ms.min(BODY_TIMEOUT_MS));
    let reading = tokio::spawn(timeout(read_timeout, async move {
        while let Some(Ok(_)) = body.frame().await {}
    }));
    let _ = timeout(DISCARD_WAIT, reading).await;
}
