//! Accepts a caller's generation request: validates it, claims its idempotency key, applies the
//! organisation's limits and starts its driver.

use std::sync::Arc;

use fulmarpath_cluster::{ActiveConfiguration, PermitRequest};
use fulmarpath_policy::{HostKey, OrganisationKey, RequestLimits, ServiceKey};
use fulmarpath_settings::{Organisation, ServiceKind};
use fulmarpath_wire::{ClaimAnswer, ClaimRequest};
use tracing::Instrument;
use xxhash_rust::xxh3::xxh3_128;

use crate::attach::{RunStatus, mirror, query_run_status};
use crate::content::content_key;
use crate::driver::{Job, drive};
use crate::generation::Generation;
use crate::identity::{new_name, parse_name};
use crate::outcome::{End, NotRun, NotRunProof, NotRunReason};
use crate::problem::Problem;
use crate::request::CallerRequest;
use crate::server::Entry;
use crate::trace::RequestTrace;

/// A request whose service and size limits have been validated.
pub(crate) struct ValidatedRequest {
    pub(crate) configuration: Arc<ActiveConfiguration>,
    pub(crate) organisation: Organisation,
    pub(crate) model: String,
    pub(crate) output_limit_tokens: u32,
    pub(crate) caller_request: CallerRequest,
    pub(crate) trace: RequestTrace,
}

/// Validates a request against the active configuration.
pub(crate) fn validate(
    entry: &Entry,
    configuration: Arc<ActiveConfiguration>,
    organisation: Organisation,
    caller_request: CallerRequest,
    trace: RequestTrace,
) -> Result<ValidatedRequest, Problem> {
    const NO_SERVICE: Problem = Problem::NotFound {
        what: "a generation service of this name",
    };
    let service = configuration
        .service(&caller_request.service)
        .ok_or(NO_SERVICE)?;
    let ServiceKind::Generation {
        model,
        output_limit_tokens,
        prompt_limit_tokens,
    } = &service.kind
    else {
        return Err(NO_SERVICE);
    };
    let (model, max_output_tokens) = (model.clone(), *output_limit_tokens);
    if caller_request.prompt_tokens() > *prompt_limit_tokens {
        return Err(Problem::TooLarge {
            what: "a prompt",
            limit: *prompt_limit_tokens as usize,
            unit: "tokens",
        });
    }
    entry.check_accepts_work(&configuration, &caller_request.service)?;
    let output_limit_tokens = caller_request
        .max_tokens
        .unwrap_or(max_output_tokens)
        .clamp(1, max_output_tokens);
    Ok(ValidatedRequest {
        configuration,
        organisation,
        model,
        output_limit_tokens,
        caller_request,
        trace,
    })
}

/// Starts a request without an idempotency key.
pub(crate) async fn submit(
    entry: &Arc<Entry>,
    validated: ValidatedRequest,
) -> Result<Arc<Generation>, Problem> {
    let proof = NotRunProof::fresh();
    let proof = entry.take_slot(&validated.organisation, proof).await?;
    let organisation = OrganisationKey::of(&validated.organisation.name);
    let name = new_name(entry.host(), organisation);
    Ok(start(entry, validated, name, false, proof))
}

/// Starts a request under an idempotency key, or returns the generation that already claimed it.
///
/// The claim is durable before anything is sent, so another host that gets the same key can't start
/// a second run even if this host fails.
pub(crate) async fn submit_keyed(
    entry: &Arc<Entry>,
    validated: ValidatedRequest,
    key: &str,
) -> Result<Arc<Generation>, Problem> {
    let organisation = OrganisationKey::of(&validated.organisation.name);
    let name = new_name(entry.host(), organisation);
    let mut supersedes = None;
    loop {
        let claim = ClaimRequest {
            key: xxh3_128(format!("{}/{key}", validated.organisation.name).as_bytes()),
            request_hash: validated.caller_request.hash,
            generation: name.clone(),
            supersedes: supersedes.clone(),
        };
        match entry.node.claim(claim).await {
            ClaimAnswer::Claimed => break,
            ClaimAnswer::Taken {
                same_request: false,
                ..
            } => return Err(Problem::KeyReused),
            ClaimAnswer::Taken { generation, .. } => {
                let never_ran = never_ran(entry, organisation, &generation).await;
                if never_ran && supersedes.as_ref() != Some(&generation) {
                    supersedes = Some(generation);
                    continue;
                }
                return Ok(attach(entry, organisation, generation, 0, validated.model));
            }
            // The claim may be in the log under this name. Recording that the generation never ran
            // lets a repeat of the request supersede the claim.
            ClaimAnswer::Unsure | ClaimAnswer::NotClaimed => {
                let not_run = NotRun::new(NotRunProof::fresh(), NotRunReason::ClaimFailed);
                entry.record_not_run(&name, organisation, not_run);
                return Err(Problem::NotRun(not_run));
            }
        }
    }
    let proof = NotRunProof::fresh();
    match entry.take_slot(&validated.organisation, proof).await {
        Ok(proof) => Ok(start(entry, validated, name, true, proof)),
        Err(problem) => {
            if let Problem::NotRun(not_run) = &problem {
                entry.record_not_run(&name, organisation, *not_run);
            }
            Err(problem)
        }
    }
}

async fn never_ran(entry: &Arc<Entry>, organisation: OrganisationKey, name: &str) -> bool {
    if let Some(generation) = entry.registry.find(organisation, name) {
        return matches!(generation.end(), Some(End::NotRun(_)));
    }
    query_run_status(&entry.node, name).await == RunStatus::NeverRan
}

/// Returns a generation that runs or has run, with its tokens from index `from` on: the local one,
/// or a copy that is filled from its holder.
pub(crate) fn attach(
    entry: &Arc<Entry>,
    organisation: OrganisationKey,
    name: String,
    from: u32,
    model: String,
) -> Arc<Generation> {
    if let Some(generation) = entry.registry.find(organisation, &name)
        && generation.base() <= from
    {
        return generation;
    }
    let now_ms = entry.node.clock().now_ms();
    let copy = Arc::new(Generation::new(name, organisation, from, true, now_ms));
    // The copy isn't entered in the registry; it lives as long as its readers.
    tokio::spawn(mirror(
        entry.node.clone(),
        copy.clone(),
        model,
        entry.driver_context.silence_timeout,
    ));
    copy
}

/// Finds a generation by its name, for a caller that reconnects.
pub(crate) fn reattach(
    entry: &Arc<Entry>,
    organisation: OrganisationKey,
    name: &str,
    from: u32,
    model: String,
) -> Result<Arc<Generation>, Problem> {
    const NOT_FOUND: Problem = Problem::NotFound {
        what: "a generation of this name",
    };
    let identity = parse_name(name).ok_or(NOT_FOUND)?;
    if identity.organisation != organisation {
        return Err(NOT_FOUND);
    }
    Ok(attach(entry, organisation, name.to_owned(), from, model))
}

fn start(
    entry: &Arc<Entry>,
    validated: ValidatedRequest,
    name: String,
    keyed: bool,
    proof: NotRunProof,
) -> Arc<Generation> {
    let organisation = OrganisationKey::of(&validated.organisation.name);
    let now_ms = entry.node.clock().now_ms();
    let generation = Arc::new(Generation::new(name, organisation, 0, keyed, now_ms));
    entry.registry.insert(generation.clone());
    let caller_request = validated.caller_request;
    let share = validated.configuration.share(&validated.organisation);
    let request = PermitRequest {
        organisation,
        service: ServiceKey::of(&caller_request.service),
        weight: validated.organisation.weight,
        share,
        model: validated.model,
        prefix: caller_request.prefix(),
        prompt_tokens: caller_request.prompt_tokens(),
        out_tokens: 0,
        output_limit_tokens: validated.output_limit_tokens,
        max_wait_ms: validated.configuration.preset().refuse_after_ms,
        only_now: false,
        excluded: Vec::new(),
    };
    let metrics = &entry.driver_context.metrics;
    let job = Job {
        generation: generation.clone(),
        content: content_key(organisation, request.service, caller_request.hash),
        request,
        labels: metrics.caller_labels(&validated.organisation.name, &caller_request.service),
        prompt: caller_request.prompt,
        received_at_ms: now_ms,
        trace: validated.trace,
    };
    let span = job.trace.span.clone();
    let entry = entry.clone();
    let run = async move {
        drive(entry.driver_context.clone(), job, proof).await;
        entry.node.release_slot(organisation);
    };
    tokio::spawn(run.instrument(span));
    generation
}

impl Entry {
    pub(crate) fn host(&self) -> HostKey {
        HostKey::of(self.node.host())
    }

    /// Takes a slot under the organisation's limits, and returns the proof that was passed in.
    pub(crate) async fn take_slot(
        &self,
        organisation: &Organisation,
        proof: NotRunProof,
    ) -> Result<NotRunProof, Problem> {
        let limits = RequestLimits {
            requests_per_s: organisation.requests_per_s,
            concurrent: organisation.concurrent_requests,
        };
        let key = OrganisationKey::of(&organisation.name);
        match self.node.take_slot(key, limits).await {
            Ok(()) => Ok(proof),
            Err(exceeded) => Err(Problem::NotRun(NotRun::limit_exceeded(proof, exceeded))),
        }
    }

    /// Records that a claimed generation never ran, so that a repeat with its key can run.
    pub(crate) fn record_not_run(
        &self,
        name: &str,
        organisation: OrganisationKey,
        not_run: NotRun,
    ) {
        let now_ms = self.node.clock().now_ms();
        let generation = Generation::new(name.to_owned(), organisation, 0, true, now_ms);
        generation.finish(now_ms, End::NotRun(not_run));
        self.registry.insert(Arc::new(generation));
    }
}
