//! Calls to plain services. One that may not be repeated is sent at most once.

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

use crate::content::content_of;
use crate::outcome::{NotRun, NotRunReason, Unsent};
use crate::problem::Problem;
use crate::server::Entry;

/// Instances tried where none was reached, or for a call that may be repeated.
const TRIES: usize = 3;

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
        content_of(organisation, self.key(), hasher.finish())
    }

    fn key(&self) -> ServiceKey {
        ServiceKey::of(&self.service)
    }
}

/// Sends a call to an instance of the service and answers with what it says.
pub(crate) async fn call(
    entry: &Arc<Entry>,
    in_force: Arc<ActiveConfiguration>,
    organisation: &Organisation,
    request: ServiceRequest,
) -> Result<Reply, Problem> {
    const NO_SERVICE: Problem = Problem::NotFound {
        what: "a plain service of this name",
    };
    let service = in_force.service(&request.service).ok_or(NO_SERVICE)?;
    let ServiceKind::Plain { repeatable_methods } = &service.kind else {
        return Err(NO_SERVICE);
    };
    let may_repeat = repeatable_methods
        .iter()
        .any(|method| method == request.method.as_str());
    entry.check_open(&in_force, &request.service)?;
    let unsent = entry.take_slot(organisation, Unsent::fresh()).await?;
    let key = OrganisationKey::of(&organisation.name);
    let content = request.content(key);
    let answer = send(entry, &request, content, may_repeat, unsent).await;
    entry.node.release_slot(key);
    answer.map(reply)
}

/// Tries instances until one answers.
///
/// A call that was sent and not answered may have run. Sending it to another instance would run it
/// twice, so that is done only where the declaration allows it, and its content has not ended other
/// instances.
async fn send(
    entry: &Entry,
    request: &ServiceRequest,
    content: ContentKey,
    may_repeat: bool,
    unsent: Unsent,
) -> Result<PlainResponse, Problem> {
    let mut unsent = Some(unsent);
    let instances = entry.node.plain(&request.service);
    let mut has_leave = false;
    let mut reason = NotRunReason::RefusedByUpstream;
    for (upstream, instance) in instances.iter().cycle().take(TRIES) {
        if !std::mem::replace(&mut has_leave, true)
            && let Err(quarantined) = entry.node.admit(request.key(), content).await
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
            Ok(answer) => {
                // A sick instance fails what it has not run.
                if answer.status.is_success() {
                    entry.node.note_success(request.key(), content);
                }
                return Ok(answer);
            }
            Err(PlainError::NotRun(_)) => {}
            Err(PlainError::OutcomeUnknown(_)) => {
                has_leave = false;
                if !instance.is_listening().await {
                    entry
                        .node
                        .report_upstream_crash(request.key(), content, *upstream);
                }
                if entry.node.has(Safeguard::NotRunProof) {
                    unsent = None;
                }
                if !may_repeat && entry.node.has(Safeguard::PlainOnce) {
                    break;
                }
            }
        }
    }
    match unsent {
        Some(proof) => Err(Problem::NotRun(NotRun::new(proof, reason))),
        None => Err(Problem::OutcomeUnknown),
    }
}

fn reply(answer: PlainResponse) -> Reply {
    let mut reply = full(answer.status, "application/octet-stream", answer.body);
    let content_type = answer
        .content_type
        .and_then(|value| HeaderValue::from_str(&value).ok());
    if let Some(content_type) = content_type {
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    reply
}
