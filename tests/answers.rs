//! Whole answers through a running deployment.

use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, OTHER_CALLER_KEY};
use rstest::rstest;

async fn deployment() -> Deployment {
    Deployment::start(DeploymentSpec::default())
        .await
        .expect("it starts")
}

fn ask(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

struct Answered {
    prompt: &'static str,
    host: usize,
}

#[rstest]
#[case::short(Answered { prompt: "classify #1", host: 0 })]
#[case::drawn(Answered { prompt: "a report of the left wing", host: 1 })]
#[case::long(Answered { prompt: "a long report #400", host: 2 })]
#[tokio::test(flavor = "multi_thread")]
async fn every_token_once_in_order(#[case] case: Answered) {
    let deployment = deployment().await;
    let got = complete(deployment.caller_address(case.host), &ask(case.prompt)).await;
    assert_eq!(got.status, 200);
    assert!(got.is_complete);
    assert_eq!(got.text(), expected(case.prompt));
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_reach_their_own_callers() {
    let deployment = deployment().await;
    let asks = (0..60).map(|number| {
        let address = deployment.caller_address(number % 3);
        async move {
            let prompt = format!("discrepancy {number} #{}", 5 + number % 40);
            let got = complete(address, &ask(&prompt)).await;
            (prompt, got)
        }
    });
    for (prompt, got) in futures::future::join_all(asks).await {
        assert!(got.is_complete, "{prompt}: {got:?}");
        assert_eq!(got.text(), expected(&prompt));
    }
}

/// The caller loses its connection after some tokens and comes back at another host with
/// `Last-Event-ID`; it must get the rest, and a rival with the same id must get nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_caller_goes_on_at_another_host() {
    let deployment = deployment().await;
    let prompt = "a report that is cut #200";
    let first = read(open(deployment.caller_address(0), &ask(prompt)).await, 20).await;
    let again = CallerRequest {
        last_event_id: first.event_ids.last().cloned(),
        ..ask(prompt)
    };
    let rest = complete(deployment.caller_address(1), &again).await;
    assert_eq!(first.text() + &rest.text(), expected(prompt));
    assert!(rest.is_complete);
    let rival = CallerRequest {
        key: OTHER_CALLER_KEY,
        ..again
    };
    let refused = complete(deployment.caller_address(1), &rival).await;
    assert_eq!(refused.problem.as_deref(), Some("not-found"));
}

/// Without a collector the caller's trace goes on unchanged to the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_trace_goes_on_to_the_engine() {
    let deployment = deployment().await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let traced = CallerRequest {
        traceparent: Some(trace.to_owned()),
        ..ask("traced #2")
    };
    complete(deployment.caller_address(0), &traced).await;
    let records = deployment.engines.iter().map(|engine| engine.record());
    let traces: Vec<String> = records.flat_map(|record| record.traceparents).collect();
    assert_eq!(traces, [trace]);
}
