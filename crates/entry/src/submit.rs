//! Takes in a caller's request for a generation: checks, claims, limits, then the driver.

use std::sync::Arc;

use fulmarpath_cluster::{ActiveConfiguration, PermitRequest};
use fulmarpath_policy::{HostKey, OrganisationKey, RequestLimits, ServiceKey};
use fulmarpath_settings::{Organisation, ServiceKind};
use fulmarpath_wire::{ClaimAnswer, ClaimRequest};
use tracing::Instrument;
use xxhash_rust::xxh3::xxh3_128;

use crate::attach::{Standing, mirror, standing};
use crate::content::content_of;
use crate::drive::{Job, drive};
use crate::generation::Generation;
use crate::hop::Hop;
use crate::identity::{new_name, parse_name};
use crate::outcome::{End, NotRun, NotRunReason, Unsent};
use crate::problem::Problem;
use crate::request::Wanted;
use crate::server::Entry;

/// A request whose service and bounds have been checked.
pub(crate) struct Checked {
    pub(crate) in_force: Arc<ActiveConfiguration>,
    pub(crate) organisation: Organisation,
    pub(crate) model: String,
    pub(crate) output_limit_tokens: u32,
    pub(crate) wanted: Wanted,
    pub(crate) hop: Hop,
}

/// Checks a request against the declarations in force.
pub(crate) fn check(
    entry: &Entry,
    in_force: Arc<ActiveConfiguration>,
    organisation: Organisation,
    wanted: Wanted,
    hop: Hop,
) -> Result<Checked, Problem> {
    const NO_SERVICE: Problem = Problem::NotFound {
        what: "a generation service of this name",
    };
    let service = in_force.service(&wanted.service).ok_or(NO_SERVICE)?;
    let ServiceKind::Generation {
        model,
        output_limit_tokens,
        prompt_limit_tokens,
    } = &service.kind
    else {
        return Err(NO_SERVICE);
    };
    let (model, most) = (model.clone(), *output_limit_tokens);
    if wanted.prompt_tokens() > *prompt_limit_tokens {
        return Err(Problem::TooLarge {
            what: "a prompt",
            limit: *prompt_limit_tokens as usize,
            unit: "tokens",
        });
    }
    entry.check_open(&in_force, &wanted.service)?;
    let output_limit_tokens = wanted.limit_tokens.unwrap_or(most).clamp(1, most);
    Ok(Checked {
        in_force,
        organisation,
        model,
        output_limit_tokens,
        wanted,
        hop,
    })
}

/// Starts a request without a key.
pub(crate) async fn submit(
    entry: &Arc<Entry>,
    checked: Checked,
) -> Result<Arc<Generation>, Problem> {
    let unsent = Unsent::fresh();
    let unsent = entry.take_slot(&checked.organisation, unsent).await?;
    let organisation = OrganisationKey::of(&checked.organisation.name);
    let name = new_name(entry.host(), organisation);
    Ok(start(entry, checked, name, false, unsent))
}

/// Starts a request under an idempotency key, or answers with the one that holds it.
///
/// The claim is durable before anything is sent, so a second host with the same key can't start a
/// second run whatever happens to this one.
pub(crate) async fn submit_keyed(
    entry: &Arc<Entry>,
    checked: Checked,
    key: &str,
) -> Result<Arc<Generation>, Problem> {
    let organisation = OrganisationKey::of(&checked.organisation.name);
    let name = new_name(entry.host(), organisation);
    let mut supersedes = None;
    loop {
        let ask = ClaimRequest {
            key: xxh3_128(format!("{}/{key}", checked.organisation.name).as_bytes()),
            request_hash: checked.wanted.hash,
            generation: name.clone(),
            supersedes: supersedes.clone(),
        };
        match entry.node.claim(ask).await {
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
                return Ok(attach(entry, organisation, generation, 0, checked.model));
            }
            // The claim may stand in the log under this name: remember that it never ran, so that
            // a repeat can take its place.
            ClaimAnswer::Unsure | ClaimAnswer::NotClaimed => {
                let not_run = NotRun::new(Unsent::fresh(), NotRunReason::NoClaim);
                entry.remember_not_run(&name, organisation, not_run);
                return Err(Problem::NotRun(not_run));
            }
        }
    }
    let unsent = Unsent::fresh();
    match entry.take_slot(&checked.organisation, unsent).await {
        Ok(unsent) => Ok(start(entry, checked, name, true, unsent)),
        Err(problem) => {
            if let Problem::NotRun(not_run) = &problem {
                entry.remember_not_run(&name, organisation, *not_run);
            }
            Err(problem)
        }
    }
}

async fn never_ran(entry: &Arc<Entry>, organisation: OrganisationKey, name: &str) -> bool {
    if let Some(held) = entry.registry.find(organisation, name) {
        return matches!(held.end(), Some(End::NotRun(_)));
    }
    standing(&entry.node, name).await == Standing::NeverRan
}

/// A generation that runs or has run, held here or copied from where it is, from `from` on.
pub(crate) fn attach(
    entry: &Arc<Entry>,
    organisation: OrganisationKey,
    name: String,
    from: u32,
    model: String,
) -> Arc<Generation> {
    if let Some(held) = entry.registry.find(organisation, &name)
        && held.base() <= from
    {
        return held;
    }
    let now_ms = entry.node.clock().now_ms();
    let copy = Arc::new(Generation::new(name, organisation, from, true, now_ms));
    // A copy is kept under its own host's name only there; here it lives as long as its readers.
    tokio::spawn(mirror(
        entry.node.clone(),
        copy.clone(),
        model,
        entry.drivers.silence_timeout,
    ));
    copy
}

/// A generation by its name, for a caller that lost its connection.
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
    checked: Checked,
    name: String,
    keyed: bool,
    unsent: Unsent,
) -> Arc<Generation> {
    let organisation = OrganisationKey::of(&checked.organisation.name);
    let now_ms = entry.node.clock().now_ms();
    let generation = Arc::new(Generation::new(name, organisation, 0, keyed, now_ms));
    entry.registry.insert(generation.clone());
    let wanted = checked.wanted;
    let share = checked.in_force.share(&checked.organisation);
    let request = PermitRequest {
        organisation,
        service: ServiceKey::of(&wanted.service),
        weight: checked.organisation.weight,
        share,
        model: checked.model,
        prefix: wanted.prefix(),
        prompt_tokens: wanted.prompt_tokens(),
        out_tokens: 0,
        output_limit_tokens: checked.output_limit_tokens,
        max_wait_ms: checked.in_force.preset().refuse_after_ms,
        only_now: false,
        excluded: Vec::new(),
    };
    let metrics = &entry.drivers.metrics;
    let job = Job {
        generation: generation.clone(),
        content: content_of(organisation, request.service, wanted.hash),
        request,
        labels: metrics.caller(&checked.organisation.name, &wanted.service),
        prompt: wanted.prompt,
        since_ms: now_ms,
        hop: checked.hop,
    };
    let span = job.hop.span.clone();
    let entry = entry.clone();
    let driving = async move {
        drive(entry.drivers.clone(), job, unsent).await;
        entry.node.release_slot(organisation);
    };
    tokio::spawn(driving.instrument(span));
    generation
}

impl Entry {
    pub(crate) fn host(&self) -> HostKey {
        HostKey::of(self.node.host())
    }

    /// Takes a slot under the organisation's limits; the proof comes back with it.
    pub(crate) async fn take_slot(
        &self,
        organisation: &Organisation,
        unsent: Unsent,
    ) -> Result<Unsent, Problem> {
        let bounds = RequestLimits {
            requests_per_s: organisation.requests_per_s,
            concurrent: organisation.concurrent_requests,
        };
        let key = OrganisationKey::of(&organisation.name);
        match self.node.take_slot(key, bounds).await {
            Ok(()) => Ok(unsent),
            Err(over) => Err(Problem::NotRun(NotRun::over(unsent, over))),
        }
    }

    /// Keeps, for repeats of its key, that a claimed generation never ran.
    pub(crate) fn remember_not_run(
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
