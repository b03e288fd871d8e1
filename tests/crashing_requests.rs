//! Requests that crash every upstream that runs them, sent through the entry hosts.

use std::net::Ipv4Addr;
use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, CallerResponse, call, complete, expected};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_standin::StandinPlain;
use fulmarpath_store::{HostEntry, ListedState, Role};
use hyper::Method;
use tokio::net::TcpListener;

const CRASH_PROMPT: &str = "ends its upstream";
/// Upstreams of a service, enough that some always remain.
const UPSTREAMS: usize = 10;
/// Attempts of a caller, each at another host.
const ATTEMPTS: usize = 4;
/// Delay between attempts. Circuits are exchanged between hosts with the pings, every 300 ms.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// By the third crash, a request is known to crash upstreams.
const MAX_CRASHES: usize = 3;

async fn deployment() -> Deployment {
    let spec = DeploymentSpec {
        engines: UPSTREAMS,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await.expect("it starts");
    for engine in &deployment.engines {
        CRASH_PROMPT.clone_into(&mut engine.faults.crash_on.lock());
    }
    CRASH_PROMPT.clone_into(&mut deployment.plain.crash_on.lock());
    deployment
}

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

async fn send_repeatedly(deployment: &Deployment, prompt: &str) -> Vec<CallerResponse> {
    let request = request(prompt);
    let mut responses = Vec::new();
    for number in 0..ATTEMPTS {
        responses.push(complete(deployment.caller_address(number % 3), &request).await);
        tokio::time::sleep(RETRY_DELAY).await;
    }
    responses
}

/// Sends a request and repeats it while it is refused for lack of capacity.
async fn retry_while_full(deployment: &Deployment, prompt: &str) -> CallerResponse {
    let request = request(prompt);
    let mut response = complete(deployment.caller_address(0), &request).await;
    for number in 0..ATTEMPTS {
        if response.problem.as_deref() != Some("not-run/no-room") {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        response = complete(deployment.caller_address(number % 3), &request).await;
    }
    response
}

/// A generation crashes each engine that runs it. If crashes were not counted per generation and
/// remembered for the next attempt of the caller, its host would restart it on one engine after
/// another until none is left. It may crash three engines and must then be refused as not run.
/// Unrelated generations on the same engines continue elsewhere and succeed when they are repeated.
#[tokio::test(flavor = "multi_thread")]
async fn generation_crashes_three_engines_at_most() {
    let deployment = deployment().await;
    let crashing = send_repeatedly(&deployment, CRASH_PROMPT);
    let unrelated = ["beside one #20", "beside two #20", "beside three #20"];
    let unrelated_responses = unrelated.map(|prompt| async {
        send_repeatedly(&deployment, prompt).await;
        retry_while_full(&deployment, prompt).await
    });
    let (crashing, unrelated_responses) =
        futures::join!(crashing, futures::future::join_all(unrelated_responses));
    let engines = deployment.engines.iter();
    let crashed = engines.filter(|one| one.has_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} crashed, {crashing:?}");
    let last = &crashing[ATTEMPTS - 1];
    assert_eq!(last.status, 503, "{crashing:?}");
    assert_eq!(last.problem.as_deref(), Some("not-run/quarantined"));
    for (response, prompt) in unrelated_responses.iter().zip(unrelated) {
        assert_eq!(response.text(), expected(prompt), "{response:?}");
    }
}

/// The same for a repeatable call, which its host sends to one instance after another.
#[tokio::test(flavor = "multi_thread")]
async fn call_crashes_three_instances_at_most() {
    let deployment = deployment().await;
    let mut instances = Vec::new();
    for number in 0..UPSTREAMS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let plain = StandinPlain::start(listener.expect("a free port")).expect("it starts");
        CRASH_PROMPT.clone_into(&mut plain.crash_on.lock());
        deployment.host_list.put(HostEntry {
            name: format!("ending-{number}"),
            role: Role::Plain,
            data_centre: "zrh-a".to_owned(),
            serves: "lookup".to_owned(),
            address: plain.address,
            state: ListedState::Live,
        });
        instances.push(plain);
    }
    // The host list is read once a second.
    tokio::time::sleep(RETRY_DELAY).await;
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut statuses = Vec::new();
    for number in 0..ATTEMPTS {
        let address = deployment.caller_address(number % 3);
        let (path, body) = ("/services/lookup/part/7", CRASH_PROMPT.to_owned());
        let response = call(address, Method::GET, path, &headers, body).await;
        statuses.push(response.map(|response| response.status().as_u16()));
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let crashed = instances.iter().filter(|one| one.has_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} crashed, {statuses:?}");
    assert!(matches!(statuses[ATTEMPTS - 1], Ok(503)), "{statuses:?}");
}
