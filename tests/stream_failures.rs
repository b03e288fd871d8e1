//! Under failures of engines and connections, callers get every token of one generation exactly
//! once and in order.

use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_standin::StandinEngine;
use rstest::rstest;

const PROMPT: &str = "a report that meets a failure #150";

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

async fn deployment(engines: usize) -> Deployment {
    let spec = DeploymentSpec {
        engines,
        silence_bound_ms: 500,
        ..DeploymentSpec::default()
    };
    Deployment::start(spec).await.expect("it starts")
}

fn busy_engine(deployment: &Deployment) -> &StandinEngine {
    let engine = deployment.engines.iter().find(|engine| engine.is_busy());
    engine.expect("an engine runs the generation")
}

fn starts(deployment: &Deployment) -> u32 {
    let records = deployment.engines.iter().map(StandinEngine::record);
    records
        .map(|record| record.starts.values().sum::<u32>())
        .sum()
}

/// A failure of the engine while it decodes, and the expected number of starts on all engines.
struct Failure {
    inject: fn(&StandinEngine),
    starts: u32,
}

/// The engine fails in one of several ways after the first tokens; the caller must still get one
/// complete response. The host resumes over a new connection if the engine still has the
/// generation, otherwise on another engine with the prompt and the tokens generated so far.
#[rstest]
#[case::engine_hangs(Failure {
    inject: |engine| engine.faults.unresponsive.store(true, Ordering::Relaxed),
    starts: 2,
})]
#[case::open_connections_go_silent(Failure {
    inject: StandinEngine::silence_open_streams,
    starts: 1,
})]
#[case::every_stream_disconnects(Failure {
    inject: |engine| engine.faults.break_after_tokens.store(20, Ordering::Relaxed),
    starts: 1,
})]
#[case::resumes_at_an_earlier_index(Failure {
    inject: |engine| {
        engine.faults.resume_rewind_tokens.store(7, Ordering::Relaxed);
        engine.faults.break_after_tokens.store(20, Ordering::Relaxed);
    },
    starts: 1,
})]
#[case::foreign_tokens(Failure {
    inject: |engine| engine.faults.foreign_tokens.store(true, Ordering::Relaxed),
    starts: 1,
})]
#[case::engine_leaves_while_decoding(Failure {
    inject: StandinEngine::leave,
    starts: 1,
})]
#[tokio::test(flavor = "multi_thread")]
async fn response_stays_complete(#[case] failure: Failure) {
    let deployment = deployment(3).await;
    let call = open(deployment.caller_address(0), &request(PROMPT)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    (failure.inject)(busy_engine(&deployment));
    let response = reading.await.expect("the caller reads");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.text(), expected(PROMPT));
    assert_eq!(starts(&deployment), failure.starts);
}

/// All engines disconnect every stream after 15 tokens and inject tokens of other generations, with
/// many concurrent callers. Each caller must get its own response.
#[tokio::test(flavor = "multi_thread")]
async fn streams_with_foreign_tokens_reach_their_own_callers() {
    let deployment = deployment(3).await;
    for engine in &deployment.engines {
        engine.faults.foreign_tokens.store(true, Ordering::Relaxed);
        engine
            .faults
            .break_after_tokens
            .store(15, Ordering::Relaxed);
    }
    let requests = (0..30).map(|number| {
        let address = deployment.caller_address(number % 3);
        async move {
            let prompt = format!("crossed {number} #{}", 10 + number * 2);
            (complete(address, &request(&prompt)).await, prompt)
        }
    });
    for (response, prompt) in futures::future::join_all(requests).await {
        assert_eq!(response.text(), expected(&prompt), "{response:?}");
    }
}

/// A caller abandons a generation without a key and does not reconnect. The host must cancel the
/// generation on the engine.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_generation_is_cancelled() {
    let deployment = deployment(1).await;
    let prompt = "nobody waits for this #4000";
    read(
        open(deployment.caller_address(0), &request(prompt)).await,
        5,
    )
    .await;
    let cancelled = async {
        while deployment.engines[0].record().cancelled.is_empty() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), cancelled).await;
    assert!(waited.is_ok(), "the engine still runs it");
}

/// An engine reports that it leaves, while the host list still has it as live. From 3 s later on,
/// no host may start a generation on it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_generations() {
    let deployment = deployment(2).await;
    deployment.engines[0].leave();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = deployment.engines[0].refused_starts();
    for number in 0..24 {
        let prompt = format!("after leaving {number} #3");
        let response = complete(deployment.caller_address(number % 3), &request(&prompt)).await;
        assert_eq!(response.text(), expected(&prompt), "{response:?}");
    }
    assert_eq!(deployment.engines[0].refused_starts(), before);
    assert!(deployment.engines[0].record().starts.is_empty());
}

/// All engines of a model are leaving before the request arrives. It must be refused as not run,
/// and nothing may have run.
#[tokio::test(flavor = "multi_thread")]
async fn without_engines_requests_are_refused() {
    let deployment = deployment(1).await;
    deployment.engines[0].leave();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let response = complete(deployment.caller_address(1), &request("too late #5")).await;
    assert_eq!(response.problem.as_deref(), Some("not-run/no-room"));
    assert_eq!(starts(&deployment), 0);
}
