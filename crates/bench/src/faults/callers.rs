//! The callers of a round and the responses that they receive.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath::dev::CALLER_KEY;
use fulmarpath::dev::caller::{CallerRequest, CallerResponse, call, open, read};
use hyper::Method;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// What a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A generation without an idempotency key.
    Unkeyed,
    /// A submission with an idempotency key, sent to two hosts.
    Keyed,
    /// A GET request to the plain service, which may be repeated.
    Get,
    /// A POST request to the plain service, which may not be repeated.
    Post,
}

/// What one caller does in a round.
#[derive(Debug, Clone)]
pub(crate) struct CallerPlan {
    pub(crate) kind: CallKind,
    pub(crate) name: String,
    pub(crate) delay: Duration,
    hosts: [usize; 2],
    length: u32,
}

/// The responses that one caller received.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) plan: CallerPlan,
    /// The last response of each submission: two for a keyed one, else one.
    pub(crate) responses: Vec<CallerResponse>,
}

impl CallerPlan {
    pub(crate) fn prompt(&self) -> String {
        format!("{} #{}", self.name, self.length)
    }

    pub(crate) fn path(&self) -> String {
        format!("/{}", self.name)
    }
}

/// Draws the callers of a round.
pub(crate) fn draw_plans(
    rng: &mut ChaCha8Rng,
    round: u64,
    count: usize,
    hosts: usize,
) -> Vec<CallerPlan> {
    (0..count)
        .map(|number| CallerPlan {
            kind: match rng.random_range(0..10) {
                0..5 => CallKind::Unkeyed,
                5..8 => CallKind::Keyed,
                8 => CallKind::Get,
                _ => CallKind::Post,
            },
            name: format!("round-{round}-caller-{number}"),
            delay: Duration::from_millis(rng.random_range(0..1_500)),
            hosts: [rng.random_range(0..hosts), rng.random_range(0..hosts)],
            length: rng.random_range(5..90),
        })
        .collect()
}

/// Attempts of a caller that receives no response or is told to retry.
const MAX_ATTEMPTS: usize = 8;
/// Streams that end without an error before a caller gives up.
const MAX_SILENT_ENDS: usize = 2;
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Runs one caller, which retries as the protocol specifies.
pub(crate) async fn run_caller(plan: CallerPlan, addresses: Vec<SocketAddr>) -> Outcome {
    tokio::time::sleep(plan.delay).await;
    let responses = match plan.kind {
        CallKind::Unkeyed => vec![generate(&plan, &addresses, plan.hosts[0], None).await],
        CallKind::Keyed => {
            let key = Some(plan.name.clone());
            let (one, other) = tokio::join!(
                generate(&plan, &addresses, plan.hosts[0], key.clone()),
                generate(&plan, &addresses, plan.hosts[1], key.clone()),
            );
            vec![one, other]
        }
        CallKind::Get => vec![call_plain(&plan, &addresses, Method::GET).await],
        CallKind::Post => vec![call_plain(&plan, &addresses, Method::POST).await],
    };
    Outcome { plan, responses }
}

/// Retries a generation until it has a final response; resumes it at the next host when a
/// connection breaks.
async fn generate(
    plan: &CallerPlan,
    addresses: &[SocketAddr],
    host: usize,
    key: Option<String>,
) -> CallerResponse {
    let mut request = CallerRequest {
        key: CALLER_KEY,
        prompt: plan.prompt(),
        idempotency_key: key,
        last_event_id: None,
        traceparent: None,
    };
    let mut tokens_so_far: Vec<String> = Vec::new();
    let mut last = None;
    let mut silent_ends = 0;
    for attempt in 0..MAX_ATTEMPTS {
        let address = addresses[(host + attempt) % addresses.len()];
        let mut response = read(open(address, &request).await, usize::MAX).await;
        tokens_so_far.append(&mut response.tokens);
        response.tokens.clone_from(&tokens_so_far);
        if let Some(id) = response.event_ids.last() {
            request.last_event_id = Some(id.clone());
            request.idempotency_key = None;
        }
        let problem = response.problem.clone().unwrap_or_default();
        let is_final =
            response.is_complete || (!problem.is_empty() && !problem.starts_with("not-run"));
        // A connection that broke before any response may have started the generation. Without an
        // idempotency key a retry would be a second request, so the caller does not retry.
        let is_outcome_unknown = response.status == 0
            && !response.is_unsent
            && request.idempotency_key.is_none()
            && tokens_so_far.is_empty();
        silent_ends +=
            usize::from(!response.is_unsent && !response.is_complete && problem.is_empty());
        // A closed port is not a response: a load balancer would not choose a host that has
        // stopped. An earlier response stands; a caller that never received one still counts as
        // lost.
        if !response.is_unsent || last.is_none() {
            last = Some(response);
        }
        if is_final || is_outcome_unknown || silent_ends >= MAX_SILENT_ENDS {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    last.unwrap_or_else(|| unreachable!("at least one attempt is made"))
}

/// Calls the plain service. Tries the next host only if the request was certainly not sent.
async fn call_plain(plan: &CallerPlan, addresses: &[SocketAddr], method: Method) -> CallerResponse {
    let path = format!("/services/lookup{}", plan.path());
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut host = plan.hosts[0];
    loop {
        let address = addresses[host % addresses.len()];
        let answer = call(address, method.clone(), &path, &headers, "body".into()).await;
        let response = read(answer, usize::MAX).await;
        if !response.is_unsent || host > plan.hosts[0] + MAX_ATTEMPTS {
            return response;
        }
        host += 1;
    }
}
