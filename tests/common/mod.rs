//! A caller, as seen from outside.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::{Call, Lines, send};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};

pub(crate) const BOUND: Duration = Duration::from_millis(30_000);

/// A request as a test writes it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ask {
    pub(crate) key: &'static str,
    pub(crate) prompt: String,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) last_event_id: Option<String>,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Got {
    pub(crate) status: StatusCode,
    pub(crate) texts: Vec<String>,
    pub(crate) ids: Vec<String>,
    pub(crate) whole: bool,
    pub(crate) problem: Option<String>,
}

impl Got {
    pub(crate) fn text(&self) -> String {
        self.texts.concat()
    }
}

pub(crate) async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Call {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.to_string().into()));
    send(address, request.expect("a request"), BOUND)
        .await
        .expect("an answer")
}

/// Starts a streamed answer.
pub(crate) async fn open(address: SocketAddr, ask: &Ask) -> Call {
    let bearer = format!("Bearer {}", ask.key);
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(key) = &ask.idempotency_key {
        headers.push(("idempotency-key", key));
    }
    if let Some(id) = &ask.last_event_id {
        headers.push(("last-event-id", id));
    }
    let body = json!({ "model": "reports", "prompt": ask.prompt, "stream": true });
    post(address, "/v1/completions", &headers, &body).await
}

/// Reads a streamed answer to its end, or as many tokens as `most`.
pub(crate) async fn read(call: Call, most: usize) -> Got {
    let mut got = Got {
        status: call.status(),
        texts: Vec::new(),
        ids: Vec::new(),
        whole: false,
        problem: None,
    };
    if !call.status().is_success() {
        got.problem = kind(&call.json(BOUND).await.expect("a problem"));
        return got;
    }
    let mut lines = Lines::new(call);
    let mut is_error = false;
    while got.texts.len() < most {
        let Ok(Some(line)) = lines.next(BOUND).await else {
            return got;
        };
        let line = String::from_utf8(line.to_vec()).expect("text");
        if let Some(id) = line.strip_prefix("id: ") {
            got.ids.push(id.to_owned());
        }
        is_error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            got.whole = true;
            return got;
        }
        let data: Value = serde_json::from_str(data).expect("JSON");
        if is_error {
            got.problem = kind(&data);
            return got;
        }
        if let Some(text) = data["choices"][0]["text"]
            .as_str()
            .filter(|text| !text.is_empty())
        {
            got.texts.push(text.to_owned());
        }
    }
    got
}

fn kind(problem: &Value) -> Option<String> {
    let kind = problem["type"].as_str()?;
    Some(
        kind.trim_start_matches("urn:fulmarpath:problem:")
            .to_owned(),
    )
}

/// Asks and reads the whole answer.
pub(crate) async fn complete(address: SocketAddr, ask: &Ask) -> Got {
    read(open(address, ask).await, usize::MAX).await
}

/// The whole answer that a prompt must get.
pub(crate) fn expected(prompt: &str) -> String {
    let length = fulmarpath_standin::answer_length(prompt, 8_000);
    (0..length)
        .map(|index| fulmarpath_standin::answer_token(prompt, index))
        .collect()
}
