//! Every token once, in order, from one generation, whatever happens to engines and connections.

use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_standin::StandinEngine;
use rstest::rstest;

const PROMPT: &str = "a report that meets a failure #150";

fn ask(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

async fn deployment(engines: usize) -> Deployment {
    let size = DeploymentSpec {
        engines,
        silence_bound_ms: 500,
        ..DeploymentSpec::default()
    };
    Deployment::start(size).await.expect("it starts")
}

fn busy(deployment: &Deployment) -> &StandinEngine {
    let engine = deployment.engines.iter().find(|engine| engine.is_busy());
    engine.expect("an engine runs the generation")
}

fn starts(deployment: &Deployment) -> u32 {
    let records = deployment.engines.iter().map(StandinEngine::record);
    records
        .map(|record| record.starts.values().sum::<u32>())
        .sum()
}

/// What happens to the engine while it decodes, and how many starts the engines see then.
struct Failure {
    strike: fn(&StandinEngine),
    starts: u32,
}

/// The caller sees one whole answer. After its first tokens the engine fails in one of the ways
/// listed; the host goes on over a new connection where the engine still has the generation, and
/// on another engine, with prompt plus the tokens already out, where it has not.
#[rstest]
#[case::engine_dies(Failure {
    strike: |engine| engine.faults.unresponsive.store(true, Ordering::Relaxed),
    starts: 2,
})]
#[case::open_connections_go_silent_for_good(Failure {
    strike: StandinEngine::silence_open_streams,
    starts: 1,
})]
#[case::every_stream_breaks_soon(Failure {
    strike: |engine| engine.faults.break_after_tokens.store(20, Ordering::Relaxed),
    starts: 1,
})]
#[case::resumes_from_a_wrong_index(Failure {
    strike: |engine| {
        engine.faults.resume_rewind_tokens.store(7, Ordering::Relaxed);
        engine.faults.break_after_tokens.store(20, Ordering::Relaxed);
    },
    starts: 1,
})]
#[case::tokens_of_others_and_of_older_attempts(Failure {
    strike: |engine| engine.faults.foreign_tokens.store(true, Ordering::Relaxed),
    starts: 1,
})]
#[case::leaves_while_it_decodes(Failure {
    strike: StandinEngine::leave,
    starts: 1,
})]
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_stays_whole(#[case] failure: Failure) {
    let deployment = deployment(3).await;
    let call = open(deployment.caller_address(0), &ask(PROMPT)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    (failure.strike)(busy(&deployment));
    let got = reading.await.expect("the caller reads");
    assert!(got.is_complete, "{got:?}");
    assert_eq!(got.text(), expected(PROMPT));
    assert_eq!(starts(&deployment), failure.starts);
}

/// All engines break every stream after 15 tokens and send strangers' tokens, for many callers at
/// once: each still gets its own answer.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_and_broken_streams_reach_their_own_callers() {
    let deployment = deployment(3).await;
    for engine in &deployment.engines {
        engine.faults.foreign_tokens.store(true, Ordering::Relaxed);
        engine
            .faults
            .break_after_tokens
            .store(15, Ordering::Relaxed);
    }
    let asks = (0..30).map(|number| {
        let address = deployment.caller_address(number % 3);
        async move {
            let prompt = format!("crossed {number} #{}", 10 + number * 2);
            (complete(address, &ask(&prompt)).await, prompt)
        }
    });
    for (got, prompt) in futures::future::join_all(asks).await {
        assert_eq!(got.text(), expected(&prompt), "{got:?}");
    }
}

/// A caller that leaves an unkeyed generation and doesn't come back: the engine is told to cancel.
#[tokio::test(flavor = "multi_thread")]
async fn a_left_generation_is_cancelled() {
    let deployment = deployment(1).await;
    let prompt = "nobody waits for this #4000";
    read(open(deployment.caller_address(0), &ask(prompt)).await, 5).await;
    let cancelled = async {
        while deployment.engines[0].record().cancelled.is_empty() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), cancelled).await;
    assert!(waited.is_ok(), "the engine still runs it");
}

/// An engine that leaves by its own report, while the host list still calls it live, gets nothing
/// new after 3 s from any host.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_nothing_new() {
    let deployment = deployment(2).await;
    deployment.engines[0].leave();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = deployment.engines[0].refused_starts();
    for number in 0..24 {
        let prompt = format!("after leaving {number} #3");
        let got = complete(deployment.caller_address(number % 3), &ask(&prompt)).await;
        assert_eq!(got.text(), expected(&prompt), "{got:?}");
    }
    assert_eq!(deployment.engines[0].refused_starts(), before);
    assert!(deployment.engines[0].record().starts.is_empty());
}

/// All of a model's engines are dead before the request comes: it is refused as not run, in time,
/// and truly nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn without_engines_nothing_is_run() {
    let deployment = deployment(1).await;
    deployment.engines[0].leave();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let got = complete(deployment.caller_address(1), &ask("too late #5")).await;
    assert_eq!(got.problem.as_deref(), Some("not-run/no-room"));
    assert_eq!(starts(&deployment), 0);
}
