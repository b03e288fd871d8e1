//! Submissions with an idempotency key run at most once, across all hosts and platform failures.

use std::sync::atomic::Ordering;

use fulmarpath::dev::caller::{
    CallerRequest, CallerResponse, call, complete, expected, open, read,
};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_standin::StandinEngine;
use hyper::{Method, StatusCode};
use rstest::rstest;

fn keyed_request(prompt: &str, key: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        idempotency_key: Some(key.to_owned()),
        ..CallerRequest::default()
    }
}

async fn deployment() -> Deployment {
    Deployment::start(DeploymentSpec::default())
        .await
        .expect("it starts")
}

fn starts(deployment: &Deployment) -> u32 {
    let records = deployment.engines.iter().map(StandinEngine::record);
    records
        .map(|record| record.starts.values().sum::<u32>())
        .sum()
}

/// The same key is submitted to all three hosts at the same time and once more afterwards. One
/// claim wins the conditional create; the other hosts relay from the host that holds it.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_of_a_key_run_once() {
    let deployment = deployment().await;
    let prompt = "findings under one reference #60";
    let request = keyed_request(prompt, "ref-1");
    let concurrent = (0..9).map(|number| complete(deployment.caller_address(number % 3), &request));
    let mut responses: Vec<CallerResponse> = futures::future::join_all(concurrent).await;
    responses.push(complete(deployment.caller_address(1), &request).await);
    for response in responses {
        assert_eq!(response.text(), expected(prompt), "{response:?}");
    }
    assert_eq!(starts(&deployment), 1);
}

/// A key is reused with a different request. The second is refused, and neither runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_request_is_refused() {
    let deployment = deployment().await;
    complete(
        deployment.caller_address(0),
        &keyed_request("first #5", "ref-2"),
    )
    .await;
    let other = complete(
        deployment.caller_address(1),
        &keyed_request("second #5", "ref-2"),
    )
    .await;
    assert_eq!(other.problem.as_deref(), Some("key-reused"));
    assert_eq!(starts(&deployment), 1);
}

/// The host of a running submission dies, and the caller repeats the key at another host. That host
/// finds the claim, gets no reply from the dead host and resumes the stream from the engine.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_survives_the_death_of_its_host() {
    let mut deployment = deployment().await;
    let prompt = "a long finding #300";
    let request = keyed_request(prompt, "ref-3");
    let first = read(open(deployment.caller_address(0), &request).await, 10).await;
    assert_eq!(first.tokens.len(), 10);
    deployment.kill(0);
    let repeated = complete(deployment.caller_address(1), &request).await;
    assert_eq!(repeated.text(), expected(prompt), "{repeated:?}");
    assert_eq!(starts(&deployment), 1);
}

/// Both the host and the engine of a submission fail. The response can't be finished, and the
/// submission must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn submission_lost_with_host_and_engine_is_outcome_unknown() {
    let mut deployment = deployment().await;
    let request = keyed_request("lost with its engine #300", "ref-4");
    read(open(deployment.caller_address(0), &request).await, 10).await;
    deployment.kill(0);
    for engine in &deployment.engines {
        engine.drop_generations();
    }
    let repeated = complete(deployment.caller_address(1), &request).await;
    assert_eq!(repeated.problem.as_deref(), Some("outcome-unknown"));
    assert_eq!(starts(&deployment), 1);
}

/// While the object API is down, a keyed submission is refused as not run; others are served. Once
/// the API is available again, the same key runs once.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_submission_without_a_claim_is_not_run() {
    let deployment = deployment().await;
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let request = keyed_request("no claim #8", "ref-5");
    let refused = complete(deployment.caller_address(0), &request).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/no-claim"));
    let unkeyed = CallerRequest {
        idempotency_key: None,
        ..request.clone()
    };
    let other = complete(deployment.caller_address(0), &unkeyed).await;
    assert_eq!(other.text(), expected("no claim #8"));
    assert_eq!(starts(&deployment), 1);
    deployment
        .object_api
        .faults
        .down
        .store(false, Ordering::Relaxed);
    let repeated = complete(deployment.caller_address(1), &request).await;
    assert_eq!(repeated.text(), expected("no claim #8"), "{repeated:?}");
    assert_eq!(starts(&deployment), 2);
}

/// The next writes to the platform take effect, but their responses are lost. Whatever the first
/// response says, the key must run at most once over all attempts. If it says not run, nothing may
/// have run.
#[rstest]
#[case::one(1)]
#[case::three(3)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_responses_never_run_a_key_twice(#[case] lost: u32) {
    let deployment = deployment().await;
    let faults = &deployment.object_api.faults;
    faults.drop_write_responses.store(lost, Ordering::Relaxed);
    let request = keyed_request("answer lost #12", "ref-6");
    let first = complete(deployment.caller_address(0), &request).await;
    let ran = starts(&deployment);
    if first.problem.is_some() {
        assert_eq!(first.problem.as_deref(), Some("not-run/no-claim"));
        assert_eq!(ran, 0, "reported as not run");
    }
    faults.drop_write_responses.store(0, Ordering::Relaxed);
    let repeated = complete(deployment.caller_address(2), &request).await;
    assert_eq!(repeated.text(), expected("answer lost #12"), "{repeated:?}");
    assert_eq!(starts(&deployment), 1);
}

struct PlainCase {
    method: Method,
    status: StatusCode,
    runs: u64,
}

/// The response of a plain service is lost. A call that may not be repeated is sent once and
/// reported with an unknown outcome; a repeatable one is retried and answered.
#[rstest]
#[case::repeatable(PlainCase { method: Method::GET, status: StatusCode::OK, runs: 2 })]
#[case::not_repeatable(PlainCase { method: Method::POST, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[tokio::test(flavor = "multi_thread")]
async fn plain_call_with_lost_response_is_retried_only_if_repeatable(#[case] case: PlainCase) {
    let deployment = deployment().await;
    deployment.plain.drop_responses.store(1, Ordering::Relaxed);
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let address = deployment.caller_address(0);
    let path = "/services/lookup/part/7";
    let response = call(address, case.method, path, &headers, "book".into()).await;
    assert_eq!(response.expect("an answer").status(), case.status);
    assert_eq!(deployment.plain.runs(), case.runs);
}

/// A request with an unknown caller key is refused and reaches no engine.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_caller_key_runs_nothing() {
    let deployment = deployment().await;
    let headers = [("authorization", "Bearer nobody")];
    let body = serde_json::json!({ "model": "reports", "prompt": "x" }).to_string();
    let address = deployment.caller_address(0);
    let response = call(address, Method::POST, "/v1/completions", &headers, body).await;
    assert_eq!(
        response.expect("an answer").status(),
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(starts(&deployment), 0);
}
