//! Complete responses from a running deployment.

use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, OTHER_CALLER_KEY};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

async fn deployment() -> Deployment {
    Deployment::start(DeploymentSpec::default())
        .await
        .expect("it starts")
}

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

struct CompletionCase {
    prompt: &'static str,
    host: usize,
}

#[rstest]
#[case::short(CompletionCase { prompt: "classify #1", host: 0 })]
#[case::default_length(CompletionCase { prompt: "a report of the left wing", host: 1 })]
#[case::long(CompletionCase { prompt: "a long report #400", host: 2 })]
#[tokio::test(flavor = "multi_thread")]
async fn every_token_arrives_once_in_order(#[case] case: CompletionCase) {
    let deployment = deployment().await;
    let response = complete(deployment.caller_address(case.host), &request(case.prompt)).await;
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert_eq!(response.text(), expected(case.prompt));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_get_their_own_responses() {
    let deployment = deployment().await;
    let requests = (0..60).map(|number| {
        let address = deployment.caller_address(number % 3);
        async move {
            let prompt = format!("discrepancy {number} #{}", 5 + number % 40);
            let response = complete(address, &request(&prompt)).await;
            (prompt, response)
        }
    });
    for (prompt, response) in futures::future::join_all(requests).await {
        assert!(response.is_complete, "{prompt}: {response:?}");
        assert_eq!(response.text(), expected(&prompt));
    }
}

/// A caller disconnects after some tokens and reconnects to another host with `Last-Event-ID`. It
/// must get the remaining tokens. Another organisation with the same id must get nothing.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_resumes_at_another_host() {
    let deployment = deployment().await;
    let prompt = "a report that is cut #200";
    let first = read(
        open(deployment.caller_address(0), &request(prompt)).await,
        20,
    )
    .await;
    let resumed_request = CallerRequest {
        last_event_id: first.event_ids.last().cloned(),
        ..request(prompt)
    };
    let rest = complete(deployment.caller_address(1), &resumed_request).await;
    assert_eq!(first.text() + &rest.text(), expected(prompt));
    assert!(rest.is_complete);
    let other_caller = CallerRequest {
        key: OTHER_CALLER_KEY,
        ..resumed_request
    };
    let refused = complete(deployment.caller_address(1), &other_caller).await;
    assert_eq!(refused.problem.as_deref(), Some("not-found"));
}

/// Without a trace collector, the caller's trace context is passed to the engine unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn trace_context_reaches_the_engine() {
    let deployment = deployment().await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let traced = CallerRequest {
        traceparent: Some(trace.to_owned()),
        ..request("traced #2")
    };
    complete(deployment.caller_address(0), &traced).await;
    let records = deployment.engines.iter().map(|engine| engine.record());
    let traces: Vec<String> = records.flat_map(|record| record.traceparents).collect();
    assert_eq!(traces, [trace]);
}

/// Guards against a host that accepts more streams than `stream_limit`: a request counts as open only
/// until its response begins, so streams that are still being sent are not counted.
#[tokio::test(flavor = "multi_thread")]
async fn open_streams_count_towards_the_limit() {
    let spec = DeploymentSpec {
        stream_limit: 1,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await.expect("it starts");
    let address = deployment.caller_address(0);
    let first = open(address, &request("a long report #400")).await;
    let second = complete(address, &request("classify #1")).await;
    assert_eq!(second.problem.as_deref(), Some("not-run/stream-limit"));
    assert!(read(first, usize::MAX).await.is_complete);
}

/// Guards against a host that reads the bodies of any number of callers: a request counts as open
/// only once its body has been read, so nothing bounds what unfinished bodies hold.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_count_towards_the_limit() {
    const CALLERS: usize = 4;
    let spec = DeploymentSpec {
        stream_limit: 1,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await.expect("it starts");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         Content-Length: 1000000\r\n\r\n"
    );
    let unfinished = head + &"x".repeat(500_000);
    let calls = (0..CALLERS).map(|_| async {
        let address = deployment.caller_address(0);
        let mut caller = TcpStream::connect(address).await.expect("connect");
        let sent = caller.write_all(unfinished.as_bytes()).await;
        sent.expect("send");
        let mut answer = [0; 12];
        let read = timeout(Duration::from_secs(5), caller.read_exact(&mut answer)).await;
        read.is_ok_and(|read| read.is_ok())
    });
    let answered = futures::future::join_all(calls).await;
    let answered = answered.iter().filter(|answered| **answered).count();
    assert_eq!(answered, CALLERS - 1);
}
