//! Whole sessions byte for byte, but for names, times and the date, which change with each run.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, call, open};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, OPERATOR_KEY, declarations};
use fulmarpath_http::Call;
use hyper::Method;

const BOUND: Duration = Duration::from_millis(20_000);

async fn deployment() -> Deployment {
    let size = DeploymentSpec {
        hosts: 2,
        engines: 2,
        silence_bound_ms: 500,
        ..DeploymentSpec::default()
    };
    Deployment::start(size).await.expect("it starts")
}

fn ask(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

/// Names of generations and changes in the order in which they are met.
#[derive(Default)]
struct Names(HashMap<String, usize>);

impl Names {
    fn hide(&mut self, text: &str) -> String {
        let is_name = |letter: char| letter.is_ascii_hexdigit() || letter == '.';
        let mut out = String::new();
        let mut word = String::new();
        for letter in text.chars().chain([' ']) {
            if is_name(letter) {
                word.push(letter);
                continue;
            }
            if word.len() == 66 {
                let next = self.0.len() + 1;
                let number = *self.0.entry(word.clone()).or_insert(next);
                out.push_str(&format!("<generation {number}>"));
            } else if word.len() == 10 && word.chars().all(|one| one.is_ascii_digit()) {
                out.push_str("<seconds>");
            } else {
                out.push_str(&word);
            }
            word.clear();
            out.push(letter);
        }
        out.trim_end().to_owned()
    }
}

async fn show(names: &mut Names, call: Call) -> String {
    let status = call.status();
    let mut head = format!("{}\n", status.as_u16());
    for name in ["content-type", "retry-after", "x-generation-id"] {
        if let Some(value) = call.response.headers().get(name) {
            head.push_str(&format!("{name}: {}\n", value.to_str().unwrap_or("?")));
        }
    }
    let body = call.bytes(BOUND).await.expect("a whole body");
    names.hide(&format!("{head}\n{}", String::from_utf8_lossy(&body)))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer() {
    let deployment = deployment().await;
    let call = open(deployment.caller_address(0), &ask("a short one #4")).await;
    let shown = show(&mut Names::default(), call.expect("an answer")).await;
    insta::assert_snapshot!(shown);
}

/// The engine breaks each stream after two tokens; the session is that of an unbroken one.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_answer() {
    let deployment = deployment().await;
    for engine in &deployment.engines {
        engine.faults.break_after_tokens.store(2, Ordering::Relaxed);
    }
    let call = open(deployment.caller_address(0), &ask("a broken one #7")).await;
    let shown = show(&mut Names::default(), call.expect("an answer")).await;
    insta::assert_snapshot!(shown);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal() {
    let deployment = deployment().await;
    let stranger = CallerRequest {
        key: "nobody",
        ..ask("not for you")
    };
    let mut names = Names::default();
    let refused = open(deployment.caller_address(0), &stranger).await;
    let unknown = show(&mut names, refused.expect("an answer")).await;
    for engine in &deployment.engines {
        engine.leave();
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let refused = open(deployment.caller_address(0), &ask("no room")).await;
    let no_room = show(&mut names, refused.expect("an answer")).await;
    insta::assert_snapshot!(format!("{unknown}\n----\n{no_room}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_repeat() {
    let deployment = deployment().await;
    let keyed = CallerRequest {
        idempotency_key: Some("inspection-4711".to_owned()),
        ..ask("a finding #3")
    };
    let mut names = Names::default();
    let mut session = Vec::new();
    for host in [0, 1] {
        let call = open(deployment.caller_address(host), &keyed).await;
        session.push(show(&mut names, call.expect("an answer")).await);
    }
    insta::assert_snapshot!(session.join("\n----\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_with_a_conflict() {
    let deployment = deployment().await;
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut names = Names::default();
    let mut session = Vec::new();
    for host in [0, 1] {
        let body = serde_json::json!({ "declarations": declarations(), "onto": 1 }).to_string();
        let address = deployment.caller_address(host);
        let path = "/operator/apply";
        let call = call(address, Method::POST, path, &headers, body).await;
        session.push(show(&mut names, call.expect("an answer")).await);
    }
    insta::assert_snapshot!(session.join("\n----\n"));
}
