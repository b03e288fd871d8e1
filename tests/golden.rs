//! Complete sessions compared byte for byte. Generation names, times and dates, which differ in
//! each run, are replaced by placeholders.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath::dev::caller::{CallerRequest, call, open};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, OPERATOR_KEY, declarations};
use fulmarpath_http::Call;
use hyper::Method;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(20_000);

async fn deployment() -> Deployment {
    let spec = DeploymentSpec {
        hosts: 2,
        engines: 2,
        silence_bound_ms: 500,
        ..DeploymentSpec::default()
    };
    Deployment::start(spec).await.expect("it starts")
}

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

/// Placeholder numbers for the names of generations and changes, in order of first occurrence.
#[derive(Default)]
struct Placeholders(HashMap<String, usize>);

impl Placeholders {
    fn replace_names(&mut self, text: &str) -> String {
        let is_name_char = |letter: char| letter.is_ascii_hexdigit() || letter == '.';
        let mut out = String::new();
        let mut token = String::new();
        for letter in text.chars().chain([' ']) {
            if is_name_char(letter) {
                token.push(letter);
                continue;
            }
            if token.len() == 66 {
                let next = self.0.len() + 1;
                let number = *self.0.entry(token.clone()).or_insert(next);
                out.push_str(&format!("<generation {number}>"));
            } else if token.len() == 10 && token.chars().all(|digit| digit.is_ascii_digit()) {
                out.push_str("<seconds>");
            } else {
                out.push_str(&token);
            }
            token.clear();
            out.push(letter);
        }
        out.trim_end().to_owned()
    }
}

async fn render(placeholders: &mut Placeholders, call: Call) -> String {
    let status = call.status();
    let mut head = format!("{}\n", status.as_u16());
    for name in ["content-type", "retry-after", "x-generation-id"] {
        if let Some(value) = call.response.headers().get(name) {
            head.push_str(&format!("{name}: {}\n", value.to_str().unwrap_or("?")));
        }
    }
    let body = call.bytes(RESPONSE_TIMEOUT).await.expect("a complete body");
    placeholders.replace_names(&format!("{head}\n{}", String::from_utf8_lossy(&body)))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer() {
    let deployment = deployment().await;
    let call = open(deployment.caller_address(0), &request("a short one #4")).await;
    let shown = render(&mut Placeholders::default(), call.expect("an answer")).await;
    insta::assert_snapshot!(shown);
}

/// The engine disconnects each stream after two tokens. The session must equal an uninterrupted
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_answer() {
    let deployment = deployment().await;
    for engine in &deployment.engines {
        engine.faults.break_after_tokens.store(2, Ordering::Relaxed);
    }
    let call = open(deployment.caller_address(0), &request("a broken one #7")).await;
    let shown = render(&mut Placeholders::default(), call.expect("an answer")).await;
    insta::assert_snapshot!(shown);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal() {
    let deployment = deployment().await;
    let unknown_caller = CallerRequest {
        key: "nobody",
        ..request("not for you")
    };
    let mut placeholders = Placeholders::default();
    let refusal = open(deployment.caller_address(0), &unknown_caller).await;
    let unknown = render(&mut placeholders, refusal.expect("an answer")).await;
    for engine in &deployment.engines {
        engine.leave();
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let refusal = open(deployment.caller_address(0), &request("no room")).await;
    let no_room = render(&mut placeholders, refusal.expect("an answer")).await;
    insta::assert_snapshot!(format!("{unknown}\n----\n{no_room}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_repeat() {
    let deployment = deployment().await;
    let keyed_request = CallerRequest {
        idempotency_key: Some("inspection-4711".to_owned()),
        ..request("a finding #3")
    };
    let mut placeholders = Placeholders::default();
    let mut session = Vec::new();
    for host in [0, 1] {
        let call = open(deployment.caller_address(host), &keyed_request).await;
        session.push(render(&mut placeholders, call.expect("an answer")).await);
    }
    insta::assert_snapshot!(session.join("\n----\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_with_a_conflict() {
    let deployment = deployment().await;
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut placeholders = Placeholders::default();
    let mut session = Vec::new();
    for host in [0, 1] {
        let body = serde_json::json!({ "declarations": declarations(), "onto": 1 }).to_string();
        let address = deployment.caller_address(host);
        let path = "/operator/apply";
        let call = call(address, Method::POST, path, &headers, body).await;
        session.push(render(&mut placeholders, call.expect("an answer")).await);
    }
    insta::assert_snapshot!(session.join("\n----\n"));
}
