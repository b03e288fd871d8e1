//! Which path leads where, and who may go there.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_http::{Reply, empty, full, json};
use fulmarpath_policy::OrganisationKey;
use fulmarpath_settings::{Organisation, ServiceKind, key_hash};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};

use crate::answer::{Writing, answer};
use crate::hop::Hop;
use crate::identity::parse_event_id;
use crate::outcome::{NotRun, NotRunReason, Unsent};
use crate::plain;
use crate::problem::Problem;
use crate::request::{Form, read};
use crate::server::Entry;
use crate::submit::{check, reattach, submit, submit_keyed};

const KEY_LIMIT_BYTES: usize = 255;

/// Answers one request.
pub(crate) async fn route(entry: Arc<Entry>, request: Request<Incoming>) -> Reply {
    let answered = match request.uri().path() {
        "/healthz" => return full(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" => return ready(&entry),
        "/metrics" => {
            return full(
                StatusCode::OK,
                "text/plain; version=1.0.0",
                entry.metrics_page(),
            );
        }
        path if path.starts_with("/operator/") => operate(&entry, request).await,
        "/v1/completions" => complete(&entry, request, Form::Completion).await,
        "/v1/chat/completions" => complete(&entry, request, Form::Chat).await,
        "/v1/models" => models(&entry, &request),
        path if path.starts_with("/v1/generations/") => generation(&entry, request).await,
        path if path.starts_with("/services/") => call_plain(&entry, request).await,
        _ => Err(Problem::NotFound { what: "this path" }),
    };
    answered.unwrap_or_else(|problem| {
        entry.drivers.metrics.refuse(problem.kind());
        problem.reply()
    })
}

fn ready(entry: &Entry) -> Reply {
    if entry.node.takes_work() {
        return full(StatusCode::OK, "text/plain", "ready\n");
    }
    full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn organisation(entry: &Entry, headers: &HeaderMap) -> Result<Organisation, Problem> {
    let in_force = entry.in_force()?;
    let key = bearer(headers).ok_or(Problem::Unauthenticated)?;
    let organisation = in_force.organisation_by_key(key);
    organisation.cloned().ok_or(Problem::Unauthenticated)
}

async fn body(entry: &Entry, body: Incoming) -> Result<Bytes, Problem> {
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

async fn operate(entry: &Arc<Entry>, request: Request<Incoming>) -> Result<Reply, Problem> {
    let key = bearer(request.headers()).ok_or(Problem::Unauthenticated)?;
    if key_hash(key) != entry.settings.operator_key_sha256 {
        return Err(Problem::Unauthenticated);
    }
    let (parts, incoming) = request.into_parts();
    let bytes = body(entry, incoming).await?;
    crate::operator::answer(entry, &parts.method, parts.uri.path(), bytes).await
}

async fn complete(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    form: Form,
) -> Result<Reply, Problem> {
    if request.method() != Method::POST {
        return Ok(empty(StatusCode::METHOD_NOT_ALLOWED));
    }
    let (parts, incoming) = request.into_parts();
    let organisation = organisation(entry, &parts.headers)?;
    let in_force = entry.in_force()?;
    let bytes = body(entry, incoming).await?;
    let wanted = read(form, &bytes)?;
    let mut writing = Writing {
        form,
        service: wanted.service.clone(),
        stream: wanted.stream,
        from: 0,
        prompt_tokens: wanted.prompt_tokens(),
    };
    let clock = entry.node.clock();
    if let Some(id) = header(&parts.headers, "last-event-id") {
        let (name, index) = parse_event_id(id).ok_or(Problem::Malformed {
            what: "the Last-Event-ID header",
        })?;
        writing.from = index + 1;
        let model = entry.model_of(&wanted.service)?;
        let key = OrganisationKey::of(&organisation.name);
        let generation = reattach(entry, key, name, writing.from, model)?;
        return Ok(answer(generation, writing, clock).await);
    }
    let _stream = entry.open_stream()?;
    let hop = Hop::start(&parts.headers, &wanted.service);
    let checked = check(entry, in_force, organisation, wanted, hop)?;
    let generation = match header(&parts.headers, "idempotency-key") {
        Some(key) if key.is_empty() || key.len() > KEY_LIMIT_BYTES => {
            return Err(Problem::Malformed {
                what: "the Idempotency-Key header: use 1 to 255 bytes",
            });
        }
        Some(key) => submit_keyed(entry, checked, key).await?,
        None => submit(entry, checked).await?,
    };
    Ok(answer(generation, writing, clock).await)
}

/// Reads on from a generation by its name, or cancels it.
async fn generation(entry: &Arc<Entry>, request: Request<Incoming>) -> Result<Reply, Problem> {
    const NOT_FOUND: Problem = Problem::NotFound {
        what: "a generation of this name",
    };
    let organisation = organisation(entry, request.headers())?;
    let key = OrganisationKey::of(&organisation.name);
    let path = request.uri().path();
    let name = path.trim_start_matches("/v1/generations/").to_owned();
    match *request.method() {
        Method::DELETE => {
            let held = entry.registry.find(key, &name).ok_or(NOT_FOUND)?;
            if held.is_keyed() {
                return Err(Problem::Unacceptable {
                    detail: "could not cancel a keyed submission: it runs at most once".into(),
                });
            }
            held.cancel();
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn call_plain(entry: &Arc<Entry>, request: Request<Incoming>) -> Result<Reply, Problem> {
    let (parts, incoming) = request.into_parts();
    let organisation = organisation(entry, &parts.headers)?;
    let in_force = entry.in_force()?;
    let path = parts.uri.path().trim_start_matches("/services/");
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let request = plain::ServiceRequest {
        service: service.to_owned(),
        method: parts.method.clone(),
        path: format!("/{rest}{}", query.unwrap_or_default()),
        content_type: header(&parts.headers, CONTENT_TYPE.as_str()).map(str::to_owned),
        body: body(entry, incoming).await?,
    };
    let _stream = entry.open_stream()?;
    plain::call(entry, in_force, &organisation, request).await
}

fn models(entry: &Entry, request: &Request<Incoming>) -> Result<Reply, Problem> {
    organisation(entry, request.headers())?;
    let in_force = entry.in_force()?;
    let services = in_force.declarations.services.iter();
    let data: Vec<_> = services
        .filter(|service| matches!(service.kind, ServiceKind::Generation { .. }))
        .map(|service| serde_json::json!({ "id": service.name, "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    Ok(json(StatusCode::OK, &body))
}

impl Entry {
    fn in_force(&self) -> Result<Arc<fulmarpath_cluster::ActiveConfiguration>, Problem> {
        self.node.active_configuration().ok_or_else(host_closed)
    }

    fn model_of(&self, service: &str) -> Result<String, Problem> {
        let in_force = self.in_force()?;
        match in_force.service(service).map(|service| &service.kind) {
            Some(ServiceKind::Generation { model, .. }) => Ok(model.clone()),
            _ => Err(Problem::NotFound {
                what: "a generation service of this name",
            }),
        }
    }

    /// Whether this host and the preset in force take new work for a service.
    pub(crate) fn check_open(
        &self,
        in_force: &fulmarpath_cluster::ActiveConfiguration,
        service: &str,
    ) -> Result<(), Problem> {
        if !self.node.takes_work() {
            return Err(host_closed());
        }
        let closed = &in_force.preset().closed_services;
        if closed.iter().any(|name| name == service) {
            let reason = NotRunReason::ServiceClosed;
            return Err(Problem::NotRun(NotRun::new(Unsent::fresh(), reason)));
        }
        Ok(())
    }
}

fn host_closed() -> Problem {
    Problem::NotRun(NotRun::new(Unsent::fresh(), NotRunReason::HostClosed))
}
