//! Submissions under a key run at most once, over all hosts and all failures of the platform.

use std::sync::atomic::Ordering;

use fulmarpath::dev::caller::{
    CallerRequest, CallerResponse, call, complete, expected, open, read,
};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_standin::StandinEngine;
use hyper::{Method, StatusCode};
use rstest::rstest;

fn keyed(prompt: &str, key: &str) -> CallerRequest {
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

/// The same key comes to all three hosts at the same moment and once more afterwards. One claim
/// wins at the conditional create; the others relay from the host that holds it.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_at_all_hosts_at_once_runs_once() {
    let deployment = deployment().await;
    let prompt = "findings under one reference #60";
    let ask = keyed(prompt, "ref-1");
    let at_once = (0..9).map(|number| complete(deployment.caller_address(number % 3), &ask));
    let mut answers: Vec<CallerResponse> = futures::future::join_all(at_once).await;
    answers.push(complete(deployment.caller_address(1), &ask).await);
    for got in answers {
        assert_eq!(got.text(), expected(prompt), "{got:?}");
    }
    assert_eq!(starts(&deployment), 1);
}

/// The key comes again with another request: that is refused, and neither runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_request_is_refused() {
    let deployment = deployment().await;
    complete(deployment.caller_address(0), &keyed("first #5", "ref-2")).await;
    let other = complete(deployment.caller_address(1), &keyed("second #5", "ref-2")).await;
    assert_eq!(other.problem.as_deref(), Some("key-reused"));
    assert_eq!(starts(&deployment), 1);
}

/// The host that holds a running submission dies. The caller comes back at another host with the
/// same key: that host finds the claim, asks the dead host in vain, and reads on from the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_outlives_its_host() {
    let mut deployment = deployment().await;
    let prompt = "a long finding #300";
    let ask = keyed(prompt, "ref-3");
    let first = read(open(deployment.caller_address(0), &ask).await, 10).await;
    assert_eq!(first.tokens.len(), 10);
    deployment.kill(0);
    let again = complete(deployment.caller_address(1), &ask).await;
    assert_eq!(again.text(), expected(prompt), "{again:?}");
    assert_eq!(starts(&deployment), 1);
}

/// The host dies and the engine as well: nobody can finish the answer, nobody may run it again.
#[tokio::test(flavor = "multi_thread")]
async fn what_nobody_holds_is_outcome_unknown() {
    let mut deployment = deployment().await;
    let ask = keyed("lost with its engine #300", "ref-4");
    read(open(deployment.caller_address(0), &ask).await, 10).await;
    deployment.kill(0);
    for engine in &deployment.engines {
        engine.drop_generations();
    }
    let again = complete(deployment.caller_address(1), &ask).await;
    assert_eq!(again.problem.as_deref(), Some("outcome-unknown"));
    assert_eq!(starts(&deployment), 1);
}

/// The object API is down: a keyed submission is refused as not run, others go on. When the API
/// is back, the same key runs, once.
#[tokio::test(flavor = "multi_thread")]
async fn without_claims_keyed_work_is_not_run() {
    let deployment = deployment().await;
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let ask = keyed("no claim #8", "ref-5");
    let refused = complete(deployment.caller_address(0), &ask).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/no-claim"));
    let unkeyed = CallerRequest {
        idempotency_key: None,
        ..ask.clone()
    };
    let other = complete(deployment.caller_address(0), &unkeyed).await;
    assert_eq!(other.text(), expected("no claim #8"));
    assert_eq!(starts(&deployment), 1);
    deployment
        .object_api
        .faults
        .down
        .store(false, Ordering::Relaxed);
    let again = complete(deployment.caller_address(1), &ask).await;
    assert_eq!(again.text(), expected("no claim #8"), "{again:?}");
    assert_eq!(starts(&deployment), 2);
}

/// The platform's next writes take effect and are never answered. Whatever the caller is told, a
/// repeat must find one run at the most; told not run, it must be true.
#[rstest]
#[case::one(1)]
#[case::three(3)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_claims_never_run_twice(#[case] lost: u32) {
    let deployment = deployment().await;
    let faults = &deployment.object_api.faults;
    faults.drop_write_responses.store(lost, Ordering::Relaxed);
    let ask = keyed("answer lost #12", "ref-6");
    let first = complete(deployment.caller_address(0), &ask).await;
    let ran = starts(&deployment);
    if first.problem.is_some() {
        assert_eq!(first.problem.as_deref(), Some("not-run/no-claim"));
        assert_eq!(ran, 0, "told not run");
    }
    faults.drop_write_responses.store(0, Ordering::Relaxed);
    let again = complete(deployment.caller_address(2), &ask).await;
    assert_eq!(again.text(), expected("answer lost #12"), "{again:?}");
    assert_eq!(starts(&deployment), 1);
}

struct PlainCase {
    method: Method,
    status: StatusCode,
    runs: u64,
}

/// A call to a plain service whose answer is lost. One that may not be repeated is sent once and
/// said to be of unknown outcome; one that may be repeated is answered by another try.
#[rstest]
#[case::may_be_repeated(PlainCase { method: Method::GET, status: StatusCode::OK, runs: 2 })]
#[case::not_repeatable(PlainCase { method: Method::POST, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_are_sent_at_most_once(#[case] case: PlainCase) {
    let deployment = deployment().await;
    deployment.plain.drop_responses.store(1, Ordering::Relaxed);
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let address = deployment.caller_address(0);
    let path = "/services/lookup/part/7";
    let answer = call(address, case.method, path, &headers, "book".into()).await;
    assert_eq!(answer.expect("an answer").status(), case.status);
    assert_eq!(deployment.plain.runs(), case.runs);
}

/// Who isn't known gets nothing, and no engine hears of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_runs_nothing() {
    let deployment = deployment().await;
    let headers = [("authorization", "Bearer nobody")];
    let body = serde_json::json!({ "model": "reports", "prompt": "x" }).to_string();
    let address = deployment.caller_address(0);
    let answer = call(address, Method::POST, "/v1/completions", &headers, body).await;
    assert_eq!(
        answer.expect("an answer").status(),
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(starts(&deployment), 0);
}
