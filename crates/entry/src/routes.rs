//! Routing of HTTP requests, and their authentication.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_http::{Reply, empty, full, hold_until_sent, json};
use fulmarpath_policy::OrganisationKey;
use fulmarpath_settings::{Organisation, ServiceKind, key_hash};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};

use crate::identity::parse_event_id;
use crate::outcome::{NotRun, NotRunProof, NotRunReason};
use crate::plain;
use crate::problem::Problem;
use crate::request::{ApiFormat, parse_request};
use crate::response::{ResponseOptions, respond};
use crate::server::Entry;
use crate::submit::{reattach, submit, submit_keyed, validate};
use crate::trace::RequestTrace;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Handles one request.
pub(crate) async fn route(entry: Arc<Entry>, request: Request<Incoming>) -> Reply {
    let result = match request.uri().path() {
        "/healthz" => return full(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" => return readiness(&entry),
        "/metrics" => {
            return full(
                StatusCode::OK,
                "text/plain; version=1.0.0",
                entry.metrics_page(),
            );
        }
        path if path.starts_with("/operator/") => handle_operator_request(&entry, request).await,
        "/v1/completions" => handle_completion(&entry, request, ApiFormat::Completion).await,
        "/v1/chat/completions" => handle_completion(&entry, request, ApiFormat::Chat).await,
        "/v1/models" => list_models(&entry, &request),
        path if path.starts_with("/v1/generations/") => handle_generation(&entry, request).await,
        path if path.starts_with("/services/") => handle_service_call(&entry, request).await,
        _ => Err(Problem::NotFound { what: "this path" }),
    };
    result.unwrap_or_else(|problem| {
        entry.driver_context.metrics.record_refusal(problem.kind());
        problem.reply()
    })
}

fn readiness(entry: &Entry) -> Reply {
    if entry.node.takes_work() {
        return full(StatusCode::OK, "text/plain", "ready\n");
    }
    full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn authenticate(entry: &Entry, headers: &HeaderMap) -> Result<Organisation, Problem> {
    let configuration = entry.active_configuration()?;
    let key = bearer_token(headers).ok_or(Problem::Unauthenticated)?;
    let organisation = configuration.organisation_by_key(key);
    organisation.cloned().ok_or(Problem::Unauthenticated)
}

async fn read_body(entry: &Entry, body: Incoming) -> Result<Bytes, Problem> {
    let limit = entry.settings.body_limit_bytes;
    let collected = Limited::new(body, limit).collect().await;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Problem::TooLarge {
            what: "a body",
            limit,
            unit: "bytes",
        }),
        Err(_) => Err(Problem::Malformed { what: "the body" }),
    }
}

async fn handle_operator_request(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
) -> Result<Reply, Problem> {
    let key = bearer_token(request.headers()).ok_or(Problem::Unauthenticated)?;
    if key_hash(key) != entry.settings.operator_key_sha256 {
        return Err(Problem::Unauthenticated);
    }
    let (parts, incoming) = request.into_parts();
    let bytes = read_body(entry, incoming).await?;
    crate::operator::handle(entry, &parts.method, parts.uri.path(), bytes).await
}

async fn handle_completion(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    api: ApiFormat,
) -> Result<Reply, Problem> {
    if request.method() != Method::POST {
        return Ok(empty(StatusCode::METHOD_NOT_ALLOWED));
    }
    let (parts, incoming) = request.into_parts();
    let organisation = authenticate(entry, &parts.headers)?;
    let configuration = entry.active_configuration()?;
    let bytes = read_body(entry, incoming).await?;
    let caller_request = parse_request(api, &bytes)?;
    let mut options = ResponseOptions {
        api,
        service: caller_request.service.clone(),
        stream: caller_request.stream,
        from: 0,
        prompt_tokens: caller_request.prompt_tokens(),
    };
    let clock = entry.node.clock();
    if let Some(id) = header(&parts.headers, "last-event-id") {
        let (name, index) = parse_event_id(id).ok_or(Problem::Malformed {
            what: "the Last-Event-ID header",
        })?;
        options.from = index + 1;
        let model = entry.model_of(&caller_request.service)?;
        let key = OrganisationKey::of(&organisation.name);
        let generation = reattach(entry, key, name, options.from, model)?;
        return Ok(respond(generation, options, clock).await);
    }
    let open_request = entry.open_request()?;
    let trace = RequestTrace::start(&parts.headers, &caller_request.service);
    let validated = validate(entry, configuration, organisation, caller_request, trace)?;
    let generation = match header(&parts.headers, "idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            return Err(Problem::Malformed {
                what: "the Idempotency-Key header: use 1 to 255 bytes",
            });
        }
        Some(key) => submit_keyed(entry, validated, key).await?,
        None => submit(entry, validated).await?,
    };
    let reply = respond(generation, options, clock).await;
    Ok(hold_until_sent(reply, open_request))
}

/// Cancels a generation by its name.
async fn handle_generation(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
) -> Result<Reply, Problem> {
    const NOT_FOUND: Problem = Problem::NotFound {
        what: "a generation of this name",
    };
    let organisation = authenticate(entry, request.headers())?;
    let key = OrganisationKey::of(&organisation.name);
    let path = request.uri().path();
    let name = path.trim_start_matches("/v1/generations/").to_owned();
    match *request.method() {
        Method::DELETE => {
            let generation = entry.registry.find(key, &name).ok_or(NOT_FOUND)?;
            if generation.is_keyed() {
                return Err(Problem::Unacceptable {
                    detail: "could not cancel a submission with an idempotency key: \
                             a repeat of it may still request its result"
                        .into(),
                });
            }
            generation.cancel();
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn handle_service_call(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
) -> Result<Reply, Problem> {
    let (parts, incoming) = request.into_parts();
    let organisation = authenticate(entry, &parts.headers)?;
    let configuration = entry.active_configuration()?;
    let path = parts.uri.path().trim_start_matches("/services/");
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let request = plain::ServiceRequest {
        service: service.to_owned(),
        method: parts.method.clone(),
        path: format!("/{rest}{}", query.unwrap_or_default()),
        content_type: header(&parts.headers, CONTENT_TYPE.as_str()).map(str::to_owned),
        body: read_body(entry, incoming).await?,
    };
    let _open_request = entry.open_request()?;
    plain::call(entry, configuration, &organisation, request).await
}

fn list_models(entry: &Entry, request: &Request<Incoming>) -> Result<Reply, Problem> {
    authenticate(entry, request.headers())?;
    let configuration = entry.active_configuration()?;
    let services = configuration.declarations.services.iter();
    let data: Vec<_> = services
        .filter(|service| matches!(service.kind, ServiceKind::Generation { .. }))
        .map(|service| serde_json::json!({ "id": service.name, "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    Ok(json(StatusCode::OK, &body))
}

impl Entry {
    fn active_configuration(
        &self,
    ) -> Result<Arc<fulmarpath_cluster::ActiveConfiguration>, Problem> {
        self.node
            .active_configuration()
            .ok_or_else(not_accepting_work)
    }

    fn model_of(&self, service: &str) -> Result<String, Problem> {
        let configuration = self.active_configuration()?;
        match configuration.service(service).map(|service| &service.kind) {
            Some(ServiceKind::Generation { model, .. }) => Ok(model.clone()),
            _ => Err(Problem::NotFound {
                what: "a generation service of this name",
            }),
        }
    }

    /// Checks that this host and the active preset accept new requests for a service.
    pub(crate) fn check_accepts_work(
        &self,
        configuration: &fulmarpath_cluster::ActiveConfiguration,
        service: &str,
    ) -> Result<(), Problem> {
        if !self.node.takes_work() {
            return Err(not_accepting_work());
        }
        let closed = &configuration.preset().closed_services;
        if closed.iter().any(|name| name == service) {
            let reason = NotRunReason::ServiceClosed;
            return Err(Problem::NotRun(NotRun::new(NotRunProof::fresh(), reason)));
        }
        Ok(())
    }
}

fn not_accepting_work() -> Problem {
    Problem::NotRun(NotRun::new(NotRunProof::fresh(), NotRunReason::HostClosed))
}
