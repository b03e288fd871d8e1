//! A caller as seen from outside, for trials, tests and measurements.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::{Call, HttpError, Lines, send};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_millis(12_000);
/// Silence after which a caller gives up on a streamed answer.
const SILENCE_BOUND: Duration = Duration::from_millis(3_000);

/// What a caller asks for.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// The organisation's key.
    pub key: &'static str,
    /// The prompt.
    pub prompt: String,
    /// Makes it a submission that runs at most once.
    pub idempotency_key: Option<String>,
    /// Goes on after this event.
    pub last_event_id: Option<String>,
    /// The caller's own trace.
    pub traceparent: Option<String>,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// The status of the answer; 0 where none came.
    pub status: u16,
    /// The tokens, in the order they came.
    pub tokens: Vec<String>,
    /// The events' ids.
    pub event_ids: Vec<String>,
    /// Whether the end was reached.
    pub is_complete: bool,
    /// The kind of problem, without its URN's prefix.
    pub problem: Option<String>,
    /// Whether no connection was made: the host never saw the request.
    pub is_unsent: bool,
}

impl CallerResponse {
    fn nothing() -> Self {
        Self {
            status: 0,
            tokens: Vec::new(),
            event_ids: Vec::new(),
            is_complete: false,
            problem: None,
            is_unsent: false,
        }
    }

    /// The tokens as one text.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// Sends one request with these headers.
///
/// # Errors
/// [`HttpError`] where no answer came.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Call, HttpError> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into()));
    let request = request.map_err(|_| HttpError::Unreachable { address })?;
    send(address, request, BOUND).await
}

/// Starts a streamed answer of the service `reports`.
///
/// # Errors
/// [`HttpError`] where no answer came.
pub async fn open(address: SocketAddr, ask: &CallerRequest) -> Result<Call, HttpError> {
    let bearer = format!("Bearer {}", ask.key);
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(key) = &ask.idempotency_key {
        headers.push(("idempotency-key", key));
    }
    if let Some(id) = &ask.last_event_id {
        headers.push(("last-event-id", id));
    }
    if let Some(trace) = &ask.traceparent {
        headers.push(("traceparent", trace));
    }
    let body = json!({ "model": "reports", "prompt": ask.prompt, "stream": true });
    let path = "/v1/completions";
    call(address, Method::POST, path, &headers, body.to_string()).await
}

/// Reads a streamed answer to its end, or as many tokens as `most`.
pub async fn read(opened: Result<Call, HttpError>, most: usize) -> CallerResponse {
    let mut got = CallerResponse::nothing();
    let call = match opened {
        Ok(call) => call,
        Err(error) => {
            got.is_unsent = error.is_unsent();
            return got;
        }
    };
    got.status = call.status().as_u16();
    if call.status() != StatusCode::OK {
        let problem = call.json(BOUND).await;
        got.problem = problem.ok().as_ref().and_then(kind);
        return got;
    }
    let mut lines = Lines::new(call);
    let mut is_error = false;
    while got.tokens.len() < most {
        let Ok(Some(line)) = lines.next(SILENCE_BOUND).await else {
            return got;
        };
        let line = String::from_utf8_lossy(&line).into_owned();
        if let Some(id) = line.strip_prefix("id: ") {
            got.event_ids.push(id.to_owned());
        }
        is_error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            got.is_complete = true;
            return got;
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            got.problem = kind(&data);
            return got;
        }
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            got.tokens.push(text.to_owned());
        }
    }
    got
}

fn kind(problem: &Value) -> Option<String> {
    let kind = problem["type"].as_str()?;
    let kind = kind.trim_start_matches("urn:fulmarpath:problem:");
    Some(kind.to_owned())
}

/// Asks and reads the whole answer.
pub async fn complete(address: SocketAddr, ask: &CallerRequest) -> CallerResponse {
    read(open(address, ask).await, usize::MAX).await
}

/// The whole answer that a stand-in engine gives to a prompt.
pub fn expected(prompt: &str) -> String {
    let length = fulmarpath_standin::answer_length(prompt, OUTPUT_LIMIT_TOKENS);
    (0..length)
        .map(|index| fulmarpath_standin::answer_token(prompt, index))
        .collect()
}

/// The longest answer of the service `reports` in [`super::declarations`].
pub(super) const OUTPUT_LIMIT_TOKENS: u32 = 8_000;
