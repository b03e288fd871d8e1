//! Calls to plain services. A call that must not be repeated is sent at most once.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_cluster::{ActiveConfiguration, Safeguard};
use fulmarpath_http::{Reply, full};
use fulmarpath_policy::{ContentKey, OrganisationKey, ServiceKey};
use fulmarpath_settings::{Organisation, ServiceKind};
use fulmarpath_upstream::{PlainCall, PlainError, PlainResponse};
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use xxhash_rust::xxh3::Xxh3;

use crate::content::content_key;
use crate::outcome::{NotRun, NotRunProof, NotRunReason};
use crate::problem::Problem;
use crate::server::Entry;

/// Limit on the instances tried when none was reached, or for a call that may be repeated.
const MAX_ATTEMPTS: usize = 3;

/// A caller's call to a plain service.
pub(crate) struct ServiceRequest {
    pub(crate) service: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

impl ServiceRequest {
    fn content(&self, organisation: OrganisationKey) -> ContentKey {
        let mut hasher = Xxh3::new();
        (&self.method, &self.path, &self.body).hash(&mut hasher);
        content_key(organisation, self.key(), hasher.finish())
    }

    fn key(&self) -> ServiceKey {
        ServiceKey::of(&self.service)
    }
}

/// Sends a call to an instance of the service and returns its response.
pub(crate) async fn call(
    entry: &Arc<Entry>,
    configuration: Arc<ActiveConfiguration>,
    organisation: &Organisation,
    request: ServiceRequest,
) -> Result<Reply, Problem> {
    const NO_SERVICE: Problem = Problem::NotFound {
        what: "a plain service of this name",
    };
    let service = configuration.service(&request.service).ok_or(NO_SERVICE)?;
    let ServiceKind::Plain { repeatable_methods } = &service.kind else {
        return Err(NO_SERVICE);
    };
    let may_repeat = repeatable_methods
        .iter()
        .any(|method| method == request.method.as_str());
    entry.check_accepts_work(&configuration, &request.service)?;
    let proof = entry.take_slot(organisation, NotRunProof::fresh()).await?;
    let key = OrganisationKey::of(&organisation.name);
    let content = request.content(key);
    let response = send(entry, &request, content, may_repeat, proof).await;
    entry.node.release_slot(key);
    response.map(reply)
}

/// Tries instances until one responds.
///
/// A call that was sent and got no response may have run, and another instance would run it twice.
/// It is sent again only if the service declares the method repeatable and the content isn't
/// quarantined for crashing instances.
async fn send(
    entry: &Entry,
    request: &ServiceRequest,
    content: ContentKey,
    may_repeat: bool,
    proof: NotRunProof,
) -> Result<PlainResponse, Problem> {
    let mut proof = Some(proof);
    let instances = entry.node.plain(&request.service);
    let mut is_admitted = false;
    let mut reason = NotRunReason::RefusedByUpstream;
    for (upstream, instance) in instances.iter().cycle().take(MAX_ATTEMPTS) {
        if !std::mem::replace(&mut is_admitted, true)
            && let Err(quarantined) = entry.node.admit(content).await
        {
            reason = NotRunReason::Quarantined(quarantined);
            break;
        }
        let call = PlainCall {
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
            body: request.body.clone(),
        };
        match instance.call(call).await {
            Ok(response) => {
                // A failing instance responds with an error to calls that it has not run, so only
                // success counts.
                if response.status.is_success() {
                    entry.node.note_success(content);
                }
                return Ok(response);
            }
            Err(PlainError::NotRun(_)) => {}
            Err(PlainError::OutcomeUnknown(_)) => {
                is_admitted = false;
                if !instance.is_listening().await {
                    entry.node.report_upstream_crash(content, *upstream);
                }
                if entry.node.has(Safeguard::NotRunProof) {
                    proof = None;
                }
                if !may_repeat && entry.node.has(Safeguard::PlainOnce) {
                    break;
                }
            }
        }
    }
    match proof {
        Some(proof) => Err(Problem::NotRun(NotRun::new(proof, reason))),
        None => Err(Problem::OutcomeUnknown),
    }
}

fn reply(response: PlainResponse) -> Reply {
    let mut reply = full(response.status, "application/octet-stream", response.body);
    let content_type = response
        .content_type
        .and_then(|value| HeaderValue::from_str(&value).ok());
    if let Some(content_type) = content_type {
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    reply
}
